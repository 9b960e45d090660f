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
mod endpoint;

use std::collections::BTreeMap;
use std::time::Duration;

pub use action::{
    Action, ConnectionId, Event, Finish, Kind, Limits, OpenError, Request, SessionId, StatementId,
    Ticket, Verdict,
};
use endpoint::Endpoint;

use crate::code::{Class, Code};
use crate::failover::{Failover, Group, GroupError, Timeline};
use crate::position::{EndpointIndex, Floor, Role, Status, majority};
use crate::queue::Queue;
use crate::retry::Budget;
use crate::session::Freshness;

/// Time without a step after which the process is taken to have been stopped and continued.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);
/// Time without progress of any replica after which a primary with waiting commits is replaced.
const STALL_LIMIT: Duration = Duration::from_secs(1);
/// Time for which a leaving primary may finish what it runs before it is replaced.
const LEAVE_GRACE: Duration = Duration::from_secs(2);
/// Misses of the primary that raise suspicion.
const SUSPECT_MISSES: u32 = 2;
/// Times a read is started again after its endpoint failed.
const READ_ATTEMPTS: u32 = 3;
/// Samples of the primary's position that are kept.
const SAMPLE_LIMIT: usize = 64;
/// Least time between two samples.
const SAMPLE_SPACING: Duration = Duration::from_millis(50);
/// Least time between two attempts to open a connection to an endpoint that refused one.
const OPEN_BACKOFF: Duration = Duration::from_millis(100);
/// When a statement is worth another attempt that found no endpoint to run on.
const RECOVERY_RETRY: Duration = Duration::from_secs(1);
/// Time between two orders to an endpoint to take up its part.
const ORDER_SPACING: Duration = Duration::from_millis(500);

/// How reads are placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// On a replica that holds the floor, on the primary when none will in time.
    #[default]
    Floors,
    /// On the primary only.
    PrimaryOnly,
    /// On any replica, whatever it holds.
    RandomReplica,
}

/// Protections that tests switch off to see that their checks find the violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// Reads respect the session's floor.
    pub floors: bool,
    /// Writes are answered only when a majority holds them.
    pub confirmation: bool,
    /// Confirmations count only in the term of the write.
    pub fence: bool,
    /// Statements that may write are never started twice.
    pub single_dispatch: bool,
    /// A statement number is accepted once.
    pub duplicates: bool,
    /// A connection with an open transaction serves its session only.
    pub pinning: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            floors: true,
            confirmation: true,
            fence: true,
            single_dispatch: true,
            duplicates: true,
            pinning: true,
        }
    }
}

/// Settings of one owner.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Endpoints of the database.
    pub endpoints: usize,
    /// Connections that may be open to one endpoint.
    pub slots: usize,
    /// Statements of one club that may wait.
    pub queue_limit: usize,
    /// Time between probes of the primary; replicas are probed a quarter as often.
    pub probe_interval: Duration,
    /// Time between probes while statements wait for a position.
    pub sample_interval: Duration,
    /// Longest wait for a replica before a read goes to the primary.
    pub read_wait: Duration,
    /// Time a transaction may sit idle.
    pub idle_in_transaction: Duration,
    /// Time a connection may sit idle.
    pub idle_connection: Duration,
    /// Time a commit may wait for its confirmation.
    pub confirm_timeout: Duration,
    /// How reads are placed.
    pub policy: Policy,
    /// Rank of each endpoint by distance, nearest first; may be shorter than the group.
    pub distances: Vec<u32>,
    /// Seed of the random choices.
    pub seed: u64,
    /// Protections.
    pub guards: Guards,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            endpoints: 3,
            slots: 5,
            queue_limit: 256,
            probe_interval: Duration::from_millis(300),
            sample_interval: Duration::from_millis(2),
            read_wait: Duration::from_millis(200),
            idle_in_transaction: Duration::from_secs(5),
            idle_connection: Duration::from_secs(30),
            confirm_timeout: Duration::from_secs(5),
            policy: Policy::Floors,
            distances: Vec::new(),
            seed: 0,
            guards: Guards::default(),
        }
    }
}

/// Counters since the owner started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reads answered by a replica.
    pub replica_reads: u64,
    /// Reads answered by the primary.
    pub primary_reads: u64,
    /// Writes answered.
    pub writes: u64,
    /// Statements refused before they ran.
    pub not_run: u64,
    /// Statements with an unknown outcome.
    pub unknown: u64,
    /// Statements started again.
    pub retries: u64,
    /// Probes sent.
    pub probes: u64,
}

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

