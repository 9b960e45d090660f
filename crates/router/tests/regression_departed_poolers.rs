//! Guards against a service that ends for good after machines were replaced. The records of removed
//! machines stayed in the store and made them poolers, so after a restart each running node sent its
//! clients to machines that were gone.

mod fleet;

use std::collections::HashMap;
use std::time::Duration;

use fleet::{START, settings};
use tamarackbend_router::configuration::{Configuration, Consistency, Route, Service};
use tamarackbend_router::directory::{Change, Entry};
use tamarackbend_router::membership::Peer;
use tamarackbend_router::message::{Position, Role, SessionId};
use tamarackbend_router::{Action, ConnectionLoss, Event, Router, WatchScope};

const TICK: Duration = Duration::from_millis(15);
/// Time after a restart of all processes within which clients must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Node that has just started, and whose list of nodes names machines that are gone.
struct Node {
    router: Router,
    now: Duration,
    /// Names of the nodes that run.
    running: Vec<String>,
    /// Whether the store does not answer watches that begin.
    is_store_silent: bool,
    timeline: Vec<String>,
    next_session: SessionId,
}

fn peer(name: &str, weight: u32) -> Peer {
    Peer {
        name: name.into(),
        failure_domain: "a".to_owned(),
        address: ([127, 0, 0, 1], 7440).into(),
        weight,
    }
}

impl Node {
    fn new(peers: Vec<Peer>) -> Node {
        let mut node = Node {
            router: Router::new(settings("new-1"), 1, START),
            now: START,
            running: vec!["new-1".to_owned()],
            is_store_silent: false,
            timeline: Vec::new(),
            next_session: 1,
        };
        node.step(Event::PeersChanged(peers));
        node
    }

    fn step(&mut self, event: Event) {
        for action in self.router.step(self.now, event) {
            match action {
                Action::OpenChannel { connection, entry, .. } => {
                    let is_running = self.running.iter().any(|name| **name == *entry.id);
                    let event = match is_running {
                        true => Event::EndpointConnected(connection, None),
                        false => Event::ConnectionLost(connection, ConnectionLoss::Broken),
                    };
                    let outcome = if is_running { "opened" } else { "refused" };
                    self.record(format!("channel to {} {outcome}", entry.id));
                    self.step(event);
                }
                Action::Connect { connection, entry, .. } => {
                    self.record(format!("connection to {}", entry.id));
                    self.step(Event::EndpointConnected(connection, Some(POSITION)));
                }
                Action::WatchStore(WatchScope::OwnClients) => {
                    self.record("watch of the store".to_owned());
                    if self.is_store_silent {
                        continue;
                    }
                    self.step(Event::ConfigurationRead(configuration()));
                    self.step(Event::DirectoryChanged(Change::Snapshot(vec![entry()])));
                }
                Action::AcceptSession(_) => self.record("session accepted".to_owned()),
                Action::RejectSession(..) => self.record("session rejected".to_owned()),
                Action::ProbePeer(name, _) => {
                    let has_answered = self.running.iter().any(|running| **running == *name);
                    self.step(Event::PeerProbed(name, has_answered));
                }
                Action::RemovePeer(name) => self.record(format!("record of {name} removed")),
                _ => {}
            }
        }
    }

    /// Adds a line to the timeline unless it repeats the last ones.
    fn record(&mut self, line: String) {
        if !self.timeline.contains(&line) {
            self.timeline.push(line);
        }
    }

    /// Lets time pass while a client connects every 100 ms.
    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        let mut next_at = self.now;
        while self.now < end {
            self.now += TICK;
            if self.now >= next_at {
                next_at += Duration::from_millis(100);
                let session = self.next_session;
                self.next_session += 1;
                self.step(Event::ClientConnected(session));
                self.request_start(session);
            }
            self.step(Event::Tick);
        }
    }

    fn request_start(&mut self, session: SessionId) {
        let request =
            tamarackbend_router::message::Request::Start { database: "db".to_owned(), key: None };
        self.step(Event::ClientRequest(session, request));
    }
}

const POSITION: Position = Position { term: 1, number: 1 };

fn entry() -> Entry {
    Entry {
        id: "endpoint".into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "a".to_owned(),
        leaving: false,
        role: Role::Primary,
        incarnation: 1,
    }
}

fn configuration() -> Configuration {
    let route = Route {
        service: "s".into(),
        consistency: Consistency::Latest,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(400),
        priority: 1,
        is_public: false,
    };
    Configuration {
        version: 1,
        routes: HashMap::from([("db".to_owned(), route)]),
        services: vec![Service { name: "s".into(), connections: 76 }],
        transaction_idle: Duration::from_secs(3),
        customers: None,
    }
}

/// Returns the records of forty machines that are gone and of one that runs.
fn peers_after_replacements() -> Vec<Peer> {
    let mut peers: Vec<Peer> = (0..40).map(|n| peer(&format!("gone-{n}"), 170)).collect();
    peers.push(peer("new-1", 170));
    peers
}

#[test]
fn clients_are_served_after_a_restart_although_all_poolers_are_gone() {
    let mut node = Node::new(peers_after_replacements());
    node.run_for(RECOVERY_TIME);
    insta::assert_snapshot!(node.timeline.join("\n"), @r"
    channel to gone-14 refused
    channel to gone-12 refused
    session rejected
    watch of the store
    session accepted
    ");
}

/// A pooler that answers again takes the clients over.
#[test]
fn clients_return_to_poolers_that_answer_again() {
    let mut node = Node::new(peers_after_replacements());
    node.run_for(RECOVERY_TIME);
    node.timeline.clear();
    node.running.extend((0..40).map(|n| format!("gone-{n}")));
    node.run_for(RECOVERY_TIME);
    insta::assert_snapshot!(node.timeline.join("\n"), @r"
    session accepted
    channel to gone-12 opened
    channel to gone-14 opened
    session rejected
    ");
    let dump = node.router.dump().to_string();
    assert!(dump.contains("\"holds_connections\":false"), "{dump}");
}

/// Guards against clients that are served by a configuration and a list of endpoints which nothing has kept
/// up to date since this node was a pooler.
#[test]
fn clients_are_not_served_by_an_old_view_of_the_store() {
    let mut node = Node::new(vec![peer("new-1", 170)]);
    node.run_for(Duration::from_secs(1));
    node.step(Event::PeersChanged(peers_after_replacements()));
    node.is_store_silent = true;
    node.timeline.clear();
    node.run_for(RECOVERY_TIME);
    insta::assert_snapshot!(node.timeline.join("\n"), @r"
    channel to gone-14 refused
    channel to gone-12 refused
    session rejected
    watch of the store
    ");
}
