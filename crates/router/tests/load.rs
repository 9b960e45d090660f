//! What one node does with more work than its endpoints take.

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
    /// Commands that the endpoint has not answered, in order of arrival.
    sent: Vec<(ConnectionId, Command)>,
    replies: Vec<(u64, Answer)>,
    offered: usize,
    /// Connections to the primary.
    connections: Vec<ConnectionId>,
}

impl Node {
    /// Returns a node before one primary and one replica, both in its failure domain.
    fn new() -> Node {
        Node::with_consistency(Consistency::Latest)
    }

    fn with_consistency(consistency: Consistency) -> Node {
        let settings = Settings {
            node: "node".to_owned(),
            failure_domain: "a".to_owned(),
            is_first_start: false,
            regions: HashMap::from([("a".to_owned(), "x".to_owned())]),
            drain_timeout: Duration::from_secs(7),
            stop_timeout: Duration::from_secs(6),
        };
        let route = Route {
            service: "s".into(),
            consistency,
            timeout: Duration::from_millis(800),
            objective: Duration::from_millis(300),
            priority: 1,
        };
        let configuration = Configuration {
            version: 1,
            routes: HashMap::from([("db".to_owned(), route)]),
            services: vec![Service { name: "s".into(), connections: 76 }],
            transaction_idle: Duration::from_secs(3),
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
            incarnation: 1,
        };
        let entries = vec![entry("primary", Role::Primary), entry("replica", Role::Replica)];
        let mut node = Node {
            router: Router::new(settings, 1, START),
            now: START,
            sent: Vec::new(),
            replies: Vec::new(),
            offered: 0,
            connections: Vec::new(),
        };
        node.give(Event::PeersChanged(vec![peer]));
        node.give(Event::ConfigurationRead(configuration));
        node.give(Event::DirectoryChanged(Change::Snapshot(entries)));
        for _ in 0..8 {
            node.pass(15);
            node.answer(false);
        }
        node
    }

    fn give(&mut self, event: Event) {
        for action in self.router.step(self.now, event) {
            match action {
                Action::Connect { connection, entry } => {
                    if entry.role == Role::Primary {
                        self.connections.push(connection);
                    }
                    self.give(Event::EndpointConnected(connection, Some(POSITION)));
                }
                Action::SendCommands(connection, commands) => {
                    self.offered += commands.iter().filter(|c| c.id.is_some()).count();
                    self.sent.extend(commands.into_iter().map(|command| (connection, command)));
                }
                Action::Reply(session, answer) => self.replies.push((session, answer)),
                _ => {}
            }
        }
    }

    fn pass(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.give(Event::Tick);
    }

    /// Answers all commands; statements of callers are turned away if the endpoint is `full`.
    fn answer(&mut self, full: bool) {
        for (connection, command) in std::mem::take(&mut self.sent) {
            let outcome = match full && command.id.is_some() {
                true => Outcome::Error { fault: Fault::Busy, text: String::new() },
                false => Outcome::Complete(Some("proof".to_owned())),
            };
            let begins = Order::Statement(Statement::Begin { read_only: false });
            let state = if command.order == begins {
                TransactionState::Transaction
            } else {
                TransactionState::Idle
            };
            let is_primary = self.connections.contains(&connection);
            let role = if is_primary { Role::Primary } else { Role::Replica };
            let status = (command.order == Order::Status).then_some(Status {
                role,
                term: 1,
                received: POSITION,
                fenced_term: 0,
                lag: Duration::ZERO,
                running_statements: 0,
                connections: 4,
            });
            let position = Some(POSITION);
            let answer = Answer { rows: Vec::new(), outcome, state, position, status };
            self.give(Event::EndpointAnswered(connection, answer));
        }
    }

    fn write(&mut self, session: u64) {
        self.ask(session, Statement::Write { arguments: "item x".to_owned() });
    }

    fn ask(&mut self, session: u64, statement: Statement) {
        self.give(Event::ClientConnected(session));
        self.give(Event::ClientRequest(session, Request::Start { database: "db".to_owned() }));
        let id = format!("s{session}");
        self.give(Event::ClientRequest(session, Request::Statement { id, statement, floor: None }));
    }

    /// Drops what the primary was sent, as if it were silent.
    fn silence_primary(&mut self) {
        let primary = self.connections.clone();
        self.sent.retain(|(connection, _)| !primary.contains(connection));
    }

