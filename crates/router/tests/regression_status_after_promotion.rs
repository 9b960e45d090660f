//! Guards against commits of a former primary that are acknowledged after another endpoint was promoted.
//! A promotion ends the fence at all replicas, and a replica reports the old term as open until it receives
//! the log of the new primary. A node that had not asked it meanwhile took such a status for evidence
//! that the old primary was still the primary, and a replica that received the log of the former primary
//! once more for proof that its commits are kept.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use tamarackbend_replica::{Connection, Endpoint, promote};
use tamarackbend_router::configuration::{Configuration, Consistency, Route, Service};
use tamarackbend_router::directory::{Change, Entry};
use tamarackbend_router::membership::Peer;
use tamarackbend_router::message::{
    Command, ConnectionId, Order, Request, Role, SessionId, Statement,
};
use tamarackbend_router::settings::Settings;
use tamarackbend_router::{Action, Event, Router};

const START: Duration = Duration::from_secs(50);
const TICK: Duration = Duration::from_millis(15);
const NAMES: [&str; 3] = ["former", "promoted", "follower"];
const SESSION: SessionId = 1;
/// Longer than evidence is valid.
const FAILOVER_DURATION: Duration = Duration::from_millis(1000);

/// Node whose endpoints answer at once, unless the node does not reach them.
struct World {
    router: Router,
    now: Duration,
    endpoints: Vec<Endpoint>,
    connections: BTreeMap<ConnectionId, (usize, Connection)>,
    unreachable: Option<usize>,
    unanswered: VecDeque<(ConnectionId, Command)>,
    timeline: Vec<String>,
    is_recording: bool,
}

