//! Two owners of one database, their endpoints, the platform and callers on one clock.

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

use crate::fakes::{Endpoint, Open, Platform, RowId, follow, replicate};

pub const ENDPOINTS: usize = 3;
pub const OWNERS: usize = 2;
const CALLERS: usize = 4;
const SLOTS: usize = 2;
pub(super) const DATABASE: &str = "database";
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
const STATEMENT_TIMEOUT: Duration = Duration::from_millis(400);
const TICK: Duration = Duration::from_millis(5);

/// Fault of one history.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Crash(EndpointIndex),
    /// Cuts an endpoint off from its peers, not from owners.
    Isolate(EndpointIndex),
    Lag(EndpointIndex, Duration),
    /// Cuts an owner off from an endpoint.
    Cut(usize, EndpointIndex),
    /// Stops an owner as SIGSTOP does.
    Pause(usize),
    Outage,
    LoseAnswers(u32),
    Leave(EndpointIndex),
}

/// What a caller asks for.
#[derive(Clone, Debug)]
pub(super) enum Work {
    Write(Vec<RowId>),
    Read,
    /// Statements of a transaction, in order.
    Begin,
    InTransaction(RowId),
    Commit(Vec<RowId>),
}

/// Statement that waits for its verdict.
pub(super) struct Asked {
    pub(super) caller: usize,
    pub(super) session: SessionId,
    pub(super) work: Work,
    pub(super) result: Vec<RowId>,
}

pub(super) struct Caller {
    pub(super) id: SessionId,
    pub(super) number: StatementNumber,
    pub(super) session: Session,
    pub(super) owner: usize,
    pub(super) transaction: Option<(usize, Vec<RowId>)>,
    pub(super) acknowledged: BTreeSet<RowId>,
    pub(super) busy: Option<(usize, RequestId)>,
}

/// What the history is judged by.
#[derive(Default)]
pub struct Record {
    pub acknowledged: BTreeSet<RowId>,
    pub not_run: BTreeSet<RowId>,
    pub unknown: BTreeSet<RowId>,
    pub violations: BTreeSet<String>,
    pub reads: u64,
    pub promotions: u64,
}

pub(super) enum Item {
    Owner(usize, Event),
    Arrive { owner: usize, request_id: RequestId, connection: ConnectionId },
    Control { owner: usize, action: Action },
    Step(usize),
    Fault(Fault, bool),
    Tick,
}

pub struct World {
    pub record: Record,
    pub endpoints: Vec<Endpoint>,
    pub platform: Platform,
    pub(super) random: ChaCha8Rng,
    pub(super) now: Duration,
    heap: BinaryHeap<Reverse<(Duration, u64)>>,
    items: BTreeMap<u64, Item>,
    sequence: u64,
    owners: Vec<Owner>,
    paused: [bool; OWNERS],
    cut: BTreeSet<(usize, EndpointIndex)>,
    connections: BTreeMap<(usize, ConnectionId), (EndpointIndex, u64)>,
    pub(super) asked: BTreeMap<(usize, RequestId), Asked>,
    pub(super) callers: Vec<Caller>,
    pub(super) next_ticket: RequestId,
    pub(super) next_row: RowId,
    next_session: SessionId,
    pub(super) stopping: bool,
    left: BTreeMap<EndpointIndex, Duration>,
}

impl World {
    pub fn new(seed: u64, guards: Guards) -> World {
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
        let mut world = World {
            record: Record::default(),
            endpoints: (0..ENDPOINTS).map(Endpoint::new).collect(),
            platform: Platform::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::from_millis(1),
            heap: BinaryHeap::new(),
            items: BTreeMap::new(),
            sequence: 0,
            owners: (0..OWNERS).map(owner).collect(),
            paused: [false; OWNERS],
            cut: BTreeSet::new(),
            connections: BTreeMap::new(),
            asked: BTreeMap::new(),
            callers: Vec::new(),
            next_ticket: 1,
            next_row: 1,
            next_session: 1,
            stopping: false,
            left: BTreeMap::new(),
        };
        for caller in 0..CALLERS {
            let id = world.new_session();
            world.callers.push(Caller {
                id,
                number: 0,
                session: Session::new(),
                owner: 0,
                transaction: None,
                acknowledged: BTreeSet::new(),
                busy: None,
            });
            world.after(Duration::from_millis(50), Item::Step(caller));
        }
        world.after(TICK, Item::Tick);
        world
    }

