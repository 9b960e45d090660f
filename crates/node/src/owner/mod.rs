//! Task of the owner of one database.
//!
//! The task translates between [`Owner`], which decides, and the connections, probes and calls of
//! the platform, which are tasks of their own.

mod connection;
mod group;
mod probe;
mod report;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use compio::runtime::JoinHandle;
use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt};
pub(crate) use probe::reaches;
use tamarackbend_config::{Database, Service};
use tamarackbend_objects::Client;
use tamarackbend_policy::owner::{
    Access, Action, ConnectionId, Event, Execution, Limits, Outcome, Owner, Request, RequestId,
    Settings,
};
use tamarackbend_policy::position::{EndpointIndex, Floor, Term};
use tamarackbend_policy::session::Freshness;
use tamarackbend_postgres::message::TransactionStatus;
use tamarackbend_postgres::{Answer as EndpointAnswer, Run};
use tamarackbend_wire::{self as wire, Answer, Statement};
use tracing::info;

use crate::Variant;
use crate::hub;
use crate::owner::probe::Order;

/// Time for which a retired owner stays after its last statement.
const RETIRE_DELAY: Duration = Duration::from_secs(2);
/// Time between two reports to the hub.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Message to an owner.
pub(crate) enum Message {
    /// A session has a statement.
    Statement(Statement),
    /// A caller cancels a statement.
    Cancel(u64, u64),
    /// A session is over.
    EndSession(u64),
    /// A connection, a probe or a peer has news.
    Event(Event),
    /// A connection is open and takes statements.
    Opened(ConnectionId, mpsc::UnboundedSender<connection::Command>),
    /// A statement has ended.
    Ran(RequestId, Run),
    /// The group object was read, with the endpoints that are leaving.
    Group(Event, Vec<EndpointIndex>),
    /// The service's settings have changed.
    Service(Service),
    /// Another node owns the database, or no longer does.
    Retire(bool),
}

/// Channel to an owner.
pub(crate) type Sender = mpsc::UnboundedSender<Message>;

/// What an owner works on.
pub(crate) struct Setup {
    pub(crate) service: Service,
    pub(crate) database: Database,
    pub(crate) failure_domain: String,
    pub(crate) region: String,
    /// Region of each endpoint.
    pub(crate) regions: Vec<String>,
    pub(crate) answer_bytes: usize,
    pub(crate) statement_timeout: Duration,
    pub(crate) variant: Variant,
}

#[derive(Clone, Copy, Debug, Default)]
struct Activity {
    idle: bool,
    stopped: bool,
}

/// Running owner as the hub holds it.
pub(crate) struct Handle {
    sender: Sender,
    activity: Rc<Cell<Activity>>,
    retired: bool,
    _task: JoinHandle<()>,
}

impl Handle {
    pub(crate) fn send(&self, message: Message) {
        // An owner that has stopped is about to be removed.
        let _ = self.sender.unbounded_send(message);
    }

