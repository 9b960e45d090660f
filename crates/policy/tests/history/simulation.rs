//! Discrete-event simulation of two owners of one database with endpoints, platform and clients.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackbend_policy::owner::{
    Action, ConnectionId, Event, Execution, Guards, OpenError, Owner, RequestId, SessionId,
    Settings, StatementNumber,
};
use tamarackbend_policy::position::{EndpointIndex, Role};
use tamarackbend_policy::session::Session;

use crate::fakes::{Endpoint, Platform, RowId, Transaction, follow, replicate};

pub const ENDPOINTS: usize = 3;
pub const OWNERS: usize = 2;
const CLIENTS: usize = 4;
const SLOTS: usize = 2;
pub(super) const DATABASE: &str = "database";
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
const STATEMENT_TIMEOUT: Duration = Duration::from_millis(400);
const TICK: Duration = Duration::from_millis(5);

/// Fault that lasts for part of a history.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Crash(EndpointIndex),
    /// Stops replication to and from an endpoint; owners still reach the endpoint.
    Isolate(EndpointIndex),
    /// Delays replication to an endpoint.
    Lag(EndpointIndex, Duration),
    /// Blocks the traffic between an owner and an endpoint.
    BlockLink(usize, EndpointIndex),
    /// Pauses an owner's process, as SIGSTOP does.
    Pause(usize),
    /// Makes the platform unreachable.
    Outage,
    /// Loses the answers to this number of group object updates.
    LoseAnswers(u32),
    Drain(EndpointIndex),
}

/// Operation that a client requests.
#[derive(Clone, Debug)]
pub(super) enum Operation {
    Write(Vec<RowId>),
    Read,
    /// First statement of a transaction; `InTransaction` and `Commit` follow.
    Begin,
    InTransaction(RowId),
    Commit(Vec<RowId>),
}

/// Request that has not been answered.
pub(super) struct InFlight {
    pub(super) client: usize,
    pub(super) session: SessionId,
    pub(super) operation: Operation,
    pub(super) result: Vec<RowId>,
}

pub(super) struct Client {
    pub(super) session_id: SessionId,
    pub(super) last_statement_number: StatementNumber,
    pub(super) session: Session,
    pub(super) owner: usize,
    pub(super) transaction: Option<(usize, Vec<RowId>)>,
    pub(super) acknowledged: BTreeSet<RowId>,
    pub(super) awaited_request: Option<(usize, RequestId)>,
}

/// Outcomes that a history is judged by.
#[derive(Default)]
pub struct Outcomes {
    pub acknowledged: BTreeSet<RowId>,
    pub not_run: BTreeSet<RowId>,
    pub unknown: BTreeSet<RowId>,
    pub violations: BTreeSet<String>,
    pub reads: u64,
    pub promotions: u64,
}

/// Event of the simulation that is due at a scheduled time.
pub(super) enum Scheduled {
    OwnerEvent(usize, Event),
    StatementArrival {
        owner: usize,
        request_id: RequestId,
        connection: ConnectionId,
    },
    /// Order of an owner to an endpoint or request to the platform.
    OwnerAction {
        owner: usize,
        action: Action,
    },
    ClientStep(usize),
    /// Start (true) or end (false) of a fault.
    Fault(Fault, bool),
    Tick,
}

pub struct Simulation {
    pub outcomes: Outcomes,
    pub endpoints: Vec<Endpoint>,
    pub platform: Platform,
    pub(super) random: ChaCha8Rng,
    pub(super) now: Duration,
    due_times: BinaryHeap<Reverse<(Duration, u64)>>,
    scheduled: BTreeMap<u64, Scheduled>,
    sequence: u64,
    owners: Vec<Owner>,
    is_paused: [bool; OWNERS],
    blocked_links: BTreeSet<(usize, EndpointIndex)>,
    /// Endpoint and connection generation by owner and connection.
    connections: BTreeMap<(usize, ConnectionId), (EndpointIndex, u64)>,
    pub(super) in_flight: BTreeMap<(usize, RequestId), InFlight>,
    pub(super) clients: Vec<Client>,
    pub(super) next_request_id: RequestId,
    pub(super) next_row: RowId,
    next_session: SessionId,
    pub(super) is_stopping: bool,
    draining_since: BTreeMap<EndpointIndex, Duration>,
}

