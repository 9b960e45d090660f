//! Owner task: runs the statements of one database.
//!
//! [`Owner`] takes all decisions and does no I/O. The task feeds it with events and carries out the
//! actions that it returns. Connections to endpoints, probes and calls of the platform are tasks of
//! their own. The *group object* is the platform's record of a database's term and primary.

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
pub(crate) use probe::can_reach;
use tamarackbend_config::{Database, Service};
use tamarackbend_objects::Client;
use tamarackbend_policy::owner::{
    Access, Action, ConnectionId, Event, Execution, Limits, Outcome, Owner, Request, RequestId,
    Settings,
};
use tamarackbend_policy::position::{EndpointIndex, Floor, Term};
use tamarackbend_policy::session::Freshness;
use tamarackbend_postgres::message::TransactionStatus;
use tamarackbend_postgres::{Answer as EndpointAnswer, Completion};
use tamarackbend_wire::{self as wire, Answer, Statement};
use tracing::info;

use crate::Variant;
use crate::hub;
use crate::owner::probe::Order;

/// Time without statements after which a retired owner may be removed.
const REMOVAL_DELAY: Duration = Duration::from_secs(2);
/// Time between two reports of the owner's state to the hub.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Message to an owner.
pub(crate) enum Message {
    /// A session sends a statement.
    Statement(Statement),
    /// A client cancels a statement, given by its session and number.
    Cancel(u64, u64),
    /// A session has ended.
    EndSession(u64),
    /// Event of a connection, a probe, a vote of peers or a call of the platform.
    Event(Event),
    /// A connection is open and takes statements.
    ConnectionOpened(ConnectionId, mpsc::UnboundedSender<connection::Command>),
    /// A connection has run a statement or broken while it did.
    StatementFinished(RequestId, Completion),
    /// The group object was read; the list holds the endpoints that are draining.
    GroupRead(Event, Vec<EndpointIndex>),
    /// The settings of the database's service may have changed.
    Service(Service),
    /// Whether another node owns the database now, so that this owner finishes and stops.
    SetRetired(bool),
}

/// Sender of messages to an owner.
pub(crate) type Sender = mpsc::UnboundedSender<Message>;

/// Parameters of an owner task.
pub(crate) struct Setup {
    pub(crate) service: Service,
    pub(crate) database: Database,
    pub(crate) failure_domain: String,
    pub(crate) region: String,
    /// Region of each endpoint.
    pub(crate) endpoint_regions: Vec<String>,
    pub(crate) answer_bytes: usize,
    pub(crate) statement_timeout: Duration,
    pub(crate) variant: Variant,
}

#[derive(Clone, Copy, Debug, Default)]
struct Activity {
    /// Whether no statement waits or runs and no transaction is open.
    is_idle: bool,
    /// Whether the owner has been idle for [`REMOVAL_DELAY`].
    is_removable: bool,
}

/// Hub's handle to a running owner; dropping it stops the owner.
pub(crate) struct Handle {
    sender: Sender,
    activity: Rc<Cell<Activity>>,
    is_retired: bool,
    _task: JoinHandle<()>,
}

impl Handle {
    pub(crate) fn send(&self, message: Message) {
        // The receiver lives as long as the task, which this handle owns.
        let _ = self.sender.unbounded_send(message);
    }

