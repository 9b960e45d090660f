//! Owner of one database: the state machine that runs the database's statements.
//!
//! An [`Owner`] decides which statement runs on which connection, when a statement is answered and
//! when the primary is replaced. An owner has no sockets and no clock: [`Owner::step`] takes an
//! event and returns the actions to carry out.
//!
//! Three rules keep the guarantees to clients:
//!
//! - A write is answered once a majority of endpoints holds its log position in the term of the
//!   write.
//! - A read is answered only if the status that came with the answer proves that the endpoint held
//!   the session's floor, the least log position that the read must observe.
//! - A statement is dispatched again only if it was never sent or certainly only reads.

mod action;
mod commit;
mod connection;
mod endpoint;
mod group;
mod place;
mod sample;
mod settings;
mod statement;

use std::collections::BTreeMap;
use std::time::Duration;

pub use action::{
    Access, Action, ConnectionId, Event, Execution, Limits, OpenError, Outcome, Request, RequestId,
    SessionId, StatementNumber,
};
use endpoint::Endpoint;
pub use settings::{Counters, Guards, Policy, Settings};

use crate::failover::{Failover, Group, Timeline};
use crate::position::{EndpointIndex, Floor, Status};
use crate::queue::{ClubId, Queue};
use crate::retry::Budget;

/// Time between two steps above which the process is assumed to have been paused.
const MAX_STEP_GAP: Duration = Duration::from_secs(1);

/// Request that waits for a connection.
#[derive(Clone, Debug)]
struct Waiting {
    request: Request,
    arrived_at: Duration,
    /// Dispatches that have failed so far.
    attempts: u32,
    /// Whether a failed dispatch may have run the statement.
    may_have_run: bool,
}

/// Request whose statement runs on a connection.
#[derive(Clone, Debug)]
struct Running {
    waiting: Waiting,
    connection: ConnectionId,
    endpoint: EndpointIndex,
    /// Incarnation of the endpoint when the statement was dispatched.
    incarnation: u64,
    started_at: Duration,
    /// Slot time that the queue estimated at the start; corrected when the statement ends.
    estimated_cost: Duration,
    /// Whether the session has ended, so that nobody waits for the answer.
    is_abandoned: bool,
}

/// State of a connection to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Opening,
    Idle { since: Duration },
    Busy,
    Pinned { session: SessionId, since: Duration },
}

#[derive(Clone, Debug)]
struct Connection {
    endpoint: EndpointIndex,
    state: State,
    /// Club whose transaction the connection carries.
    transaction_club: Option<ClubId>,
}

/// Write that awaits confirmation by a majority.
#[derive(Clone, Copy, Debug)]
struct Pending {
    request_id: RequestId,
    written: Floor,
    since: Duration,
}

/// Position that the primary reported, and a time at which its term was confirmed.
#[derive(Clone, Copy, Debug)]
struct Sample {
    taken_at: Duration,
    floor: Floor,
}

/// Connections and endpoints that the waiting statements lack.
#[derive(Debug)]
struct Demand {
    /// Number of statements that each endpoint could run on a further connection.
    connections: Vec<usize>,
    /// Number of statements that no endpoint can run yet.
    unplaced: usize,
}

impl Demand {
    fn new(endpoint_count: usize) -> Demand {
        Demand { connections: vec![0; endpoint_count], unplaced: 0 }
    }

    fn clear(&mut self) {
        self.connections.fill(0);
        self.unplaced = 0;
    }
}

/// State of the owner of one database.
#[derive(Debug)]
pub struct Owner {
    settings: Settings,
    endpoints: Vec<Endpoint>,
    connections: BTreeMap<ConnectionId, Connection>,
    next_connection: ConnectionId,
    queue: Queue<Waiting>,
    running: BTreeMap<RequestId, Running>,
    pinned: BTreeMap<SessionId, ConnectionId>,
    last_statement_numbers: BTreeMap<SessionId, StatementNumber>,
    pending: Vec<Pending>,
    samples: Vec<Sample>,
    confirmation_lag: Duration,
    failover: Failover,
    is_group_read_pending: bool,
    has_unplaced_statements: bool,
    is_retired: bool,
    is_group_stale: bool,
    retry_budget: Budget,
    counters: Counters,
    now: Duration,
    actions: Vec<Action>,
}

impl Owner {
    /// Returns an owner that has not yet heard from the platform or any endpoint.
    pub fn new(settings: Settings) -> Owner {
        Owner {
            endpoints: (0..settings.endpoint_count).map(|_| Endpoint::new()).collect(),
            connections: BTreeMap::new(),
            next_connection: 1,
            queue: Queue::new(settings.queue_limit),
            running: BTreeMap::new(),
            pinned: BTreeMap::new(),
            last_statement_numbers: BTreeMap::new(),
            pending: Vec::new(),
            samples: Vec::new(),
            confirmation_lag: Duration::ZERO,
            failover: Failover::new(settings.endpoint_count, settings.seed),
            is_group_read_pending: false,
            has_unplaced_statements: false,
            is_retired: false,
            is_group_stale: false,
            retry_budget: Budget::new(0.1, 10.0),
            counters: Counters::default(),
            now: Duration::ZERO,
            actions: Vec::new(),
            settings,
        }
    }

