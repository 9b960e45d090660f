//! Owner of one database.
//!
//! An [`Owner`] decides which statement runs on which connection, when an answer may be given and
//! when the primary is to be replaced. It holds no socket and reads no clock: [`Owner::step`]
//! takes an event and returns what is to be done.
//!
//! Three rules carry the promises. A write is answered once its log position is held, in the term
//! it was written in, by a majority of endpoints. A read is answered by an endpoint that holds
//! the session's floor, which the status sent with the answer proves. A statement is run again
//! only if it never left or surely reads only.

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

/// Time without a step after which the process is taken to have been stopped and continued.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Waiting {
    request: Request,
    arrived: Duration,
    attempts: u32,
    ran: bool,
}

#[derive(Clone, Debug)]
struct Running {
    waiting: Waiting,
    connection: ConnectionId,
    endpoint: EndpointIndex,
    incarnation: u64,
    started: Duration,
    estimate: Duration,
    abandoned: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    Opening,
    Idle { since: Duration },
    Busy,
    Pinned { session: SessionId, since: Duration },
}

#[derive(Clone, Debug)]
struct Connection {
    endpoint: EndpointIndex,
    used: Use,
    /// Club whose transaction it carries.
    holder: Option<ClubId>,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    request_id: RequestId,
    written: Floor,
    since: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    taken: Duration,
    floor: Floor,
}

/// What the waiting statements lack.
#[derive(Debug)]
struct Demand {
    /// Statements by the endpoint that could run them on a further connection.
    connections: Vec<usize>,
    /// Statements that no endpoint can run yet.
    unplaced: usize,
}

impl Demand {
    fn new(endpoints: usize) -> Demand {
        Demand { connections: vec![0; endpoints], unplaced: 0 }
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
    statements: BTreeMap<SessionId, StatementNumber>,
    pending: Vec<Pending>,
    samples: Vec<Sample>,
    lag: Duration,
    failover: Failover,
    asked_group: bool,
    catching_up: bool,
    retired: bool,
    unconfirmed: bool,
    retries: Budget,
    counters: Counters,
    now: Duration,
    actions: Vec<Action>,
}

impl Owner {
    /// Returns an owner that knows nothing of its endpoints yet.
    pub fn new(settings: Settings) -> Owner {
        Owner {
            endpoints: (0..settings.endpoint_count).map(|_| Endpoint::new()).collect(),
            connections: BTreeMap::new(),
            next_connection: 1,
            queue: Queue::new(settings.queue_limit),
            running: BTreeMap::new(),
            pinned: BTreeMap::new(),
            statements: BTreeMap::new(),
            pending: Vec::new(),
            samples: Vec::new(),
            lag: Duration::ZERO,
            failover: Failover::new(settings.endpoint_count, settings.seed),
            asked_group: false,
            catching_up: false,
            retired: false,
            unconfirmed: false,
            retries: Budget::new(0.1, 10.0),
            counters: Counters::default(),
            now: Duration::ZERO,
            actions: Vec::new(),
            settings,
        }
    }

    /// Handles `event` at `now` and returns what is to be done, in order.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        if now > self.now + PAUSE_LIMIT {
            self.resume();
        }
        self.now = self.now.max(now);
        self.handle(event);
        self.tick_failover();
        self.resolve_pending();
        self.replace_primary();
        self.resolve_samples();
        self.expire();
        self.place();
        self.probe();
        std::mem::take(&mut self.actions)
    }

    /// Returns when [`Event::Tick`] is due at the latest.
    pub fn next_wake(&self) -> Duration {
        let busy = !self.pending.is_empty() || self.wants_sample();
        let step = if busy { self.settings.sample_interval } else { self.settings.probe_interval };
        let step = if self.queue.is_empty() { step } else { step.min(Duration::from_millis(20)) };
        let wakes = [self.failover.next_wake(), self.queue.next_deadline()];
        let at = wakes.into_iter().flatten().min().unwrap_or(Duration::MAX);
        at.min(self.now + step).max(self.now + Duration::from_millis(1))
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the group object as last seen.
    pub fn group(&self) -> Option<Group> {
        self.failover.group()
    }

    /// Returns the steps of the last change of primary and the number of them.
    pub fn last_failover(&self) -> (u64, Timeline) {
        (self.failover.promotions(), self.failover.timeline())
    }

    /// Returns the name of the failover's current step.
    pub fn failover_phase(&self) -> &'static str {
        self.failover.phase()
    }

    /// Returns the last known status of each endpoint, none if it does not answer.
    pub fn statuses(&self) -> Vec<Option<Status>> {
        self.endpoints.iter().map(Endpoint::live_status).collect()
    }

    /// Returns the slot time that each club has used.
    pub fn slot_times(&self) -> Vec<(String, Duration)> {
        self.queue.slot_times().map(|(club, time)| (club.to_owned(), time)).collect()
    }

    /// Returns the number of waiting and of running statements.
    pub fn statement_counts(&self) -> (usize, usize) {
        (self.queue.len(), self.running.len())
    }

    /// Returns the number of connections to each endpoint.
    pub fn connection_counts(&self) -> Vec<usize> {
        (0..self.endpoints.len()).map(|endpoint| self.connection_count(endpoint)).collect()
    }

    /// Returns the estimated time until a commit is held by a majority.
    pub fn confirmation_lag(&self) -> Duration {
        self.lag
    }

    /// Returns whether nothing waits, runs or is pinned.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty() && self.pinned.is_empty()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::Submit(request) => self.submit(request),
            Event::Cancel(request_id) => self.cancel(request_id),
            Event::EndSession(session) => self.end_session(session),
            Event::ConnectionOpened(connection) => self.opened(connection),
            Event::ConnectionFailed(connection, error) => self.open_failed(connection, error),
            Event::ConnectionLost(connection) => self.broken(connection),
            Event::StatementFinished(request_id, finish) => self.finished(request_id, finish),
            Event::ProbeAnswered(endpoint, status) => self.probed(endpoint, status),
            Event::Votes { against } => {
                let actions = self.failover.on_votes(self.now, against);
                self.actions.extend(actions);
            }
            Event::GroupRead(result) => self.group_read(result),
            Event::GroupWritten(result) => self.group_read(result),
            Event::FenceAnswered(endpoint, status) => {
                if let Some(status) = status {
                    self.endpoints[endpoint].observe(self.now, status);
                    let actions = self.failover.on_fence_answer(self.now, endpoint, status);
                    self.actions.extend(actions);
                }
            }
            Event::PromoteAnswered(status) => self.promoted(status),
            Event::Draining(endpoint, leaving) => self.leaving(endpoint, leaving),
            Event::ClubWeight(club, weight) => self.queue.set_weight(&club, weight),
            Event::Limits(limits) => {
                self.settings.slots = limits.slots;
                self.settings.read_wait = limits.read_wait;
                self.settings.idle_in_transaction = limits.idle_in_transaction;
            }
            Event::Retire(retired) => self.retire(retired),
        }
    }
}