    pub(crate) fn retire(&mut self, retired: bool) {
        if self.retired != retired {
            self.retired = retired;
            self.send(Message::Retire(retired));
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.activity.get().idle
    }

    pub(crate) fn has_retired(&self) -> bool {
        self.retired && self.activity.get().stopped
    }
}

/// Starts the owner of a database.
pub(crate) fn start(setup: Setup, client: Client, hub: hub::Sender) -> Handle {
    let (sender, messages) = mpsc::unbounded();
    let activity = Rc::new(Cell::new(Activity { idle: true, stopped: false }));
    let task = Task::new(setup, client, hub, sender.clone(), activity.clone());
    let running = compio::runtime::spawn(task.run(messages));
    Handle { sender, activity, retired: false, _task: running }
}

struct Connection {
    commands: Option<mpsc::UnboundedSender<connection::Command>>,
    _task: JoinHandle<()>,
}

struct Running {
    session: u64,
    number: u64,
    messages: Bytes,
    answer: BytesMut,
}

struct Task {
    name: String,
    setup: Setup,
    owner: Owner,
    client: Client,
    hub: hub::Sender,
    sender: Sender,
    started: Instant,
    connections: BTreeMap<ConnectionId, Connection>,
    probes: Vec<mpsc::UnboundedSender<Order>>,
    running: BTreeMap<RequestId, Running>,
    next_ticket: RequestId,
    leaving: Vec<EndpointIndex>,
    activity: Rc<Cell<Activity>>,
    last_busy: Instant,
    next_report: Instant,
    retired: bool,
    _tasks: Vec<JoinHandle<()>>,
}

impl Task {
    fn new(
        setup: Setup,
        client: Client,
        hub: hub::Sender,
        sender: Sender,
        activity: Rc<Cell<Activity>>,
    ) -> Task {
        let name = setup.database.name.clone();
        let mut probes = Vec::new();
        let mut tasks = vec![group::watch(client.clone(), name.clone(), sender.clone())];
        for (index, endpoint) in setup.database.endpoints.iter().enumerate() {
            let domain = setup.failure_domain.clone();
            let target =
                probe::Target { index, address: endpoint.address, name: name.clone(), domain };
            let (orders, task) = probe::start(target, sender.clone());
            probes.push(orders);
            tasks.push(task);
        }
        let mut task = Task {
            owner: Owner::new(settings(&setup)),
            name,
            setup,
            client,
            hub,
            sender,
            started: Instant::now(),
            connections: BTreeMap::new(),
            probes,
            running: BTreeMap::new(),
            next_ticket: 1,
            leaving: Vec::new(),
            activity,
            last_busy: Instant::now(),
            next_report: Instant::now(),
            retired: false,
            _tasks: tasks,
        };
        let service = task.setup.service.clone();
        task.configure(service);
        task
    }

    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        self.step(Event::Tick);
        loop {
            let wait = self.owner.next_wake().saturating_sub(self.now());
            let tick = compio::time::sleep(wait).fuse();
            futures_util::pin_mut!(tick);
            let message = futures_util::select_biased! {
                message = messages.next() => message,
                () = tick => Some(Message::Event(Event::Tick)),
            };
            let Some(message) = message else {
                return;
            };
            self.handle(message);
            self.report();
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Statement(statement) => self.submit(statement),
            Message::Cancel(session, number) => {
                let found =
                    self.running.iter().find(|(_, r)| r.session == session && r.number == number);
                if let Some((&ticket, _)) = found {
                    self.step(Event::Cancel(ticket));
                }
            }
            Message::EndSession(session) => self.step(Event::EndSession(session)),
            Message::Event(event) => self.step(event),
            Message::Opened(id, commands) => {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.commands = Some(commands);
                }
                self.step(Event::ConnectionOpened(id));
            }
            Message::Ran(ticket, run) => self.ran(ticket, run),
            Message::Group(event, leaving) => {
                self.set_leaving(leaving);
                self.step(event);
            }
            Message::Service(service) => self.configure(service),
            Message::Retire(retired) => {
                self.retired = retired;
                self.step(Event::Retire(retired));
            }
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.now();
        let before = self.reign();
        for action in self.owner.step(now, event) {
            self.perform(action);
        }
        let after = self.reign();
        if before != after {
            let (term, primary, phase) = after;
            info!(database = self.name, term, primary, phase, "group has changed");
        }
    }

    /// Returns the term, its primary and the step of a change of primary.
    fn reign(&self) -> (Term, Option<EndpointIndex>, &'static str) {
        let group = self.owner.group().unwrap_or_default();
        (group.term, group.primary, self.owner.failover_phase())
    }