    /// Handles `event` at `now` and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        if now > self.now + MAX_STEP_GAP {
            self.on_process_resumed();
        }
        self.now = self.now.max(now);
        self.handle_event(event);
        self.tick_failover();
        self.resolve_pending_writes();
        self.replace_primary_if_needed();
        self.resolve_samples();
        self.expire_deadlines();
        self.place_waiting();
        self.send_due_probes();
        std::mem::take(&mut self.actions)
    }

    /// Returns the time by which the owner needs an [`Event::Tick`].
    pub fn next_wake(&self) -> Duration {
        let awaits_position = !self.pending.is_empty() || self.needs_sample();
        let step = if awaits_position {
            self.settings.sample_interval
        } else {
            self.settings.probe_interval
        };
        let step = if self.queue.is_empty() { step } else { step.min(Duration::from_millis(20)) };
        let wakes = [self.failover.next_wake(), self.queue.next_deadline()];
        let earliest = wakes.into_iter().flatten().min().unwrap_or(Duration::MAX);
        earliest.min(self.now + step).max(self.now + Duration::from_millis(1))
    }

    /// Returns the counters since the owner started.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the group object of the highest version received; none before the first one.
    pub fn group(&self) -> Option<Group> {
        self.failover.group()
    }

    /// Returns the number of failovers that this node has completed and the step times of the last
    /// one.
    pub fn last_failover(&self) -> (u64, Timeline) {
        (self.failover.promotions(), self.failover.timeline())
    }

    /// Returns the name of the failover's current phase.
    pub fn failover_phase(&self) -> &'static str {
        self.failover.phase()
    }

    /// Returns the last status of each endpoint; none if the endpoint does not answer.
    pub fn statuses(&self) -> Vec<Option<Status>> {
        self.endpoints.iter().map(Endpoint::live_status).collect()
    }

    /// Returns the slot time that each club has used.
    pub fn slot_times(&self) -> Vec<(String, Duration)> {
        self.queue.slot_times().map(|(club, time)| (club.to_owned(), time)).collect()
    }

    /// Returns the number of waiting statements and the number of running statements.
    pub fn statement_counts(&self) -> (usize, usize) {
        (self.queue.len(), self.running.len())
    }

    /// Returns the number of connections to each endpoint, including those being opened.
    pub fn connection_counts(&self) -> Vec<usize> {
        (0..self.endpoints.len()).map(|endpoint| self.connection_count(endpoint)).collect()
    }

    /// Returns the moving average of the time that writes wait for confirmation.
    pub fn confirmation_lag(&self) -> Duration {
        self.confirmation_lag
    }

    /// Returns whether no statement waits or runs and no connection is pinned.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty() && self.pinned.is_empty()
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::Submit(request) => self.submit(request),
            Event::Cancel(request_id) => self.cancel(request_id),
            Event::EndSession(session) => self.end_session(session),
            Event::ConnectionOpened(connection) => self.on_connection_opened(connection),
            Event::ConnectionFailed(connection, error) => {
                self.on_connection_failed(connection, error)
            }
            Event::ConnectionLost(connection) => self.on_connection_lost(connection),
            Event::StatementFinished(request_id, execution) => {
                self.on_statement_finished(request_id, execution)
            }
            Event::ProbeAnswered(endpoint, status) => self.on_probe_answered(endpoint, status),
            Event::Votes { against } => {
                let actions = self.failover.on_votes(self.now, against);
                self.actions.extend(actions);
            }
            Event::GroupRead(result) => self.on_group_read(result),
            Event::GroupWritten(result) => self.on_group_read(result),
            Event::FenceAnswered(endpoint, status) => {
                if let Some(status) = status {
                    self.endpoints[endpoint].update_status(self.now, status);
                    let actions = self.failover.on_fence_answer(self.now, endpoint, status);
                    self.actions.extend(actions);
                }
            }
            Event::PromoteAnswered(status) => self.on_promote_answered(status),
            Event::Draining(endpoint, is_draining) => self.set_draining(endpoint, is_draining),
            Event::ClubWeight(club, weight) => self.queue.set_weight(&club, weight),
            Event::Limits(limits) => {
                self.settings.slots = limits.slots;
                self.settings.read_wait = limits.read_wait;
                self.settings.idle_in_transaction = limits.idle_in_transaction;
            }
            Event::Retire(is_retired) => self.set_retired(is_retired),
        }
    }
}