impl World {
    fn new() -> World {
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
        let endpoint = |name: &&str| match *name {
            "former" => Endpoint::new(name, Role::Primary),
            name => Endpoint::new(name, Role::Replica),
        };
        let mut world = World {
            router: Router::new(settings, 1, START),
            now: START,
            endpoints: NAMES.iter().map(endpoint).collect(),
            connections: BTreeMap::new(),
            unreachable: None,
            unanswered: VecDeque::new(),
            timeline: Vec::new(),
            is_recording: false,
        };
        let peer = Peer {
            name: "node".into(),
            failure_domain: "a".to_owned(),
            address: ([127, 0, 0, 1], 2).into(),
            weight: 170,
        };
        let route = Route {
            service: "s".into(),
            consistency: Consistency::Latest,
            timeout: Duration::from_secs(2),
            objective: Duration::from_millis(400),
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
        let entries = world.endpoints.iter().map(|endpoint| Entry {
            id: endpoint.name.as_str().into(),
            service: "s".into(),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: "a".to_owned(),
            leaving: false,
            role: endpoint.role,
            incarnation: 1,
        });
        let entries = entries.collect();
        world.step(Event::PeersChanged(vec![peer]));
        world.step(Event::ConfigurationRead(configuration));
        world.step(Event::DirectoryChanged(Change::Snapshot(entries)));
        world.step(Event::ClientConnected(SESSION));
        world.step(Event::ClientRequest(
            SESSION,
            Request::Start { database: "db".to_owned(), key: None },
        ));
        world.run_for(Duration::from_millis(500));
        world
    }

    fn step(&mut self, event: Event) {
        for action in self.router.step(self.now, event) {
            match action {
                Action::Connect { connection, entry, .. } => {
                    let index = NAMES.iter().position(|name| **name == *entry.id);
                    let Some(index) = index.filter(|index| self.unreachable != Some(*index)) else {
                        continue;
                    };
                    let position = Some(self.endpoints[index].applied_position());
                    self.connections.insert(connection, (index, Connection::default()));
                    self.step(Event::EndpointConnected(connection, position));
                }
                Action::SendCommands(connection, commands) => {
                    self.unanswered.extend(commands.into_iter().map(|c| (connection, c)));
                }
                Action::FetchRecord(name) => self.record(format!("node: reads {name:?}")),
                Action::Reply(_, answer) => self.record(format!("client: {:?}", answer.outcome)),
                _ => {}
            }
        }
    }

    /// Executes the commands that reach their endpoints, and delivers the answers.
    fn answer_commands(&mut self) {
        while let Some((id, command)) = self.unanswered.pop_front() {
            let Some((index, connection)) = self.connections.get_mut(&id) else { continue };
            let index = *index;
            if self.unreachable == Some(index) {
                continue;
            }
            let (answer, _) = self.endpoints[index].execute(connection, &command, self.now);
            if let (Order::Status, Some(status)) = (&command.order, &answer.status) {
                let (role, term, fenced) = (status.role, status.term, status.fenced_term);
                self.record(format!(
                    "{}: status {role:?} term {term} received {} fenced {fenced}",
                    NAMES[index], status.received
                ));
            } else if command.id.is_some() {
                let verb = match &command.order {
                    Order::Statement(Statement::Read { .. }) => "read",
                    _ => "write",
                };
                self.record(format!("{}: {verb} {:?}", NAMES[index], answer.outcome));
            }
            self.step(Event::EndpointAnswered(id, answer));
        }
    }

    /// Adds a line to the timeline unless it repeats one.
    fn record(&mut self, line: String) {
        if self.is_recording && !self.timeline.contains(&line) {
            self.timeline.push(line);
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.step(Event::Tick);
            self.answer_commands();
        }
    }

    /// Lets the replicas receive the log of an endpoint.
    fn replicate(&mut self, source: usize) {
        let source = self.endpoints[source].clone();
        let replicas = self.endpoints.iter_mut().filter(|e| e.role == Role::Replica);
        replicas.for_each(|replica| replica.replicate_from(&source, self.now));
    }

    /// Promotes an endpoint after a failover of which this node has seen nothing, as no client worked.
    fn fail_over(&mut self) {
        self.set_fence(2);
        // Only the clock advances: the node sends nothing.
        self.now += FAILOVER_DURATION;
        promote(&mut self.endpoints, 1, self.now);
        self.is_recording = true;
    }

    /// Fences the replicas at a term, or ends their fence.
    fn set_fence(&mut self, term: u64) {
        self.endpoints[1..].iter_mut().for_each(|replica| replica.fenced_term = term);
    }

    /// Sends a write that the former primary commits and the replicas receive.
    fn write_at_former(&mut self) {
        self.send(write());
        self.answer_commands();
        self.replicate(0);
    }

    fn send(&mut self, statement: Statement) {
        let request = Request::Statement { id: "client".to_owned(), statement, floor: None };
        self.step(Event::ClientRequest(SESSION, request));
    }
}

fn write() -> Statement {
    Statement::Write { arguments: "item x".to_owned() }
}

#[test]
fn status_from_after_a_promotion_confirms_no_commit() {
    let mut world = World::new();
    world.fail_over();
    world.write_at_former();
    world.run_for(Duration::from_millis(60));
    world.replicate(1);
    world.run_for(Duration::from_millis(400));
    insta::assert_snapshot!(world.timeline.join("\n"), @r#"
    former: write Complete(Some("proof"))
    follower: status Replica term 1 received 1.1 fenced 0
    promoted: status Primary term 2 received 1.0 fenced 0
    client: Error { fault: InDoubt, text: "T3003 primary was replaced while the statement ran" }
    former: status Primary term 1 received 1.1 fenced 0
    "#);
}

#[test]
fn status_from_after_a_promotion_confirms_no_read() {
    let mut world = World::new();
    world.fail_over();
    world.send(Statement::Read { arguments: "item".to_owned() });
    world.run_for(Duration::from_millis(60));
    world.replicate(1);
    world.run_for(Duration::from_millis(400));
    insta::assert_snapshot!(world.timeline.join("\n"), @r#"
    follower: status Replica term 1 received 1.0 fenced 0
    former: read Complete(Some("proof"))
    promoted: status Primary term 2 received 1.0 fenced 0
    promoted: read Complete(Some("proof"))
    former: status Primary term 1 received 1.0 fenced 0
    client: Complete(Some("proof"))
    "#);
}

/// The node does not reach the promoted endpoint, whose answer would show the promotion.
#[test]
fn status_from_after_the_promotion_of_an_unreachable_endpoint_confirms_no_commit() {
    let mut world = World::new();
    world.unreachable = Some(1);
    world.fail_over();
    world.write_at_former();
    world.run_for(Duration::from_millis(60));
    world.replicate(1);
    world.run_for(Duration::from_millis(900));
    insta::assert_snapshot!(world.timeline.join("\n"), @r#"
    former: write Complete(Some("proof"))
    follower: status Replica term 1 received 1.1 fenced 0
    follower: status Replica term 2 received 1.0 fenced 0
    client: Error { fault: InDoubt, text: "T3003 primary was replaced while the statement ran" }
    former: status Primary term 1 received 1.1 fenced 0
    former: status Replica term 1 received 1.1 fenced 0
    "#);
}

/// A failover that is given up leaves the old primary in charge, and its commits are acknowledged again.
#[test]
fn commits_are_acknowledged_after_a_failover_was_given_up() {
    let mut world = World::new();
    world.set_fence(2);
    world.run_for(FAILOVER_DURATION);
    world.set_fence(0);
    world.is_recording = true;
    world.write_at_former();
    world.run_for(Duration::from_millis(400));
    insta::assert_snapshot!(world.timeline.join("\n"), @r#"
    former: write Complete(Some("proof"))
    follower: status Replica term 1 received 1.1 fenced 0
    client: Complete(Some("proof"))
    "#);
}

/// An endpoint that has crashed delays the first commits only, until the follower has had time to hear of
/// its promotion.
#[test]
fn commits_are_acknowledged_while_an_endpoint_is_silent() {
    let mut world = World::new();
    world.unreachable = Some(1);
    world.now += FAILOVER_DURATION;
    world.is_recording = true;
    world.write_at_former();
    world.run_for(Duration::from_millis(900));
    insta::assert_snapshot!(world.timeline.join("\n"), @r#"
    former: write Complete(Some("proof"))
    follower: status Replica term 1 received 1.1 fenced 0
    client: Complete(Some("proof"))
    "#);
}

/// Guards against the replacement of a healthy primary by a node that saw a replica fenced in the failover
/// before, and did not ask the replica again: it took the fence for one of a failover that was given up.
#[test]
fn fence_that_a_promotion_has_ended_starts_no_failover() {
    let mut world = World::new();
    world.set_fence(2);
    world.is_recording = true;
    world.send(write());
    world.run_for(FAILOVER_DURATION);
    world.unreachable = Some(2);
    promote(&mut world.endpoints, 1, world.now);
    world.run_for(Duration::from_secs(10));
    insta::assert_snapshot!(world.timeline.join("\n"), @r#"
    former: write Complete(Some("proof"))
    follower: status Replica term 1 received 1.0 fenced 2
    former: status Primary term 1 received 1.1 fenced 0
    promoted: status Replica term 1 received 1.0 fenced 2
    promoted: status Primary term 2 received 1.0 fenced 0
    client: Error { fault: InDoubt, text: "T3003 primary was replaced while the statement ran" }
    former: status Replica term 1 received 1.1 fenced 0
    "#);
}

/// A replica that stays fenced without a promotion is freed by a failover.
#[test]
fn fence_of_a_failover_that_was_given_up_is_ended() {
    let mut world = World::new();
    world.endpoints[2].fenced_term = 2;
    world.send(write());
    world.is_recording = true;
    world.run_for(Duration::from_secs(7));
    insta::assert_snapshot!(world.timeline.join("\n"), @r#"
    former: write Complete(Some("proof"))
    follower: status Replica term 1 received 1.0 fenced 2
    former: status Primary term 1 received 1.1 fenced 0
    promoted: status Replica term 1 received 1.0 fenced 0
    client: Complete(Some("proof"))
    node: reads Lease
    "#);
}