    fn submit(&mut self, statement: Statement) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let kind = if statement.write { Access::Write } else { Access::Read };
        let freshness = match &statement.floor {
            Some(floor) => Freshness::Floor(Floor::new(floor.term, floor.position)),
            None => Freshness::Sampled,
        };
        let request = Request {
            id: ticket,
            session: statement.session,
            statement_number: statement.number,
            club: statement.club,
            access: kind,
            freshness,
            max_age: statement.max_age_ms.map(Duration::from_millis),
            in_transaction: statement.in_transaction,
            begins_transaction: statement.begins,
            deadline: self.now() + Duration::from_millis(statement.timeout_ms),
        };
        let running = Running {
            session: statement.session,
            number: statement.number,
            messages: statement.messages,
            answer: BytesMut::new(),
        };
        self.running.insert(ticket, running);
        self.step(Event::Submit(request));
    }

    fn ran(&mut self, ticket: RequestId, run: Run) {
        let finish = match run {
            Run::Answered(EndpointAnswer { messages, transaction, not_primary, status }) => {
                if not_primary && transaction == TransactionStatus::Idle {
                    Execution::NotPrimary
                } else {
                    if let Some(running) = self.running.get_mut(&ticket) {
                        running.answer = messages;
                    }
                    let in_transaction = transaction != TransactionStatus::Idle;
                    Execution::Completed { status, in_transaction }
                }
            }
            Run::TooLarge | Run::Lost => Execution::NoAnswer,
        };
        self.step(Event::StatementFinished(ticket, finish));
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::OpenConnection(id, endpoint) => self.open(id, endpoint),
            Action::CloseConnection(id) => {
                self.connections.remove(&id);
            }
            Action::Dispatch(ticket, id) => self.dispatch(ticket, id),
            Action::Answer(ticket, verdict) => self.answer(ticket, verdict),
            Action::Probe(endpoint) => self.order(endpoint, Order::Status),
            Action::FenceTerm { endpoint, term } => self.order(endpoint, Order::CloseTerm(term)),
            Action::Promote { endpoint, term } => self.order(endpoint, Order::Promote(term)),
            Action::Follow { endpoint, term, primary } => {
                self.order(endpoint, Order::Follow(term, primary));
            }
            Action::RequestVotes => {
                let endpoint = self.owner.group().and_then(|group| group.primary).unwrap_or(0);
                let database = self.name.clone();
                let reply = self.sender.clone();
                // The hub outlives its owners.
                let _ =
                    self.hub.unbounded_send(hub::Message::AskPeers { database, endpoint, reply });
            }
            Action::ReadGroup => {
                group::read(self.client.clone(), self.name.clone(), self.sender.clone());
            }
            Action::UpdateGroup(group) => {
                let leaving = self.leaving.clone();
                let (client, name) = (self.client.clone(), self.name.clone());
                group::write(client, name, group, leaving, self.sender.clone());
            }
        }
    }

    fn open(&mut self, id: ConnectionId, endpoint: EndpointIndex) {
        let target = connection::Target {
            id,
            address: self.setup.database.endpoints[endpoint].address,
            name: self.name.clone(),
            domain: self.setup.failure_domain.clone(),
            answer_bytes: self.setup.answer_bytes,
            statement_timeout: self.setup.statement_timeout,
        };
        let task = compio::runtime::spawn(connection::run(target, self.sender.clone()));
        self.connections.insert(id, Connection { commands: None, _task: task });
    }

    fn dispatch(&mut self, ticket: RequestId, id: ConnectionId) {
        let messages = self.running.get(&ticket).map(|running| running.messages.clone());
        let commands = self.connections.get(&id).and_then(|found| found.commands.as_ref());
        let sent = match (messages, commands) {
            (Some(messages), Some(commands)) => {
                commands.unbounded_send(connection::Command { ticket, messages }).is_ok()
            }
            _ => false,
        };
        if !sent {
            let event = Event::StatementFinished(ticket, Execution::NotSent);
            // The task itself holds the receiver.
            let _ = self.sender.unbounded_send(Message::Event(event));
        }
    }

    fn answer(&mut self, ticket: RequestId, verdict: Outcome) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        let Running { session, number, answer: messages, .. } = running;
        let answer = Answer { session, number, ..Answer::default() };
        let answer = match verdict {
            Outcome::Completed { floor, in_transaction } => Answer {
                floor: floor.map(|f| wire::Floor { term: f.term, position: f.position }),
                in_transaction,
                messages: messages.freeze(),
                ..answer
            },
            Outcome::NotRun { code, retry_after } => Answer {
                code: code.number().into(),
                retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX).max(1),
                ..answer
            },
            Outcome::Unknown { code } => Answer { code: code.number().into(), ..answer },
        };
        let _ = self.hub.unbounded_send(hub::Message::Answered(answer));
    }

    fn order(&mut self, endpoint: EndpointIndex, order: Order) {
        // A probe lives as long as its owner.
        let _ = self.probes[endpoint].unbounded_send(order);
    }

    fn set_leaving(&mut self, leaving: Vec<EndpointIndex>) {
        for endpoint in 0..self.probes.len() {
            let (before, now) = (self.leaving.contains(&endpoint), leaving.contains(&endpoint));
            if before != now {
                self.step(Event::Draining(endpoint, now));
            }
        }
        self.leaving = leaving;
    }

    fn configure(&mut self, service: Service) {
        for (club, share) in &service.allowances {
            self.step(Event::ClubWeight(club.clone(), *share));
        }
        self.step(Event::Limits(Limits {
            slots: service.slots as usize,
            read_wait: service.read_wait,
            idle_in_transaction: service.idle_in_transaction,
        }));
        self.setup.service = service;
    }

    fn report(&mut self) {
        let idle = self.owner.is_idle() && self.running.is_empty();
        if !idle {
            self.last_busy = Instant::now();
        }
        let stopped = idle && self.last_busy.elapsed() > RETIRE_DELAY;
        self.activity.set(Activity { idle, stopped });
        if Instant::now() >= self.next_report {
            self.next_report = Instant::now() + REPORT_INTERVAL;
            let state = report::state(&self.owner, self.retired);
            let _ = self.hub.unbounded_send(hub::Message::OwnerState(self.name.clone(), state));
        }
    }
}

fn settings(setup: &Setup) -> Settings {
    let distance = |(endpoint, region): (&tamarackbend_config::Endpoint, &String)| {
        if endpoint.failure_domain == setup.failure_domain {
            0
        } else if *region == setup.region {
            1
        } else {
            2
        }
    };
    Settings {
        endpoint_count: setup.database.endpoints.len(),
        slots: setup.service.slots as usize,
        read_wait: setup.service.read_wait,
        idle_in_transaction: setup.service.idle_in_transaction,
        distance_ranks: setup.database.endpoints.iter().zip(&setup.regions).map(distance).collect(),
        seed: rand::random(),
        policy: setup.variant.policy,
        guards: setup.variant.guards,
        ..Settings::default()
    }
}
