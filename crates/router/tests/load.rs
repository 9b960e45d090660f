//! Behavior of one node under more load than its endpoints accept.

use std::collections::HashMap;
use std::time::Duration;

use tamarackbend_router::configuration::{Configuration, Consistency, Route, Service};
use tamarackbend_router::directory::{Change, Entry};
use tamarackbend_router::membership::Peer;
use tamarackbend_router::message::{
    Answer, Command, ConnectionId, Fault, Order, Outcome, Position, Request, Role, Statement,
    Status, TransactionState,
};
use tamarackbend_router::settings::Settings;
use tamarackbend_router::{Action, Event, Router};

const START: Duration = Duration::from_secs(50);
const POSITION: Position = Position { term: 1, number: 4 };

struct Node {
    router: Router,
    now: Duration,
    /// Commands that the endpoints have not answered, in order of arrival.
    unanswered: Vec<(ConnectionId, Command)>,
    replies: Vec<(u64, Answer)>,
    /// Number of client statements that were sent to endpoints.
    sent_statements: usize,
    primary_connections: Vec<ConnectionId>,
    /// Connections of all nodes that an endpoint reports in its status.
    reported_connections: u32,
}

impl Node {
    /// Returns a node connected to a primary and a replica, both in the node's failure domain.
    fn new() -> Node {
        Node::with_consistency(Consistency::Latest)
    }

    fn with_consistency(consistency: Consistency) -> Node {
        let mut node = Node::starting();
        node.configure(consistency);
        node.settle();
        node
    }

    /// Returns a node that has started and knows nothing yet.
    fn starting() -> Node {
        let settings = Settings {
            node: "node".to_owned(),
            failure_domain: "a".to_owned(),
            is_first_start: false,
            regions: HashMap::from([("a".to_owned(), "x".to_owned())]),
            drain_timeout: Duration::from_secs(7),
            stop_timeout: Duration::from_secs(6),
            has_customers: false,
            limit_window: Duration::from_secs(5),
            limit_slack: 20.0,
        };
        Node {
            router: Router::new(settings, 1, START),
            now: START,
            unanswered: Vec::new(),
            replies: Vec::new(),
            sent_statements: 0,
            primary_connections: Vec::new(),
            reported_connections: 4,
        }
    }

    fn configure(&mut self, consistency: Consistency) {
        let route = Route {
            service: "s".into(),
            consistency,
            timeout: Duration::from_millis(800),
            objective: Duration::from_millis(300),
            priority: 1,
            is_public: false,
        };
        let configuration = Configuration {
            version: 1,
            routes: HashMap::from([("db".to_owned(), route)]),
            services: vec![Service { name: "s".into(), connections: 76 }],
            transaction_idle: Duration::from_secs(3),
            customers: None,
        };
        let entry = |id: &str, role| Entry {
            id: id.into(),
            service: "s".into(),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: "a".to_owned(),
            leaving: false,
            role,
            incarnation: 1,
        };
        let peer = Peer {
            name: "node".into(),
            failure_domain: "a".to_owned(),
            address: ([127, 0, 0, 1], 2).into(),
            weight: 170,
        };
        let entries = vec![entry("primary", Role::Primary), entry("replica", Role::Replica)];
        self.handle(Event::PeersChanged(vec![peer]));
        self.handle(Event::ConfigurationRead(configuration));
        self.handle(Event::DirectoryChanged(Change::Snapshot(entries)));
    }

    /// Lets the node learn which endpoint is the primary.
    fn settle(&mut self) {
        for _ in 0..8 {
            self.advance(15);
            self.answer_commands(false);
        }
    }

