//! Model of a group of three endpoints with slots and queues, the nodes before it, and clients that come
//! back when they were told to.
//!
//! Time advances in steps of one millisecond. Messages arrive at once: the delays that matter here are
//! those of slots and queues.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackbend_router::configuration::{Configuration, Consistency, Route, Service};
use tamarackbend_router::directory::{Change, Entry};
use tamarackbend_router::membership::Peer;
use tamarackbend_router::message::{
    Answer, Command, ConnectionId, Fault, Order, Outcome, Position, Request, Role, SessionId,
    Statement, Status, TransactionState,
};
use tamarackbend_router::settings::Settings;
use tamarackbend_router::{Action, Event, Router};

const START: Duration = Duration::from_secs(50);
const ENDPOINTS: [&str; 3] = ["primary", "replica-1", "replica-2"];
const SLOTS: usize = 5;
const QUEUE: usize = 24;
/// Shortest and longest slot time of a statement, in milliseconds.
const SLOT_MS: std::ops::Range<u64> = 12..36;
const WRITE_SHARE: f64 = 0.12;
const TICK_MS: u64 = 15;
const OBJECTIVE_MS: u64 = 800;
/// Time after which a client gives up, in milliseconds.
const TIME_BUDGET_MS: u64 = 6_000;
const MAX_ATTEMPTS: u32 = 3;

/// Load of a replay.
pub struct Plan {
    pub nodes: usize,
    pub length_ms: u64,
    /// Operations that arrive in a second.
    pub rate: f64,
    /// Time in which replicas apply nothing, in milliseconds.
    pub lag_ms: std::ops::Range<u64>,
}

/// What became of the operations that arrived in one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    pub asked: usize,
    pub in_time: usize,
    pub late: usize,
}

/// Result of a replay.
#[derive(Debug)]
pub struct Report {
    pub seconds: Vec<Second>,
    /// Statements that reached an endpoint, and those that it refused.
    pub arrivals: usize,
    pub turned_away: usize,
}

struct Endpoint {
    running: Vec<(u64, usize, ConnectionId)>,
    queue: VecDeque<(usize, ConnectionId)>,
    applied: u64,
}

struct Connection {
    endpoint: usize,
    commands: VecDeque<Command>,
    /// Whether the first command runs or is queued.
    is_held: bool,
}

struct Operation {
    asked_ms: u64,
    is_write: bool,
    attempts: u32,
}

pub struct Model {
    plan: Plan,
    ms: u64,
    random: ChaCha8Rng,
    routers: Vec<Router>,
    endpoints: Vec<Endpoint>,
    connections: BTreeMap<(usize, ConnectionId), Connection>,
    operations: Vec<Operation>,
    /// Operation of each session.
    sessions: HashMap<SessionId, usize>,
    returns: BTreeMap<u64, Vec<usize>>,
    next_session: SessionId,
    report: Report,
}

impl Model {
    pub fn new(plan: Plan) -> Model {
        let routers = (0..plan.nodes).map(router).collect();
        let seconds = vec![Second::default(); plan.length_ms as usize / 1_000];
        let endpoint = || Endpoint { running: Vec::new(), queue: VecDeque::new(), applied: 1 };
        let mut model = Model {
            ms: 0,
            random: ChaCha8Rng::seed_from_u64(29),
            routers,
            endpoints: ENDPOINTS.iter().map(|_| endpoint()).collect(),
            connections: BTreeMap::new(),
            operations: Vec::new(),
            sessions: HashMap::new(),
            returns: BTreeMap::new(),
            next_session: 1,
            report: Report { seconds, arrivals: 0, turned_away: 0 },
            plan,
        };
        for node in 0..model.plan.nodes {
            let peers = (0..model.plan.nodes).map(peer).collect();
            model.handle(node, Event::PeersChanged(peers));
            model.handle(node, Event::ConfigurationRead(configuration()));
            model.handle(node, Event::DirectoryChanged(Change::Snapshot(entries())));
        }
        model
    }