    pub(crate) fn set_retired(&mut self, is_retired: bool) {
        if self.is_retired != is_retired {
            self.is_retired = is_retired;
            self.send(Message::SetRetired(is_retired));
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.activity.get().is_idle
    }

    /// Returns whether the owner is retired and has nothing left to do.
    pub(crate) fn is_finished(&self) -> bool {
        self.is_retired && self.activity.get().is_removable
    }
}

/// Starts the owner of a database.
pub(crate) fn start(setup: Setup, platform: Client, hub: hub::Sender) -> Handle {
    let (sender, messages) = mpsc::unbounded();
    let activity = Rc::new(Cell::new(Activity { is_idle: true, is_removable: false }));
    let task = Task::new(setup, platform, hub, sender.clone(), activity.clone());
    let task = compio::runtime::spawn(task.run(messages));
    Handle { sender, activity, is_retired: false, _task: task }
}

struct Connection {
    /// None until the connection is open.
    commands: Option<mpsc::UnboundedSender<connection::Command>>,
    _task: JoinHandle<()>,
}

/// Statement that waits or runs.
struct Submission {
    session: u64,
    number: u64,
    messages: Bytes,
    /// Endpoint's answer; empty until the statement has run.
    answer: BytesMut,
}

struct Task {
    database: String,
    setup: Setup,
    owner: Owner,
    platform: Client,
    hub: hub::Sender,
    sender: Sender,
    started_at: Instant,
    connections: BTreeMap<ConnectionId, Connection>,
    /// Sender of orders to the probe task of each endpoint.
    order_senders: Vec<mpsc::UnboundedSender<Order>>,
    submissions: BTreeMap<RequestId, Submission>,
    next_request_id: RequestId,
    draining_endpoints: Vec<EndpointIndex>,
    activity: Rc<Cell<Activity>>,
    last_busy_at: Instant,
    next_report: Instant,
    is_retired: bool,
    _tasks: Vec<JoinHandle<()>>,
}

impl Task {
    fn new(
        setup: Setup,
        platform: Client,
        hub: hub::Sender,
        sender: Sender,
        activity: Rc<Cell<Activity>>,
    ) -> Task {
        let database = setup.database.name.clone();
        let mut order_senders = Vec::new();
        let mut tasks = vec![group::watch(platform.clone(), database.clone(), sender.clone())];
        for (index, endpoint) in setup.database.endpoints.iter().enumerate() {
            let target = probe::Target {
                index,
                address: endpoint.address,
                database: database.clone(),
                failure_domain: setup.failure_domain.clone(),
            };
            let (orders, task) = probe::start(target, sender.clone());
            order_senders.push(orders);
            tasks.push(task);
        }
        let mut task = Task {
            owner: Owner::new(owner_settings(&setup)),
            database,
            setup,
            platform,
            hub,
            sender,
            started_at: Instant::now(),
            connections: BTreeMap::new(),
            order_senders,
            submissions: BTreeMap::new(),
            next_request_id: 1,
            draining_endpoints: Vec::new(),
            activity,
            last_busy_at: Instant::now(),
            next_report: Instant::now(),
            is_retired: false,
            _tasks: tasks,
        };
        let service = task.setup.service.clone();
        task.apply_service(service);
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
            self.handle_message(message);
            self.report_state();
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Statement(statement) => self.submit_statement(statement),
            Message::Cancel(session, number) => {
                let canceled = self.submissions.iter().find(|(_, submission)| {
                    submission.session == session && submission.number == number
                });
                if let Some((&request_id, _)) = canceled {
                    self.step(Event::Cancel(request_id));
                }
            }
            Message::EndSession(session) => self.step(Event::EndSession(session)),
            Message::Event(event) => self.step(event),
            Message::ConnectionOpened(id, commands) => {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.commands = Some(commands);
                }
                self.step(Event::ConnectionOpened(id));
            }
            Message::StatementFinished(request_id, completion) => {
                self.on_statement_finished(request_id, completion)
            }
            Message::GroupRead(event, draining_endpoints) => {
                self.set_draining_endpoints(draining_endpoints);
                self.step(event);
            }
            Message::Service(service) => self.apply_service(service),
            Message::SetRetired(is_retired) => {
                self.is_retired = is_retired;
                self.step(Event::Retire(is_retired));
            }
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.now();
        let before = self.group_summary();
        for action in self.owner.step(now, event) {
            self.perform_action(action);
        }
        let after = self.group_summary();
        if before != after {
            let (term, primary, phase) = after;
            info!(
                database = self.database,
                term,
                primary,
                phase,
                "term, primary or failover step of the database group has changed"
            );
        }
    }

    /// Returns the term, its primary and the current step of the failover.
    fn group_summary(&self) -> (Term, Option<EndpointIndex>, &'static str) {
        let group = self.owner.group().unwrap_or_default();
        (group.term, group.primary, self.owner.failover_phase())
    }

    fn submit_statement(&mut self, statement: Statement) {
        let request_id = self.next_request_id;
        self.next_request_id += 1;
        let access = if statement.write { Access::Write } else { Access::Read };
        let freshness = match &statement.floor {
            Some(floor) => Freshness::Floor(Floor::new(floor.term, floor.position)),
            None => Freshness::Sampled,
        };
        let request = Request {
            id: request_id,
            session: statement.session,
            statement_number: statement.number,
            club: statement.club,
            access,
            freshness,
            max_age: statement.max_age_ms.map(Duration::from_millis),
            in_transaction: statement.in_transaction,
            begins_transaction: statement.begins,
            deadline: self.now() + Duration::from_millis(statement.timeout_ms),
        };
        let submission = Submission {
            session: statement.session,
            number: statement.number,
            messages: statement.messages,
            answer: BytesMut::new(),
        };
        self.submissions.insert(request_id, submission);
        self.step(Event::Submit(request));
    }

    fn on_statement_finished(&mut self, request_id: RequestId, completion: Completion) {
        let execution = match completion {
            Completion::Answered(EndpointAnswer {
                messages,
                transaction,
                has_read_only_error,
                status,
            }) => {
                if has_read_only_error && transaction == TransactionStatus::Idle {
                    Execution::NotPrimary
                } else {
                    if let Some(submission) = self.submissions.get_mut(&request_id) {
                        submission.answer = messages;
                    }
                    let in_transaction = transaction != TransactionStatus::Idle;
                    Execution::Completed { status, in_transaction }
                }
            }
            Completion::TooLarge | Completion::ConnectionLost => Execution::NoAnswer,
        };
        self.step(Event::StatementFinished(request_id, execution));
    }