    fn handle(&mut self, event: Event) {
        for action in self.router.step(self.now, event) {
            match action {
                Action::Connect { connection, entry, .. } => {
                    if entry.role == Role::Primary {
                        self.primary_connections.push(connection);
                    }
                    self.handle(Event::EndpointConnected(connection, Some(POSITION)));
                }
                Action::SendCommands(connection, commands) => {
                    self.sent_statements += commands.iter().filter(|c| c.id.is_some()).count();
                    self.unanswered
                        .extend(commands.into_iter().map(|command| (connection, command)));
                }
                Action::Reply(session, answer) => self.replies.push((session, answer)),
                _ => {}
            }
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.handle(Event::Tick);
    }

    /// Answers all commands; client statements are refused as busy if `is_busy`.
    fn answer_commands(&mut self, is_busy: bool) {
        for (connection, command) in std::mem::take(&mut self.unanswered) {
            let is_primary = self.primary_connections.contains(&connection);
            let is_begin = command.order == Order::Statement(Statement::Begin { read_only: false });
            let fault = match is_busy && command.id.is_some() {
                true => Some(Fault::Busy),
                false => (is_begin && !is_primary).then_some(Fault::ReadOnly),
            };
            let outcome = match fault {
                Some(fault) => Outcome::Error { fault, text: String::new() },
                None => Outcome::Complete(Some("proof".to_owned())),
            };
            let state = if is_begin && is_primary {
                TransactionState::Transaction
            } else {
                TransactionState::Idle
            };
            let role = if is_primary { Role::Primary } else { Role::Replica };
            let status = (command.order == Order::Status).then_some(Status {
                role,
                term: 1,
                received: POSITION,
                fenced_term: 0,
                lag: Duration::ZERO,
                running_statements: 0,
                connections: self.reported_connections,
            });
            let position = Some(POSITION);
            let answer = Answer { rows: Vec::new(), outcome, state, position, status };
            self.handle(Event::EndpointAnswered(connection, answer));
        }
    }

    /// Answers the primary's oldest commands and all of the replica; the others stay unanswered.
    fn answer_oldest(&mut self, count: usize) {
        let (of_primary, mut due): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unanswered)
            .into_iter()
            .partition(|(connection, _)| self.primary_connections.contains(connection));
        let mut of_primary = of_primary.into_iter();
        due.extend(of_primary.by_ref().take(count));
        let others: Vec<(ConnectionId, Command)> = of_primary.collect();
        self.unanswered = due;
        self.answer_commands(false);
        let sent_meanwhile = std::mem::replace(&mut self.unanswered, others);
        self.unanswered.extend(sent_meanwhile);
    }

    fn send_write(&mut self, session: u64) {
        self.send_statement(session, Statement::Write { arguments: "item x".to_owned() });
    }

    fn send_statement(&mut self, session: u64, statement: Statement) {
        self.start_session(session);
        self.send_in_session(session, statement);
    }

    fn start_session(&mut self, session: u64) {
        self.handle(Event::ClientConnected(session));
        self.handle(Event::ClientRequest(
            session,
            Request::Start { database: "db".to_owned(), key: None },
        ));
    }

    fn send_in_session(&mut self, session: u64, statement: Statement) {
        let id = format!("s{session}");
        self.handle(Event::ClientRequest(
            session,
            Request::Statement { id, statement, floor: None },
        ));
    }

    /// Drops the commands that were sent to the primary, as if the primary were silent.
    fn drop_primary_commands(&mut self) {
        let primary = self.primary_connections.clone();
        self.unanswered.retain(|(connection, _)| !primary.contains(connection));
    }

    /// Answers the oldest command to the primary as an endpoint that is a replica now.
    fn answer_read_only(&mut self) {
        let is_primary = |c: &ConnectionId| self.primary_connections.contains(c);
        let index =
            self.unanswered.iter().position(|(c, command)| is_primary(c) && command.id.is_some());
        let (connection, _) = self.unanswered.remove(index.expect("a write is unanswered"));
        let outcome = Outcome::Error { fault: Fault::ReadOnly, text: String::new() };
        let state = TransactionState::Idle;
        let answer = Answer { rows: Vec::new(), outcome, state, position: None, status: None };
        self.handle(Event::EndpointAnswered(connection, answer));
    }

    /// Returns the number of statements that were answered with success.
    fn served_count(&self) -> usize {
        self.replies.iter().filter(|(_, answer)| answer.outcome.fault().is_none()).count()
    }
}

#[test]
fn work_is_served_as_connections_become_free() {
    let mut node = Node::new();
    (1..=30).for_each(|session| node.send_write(session));
    for _ in 0..40 {
        node.answer_commands(false);
        node.advance(5);
    }
    assert_eq!(node.replies.len(), 30);
    let served = node.replies.iter().filter(|(_, answer)| answer.outcome.fault().is_none());
    assert_eq!(served.count(), 30);
}