    /// Plays the plan, and then three seconds without arrivals.
    pub fn run(mut self) -> Report {
        for ms in 0..self.plan.length_ms + 3_000 {
            self.ms = ms;
            self.replicate();
            self.finish_statements();
            for operation in self.returns.remove(&ms).unwrap_or_default() {
                self.start(operation);
            }
            if ms < self.plan.length_ms && self.random.random_bool(self.plan.rate / 1_000.0) {
                let is_write = self.random.random_bool(WRITE_SHARE);
                self.operations.push(Operation { asked_ms: ms, is_write, attempts: 0 });
                self.report.seconds[ms as usize / 1_000].asked += 1;
                self.start(self.operations.len() - 1);
            }
            if ms.is_multiple_of(TICK_MS) {
                (0..self.plan.nodes).for_each(|node| self.handle(node, Event::Tick));
            }
        }
        self.report
    }

    fn replicate(&mut self) {
        if !self.plan.lag_ms.contains(&self.ms) {
            let newest = self.endpoints[0].applied;
            self.endpoints[1..].iter_mut().for_each(|replica| replica.applied = newest);
        }
    }

    fn start(&mut self, operation: usize) {
        let node = self.random.random_range(0..self.plan.nodes);
        let session = self.next_session;
        self.next_session += 1;
        self.sessions.insert(session, operation);
        let state = &mut self.operations[operation];
        state.attempts += 1;
        let arguments = "item x".to_owned();
        let statement = match state.is_write {
            true => Statement::Write { arguments },
            false => Statement::Read { arguments },
        };
        let start = Request::Start { database: "db".to_owned(), key: None };
        let request = Request::Statement { id: format!("s{session}"), statement, floor: None };
        self.handle(node, Event::ClientConnected(session));
        self.handle(node, Event::ClientRequest(session, start));
        self.handle(node, Event::ClientRequest(session, request));
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = START + Duration::from_millis(self.ms);
        for action in self.routers[node].step(now, event) {
            match action {
                Action::Connect { connection, entry, .. } => {
                    let endpoint = ENDPOINTS.iter().position(|id| *id == &*entry.id);
                    let endpoint = endpoint.expect("the endpoint is listed");
                    let state = Connection { endpoint, commands: VecDeque::new(), is_held: false };
                    self.connections.insert((node, connection), state);
                    let position = position(self.endpoints[endpoint].applied);
                    self.handle(node, Event::EndpointConnected(connection, Some(position)));
                }
                Action::SendCommands(connection, commands) => {
                    if let Some(state) = self.connections.get_mut(&(node, connection)) {
                        state.commands.extend(commands);
                        self.advance(node, connection);
                    }
                }
                Action::Disconnect(connection) => {
                    self.connections.remove(&(node, connection));
                }
                Action::Reply(session, answer) => self.on_reply(node, session, &answer),
                _ => {}
            }
        }
    }

    /// Runs the commands of a connection up to the first that needs time.
    fn advance(&mut self, node: usize, id: ConnectionId) {
        while let Some(connection) = self.connections.get_mut(&(node, id)) {
            let Some(command) = connection.commands.front() else { return };
            if connection.is_held {
                return;
            }
            let endpoint = &mut self.endpoints[connection.endpoint];
            let is_statement = command.id.is_some();
            let is_begin = command.order == Order::Statement(Statement::Begin { read_only: false });
            self.report.arrivals += usize::from(is_statement);
            let lags = command.min_position.is_some_and(|min| min.number > endpoint.applied);
            let fault = match (is_statement, endpoint.running.len() < SLOTS) {
                _ if lags => Some(Fault::Lagging),
                (false, _) if is_begin && connection.endpoint != 0 => Some(Fault::ReadOnly),
                (false, _) => None,
                (true, true) => {
                    connection.is_held = true;
                    let slot_ms = self.random.random_range(SLOT_MS);
                    endpoint.running.push((self.ms + slot_ms, node, id));
                    return;
                }
                (true, false) if endpoint.queue.len() < QUEUE => {
                    connection.is_held = true;
                    endpoint.queue.push_back((node, id));
                    return;
                }
                (true, false) => Some(Fault::Busy),
            };
            self.report.turned_away += usize::from(is_statement && fault.is_some());
            self.answer(node, id, fault);
        }
    }