    fn perform_action(&mut self, action: Action) {
        match action {
            Action::OpenConnection(id, endpoint) => self.open_connection(id, endpoint),
            Action::CloseConnection(id) => {
                self.connections.remove(&id);
            }
            Action::Dispatch(request_id, id) => self.dispatch(request_id, id),
            Action::Answer(request_id, outcome) => self.send_answer(request_id, outcome),
            Action::Probe(endpoint) => self.send_order(endpoint, Order::Status),
            Action::FenceTerm { endpoint, term } => {
                self.send_order(endpoint, Order::FenceTerm(term));
            }
            Action::Promote { endpoint, term } => {
                self.send_order(endpoint, Order::Promote(term));
            }
            Action::Follow { endpoint, term, primary } => {
                self.send_order(endpoint, Order::Follow(term, primary));
            }
            Action::RequestVotes => {
                let endpoint = self.owner.group().and_then(|group| group.primary).unwrap_or(0);
                let database = self.database.clone();
                let reply = self.sender.clone();
                let request = hub::Message::RequestVotes { database, endpoint, reply };
                // The hub outlives its owners.
                let _ = self.hub.unbounded_send(request);
            }
            Action::ReadGroup => {
                group::read(self.platform.clone(), self.database.clone(), self.sender.clone());
            }
            Action::UpdateGroup(group) => {
                let draining_endpoints = self.draining_endpoints.clone();
                let (platform, database) = (self.platform.clone(), self.database.clone());
                group::write(platform, database, group, draining_endpoints, self.sender.clone());
            }
        }
    }

    fn open_connection(&mut self, id: ConnectionId, endpoint: EndpointIndex) {
        let target = connection::Target {
            id,
            address: self.setup.database.endpoints[endpoint].address,
            database: self.database.clone(),
            failure_domain: self.setup.failure_domain.clone(),
            answer_bytes: self.setup.answer_bytes,
            statement_timeout: self.setup.statement_timeout,
        };
        let task = compio::runtime::spawn(connection::run(target, self.sender.clone()));
        self.connections.insert(id, Connection { commands: None, _task: task });
    }

    fn dispatch(&mut self, request_id: RequestId, id: ConnectionId) {
        let messages =
            self.submissions.get(&request_id).map(|submission| submission.messages.clone());
        let commands =
            self.connections.get(&id).and_then(|connection| connection.commands.as_ref());
        let is_sent = match (messages, commands) {
            (Some(messages), Some(commands)) => {
                commands.unbounded_send(connection::Command { request_id, messages }).is_ok()
            }
            _ => false,
        };
        if !is_sent {
            let event = Event::StatementFinished(request_id, Execution::NotSent);
            // This task holds the receiver.
            let _ = self.sender.unbounded_send(Message::Event(event));
        }
    }

    fn send_answer(&mut self, request_id: RequestId, outcome: Outcome) {
        let Some(submission) = self.submissions.remove(&request_id) else {
            return;
        };
        let Submission { session, number, answer: messages, .. } = submission;
        let answer = Answer { session, number, ..Answer::default() };
        let answer = match outcome {
            Outcome::Completed { floor, in_transaction } => Answer {
                floor: floor
                    .map(|floor| wire::Floor { term: floor.term, position: floor.position }),
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
        let _ = self.hub.unbounded_send(hub::Message::Answer(answer));
    }

    fn send_order(&mut self, endpoint: EndpointIndex, order: Order) {
        // A probe task runs as long as its owner.
        let _ = self.order_senders[endpoint].unbounded_send(order);
    }

    fn set_draining_endpoints(&mut self, draining_endpoints: Vec<EndpointIndex>) {
        for endpoint in 0..self.order_senders.len() {
            let was_draining = self.draining_endpoints.contains(&endpoint);
            let is_draining = draining_endpoints.contains(&endpoint);
            if was_draining != is_draining {
                self.step(Event::Draining(endpoint, is_draining));
            }
        }
        self.draining_endpoints = draining_endpoints;
    }

    fn apply_service(&mut self, service: Service) {
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

    fn report_state(&mut self) {
        let is_idle = self.owner.is_idle() && self.submissions.is_empty();
        if !is_idle {
            self.last_busy_at = Instant::now();
        }
        let is_removable = is_idle && self.last_busy_at.elapsed() > REMOVAL_DELAY;
        self.activity.set(Activity { is_idle, is_removable });
        if Instant::now() >= self.next_report {
            self.next_report = Instant::now() + REPORT_INTERVAL;
            let state = report::owner_state(&self.owner, self.is_retired);
            let message = hub::Message::OwnerState(self.database.clone(), state);
            let _ = self.hub.unbounded_send(message);
        }
    }
}

fn owner_settings(setup: &Setup) -> Settings {
    // Rank by distance: same failure domain, same region, elsewhere.
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
        distance_ranks: setup
            .database
            .endpoints
            .iter()
            .zip(&setup.endpoint_regions)
            .map(distance)
            .collect(),
        seed: rand::random(),
        policy: setup.variant.policy,
        guards: setup.variant.guards,
        ..Settings::default()
    }
}