    /// Returns how many callers were answered with success.
    fn served(&self) -> usize {
        self.replies.iter().filter(|(_, answer)| answer.outcome.fault().is_none()).count()
    }
}

#[test]
fn work_is_served_as_connections_become_free() {
    let mut node = Node::new();
    (1..=30).for_each(|session| node.write(session));
    for _ in 0..40 {
        node.answer(false);
        node.pass(5);
    }
    assert_eq!(node.replies.len(), 30);
    let served = node.replies.iter().filter(|(_, answer)| answer.outcome.fault().is_none());
    assert_eq!(served.count(), 30);
}

/// After a restart of all nodes, endpoints turned away most of what they were offered.
#[test]
fn endpoint_that_turns_work_away_is_offered_less_and_less() {
    let mut node = Node::new();
    (1..=100).for_each(|session| node.write(session));
    for _ in 0..200 {
        node.answer(true);
        node.pass(4);
    }
    // Six connections, and pauses of 15, 30, 60 and then 120 ms within the limit of 800 ms.
    assert!(node.offered <= 6 * 12, "{} offers", node.offered);
    assert_eq!(node.replies.len(), 100);
    let refused = node.replies.iter().all(|(_, answer)| match &answer.outcome {
        Outcome::Error { fault: Fault::Busy, text } => text.contains("retry after"),
        _ => false,
    });
    assert!(refused, "every write is refused with a hint of when to come back");
}

#[test]
fn pause_ends_with_the_first_answer() {
    let mut node = Node::new();
    (1..=20).for_each(|session| node.write(session));
    for _ in 0..30 {
        node.answer(true);
        node.pass(4);
    }
    for _ in 0..60 {
        node.answer(false);
        node.pass(5);
    }
    let served = node.replies.iter().filter(|(_, answer)| answer.outcome.fault().is_none());
    assert_eq!(served.count(), 20);
}

/// While nothing vouched for the primary, its position was asked for at each tick.
#[test]
fn position_that_nothing_vouches_for_is_not_asked_for_at_each_tick() {
    let begin = Order::Statement(Statement::Begin { read_only: false });
    let mut node = Node::new();
    node.write(1);
    let mut asked = 0;
    for step in 0..250 {
        node.sent.retain(|(_, command)| command.order != Order::Status);
        // After a second and a half, what was known at the start vouches for nothing.
        if step >= 150 {
            asked += node.sent.iter().filter(|(_, command)| command.order == begin).count();
        }
        node.answer(false);
        node.pass(10);
    }
    // One second, with a pause of 150 ms between two of them.
    assert!((1..=7).contains(&asked), "it was asked for {asked} times");
}

/// Writes that waited for a silent primary held up reads that the replica could serve.
#[test]
fn reads_go_to_replicas_while_writes_wait_for_the_primary() {
    let mut node = Node::with_consistency(Consistency::Bounded(Duration::from_millis(1500)));
    (1..=40).for_each(|session| node.write(session));
    for session in 41..=60 {
        node.ask(session, Statement::Read { arguments: "item".to_owned() });
    }
    for _ in 0..20 {
        node.silence_primary();
        node.answer(false);
        node.pass(5);
    }
    assert_eq!(node.served(), 20);
}

/// Under a load of half as much again as the primary runs, all work was served late.
#[test]
fn work_that_can_meet_its_objective_goes_first() {
    let mut node = Node::new();
    let mut session = 0;
    let mut asked = std::collections::HashMap::new();
    let mut in_time = 0;
    // Each 10 ms three writes arrive and two are run, for 4 s.
    for _ in 0..400 {
        for _ in 0..3 {
            session += 1;
            asked.insert(session, node.now);
            node.write(session);
        }
        let run = node.sent.len().min(2);
        let rest = node.sent.split_off(run);
        node.answer(false);
        node.sent.extend(rest);
        node.pass(10);
        for (session, answer) in std::mem::take(&mut node.replies) {
            let waited = node.now - asked[&session];
            let served = answer.outcome.fault().is_none();
            in_time += usize::from(served && waited <= Duration::from_millis(300));
        }
    }
    // The primary runs 800; some are on their way at the end, some late while the queue builds.
    assert!(in_time >= 720, "{in_time} were served in time");
}