/// Guards against nodes that retry at once at a busy endpoint: after a restart of all nodes,
/// endpoints refused most of the statements that they were sent.
#[test]
fn busy_endpoint_is_sent_fewer_statements() {
    let mut node = Node::new();
    (1..=100).for_each(|session| node.send_write(session));
    for _ in 0..200 {
        node.answer_commands(true);
        node.advance(4);
    }
    // Six connections, and pauses of 15, 30, 60 and then 120 ms within the timeout of 800 ms.
    assert!(node.sent_statements <= 6 * 12, "{} statements were sent", node.sent_statements);
    assert_eq!(node.replies.len(), 100);
    let refused = node.replies.iter().all(|(_, answer)| match &answer.outcome {
        Outcome::Error { fault: Fault::Busy, text } => text.contains("retry after"),
        _ => false,
    });
    assert!(refused, "every write is refused with a time after which to retry");
}

#[test]
fn busy_pause_ends_with_the_first_answer() {
    let mut node = Node::new();
    (1..=20).for_each(|session| node.send_write(session));
    for _ in 0..30 {
        node.answer_commands(true);
        node.advance(4);
    }
    for _ in 0..60 {
        node.answer_commands(false);
        node.advance(5);
    }
    let served = node.replies.iter().filter(|(_, answer)| answer.outcome.fault().is_none());
    assert_eq!(served.count(), 20);
}

/// Guards against a probe of the primary at each tick: without evidence, the position in its answer
/// could not be used, so it was requested again at once.
#[test]
fn position_without_evidence_is_not_requested_at_each_tick() {
    let begin = Order::Statement(Statement::Begin { read_only: false });
    let mut node = Node::new();
    node.send_write(1);
    let mut probes = 0;
    for step in 0..250 {
        node.unanswered.retain(|(_, command)| command.order != Order::Status);
        // After 1.5 s, the evidence from the start is no longer valid.
        if step >= 150 {
            let of_primary = node.unanswered.iter().filter(|(connection, command)| {
                node.primary_connections.contains(connection) && command.order == begin
            });
            probes += of_primary.count();
        }
        node.answer_commands(false);
        node.advance(10);
    }
    // One second, with a pause of 150 ms between two probes.
    assert!((1..=7).contains(&probes), "the position was requested {probes} times");
}

/// Guards against reads that wait behind writes for a silent primary, although the replica can
/// serve the reads.
#[test]
fn reads_go_to_replicas_while_writes_wait_for_the_primary() {
    let mut node = Node::with_consistency(Consistency::Bounded(Duration::from_millis(1500)));
    (1..=40).for_each(|session| node.send_write(session));
    for session in 41..=60 {
        node.send_statement(session, Statement::Read { arguments: "item".to_owned() });
    }
    for _ in 0..20 {
        node.drop_primary_commands();
        node.answer_commands(false);
        node.advance(5);
    }
    assert_eq!(node.served_count(), 20);
}

/// Guards against a queue in which all work is served late: under 1.5 times the load that the
/// primary can run, work that had already missed its latency objective was served first.
#[test]
fn work_that_can_meet_its_latency_objective_goes_first() {
    let mut node = Node::new();
    let mut session = 0;
    let mut sent_at = std::collections::HashMap::new();
    let mut in_time = 0;
    // Every 10 ms, three writes arrive and the primary runs two, for 4 s.
    for _ in 0..400 {
        for _ in 0..3 {
            session += 1;
            sent_at.insert(session, node.now);
            node.send_write(session);
        }
        node.answer_oldest(2);
        node.advance(10);
        for (session, answer) in std::mem::take(&mut node.replies) {
            let waited = node.now - sent_at[&session];
            let is_served = answer.outcome.fault().is_none();
            in_time += usize::from(is_served && waited <= Duration::from_millis(300));
        }
    }
    // The primary runs 800 writes. Some are unanswered at the end, and some are late while the
    // queue builds up.
    assert!(in_time >= 720, "{in_time} writes were served in time");
}