impl Simulation {
    pub fn new(seed: u64, guards: Guards) -> Simulation {
        let owner = |index: usize| {
            Owner::new(Settings {
                endpoint_count: ENDPOINTS,
                slots: SLOTS,
                seed: seed ^ index as u64,
                confirm_timeout: Duration::from_secs(1),
                guards,
                ..Settings::default()
            })
        };
        let mut simulation = Simulation {
            outcomes: Outcomes::default(),
            endpoints: (0..ENDPOINTS).map(Endpoint::new).collect(),
            platform: Platform::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::from_millis(1),
            due_times: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            sequence: 0,
            owners: (0..OWNERS).map(owner).collect(),
            is_paused: [false; OWNERS],
            blocked_links: BTreeSet::new(),
            connections: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            clients: Vec::new(),
            next_request_id: 1,
            next_row: 1,
            next_session: 1,
            is_stopping: false,
            draining_since: BTreeMap::new(),
        };
        for client in 0..CLIENTS {
            let session_id = simulation.new_session();
            simulation.clients.push(Client {
                session_id,
                last_statement_number: 0,
                session: Session::new(),
                owner: 0,
                transaction: None,
                acknowledged: BTreeSet::new(),
                awaited_request: None,
            });
            simulation.schedule(Duration::from_millis(50), Scheduled::ClientStep(client));
        }
        simulation.schedule(TICK, Scheduled::Tick);
        simulation
    }

    /// Schedules a fault that starts at `at` and lasts for `length`.
    pub fn schedule_fault(&mut self, at: Duration, length: Duration, fault: Fault) {
        self.schedule(at, Scheduled::Fault(fault, true));
        self.schedule(at + length, Scheduled::Fault(fault, false));
    }

    /// Runs until `end`; requests that are unanswered by then are not judged.
    pub fn run(&mut self, end: Duration) {
        while let Some(Reverse((at, sequence))) = self.due_times.pop() {
            if at > end {
                self.due_times.push(Reverse((at, sequence)));
                self.now = end;
                return;
            }
            self.now = self.now.max(at);
            if let Some(item) = self.scheduled.remove(&sequence) {
                self.run_scheduled(item);
            }
        }
    }

    /// Stops the clients and runs on for 15 s, so that faults end and the group recovers.
    pub fn settle(&mut self) {
        self.is_stopping = true;
        self.run(self.now + Duration::from_secs(15));
    }

    pub fn primary(&self) -> Option<&Endpoint> {
        self.platform.group.primary.map(|primary| &self.endpoints[primary])
    }

    pub(super) fn record_violation(&mut self, violation: &str) {
        self.outcomes.violations.insert(violation.to_owned());
    }

    pub(super) fn schedule(&mut self, delay: Duration, item: Scheduled) {
        self.sequence += 1;
        self.scheduled.insert(self.sequence, item);
        self.due_times.push(Reverse((self.now + delay, self.sequence)));
    }