#[derive(Clone, Copy, Debug)]
struct Connection {
    endpoint: EndpointIndex,
    used: Use,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    ticket: Ticket,
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
    running: BTreeMap<Ticket, Running>,
    pinned: BTreeMap<SessionId, ConnectionId>,
    statements: BTreeMap<SessionId, StatementId>,
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
            endpoints: (0..settings.endpoints).map(|_| Endpoint::new()).collect(),
            connections: BTreeMap::new(),
            next_connection: 1,
            queue: Queue::new(settings.queue_limit),
            running: BTreeMap::new(),
            pinned: BTreeMap::new(),
            statements: BTreeMap::new(),
            pending: Vec::new(),
            samples: Vec::new(),
            lag: Duration::ZERO,
            failover: Failover::new(settings.endpoints, settings.seed),
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
    pub fn load(&self) -> (usize, usize) {
        (self.queue.len(), self.running.len())
    }

    /// Returns the number of connections to each endpoint.
    pub fn open_connections(&self) -> Vec<usize> {
        (0..self.endpoints.len()).map(|endpoint| self.connection_count(endpoint)).collect()
    }

    /// Returns the estimated time until a commit is held by a majority.
    pub fn lag(&self) -> Duration {
        self.lag
    }

    /// Returns whether nothing waits, runs or is pinned.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty() && self.pinned.is_empty()
    }

    /// Asks for the group again before anything is started: what was known may be old.
    fn resume(&mut self) {
        self.unconfirmed = self.group().is_some();
        self.asked_group = false;
        self.endpoints.iter_mut().for_each(Endpoint::probe_now);
        self.read_group();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::Submit(request) => self.submit(request),
            Event::Cancel(ticket) => self.cancel(ticket),
            Event::EndSession(session) => self.end_session(session),
            Event::Opened(connection) => self.opened(connection),
            Event::OpenFailed(connection, error) => self.open_failed(connection, error),
            Event::Broken(connection) => self.broken(connection),
            Event::Finished(ticket, finish) => self.finished(ticket, finish),
            Event::Probed(endpoint, status) => self.probed(endpoint, status),
            Event::Opinions { denied } => {
                let actions = self.failover.opinions(self.now, denied);
                self.actions.extend(actions);
            }
            Event::GroupRead(result) => self.group_read(result),
            Event::GroupWritten(result) => self.group_read(result),
            Event::Closed(endpoint, status) => {
                if let Some(status) = status {
                    self.endpoints[endpoint].observe(self.now, status);
                    let actions = self.failover.closed(self.now, endpoint, status);
                    self.actions.extend(actions);
                }
            }
            Event::Promoted(status) => self.promoted(status),
            Event::Leaving(endpoint, leaving) => self.leaving(endpoint, leaving),
            Event::Weight(club, weight) => self.queue.set_weight(&club, weight),
            Event::Limits(limits) => {
                self.settings.slots = limits.slots;
                self.settings.read_wait = limits.read_wait;
                self.settings.idle_in_transaction = limits.idle_in_transaction;
            }
            Event::Retire(retired) => self.retire(retired),
        }
    }

    fn submit(&mut self, request: Request) {
        let last = self.statements.insert(request.session, request.statement);
        if self.settings.guards.duplicates && last.is_some_and(|last| request.statement <= last) {
            self.statements.insert(request.session, last.unwrap_or_default());
            return self.answer_unknown(request.ticket, Code::Duplicate);
        }
        let pinned = self.pinned.remove(&request.session);
        if let Some(connection) = pinned.filter(|_| !request.in_transaction) {
            // The session does not know of the transaction: the answer to its start was lost.
            self.close(connection);
        } else if let Some(connection) = pinned {
            let waiting = Waiting { request, arrived: self.now, attempts: 0, ran: false };
            return self.start(waiting, connection);
        }
        if request.in_transaction {
            return self.answer_not_run(request.ticket, Code::TransactionLost);
        }
        self.retries.record_attempt();
        let (club, deadline) = (request.club.clone(), request.deadline);
        let waiting = Waiting { request, arrived: self.now, attempts: 0, ran: false };
        if let Err((_, waiting)) = self.queue.push(&club, deadline, waiting) {
            self.answer_not_run(waiting.request.ticket, Code::QueueFull);
        }
    }

    fn cancel(&mut self, ticket: Ticket) {
        for waiting in self.queue.remove(|waiting| waiting.request.ticket == ticket) {
            self.answer_not_run(waiting.request.ticket, Code::Canceled);
        }
    }

    fn end_session(&mut self, session: SessionId) {
        self.statements.remove(&session);
        self.queue.remove(|waiting| waiting.request.session == session);
        for running in self.running.values_mut() {
            running.abandoned |= running.waiting.request.session == session;
        }
        if let Some(connection) = self.pinned.remove(&session) {
            self.close(connection);
        }
    }

    /// Gives waiting statements back when another node owns the database: they go there.
    fn retire(&mut self, retired: bool) {
        self.retired = retired;
        if retired {
            for waiting in self.queue.remove(|waiting| !waiting.ran) {
                self.answer_not_run(waiting.request.ticket, Code::Draining);
            }
        }
    }

    fn opened(&mut self, connection: ConnectionId) {
        if !self.connections.contains_key(&connection) {
            return self.actions.push(Action::Close(connection));
        }
        self.release(connection);
    }

    fn open_failed(&mut self, connection: ConnectionId, error: OpenError) {
        let Some(Connection { endpoint, .. }) = self.connections.remove(&connection) else {
            return;
        };
        self.endpoints[endpoint].open_after = self.now + OPEN_BACKOFF;
        if error == OpenError::Unreachable {
            self.endpoints[endpoint].probe_now();
        }
    }

    fn broken(&mut self, connection: ConnectionId) {
        if let Some(Connection { endpoint, used }) = self.connections.remove(&connection) {
            self.endpoints[endpoint].probe_now();
            if let Use::Pinned { session, .. } = used {
                self.pinned.remove(&session);
            }
        }
    }

    fn finished(&mut self, ticket: Ticket, finish: Finish) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        let club = running.waiting.request.club.clone();
        self.queue.charge(&club, running.estimate, self.now.saturating_sub(running.started));
        match finish {
            Finish::Done { status, in_transaction } => self.done(running, status, in_transaction),
            Finish::NotPrimary => {
                self.release(running.connection);
                self.endpoints[running.endpoint].probe_now();
                self.requeue_or(running, Code::NoPrimary, true);
            }
            Finish::NeverSent => {
                self.broken(running.connection);
                let lost = running.waiting.request.in_transaction;
                self.requeue_or(running, Code::TransactionLost, !lost);
            }
            Finish::Lost => {
                self.broken(running.connection);
                self.lost(running);
            }
        }
    }

    fn done(&mut self, running: Running, status: Option<Status>, in_transaction: bool) {
        if let Some(status) = status {
            self.endpoints[running.endpoint].observe(self.now, status);
        }
        if running.abandoned {
            if in_transaction {
                return self.close(running.connection);
            }
            return self.release(running.connection);
        }
        let request = &running.waiting.request;
        let (ticket, session) = (request.ticket, request.session);
        if in_transaction {
            let opened = !request.in_transaction;
            if opened && !status.is_some_and(|status| self.transaction_holds(&running, &status)) {
                self.close(running.connection);
                return self.requeue_or(running, Code::AnswerUnusable, true);
            }
            self.pin(running.connection, session);
            let verdict = Verdict::Deliver { floor: None, in_transaction: true };
            return self.answer(ticket, verdict);
        }
        self.release(running.connection);
        match (request.kind, status) {
            (Kind::Read, Some(status)) if self.read_holds(&running, &status) => {
                self.count_read(status.role);
                let floor = Some(Floor::new(status.term, status.position));
                self.answer(ticket, Verdict::Deliver { floor, in_transaction: false });
            }
            (Kind::Read, _) => self.requeue_or(running, Code::AnswerUnusable, true),
            (Kind::Write, Some(status)) => self.written(ticket, status),
            (Kind::Write, None) => self.answer_unknown(ticket, Code::ConnectionLost),
        }
    }

    fn read_holds(&self, running: &Running, status: &Status) -> bool {
        if !self.settings.guards.floors || self.settings.policy == Policy::RandomReplica {
            return true;
        }
        let Freshness::Floor(floor) = running.waiting.request.freshness else {
            return running.waiting.request.in_transaction;
        };
        running.incarnation == status.incarnation && floor.is_met_by(status)
    }

    fn transaction_holds(&self, running: &Running, status: &Status) -> bool {
        let reads = running.waiting.request.kind == Kind::Read;
        let leads = status.role == Role::Primary && status.is_settled();
        self.read_holds(running, status) && (reads || leads)
    }

    fn written(&mut self, ticket: Ticket, status: Status) {
        let written = Floor::new(status.term, status.position);
        if !self.settings.guards.confirmation {
            self.counters.writes += 1;
            let floor = Some(written);
            return self.answer(ticket, Verdict::Deliver { floor, in_transaction: false });
        }
        if self.settings.guards.fence && (status.role != Role::Primary || !status.is_settled()) {
            return self.answer_unknown(ticket, Code::Deposed);
        }
        self.pending.push(Pending { ticket, written, since: self.now });
    }

    fn lost(&mut self, running: Running) {
        if running.abandoned {
            return;
        }
        let reads = running.waiting.request.kind == Kind::Read;
        let repeatable = reads && !running.waiting.request.in_transaction;
        if repeatable || !self.settings.guards.single_dispatch {
            return self.requeue_or(running, Code::ConnectionLost, true);
        }
        self.answer_unknown(running.waiting.request.ticket, Code::ConnectionLost);
    }

    /// Starts a statement again if it may and the budget allows, else answers with `code`.
    fn requeue_or(&mut self, running: Running, code: Code, allowed: bool) {
        let mut waiting = running.waiting;
        if running.abandoned {
            return;
        }
        waiting.attempts += 1;
        waiting.ran |= code.classify() == Class::Unknown;
        let may_retry = allowed && waiting.attempts < READ_ATTEMPTS && self.retries.try_retry();
        if may_retry && !waiting.request.in_transaction {
            self.counters.retries += 1;
            let (club, deadline) = (waiting.request.club.clone(), waiting.request.deadline);
            return self.queue.push_front(&club, deadline, waiting);
        }
        self.give_up(&waiting, code);
    }

    fn give_up(&mut self, waiting: &Waiting, code: Code) {
        let ticket = waiting.request.ticket;
        match code.classify() {
            Class::Unknown => self.answer_unknown(ticket, code),
            _ if waiting.ran => self.answer_unknown(ticket, Code::AnswerUnusable),
            _ => self.answer_not_run(ticket, code),
        }
    }

    fn probed(&mut self, endpoint: EndpointIndex, status: Option<Status>) {
        self.endpoints[endpoint].probed(self.now, status);
        let Some(status) = status else {
            if self.endpoints[endpoint].misses == SUSPECT_MISSES {
                self.settle_silent(endpoint);
            }
            if Some(endpoint) == self.primary() {
                self.suspect(endpoint);
            }
            return;
        };
        if Some(endpoint) == self.primary() {
            self.failover.primary_alive();
        }
        self.take_sample();
        self.adopt_from_endpoints(endpoint, &status);
        if self.group().is_some_and(|group| status.closed_term > group.term) {
            self.read_group();
        }
        self.order_role(endpoint, status);
    }

    /// Takes the group as the endpoints show it while the platform has not been reached yet.
    ///
    /// A primary whose term a majority confirms is the primary, whatever the group object says.
    fn adopt_from_endpoints(&mut self, endpoint: EndpointIndex, status: &Status) {
        if self.group().is_some() || status.role != Role::Primary || !status.is_settled() {
            return;
        }
        let confirms = |other: &&Endpoint| {
            other.live_status().is_some_and(|other| other.closed_term == status.term)
        };
        if self.endpoints.iter().filter(confirms).count() >= majority(self.endpoints.len()) {
            let primary = Some(endpoint);
            let group = Group { version: 0, term: status.term, primary, attempt: 0 };
            self.group_read(Ok(group));
        }
    }

    fn suspect(&mut self, endpoint: EndpointIndex) {
        if self.endpoints[endpoint].misses < SUSPECT_MISSES {
            return;
        }
        let last_seen = self.endpoints[endpoint].last_seen;
        let actions = self.failover.suspect(self.now, last_seen);
        self.actions.extend(actions);
    }

    /// Repeats to an endpoint the part that the group object gives it, if it plays another.
    fn order_role(&mut self, endpoint: EndpointIndex, status: Status) {
        let Some(Group { term, primary: Some(primary), .. }) = self.group() else {
            return;
        };
        let leads = status.role == Role::Primary;
        let settled = status.term == term && status.is_settled() && leads == (endpoint == primary);
        let due = self.now >= self.endpoints[endpoint].order_after;
        if settled || status.closed_term > term || !due || !self.failover.is_steady() {
            return;
        }
        self.endpoints[endpoint].order_after = self.now + ORDER_SPACING;
        self.actions.push(if endpoint == primary {
            Action::Promote { endpoint, term }
        } else {
            Action::Follow { endpoint, term, primary }
        });
    }

    fn take_sample(&mut self) {
        let Some(sample) = self.confirmed_sample() else {
            return;
        };
        if self.samples.last().is_some_and(|last| sample.taken < last.taken + SAMPLE_SPACING) {
            return;
        }
        if self.samples.len() == SAMPLE_LIMIT {
            self.samples.remove(0);
        }
        self.samples.push(sample);
    }

    fn group_read(&mut self, result: Result<Group, GroupError>) {
        self.asked_group = false;
        self.unconfirmed = false;
        let before = self.group().map(|group| group.term);
        let actions = self.failover.group_read(self.now, result);
        self.actions.extend(actions);
        if self.group().map(|group| group.term) != before {
            self.endpoints.iter_mut().for_each(Endpoint::probe_now);
        }
        if let Some(Group { primary: Some(primary), .. }) = self.group() {
            self.settle_deposed(primary);
        }
    }

    /// Answers what still runs on an endpoint that is no longer primary.
    fn settle_deposed(&mut self, primary: EndpointIndex) {
        let deposed = |running: &&Running| {
            running.endpoint != primary && running.waiting.request.kind == Kind::Write
        };
        let tickets: Vec<Ticket> = self
            .running
            .values()
            .filter(deposed)
            .map(|running| running.waiting.request.ticket)
            .collect();
        for ticket in tickets {
            if let Some(running) = self.running.remove(&ticket) {
                self.close(running.connection);
                self.answer_unknown(ticket, Code::Deposed);
            }
        }
    }

    /// Starts the reads on an endpoint that has stopped to answer elsewhere.
    fn settle_silent(&mut self, endpoint: EndpointIndex) {
        let stuck = |running: &&Running| {
            let request = &running.waiting.request;
            let repeatable = request.kind == Kind::Read && !request.in_transaction;
            running.endpoint == endpoint && repeatable
        };
        let tickets: Vec<Ticket> = self
            .running
            .values()
            .filter(stuck)
            .map(|running| running.waiting.request.ticket)
            .collect();
        for ticket in tickets {
            if let Some(running) = self.running.remove(&ticket) {
                self.close(running.connection);
                self.requeue_or(running, Code::ConnectionLost, true);
            }
        }
    }

    fn promoted(&mut self, status: Option<Status>) {
        let actions = self.failover.promoted(self.now, status);
        self.actions.extend(actions);
        if let (Some(primary), Some(status)) = (self.primary(), status) {
            self.endpoints[primary].observe(self.now, status);
            self.endpoints.iter_mut().for_each(Endpoint::probe_now);
        }
    }

    fn leaving(&mut self, endpoint: EndpointIndex, leaving: bool) {
        let since = self.endpoints[endpoint].leaving.unwrap_or(self.now);
        self.endpoints[endpoint].leaving = leaving.then_some(since);
    }

    /// Replaces a primary that answers but is leaving or cut off from its replicas.
    fn replace_primary(&mut self) {
        let Some(primary) = self.primary() else {
            return;
        };
        if self.has_left(primary) || self.is_stalled(primary) {
            let actions = self.failover.replace(self.now, primary);
            self.actions.extend(actions);
        }
    }

    fn has_left(&self, primary: EndpointIndex) -> bool {
        let Some(since) = self.endpoints[primary].leaving else {
            return false;
        };
        let works = |connection: &Connection| {
            let used = matches!(connection.used, Use::Busy | Use::Pinned { .. });
            connection.endpoint == primary && used
        };
        let idle = self.pending.is_empty() && !self.connections.values().any(works);
        idle || self.now >= since + LEAVE_GRACE
    }

    /// Returns whether commits wait while replicas answer and none of them gets anything.
    fn is_stalled(&self, primary: EndpointIndex) -> bool {
        let limit = STALL_LIMIT.max(self.lag * 4);
        let overdue = self.pending.iter().any(|pending| self.now >= pending.since + limit);
        let replicas = || self.endpoints.iter().enumerate().filter(|(index, _)| *index != primary);
        let answer = replicas().filter(|(_, replica)| replica.is_live()).count();
        overdue
            && answer >= majority(self.endpoints.len())
            && replicas().all(|(_, replica)| self.now >= replica.advanced + limit)
    }

    fn tick_failover(&mut self) {
        if self.group().is_none() && !self.asked_group && self.failover.next_wake().is_none() {
            self.read_group();
        }
        let actions = self.failover.tick(self.now);
        self.actions.extend(actions);
    }

    fn read_group(&mut self) {
        if !self.asked_group {
            self.asked_group = true;
            self.actions.push(Action::ReadGroup);
        }
    }

    fn resolve_pending(&mut self) {
        let led = self.group().filter(|group| group.primary.is_some());
        let newest = led.map_or(0, |group| group.term);
        for pending in std::mem::take(&mut self.pending) {
            let deposed = self.settings.guards.fence && newest > pending.written.term;
            if self.is_held(&pending.written) {
                let waited = self.now.saturating_sub(pending.since);
                self.lag = (self.lag * 7 + waited) / 8;
                self.counters.writes += 1;
                let floor = Some(pending.written);
                self.answer(pending.ticket, Verdict::Deliver { floor, in_transaction: false });
            } else if deposed {
                self.answer_unknown(pending.ticket, Code::Deposed);
            } else if self.now >= pending.since + self.settings.confirm_timeout {
                self.answer_unknown(pending.ticket, Code::ConfirmTimeout);
            } else {
                self.pending.push(pending);
            }
        }
    }

    /// Returns whether a majority holds `written` in the term it was written in.
    fn is_held(&self, written: &Floor) -> bool {
        let fence = self.settings.guards.fence;
        let holds = |endpoint: &&Endpoint| {
            endpoint.status().is_some_and(|status| {
                let same_term = status.term == written.term && status.is_settled();
                (same_term || !fence) && status.position >= written.position
            })
        };
        self.endpoints.iter().filter(holds).count() >= majority(self.endpoints.len())
    }

    fn wants_sample(&self) -> bool {
        self.queue.jobs().any(|waiting| waiting.request.freshness == Freshness::Sampled)
    }

    /// Returns the primary's position with the latest time at which a majority confirmed its term.
    fn confirmed_sample(&self) -> Option<Sample> {
        let primary = &self.endpoints[self.primary()?];
        let status = primary.status().filter(|status| status.role == Role::Primary)?;
        let mut asked: Vec<Duration> = self
            .endpoints
            .iter()
            .filter(|endpoint| {
                endpoint.status().is_some_and(|other| other.closed_term == status.term)
            })
            .map(Endpoint::asked)
            .collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        let confirmed = asked.get(majority(self.endpoints.len()) - 1)?;
        let floor = Floor::new(status.term, status.position);
        Some(Sample { taken: (*confirmed).min(primary.asked()), floor })
    }

    fn resolve_samples(&mut self) {
        let Some(sample) = self.confirmed_sample().filter(|_| self.wants_sample()) else {
            return;
        };
        let resolved = |waiting: &Waiting| {
            waiting.request.freshness == Freshness::Sampled && waiting.arrived <= sample.taken
        };
        for mut waiting in self.queue.remove(resolved).into_iter().rev() {
            waiting.request.freshness = Freshness::Floor(sample.floor);
            let (club, deadline) = (waiting.request.club.clone(), waiting.request.deadline);
            self.queue.push_front(&club, deadline, waiting);
        }
    }

    fn expire(&mut self) {
        for waiting in self.queue.expire(self.now) {
            let code = match waiting.request.kind {
                Kind::Write if !self.can_write() => Code::NoPrimary,
                Kind::Read if self.read_targets(&waiting).is_empty() => Code::NoFreshEndpoint,
                _ => Code::QueueTimeout,
            };
            self.give_up(&waiting, code);
        }
        let overdue: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| match connection.used {
                Use::Idle { since } => {
                    self.retired || self.now >= since + self.settings.idle_connection
                }
                Use::Pinned { since, .. } => self.now >= since + self.settings.idle_in_transaction,
                Use::Opening | Use::Busy => false,
            })
            .map(|(id, _)| *id)
            .collect();
        for connection in overdue {
            self.close(connection);
        }
    }

    fn place(&mut self) {
        if self.unconfirmed {
            return;
        }
        let mut queue = std::mem::replace(&mut self.queue, Queue::new(0));
        let mut demand = Demand::new(self.endpoints.len());
        loop {
            demand.clear();
            let found = queue.pop(|waiting| self.find_connection(waiting, &mut demand));
            let Some((waiting, connection)) = found else {
                break;
            };
            let cost = queue.cost();
            self.start_with_cost(waiting, connection, cost);
        }
        self.queue = queue;
        self.catching_up = demand.unplaced > 0;
        self.open_for(&demand);
    }

    fn find_connection(&self, waiting: &Waiting, demand: &mut Demand) -> Option<ConnectionId> {
        let targets = self.targets(waiting);
        let idle = targets.iter().find_map(|endpoint| self.idle_connection(*endpoint));
        if idle.is_none() {
            let has_room =
                |endpoint: &&EndpointIndex| self.connection_count(**endpoint) < self.settings.slots;
            match targets.iter().find(has_room) {
                Some(endpoint) => demand.connections[*endpoint] += 1,
                None if targets.is_empty() => demand.unplaced += 1,
                None => {}
            }
        }
        idle
    }

    /// Returns the endpoints that may run `waiting` now, best first.
    fn targets(&self, waiting: &Waiting) -> Vec<EndpointIndex> {
        match waiting.request.kind {
            Kind::Write => self.write_target(waiting).into_iter().collect(),
            Kind::Read => self.read_targets(waiting),
        }
    }

    fn write_target(&self, waiting: &Waiting) -> Option<EndpointIndex> {
        let Freshness::Floor(floor) = waiting.request.freshness else {
            return None;
        };
        let current = self.group().is_some_and(|group| group.term >= floor.term);
        self.primary().filter(|_| current && self.can_write())
    }

    fn can_write(&self) -> bool {
        let Some(Group { term, primary: Some(primary), .. }) = self.group() else {
            return false;
        };
        let live = self.endpoints.iter().filter(|endpoint| endpoint.is_live()).count();
        let leads = self.endpoints[primary].live_status().is_some_and(|status| {
            status.role == Role::Primary && status.term == term && status.is_settled()
        });
        leads && self.endpoints[primary].leaving.is_none() && live >= majority(self.endpoints.len())
    }

    fn read_targets(&self, waiting: &Waiting) -> Vec<EndpointIndex> {
        let Request { ticket, freshness, max_age, .. } = waiting.request;
        let unchecked = !self.settings.guards.floors;
        if self.settings.policy == Policy::RandomReplica || unchecked {
            return self.replicas(|_| true, ticket);
        }
        let Freshness::Floor(floor) = freshness else {
            return Vec::new();
        };
        let fresh = |status: &Status| floor.is_met_by(status) && self.is_young(status, max_age);
        let usable = |index: &EndpointIndex| {
            let endpoint = &self.endpoints[*index];
            endpoint.leaving.is_none() && endpoint.live_status().as_ref().is_some_and(fresh)
        };
        let primary = self.primary().filter(usable);
        if self.settings.policy == Policy::PrimaryOnly {
            return primary.into_iter().collect();
        }
        let mut targets = self.replicas(fresh, ticket);
        let waited = self.now.saturating_sub(waiting.arrived);
        if waited >= self.replica_wait(targets.is_empty()) {
            targets.extend(primary);
        }
        targets
    }

    /// Returns how long a read waits for a replica.
    ///
    /// When no replica is fresh enough yet and the usual lag is above the limit, waiting is in
    /// vain and the primary is taken at once.
    fn replica_wait(&self, none_fresh: bool) -> Duration {
        let limit = self.settings.read_wait;
        let live_replica = (0..self.endpoints.len())
            .any(|index| Some(index) != self.primary() && self.endpoints[index].is_live());
        if !live_replica || (none_fresh && self.lag > limit) {
            return Duration::ZERO;
        }
        limit
    }

    fn replicas(&self, fresh: impl Fn(&Status) -> bool, ticket: Ticket) -> Vec<EndpointIndex> {
        let mut found: Vec<EndpointIndex> = (0..self.endpoints.len())
            .filter(|index| {
                Some(*index) != self.primary() && self.endpoints[*index].leaving.is_none()
            })
            .filter(|index| self.endpoints[*index].live_status().as_ref().is_some_and(&fresh))
            .collect();
        let spread = |index: EndpointIndex| (index as u64 + ticket) % 2;
        found.sort_by_key(|index| {
            let distance = self.settings.distances.get(*index).copied().unwrap_or_default();
            let idle = self.idle_connection(*index).is_some();
            (!idle, distance, self.connection_count(*index), spread(*index))
        });
        found
    }

    fn is_young(&self, status: &Status, max_age: Option<Duration>) -> bool {
        let Some(max_age) = max_age else {
            return true;
        };
        let known = self.samples.iter().rev().find(|sample| sample.floor.is_met_by(status));
        known.is_some_and(|sample| self.now.saturating_sub(sample.taken) <= max_age)
    }

    fn start(&mut self, waiting: Waiting, connection: ConnectionId) {
        let cost = self.queue.cost();
        self.start_with_cost(waiting, connection, cost);
    }

    fn start_with_cost(&mut self, waiting: Waiting, connection: ConnectionId, cost: Duration) {
        let Some(used) = self.connections.get_mut(&connection) else {
            return self.answer_not_run(waiting.request.ticket, Code::TransactionLost);
        };
        used.used = Use::Busy;
        let endpoint = used.endpoint;
        let incarnation = self.endpoints[endpoint].status().map_or(0, |status| status.incarnation);
        let ticket = waiting.request.ticket;
        let running = Running {
            waiting,
            connection,
            endpoint,
            incarnation,
            started: self.now,
            estimate: cost,
            abandoned: false,
        };
        self.running.insert(ticket, running);
        self.actions.push(Action::Dispatch(ticket, connection));
    }

    fn open_for(&mut self, demand: &Demand) {
        for (endpoint, wanted) in demand.connections.iter().enumerate() {
            let opening = self
                .connections
                .values()
                .filter(|connection| connection.endpoint == endpoint)
                .filter(|connection| connection.used == Use::Opening)
                .count();
            let room = self.settings.slots.saturating_sub(self.connection_count(endpoint));
            if self.now < self.endpoints[endpoint].open_after {
                continue;
            }
            for _ in 0..room.min(wanted.saturating_sub(opening)) {
                let id = self.next_connection;
                self.next_connection += 1;
                self.connections.insert(id, Connection { endpoint, used: Use::Opening });
                self.actions.push(Action::Open(id, endpoint));
            }
        }
    }

    fn probe(&mut self) {
        let waiting = !self.pending.is_empty() || self.wants_sample();
        let primary = self.primary();
        for index in 0..self.endpoints.len() {
            let interval = match () {
                _ if waiting => self.settings.sample_interval,
                _ if self.catching_up => self.settings.sample_interval * 4,
                _ if Some(index) == primary => self.settings.probe_interval,
                _ => self.settings.probe_interval * 4,
            };
            if self.endpoints[index].probe_due(self.now, interval) {
                self.counters.probes += 1;
                self.actions.push(Action::Probe(index));
            }
        }
    }

    fn primary(&self) -> Option<EndpointIndex> {
        self.group().and_then(|group| group.primary)
    }

    fn idle_connection(&self, endpoint: EndpointIndex) -> Option<ConnectionId> {
        let idle = |connection: &Connection| {
            connection.endpoint == endpoint && matches!(connection.used, Use::Idle { .. })
        };
        self.connections.iter().rev().find(|(_, connection)| idle(connection)).map(|(id, _)| *id)
    }

    fn connection_count(&self, endpoint: EndpointIndex) -> usize {
        self.connections.values().filter(|connection| connection.endpoint == endpoint).count()
    }

    fn set_use(&mut self, connection: ConnectionId, used: Use) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.used = used;
        }
    }

    fn release(&mut self, connection: ConnectionId) {
        self.set_use(connection, Use::Idle { since: self.now });
    }

    fn pin(&mut self, connection: ConnectionId, session: SessionId) {
        if !self.settings.guards.pinning {
            self.pinned.insert(session, connection);
            return self.release(connection);
        }
        self.set_use(connection, Use::Pinned { session, since: self.now });
        self.pinned.insert(session, connection);
    }

    fn close(&mut self, connection: ConnectionId) {
        if let Some(Connection { used: Use::Pinned { session, .. }, .. }) =
            self.connections.remove(&connection)
        {
            self.pinned.remove(&session);
        }
        self.actions.push(Action::Close(connection));
    }

    fn count_read(&mut self, role: Role) {
        match role {
            Role::Primary => self.counters.primary_reads += 1,
            Role::Replica => self.counters.replica_reads += 1,
        }
    }

    fn answer(&mut self, ticket: Ticket, verdict: Verdict) {
        self.actions.push(Action::Answer(ticket, verdict));
    }

    fn answer_not_run(&mut self, ticket: Ticket, code: Code) {
        self.counters.not_run += 1;
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.settings.slots.max(1)).unwrap_or(1);
        let retry_after = match code {
            Code::NoPrimary | Code::NoFreshEndpoint => RECOVERY_RETRY,
            _ => self.queue.cost().saturating_mul(waiting) / slots + self.queue.cost(),
        };
        let verdict = Verdict::NotRun { code, retry_after };
        self.answer(ticket, verdict);
    }

    fn answer_unknown(&mut self, ticket: Ticket, code: Code) {
        self.counters.unknown += 1;
        self.answer(ticket, Verdict::Unknown { code });
    }
}