/// Guards against writes that wait until their deadline although the primary cannot run them before:
/// a burst of 600 writes at a primary that runs 200 a second, with a time limit of 800 ms.
#[test]
fn writes_that_cannot_run_in_time_are_refused_at_once() {
    let mut node = Node::new();
    let mut sent_at = HashMap::new();
    let mut refused_early = 0;
    for step in 0..400 {
        for _ in 0..if step == 250 { 600 } else { 3 } {
            let session = sent_at.len() as u64 + 1;
            sent_at.insert(session, node.now);
            node.send_write(session);
        }
        node.answer_oldest(2);
        node.advance(10);
        for (session, answer) in std::mem::take(&mut node.replies) {
            let waited = node.now - sent_at[&session];
            if let Outcome::Error { fault, text } = &answer.outcome
                && text.starts_with("T2010 ")
            {
                assert_eq!(*fault, Fault::Busy);
                assert!(text.contains("retry after"), "{text}");
                refused_early += usize::from(waited <= Duration::from_millis(400));
            }
        }
    }
    // Within 800 ms, the primary runs 160 writes, and not even at twice its pace 320.
    assert!(refused_early >= 250, "{refused_early} writes were refused early");
}

/// Sends a read every 10 ms for six seconds. The replica answers the reads for which `fault` returns an
/// error with this error, and loses the answer if the error is none. Returns the number of such reads
/// in the last three seconds.
fn read_with_faults(node: &mut Node, fault: impl Fn(u64) -> Option<Option<Fault>>) -> usize {
    let mut spoiled_late = 0;
    for step in 0..600 {
        node.send_statement(step + 1, Statement::Read { arguments: "item".to_owned() });
        for (connection, command) in std::mem::take(&mut node.unanswered) {
            let is_replica = !node.primary_connections.contains(&connection);
            let Some(fault) = fault(step).filter(|_| is_replica && command.id.is_some()) else {
                node.unanswered.push((connection, command));
                continue;
            };
            spoiled_late += usize::from(step >= 300);
            if let Some(fault) = fault {
                let outcome = Outcome::Error { fault, text: String::new() };
                let state = TransactionState::Idle;
                let position = Some(POSITION);
                let answer = Answer { rows: Vec::new(), outcome, state, position, status: None };
                node.handle(Event::EndpointAnswered(connection, answer));
            }
        }
        node.answer_commands(false);
        node.advance(10);
    }
    node.answer_commands(false);
    spoiled_late
}

/// Guards against a replica that keeps its reads although it fails half of them.
#[test]
fn replica_that_fails_reads_is_ejected() {
    let mut node = Node::with_consistency(Consistency::Bounded(Duration::from_millis(1500)));
    let failed_late =
        read_with_faults(&mut node, |step| (step.is_multiple_of(2)).then_some(Some(Fault::Failed)));
    let dump = node.router.dump().to_string();
    assert!(dump.contains("\"reason\":\"Failures"), "the replica is ejected: {dump}");
    assert!(failed_late <= 10, "{failed_late} reads failed in the last three seconds");
    assert!(node.replies.iter().all(|(_, answer)| answer.outcome.fault().is_none()));
}

/// Guards against reads that wait until their deadline for an answer that was lost, and against the
/// connections of such answers, which stayed occupied for good.
#[test]
fn reads_whose_answers_are_lost_are_served_elsewhere() {
    let mut node = Node::with_consistency(Consistency::Bounded(Duration::from_millis(1500)));
    read_with_faults(&mut node, |step| step.is_multiple_of(10).then_some(None));
    let failed = node.replies.iter().filter(|(_, answer)| answer.outcome.fault().is_some()).count();
    assert_eq!(failed, 0);
    let dump = node.router.dump().to_string();
    assert!(!dump.contains("\"in_use\":1"), "no connection stays in use: {dump}");
}

/// Guards against the ejection of a replica that only lags or is busy.
#[test]
fn replica_that_lags_or_is_busy_is_not_ejected() {
    for fault in [Fault::Lagging, Fault::Busy] {
        let mut node = Node::with_consistency(Consistency::Bounded(Duration::from_millis(1500)));
        let refused = read_with_faults(&mut node, |step| {
            (step.is_multiple_of(2)).then(|| Some(fault.clone()))
        });
        assert!(refused > 0, "the replica still gets reads");
        assert!(!node.router.dump().to_string().contains("\"reason\":\"Failures"));
    }
}