    pub(super) fn random_latency(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(200..8000))
    }

    pub(super) fn new_session(&mut self) -> SessionId {
        self.next_session += 1;
        self.next_session
    }

    fn run_scheduled(&mut self, item: Scheduled) {
        match item {
            Scheduled::OwnerEvent(owner, event) if self.is_paused[owner] => {
                self.schedule(TICK, Scheduled::OwnerEvent(owner, event));
            }
            Scheduled::OwnerEvent(owner, event) => self.step_owner(owner, event),
            Scheduled::StatementArrival { owner, request_id, connection } => {
                self.execute(owner, request_id, connection)
            }
            Scheduled::OwnerAction { owner, action } => self.carry_out_order(owner, action),
            Scheduled::ClientStep(client) => self.step_client(client),
            Scheduled::Fault(fault, is_start) => self.apply_fault(fault, is_start),
            Scheduled::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        replicate(&mut self.endpoints, now);
        for owner in 0..OWNERS {
            if !self.is_paused[owner] {
                self.step_owner(owner, Event::Tick);
            }
        }
        self.schedule(TICK, Scheduled::Tick);
    }

    fn apply_fault(&mut self, fault: Fault, is_start: bool) {
        match fault {
            Fault::Crash(endpoint) => {
                self.endpoints[endpoint].is_crashed = is_start;
                self.endpoints[endpoint].status.incarnation += 1;
                self.endpoints[endpoint].drop_connections();
            }
            Fault::Isolate(endpoint) => self.endpoints[endpoint].is_isolated = is_start,
            Fault::Lag(endpoint, lag) => {
                let normal = Duration::from_millis(10);
                self.endpoints[endpoint].lag = if is_start { lag } else { normal };
            }
            Fault::BlockLink(owner, endpoint) => {
                if is_start {
                    self.blocked_links.insert((owner, endpoint));
                } else {
                    self.blocked_links.remove(&(owner, endpoint));
                }
            }
            Fault::Pause(owner) => self.is_paused[owner] = is_start,
            Fault::Outage => self.platform.is_down = is_start,
            Fault::LoseAnswers(count) => {
                self.platform.answers_to_lose = if is_start { count } else { 0 }
            }
            Fault::Drain(endpoint) => {
                if is_start {
                    self.draining_since.insert(endpoint, self.now);
                } else {
                    self.draining_since.remove(&endpoint);
                }
                for owner in 0..OWNERS {
                    self.schedule(
                        Duration::ZERO,
                        Scheduled::OwnerEvent(owner, Event::Draining(endpoint, is_start)),
                    );
                }
            }
        }
    }

    fn reaches(&self, owner: usize, endpoint: EndpointIndex) -> bool {
        !self.endpoints[endpoint].is_crashed && !self.blocked_links.contains(&(owner, endpoint))
    }

    fn step_owner(&mut self, owner: usize, event: Event) {
        let now = self.now;
        for action in self.owners[owner].step(now, event) {
            self.perform_action(owner, action);
        }
        let exceeds_slots =
            self.owners[owner].connection_counts().into_iter().any(|count| count > SLOTS);
        if exceeds_slots {
            self.record_violation("more connections than slots");
        }
        self.outcomes.promotions = self.owners.iter().map(|owner| owner.last_failover().0).sum();
    }

    fn perform_action(&mut self, owner: usize, action: Action) {
        let delay = self.random_latency();
        match action {
            Action::OpenConnection(connection, endpoint) => {
                let event = if self.reaches(owner, endpoint) {
                    let generation = self.endpoints[endpoint].connection_generation;
                    self.connections.insert((owner, connection), (endpoint, generation));
                    Event::ConnectionOpened(connection)
                } else {
                    Event::ConnectionFailed(connection, OpenError::Unreachable)
                };
                self.schedule(delay * 2, Scheduled::OwnerEvent(owner, event));
            }
            Action::CloseConnection(connection) => {
                if let Some((endpoint, _)) = self.connections.remove(&(owner, connection)) {
                    self.endpoints[endpoint].transactions.remove(&(owner, connection));
                }
            }
            Action::Dispatch(request_id, connection) => {
                self.check_draining(owner, request_id, connection);
                self.schedule(delay, Scheduled::StatementArrival { owner, request_id, connection });
            }
            Action::Answer(request_id, outcome) => self.on_answer(owner, request_id, outcome),
            Action::RequestVotes => {
                let primary = self.owners[owner].group().and_then(|group| group.primary);
                let peer = (owner + 1) % OWNERS;
                let probed = primary.filter(|_| !self.is_paused[peer]);
                let against = usize::from(probed.is_some_and(|p| self.reaches(peer, p)));
                self.schedule(delay * 3, Scheduled::OwnerEvent(owner, Event::Votes { against }));
            }
            action => self.schedule(delay, Scheduled::OwnerAction { owner, action }),
        }
    }

    /// Checks that a draining endpoint gets no new statements after a grace period.
    fn check_draining(&mut self, owner: usize, request_id: RequestId, connection: ConnectionId) {
        let Some((endpoint, _)) = self.connections.get(&(owner, connection)).copied() else {
            return;
        };
        let grace = Duration::from_secs(3);
        let is_late =
            self.draining_since.get(&endpoint).is_some_and(|since| self.now > *since + grace);
        let is_new_work = self.in_flight.get(&(owner, request_id)).is_some_and(|request| {
            matches!(request.operation, Operation::Write(_) | Operation::Read | Operation::Begin)
        });
        if is_late && is_new_work {
            self.record_violation("draining endpoint gets new statements");
        }
    }

    fn carry_out_order(&mut self, owner: usize, action: Action) {
        let delay = self.random_latency();
        let now = self.now;
        let (endpoint, event): (Option<EndpointIndex>, Event) = match action {
            Action::ReadGroup => {
                let result = self.platform.read();
                if result.is_ok() {
                    // The group object lists the draining endpoints.
                    for endpoint in 0..ENDPOINTS {
                        let draining =
                            Event::Draining(endpoint, self.draining_since.contains_key(&endpoint));
                        self.schedule(delay, Scheduled::OwnerEvent(owner, draining));
                    }
                }
                (None, Event::GroupRead(result))
            }
            Action::UpdateGroup(group) => {
                let previous_version = self.platform.group.version;
                let result = self.platform.update(group);
                if self.platform.group.version > previous_version {
                    self.notify_watches();
                }
                (None, Event::GroupWritten(result))
            }
            Action::Probe(endpoint) => {
                let status = self.endpoints[endpoint].status;
                (Some(endpoint), Event::ProbeAnswered(endpoint, Some(status)))
            }
            Action::FenceTerm { endpoint, term } if self.reaches(owner, endpoint) => {
                self.endpoints[endpoint].fence_term(term);
                let status = self.endpoints[endpoint].status;
                (Some(endpoint), Event::FenceAnswered(endpoint, Some(status)))
            }
            Action::Promote { endpoint, term } if self.reaches(owner, endpoint) => {
                let is_promoted = self.endpoints[endpoint].promote(now, term);
                let status = is_promoted.then_some(self.endpoints[endpoint].status);
                (Some(endpoint), Event::PromoteAnswered(status))
            }
            Action::Follow { endpoint, term, primary } => {
                if self.reaches(owner, endpoint) {
                    follow(&mut self.endpoints, endpoint, term, primary);
                }
                return;
            }
            Action::FenceTerm { endpoint, .. } => {
                (Some(endpoint), Event::FenceAnswered(endpoint, None))
            }
            Action::Promote { endpoint, .. } => (Some(endpoint), Event::PromoteAnswered(None)),
            _ => return,
        };
        let is_unreachable = endpoint.is_some_and(|endpoint| !self.reaches(owner, endpoint));
        let (delay, event) = match (is_unreachable, event) {
            (true, Event::ProbeAnswered(endpoint, _)) => {
                (PROBE_TIMEOUT, Event::ProbeAnswered(endpoint, None))
            }
            (true, Event::FenceAnswered(endpoint, _)) => {
                (PROBE_TIMEOUT, Event::FenceAnswered(endpoint, None))
            }
            (true, Event::PromoteAnswered(_)) => (PROBE_TIMEOUT, Event::PromoteAnswered(None)),
            (_, event) => (delay, event),
        };
        self.schedule(delay, Scheduled::OwnerEvent(owner, event));
    }

    /// Notifies every owner of the changed group object.
    fn notify_watches(&mut self) {
        let group = self.platform.group;
        for owner in 0..OWNERS {
            let delay = self.random_latency();
            self.schedule(delay, Scheduled::OwnerEvent(owner, Event::GroupRead(Ok(group))));
        }
    }

    fn execute(&mut self, owner: usize, request_id: RequestId, connection: ConnectionId) {
        let delay = self.random_latency();
        let endpoint_and_generation = self.connections.get(&(owner, connection)).copied();
        let Some((endpoint, generation)) = endpoint_and_generation else {
            return self.schedule(
                delay,
                Scheduled::OwnerEvent(
                    owner,
                    Event::StatementFinished(request_id, Execution::NotSent),
                ),
            );
        };
        let is_usable = self.reaches(owner, endpoint)
            && self.endpoints[endpoint].connection_generation == generation;
        if !is_usable {
            return self.lose_answer(owner, request_id, connection);
        }
        let execution = self.execute_operation(owner, request_id, connection, endpoint);
        // One answer in a hundred is lost.
        if self.random.random_bool(0.01) {
            self.endpoints[endpoint].transactions.remove(&(owner, connection));
            return self.lose_answer(owner, request_id, connection);
        }
        self.schedule(
            delay,
            Scheduled::OwnerEvent(owner, Event::StatementFinished(request_id, execution)),
        );
    }

    fn lose_answer(&mut self, owner: usize, request_id: RequestId, connection: ConnectionId) {
        self.connections.remove(&(owner, connection));
        let event = Event::StatementFinished(request_id, Execution::NoAnswer);
        self.schedule(STATEMENT_TIMEOUT, Scheduled::OwnerEvent(owner, event));
    }

    fn execute_operation(
        &mut self,
        owner: usize,
        request_id: RequestId,
        connection: ConnectionId,
        endpoint: EndpointIndex,
    ) -> Execution {
        let now = self.now;
        let Some(request) = self.in_flight.get_mut(&(owner, request_id)) else {
            let status = Some(self.endpoints[endpoint].status);
            return Execution::Completed { status, in_transaction: false };
        };
        let session = request.session;
        let key = (owner, connection);
        let server = &mut self.endpoints[endpoint];
        let is_primary = server.status.role == Role::Primary;
        let mut is_shared = false;
        let is_executed = match &request.operation {
            Operation::Read => {
                request.result = server.rows();
                true
            }
            Operation::Write(rows) => {
                if let Some(transaction) = server.transactions.get_mut(&key) {
                    transaction.rows.extend(rows);
                    transaction.sessions.push(session);
                    is_shared = transaction.sessions.iter().any(|other| *other != session);
                } else if is_primary {
                    server.append(now, rows.clone());
                }
                is_primary
            }
            Operation::Begin => {
                let transaction = Transaction { rows: Vec::new(), sessions: vec![session] };
                is_shared = server.transactions.insert(key, transaction).is_some();
                is_primary
            }
            Operation::InTransaction(row) => {
                if let Some(transaction) = server.transactions.get_mut(&key) {
                    transaction.rows.push(*row);
                    transaction.sessions.push(session);
                    is_shared = transaction.sessions.iter().any(|other| *other != session);
                }
                true
            }
            Operation::Commit(_) => {
                let transaction = server.transactions.remove(&key).unwrap_or_default();
                is_shared = transaction.sessions.iter().any(|other| *other != session);
                if is_primary {
                    server.append(now, transaction.rows);
                }
                is_primary
            }
        };
        let (status, in_transaction) =
            (Some(server.status), server.transactions.contains_key(&key));
        if is_shared {
            self.record_violation("sessions share a transaction");
        }
        match is_executed {
            true => Execution::Completed { status, in_transaction },
            false => {
                self.endpoints[endpoint].transactions.remove(&key);
                Execution::NotPrimary
            }
        }
    }
}