    fn finish_statements(&mut self) {
        for index in 0..self.endpoints.len() {
            let running = std::mem::take(&mut self.endpoints[index].running);
            let (ended, left): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|(ends_at, ..)| self.ms >= *ends_at);
            self.endpoints[index].running = left;
            for (_, node, id) in ended {
                if let Some(connection) = self.connections.get_mut(&(node, id)) {
                    connection.is_held = false;
                    self.answer(node, id, None);
                    self.advance(node, id);
                }
            }
            while self.endpoints[index].running.len() < SLOTS
                && let Some((node, id)) = self.endpoints[index].queue.pop_front()
            {
                let slot_ms = self.random.random_range(SLOT_MS);
                self.endpoints[index].running.push((self.ms + slot_ms, node, id));
            }
        }
    }

    fn answer(&mut self, node: usize, id: ConnectionId, fault: Option<Fault>) {
        let Some(connection) = self.connections.get_mut(&(node, id)) else { return };
        let Some(command) = connection.commands.pop_front() else { return };
        let index = connection.endpoint;
        let is_write = matches!(command.order, Order::Statement(Statement::Write { .. }));
        if is_write && fault.is_none() {
            self.endpoints[index].applied += 1;
        }
        let newest = self.endpoints[0].applied;
        let status = Status {
            role: if index == 0 { Role::Primary } else { Role::Replica },
            term: 1,
            received: position(newest),
            fenced_term: 0,
            lag: Duration::ZERO,
            running_statements: 0,
            connections: 12,
        };
        let outcome = match fault {
            Some(fault) => Outcome::Error { fault, text: String::new() },
            None => Outcome::Complete(Some("proof".to_owned())),
        };
        let begin = matches!(command.order, Order::Statement(Statement::Begin { .. }));
        let answer = Answer {
            rows: Vec::new(),
            state: match begin && outcome.fault().is_none() {
                true => TransactionState::Transaction,
                false => TransactionState::Idle,
            },
            outcome,
            position: Some(position(self.endpoints[index].applied)),
            status: (command.order == Order::Status).then_some(status),
        };
        self.handle(node, Event::EndpointAnswered(id, answer));
    }

    fn on_reply(&mut self, node: usize, session: SessionId, answer: &Answer) {
        let Some(operation) = self.sessions.remove(&session) else { return };
        self.handle(node, Event::ClientDisconnected(session));
        let state = &self.operations[operation];
        let waited = self.ms - state.asked_ms;
        let second = &mut self.report.seconds[state.asked_ms as usize / 1_000];
        let text = match &answer.outcome {
            Outcome::Complete(_) => {
                second.in_time += usize::from(waited <= OBJECTIVE_MS);
                second.late += usize::from(waited > OBJECTIVE_MS);
                return;
            }
            Outcome::Error { text, .. } => text,
        };
        let hint = text.split("retry after ").nth(1).and_then(|rest| rest.split(' ').next());
        let delay: u64 = hint.and_then(|ms| ms.parse().ok()).unwrap_or(100);
        if state.attempts < MAX_ATTEMPTS && waited + delay < TIME_BUDGET_MS {
            self.returns.entry(self.ms + delay.max(1)).or_default().push(operation);
        }
    }
}

fn position(number: u64) -> Position {
    Position { term: 1, number }
}

fn peer(index: usize) -> Peer {
    Peer {
        name: format!("node-{index}").into(),
        failure_domain: "a".to_owned(),
        address: ([127, 0, 0, 1], 2).into(),
        weight: 170,
    }
}

fn router(index: usize) -> Router {
    let settings = Settings {
        node: format!("node-{index}"),
        failure_domain: "a".to_owned(),
        is_first_start: true,
        regions: HashMap::from([("a".to_owned(), "x".to_owned())]),
        drain_timeout: Duration::from_secs(10),
        stop_timeout: Duration::from_secs(6),
        has_customers: false,
        limit_window: Duration::from_secs(5),
        limit_slack: 20.0,
    };
    Router::new(settings, 1, START)
}

fn configuration() -> Configuration {
    let route = Route {
        service: "s".into(),
        consistency: Consistency::Session(Duration::from_millis(2_500)),
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(OBJECTIVE_MS),
        priority: 2,
        is_public: false,
    };
    Configuration {
        version: 1,
        routes: HashMap::from([("db".to_owned(), route)]),
        services: vec![Service { name: "s".into(), connections: 98 }],
        transaction_idle: Duration::from_secs(3),
        customers: None,
    }
}

fn entries() -> Vec<Entry> {
    let entry = |id: &str| Entry {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "a".to_owned(),
        leaving: false,
        role: if id == "primary" { Role::Primary } else { Role::Replica },
        incarnation: 1,
    };
    ENDPOINTS.iter().map(|id| entry(id)).collect()
}