/// Guards against refusals of writes that are served once a failover has ended.
#[test]
fn writes_are_not_refused_early_while_no_primary_is_known() {
    let mut node = Node::new();
    for step in 0..300 {
        let arriving = if step == 250 { 600 } else { 3 };
        let first = node.now.as_millis() as u64 * 1_000;
        (0..arriving).for_each(|n| node.send_write(first + n));
        if step == 249 {
            node.answer_read_only();
            node.replies.clear();
        }
        if step >= 249 {
            node.drop_primary_commands();
        }
        node.answer_oldest(2);
        node.advance(10);
    }
    let is_early = |answer: &Answer| match &answer.outcome {
        Outcome::Error { text, .. } => text.starts_with("T2010 "),
        Outcome::Complete(_) => false,
    };
    assert!(!node.replies.iter().any(|(_, answer)| is_early(answer)));
}

/// Guards against a restart after which fresh work waits behind work that is late already: while a node
/// knows no configuration, clients wait for their sessions to start, and all of their statements arrive
/// in the moment in which it becomes known.
#[test]
fn first_statement_is_as_old_as_the_start_of_its_session() {
    let write = || Statement::Write { arguments: "item x".to_owned() };
    let mut node = Node::starting();
    node.start_session(1);
    for _ in 0..20 {
        node.advance(15);
    }
    node.configure(Consistency::Latest);
    // The session has waited for 300 ms, the whole objective.
    node.send_in_session(1, write());
    (10..30).for_each(|session| node.send_write(session));
    node.send_write(2);
    let is_sent = |node: &Node, id: &str| {
        node.unanswered.iter().any(|(_, command)| command.id.as_deref() == Some(id))
    };
    while !is_sent(&node, "s2") {
        assert!(!is_sent(&node, "s1"), "the late statement was sent before the fresh one");
        node.answer_oldest(1);
        node.advance(1);
    }
}

/// Guards against restarted nodes that take several of the few connections that an endpoint has left,
/// while others get none: it holds the connections of the dead processes for some seconds.
#[test]
fn crowded_endpoint_is_sent_one_connection_after_a_restart() {
    let mut node = Node::starting();
    node.reported_connections = 76;
    node.configure(Consistency::Latest);
    node.settle();
    (1..=30).for_each(|session| node.send_write(session));
    for _ in 0..20 {
        node.advance(15);
    }
    assert_eq!(node.primary_connections.len(), 1);
    for _ in 0..300 {
        node.answer_commands(false);
        node.advance(15);
    }
    (31..=60).for_each(|session| node.send_write(session));
    for _ in 0..20 {
        node.advance(15);
    }
    assert!(node.primary_connections.len() >= 6, "the node has room again");
}

/// Guards against shed transactions that leave a session in an unknown state: the first statement of a
/// transaction is refused before anything was sent, and the client ends the transaction as usual.
#[test]
fn transaction_is_shed_before_it_is_sent() {
    let mut node = Node::new();
    let mut sessions = 1_u64..;
    for _ in 0..800 {
        sessions.by_ref().take(3).for_each(|session| node.send_write(session));
        node.answer_oldest(2);
        node.advance(10);
    }
    // What is admitted now fills the queue up to the objective.
    sessions.by_ref().take(60).for_each(|session| node.send_write(session));
    node.replies.clear();
    let session = 1_000_000;
    node.send_statement(session, Statement::Begin { read_only: false });
    node.send_in_session(session, Statement::Write { arguments: "item x".to_owned() });
    node.send_in_session(session, Statement::Rollback);
    let replies: Vec<String> = node
        .replies
        .iter()
        .filter(|(id, _)| *id == session)
        .map(|(_, answer)| match &answer.outcome {
            Outcome::Complete(_) => format!("complete, {:?}", answer.state),
            Outcome::Error { fault, text } => {
                format!("{fault:?} {}, {:?}", &text[..5], answer.state)
            }
        })
        .collect();
    assert_eq!(replies, ["complete, Transaction", "Busy T2011, Failed", "complete, Idle"]);
    let id = format!("s{session}");
    assert!(!node.unanswered.iter().any(|(_, command)| command.id.as_deref() == Some(&*id)));
}