    /// Lets a fault begin at `at` and end after `length`.
    pub fn plan(&mut self, at: Duration, length: Duration, fault: Fault) {
        self.after(at, Item::Fault(fault, true));
        self.after(at + length, Item::Fault(fault, false));
    }

    /// Runs until `end`; callers that are still waiting by then are not judged.
    pub fn run(&mut self, end: Duration) {
        while let Some(Reverse((at, sequence))) = self.heap.pop() {
            if at > end {
                self.heap.push(Reverse((at, sequence)));
                self.now = end;
                return;
            }
            self.now = self.now.max(at);
            if let Some(item) = self.items.remove(&sequence) {
                self.handle(item);
            }
        }
    }

    /// Ends the load and lets everything settle.
    pub fn settle(&mut self) {
        self.stopping = true;
        self.run(self.now + Duration::from_secs(15));
    }

    pub fn primary(&self) -> Option<&Endpoint> {
        self.platform.group.primary.map(|primary| &self.endpoints[primary])
    }

    pub(super) fn violate(&mut self, promise: &str) {
        self.record.violations.insert(promise.to_owned());
    }

    pub(super) fn after(&mut self, delay: Duration, item: Item) {
        self.sequence += 1;
        self.items.insert(self.sequence, item);
        self.heap.push(Reverse((self.now + delay, self.sequence)));
    }

    pub(super) fn hop(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(200..8000))
    }

    pub(super) fn new_session(&mut self) -> SessionId {
        self.next_session += 1;
        self.next_session
    }

    fn handle(&mut self, item: Item) {
        match item {
            Item::Owner(owner, event) if self.paused[owner] => {
                self.after(TICK, Item::Owner(owner, event));
            }
            Item::Owner(owner, event) => self.step_owner(owner, event),
            Item::Arrive { owner, request_id, connection } => {
                self.execute(owner, request_id, connection)
            }
            Item::Control { owner, action } => self.control(owner, action),
            Item::Step(caller) => self.step_caller(caller),
            Item::Fault(fault, begins) => self.apply(fault, begins),
            Item::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        replicate(&mut self.endpoints, now);
        for owner in 0..OWNERS {
            if !self.paused[owner] {
                self.step_owner(owner, Event::Tick);
            }
        }
        self.after(TICK, Item::Tick);
    }

    fn apply(&mut self, fault: Fault, begins: bool) {
        match fault {
            Fault::Crash(endpoint) => {
                self.endpoints[endpoint].crashed = begins;
                self.endpoints[endpoint].status.incarnation += 1;
                self.endpoints[endpoint].drop_connections();
            }
            Fault::Isolate(endpoint) => self.endpoints[endpoint].isolated = begins,
            Fault::Lag(endpoint, lag) => {
                let normal = Duration::from_millis(10);
                self.endpoints[endpoint].lag = if begins { lag } else { normal };
            }
            Fault::Cut(owner, endpoint) => {
                if begins {
                    self.cut.insert((owner, endpoint));
                } else {
                    self.cut.remove(&(owner, endpoint));
                }
            }
            Fault::Pause(owner) => self.paused[owner] = begins,
            Fault::Outage => self.platform.outage = begins,
            Fault::LoseAnswers(count) => {
                self.platform.lose_answers = if begins { count } else { 0 }
            }
            Fault::Leave(endpoint) => {
                if begins {
                    self.left.insert(endpoint, self.now);
                } else {
                    self.left.remove(&endpoint);
                }
                for owner in 0..OWNERS {
                    self.after(
                        Duration::ZERO,
                        Item::Owner(owner, Event::Draining(endpoint, begins)),
                    );
                }
            }
        }
    }

    fn reaches(&self, owner: usize, endpoint: EndpointIndex) -> bool {
        !self.endpoints[endpoint].crashed && !self.cut.contains(&(owner, endpoint))
    }

    fn step_owner(&mut self, owner: usize, event: Event) {
        let now = self.now;
        for action in self.owners[owner].step(now, event) {
            self.perform(owner, action);
        }
        let over = self.owners[owner].connection_counts().into_iter().any(|open| open > SLOTS);
        if over {
            self.violate("slots");
        }
        self.record.promotions = self.owners.iter().map(|owner| owner.last_failover().0).sum();
    }

    fn perform(&mut self, owner: usize, action: Action) {
        let delay = self.hop();
        match action {
            Action::OpenConnection(connection, endpoint) => {
                let event = if self.reaches(owner, endpoint) {
                    let generation = self.endpoints[endpoint].generation;
                    self.connections.insert((owner, connection), (endpoint, generation));
                    Event::ConnectionOpened(connection)
                } else {
                    Event::ConnectionFailed(connection, OpenError::Unreachable)
                };
                self.after(delay * 2, Item::Owner(owner, event));
            }
            Action::CloseConnection(connection) => {
                if let Some((endpoint, _)) = self.connections.remove(&(owner, connection)) {
                    self.endpoints[endpoint].transactions.remove(&(owner, connection));
                }
            }
            Action::Dispatch(request_id, connection) => {
                self.check_leaving(owner, request_id, connection);
                self.after(delay, Item::Arrive { owner, request_id, connection });
            }
            Action::Answer(request_id, verdict) => self.answered(owner, request_id, verdict),
            Action::RequestVotes => {
                let primary = self.owners[owner].group().and_then(|group| group.primary);
                let other = (owner + 1) % OWNERS;
                let asked = primary.filter(|_| !self.paused[other]);
                let against = usize::from(asked.is_some_and(|p| self.reaches(other, p)));
                self.after(delay * 3, Item::Owner(owner, Event::Votes { against }));
            }
            action => self.after(delay, Item::Control { owner, action }),
        }
    }

    fn check_leaving(&mut self, owner: usize, request_id: RequestId, connection: ConnectionId) {
        let Some((endpoint, _)) = self.connections.get(&(owner, connection)).copied() else {
            return;
        };
        let grace = Duration::from_secs(3);
        let late = self.left.get(&endpoint).is_some_and(|since| self.now > *since + grace);
        let new = self
            .asked
            .get(&(owner, request_id))
            .is_some_and(|asked| matches!(asked.work, Work::Write(_) | Work::Read | Work::Begin));
        if late && new {
            self.violate("leaving endpoint gets new work");
        }
    }

    fn control(&mut self, owner: usize, action: Action) {
        let delay = self.hop();
        let now = self.now;
        let (endpoint, event): (Option<EndpointIndex>, Event) = match action {
            Action::ReadGroup => {
                let result = self.platform.read();
                if result.is_ok() {
                    // The group object lists the endpoints that are leaving.
                    for endpoint in 0..ENDPOINTS {
                        let leaving = Event::Draining(endpoint, self.left.contains_key(&endpoint));
                        self.after(delay, Item::Owner(owner, leaving));
                    }
                }
                (None, Event::GroupRead(result))
            }
            Action::UpdateGroup(group) => {
                let before = self.platform.group.version;
                let result = self.platform.update(group);
                if self.platform.group.version > before {
                    self.notify_watches();
                }
                (None, Event::GroupWritten(result))
            }
            Action::Probe(endpoint) => {
                let status = self.endpoints[endpoint].status;
                (Some(endpoint), Event::ProbeAnswered(endpoint, Some(status)))
            }
            Action::FenceTerm { endpoint, term } if self.reaches(owner, endpoint) => {
                self.endpoints[endpoint].close_term(term);
                let status = self.endpoints[endpoint].status;
                (Some(endpoint), Event::FenceAnswered(endpoint, Some(status)))
            }
            Action::Promote { endpoint, term } if self.reaches(owner, endpoint) => {
                let taken = self.endpoints[endpoint].promote(now, term);
                let status = taken.then_some(self.endpoints[endpoint].status);
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
        let lost = endpoint.is_some_and(|endpoint| !self.reaches(owner, endpoint));
        let (delay, event) = match (lost, event) {
            (true, Event::ProbeAnswered(endpoint, _)) => {
                (PROBE_TIMEOUT, Event::ProbeAnswered(endpoint, None))
            }
            (true, Event::FenceAnswered(endpoint, _)) => {
                (PROBE_TIMEOUT, Event::FenceAnswered(endpoint, None))
            }
            (true, Event::PromoteAnswered(_)) => (PROBE_TIMEOUT, Event::PromoteAnswered(None)),
            (_, event) => (delay, event),
        };
        self.after(delay, Item::Owner(owner, event));
    }

    /// Lets every owner's watch of the group object fire.
    fn notify_watches(&mut self) {
        let seen = self.platform.group;
        for owner in 0..OWNERS {
            let delay = self.hop();
            self.after(delay, Item::Owner(owner, Event::GroupRead(Ok(seen))));
        }
    }

    fn execute(&mut self, owner: usize, request_id: RequestId, connection: ConnectionId) {
        let delay = self.hop();
        let found = self.connections.get(&(owner, connection)).copied();
        let Some((endpoint, generation)) = found else {
            return self.after(
                delay,
                Item::Owner(owner, Event::StatementFinished(request_id, Execution::NotSent)),
            );
        };
        let usable =
            self.reaches(owner, endpoint) && self.endpoints[endpoint].generation == generation;
        if !usable {
            return self.lose(owner, request_id, connection);
        }
        let finish = self.run_work(owner, request_id, connection, endpoint);
        // The answer may be lost on its way back.
        if self.random.random_bool(0.01) {
            self.endpoints[endpoint].transactions.remove(&(owner, connection));
            return self.lose(owner, request_id, connection);
        }
        self.after(delay, Item::Owner(owner, Event::StatementFinished(request_id, finish)));
    }

    fn lose(&mut self, owner: usize, request_id: RequestId, connection: ConnectionId) {
        self.connections.remove(&(owner, connection));
        let event = Event::StatementFinished(request_id, Execution::NoAnswer);
        self.after(STATEMENT_TIMEOUT, Item::Owner(owner, event));
    }

    fn run_work(
        &mut self,
        owner: usize,
        request_id: RequestId,
        connection: ConnectionId,
        endpoint: EndpointIndex,
    ) -> Execution {
        let now = self.now;
        let Some(asked) = self.asked.get_mut(&(owner, request_id)) else {
            let status = Some(self.endpoints[endpoint].status);
            return Execution::Completed { status, in_transaction: false };
        };
        let session = asked.session;
        let key = (owner, connection);
        let server = &mut self.endpoints[endpoint];
        let leads = server.status.role == Role::Primary;
        let mut mixed = false;
        let done = match &asked.work {
            Work::Read => {
                asked.result = server.rows();
                true
            }
            Work::Write(rows) => {
                if let Some(open) = server.transactions.get_mut(&key) {
                    open.rows.extend(rows);
                    open.sessions.push(session);
                    mixed = open.sessions.iter().any(|other| *other != session);
                } else if leads {
                    server.append(now, rows.clone());
                }
                leads
            }
            Work::Begin => {
                let open = Open { rows: Vec::new(), sessions: vec![session] };
                mixed = server.transactions.insert(key, open).is_some();
                leads
            }
            Work::InTransaction(row) => {
                if let Some(open) = server.transactions.get_mut(&key) {
                    open.rows.push(*row);
                    open.sessions.push(session);
                    mixed = open.sessions.iter().any(|other| *other != session);
                }
                true
            }
            Work::Commit(_) => {
                let open = server.transactions.remove(&key).unwrap_or_default();
                mixed = open.sessions.iter().any(|other| *other != session);
                if leads {
                    server.append(now, open.rows);
                }
                leads
            }
        };
        let (status, in_transaction) =
            (Some(server.status), server.transactions.contains_key(&key));
        if mixed {
            self.violate("transactions mix");
        }
        match done {
            true => Execution::Completed { status, in_transaction },
            false => {
                self.endpoints[endpoint].transactions.remove(&key);
                Execution::NotPrimary
            }
        }
    }
}
