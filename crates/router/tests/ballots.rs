//! Votes on many primaries that are lost at once.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tamarackbend_router::directory::{Change, Entry};
use tamarackbend_router::failover::RecordName;
use tamarackbend_router::membership::Peer;
use tamarackbend_router::message::{
    Answer, Command, ConnectionId, Order, Outcome, Position, Role, Status, TransactionState,
};
use tamarackbend_router::settings::Settings;
use tamarackbend_router::{Action, ConnectionLoss, Event, FetchResult, Router};

const START: Duration = Duration::from_secs(50);
const SERVICES: usize = 20;
const TICK: Duration = Duration::from_millis(15);

/// Node with twenty services, whose endpoints answer until their primaries are lost.
struct Node {
    router: Router,
    now: Duration,
    connections: HashMap<ConnectionId, Entry>,
    are_primaries_lost: bool,
    /// Reads of ballots that the store has not answered, with the time of each.
    pending_reads: Vec<(Duration, RecordName)>,
    services_read: BTreeSet<String>,
    most_pending: usize,
    reads: usize,
}

fn entry(service: usize, endpoint: usize) -> Entry {
    Entry {
        id: format!("s{service}-{endpoint}").into(),
        service: format!("s{service}").into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "a".to_owned(),
        leaving: false,
        role: if endpoint == 0 { Role::Primary } else { Role::Replica },
        incarnation: 1,
    }
}

impl Node {
    fn new() -> Node {
        let settings = Settings {
            node: "node".to_owned(),
            failure_domain: "a".to_owned(),
            is_first_start: false,
            regions: HashMap::from([("a".to_owned(), "x".to_owned())]),
            drain_timeout: Duration::from_secs(10),
            stop_timeout: Duration::from_secs(6),
        };
        let mut node = Node {
            router: Router::new(settings, 1, START),
            now: START,
            connections: HashMap::new(),
            are_primaries_lost: false,
            pending_reads: Vec::new(),
            services_read: BTreeSet::new(),
            most_pending: 0,
            reads: 0,
        };
        let peer = Peer {
            name: "node".into(),
            failure_domain: "a".to_owned(),
            address: ([127, 0, 0, 1], 2).into(),
            weight: 170,
        };
        node.step(Event::PeersChanged(vec![peer]));
        let entries = (0..SERVICES).flat_map(|s| (0..3).map(move |e| entry(s, e))).collect();
        node.step(Event::DirectoryChanged(Change::Snapshot(entries)));
        node
    }

    fn step(&mut self, event: Event) {
        for action in self.router.step(self.now, event) {
            match action {
                Action::Connect { connection, entry } => {
                    let is_lost = self.are_primaries_lost && entry.role == Role::Primary;
                    self.connections.insert(connection, entry);
                    match is_lost {
                        true => {
                            self.step(Event::ConnectionLost(connection, ConnectionLoss::Broken))
                        }
                        false => self.step(Event::EndpointConnected(connection, None)),
                    }
                }
                Action::SendCommands(connection, commands) => {
                    commands.iter().for_each(|command| self.answer(connection, command));
                }
                Action::FetchRecord(name @ RecordName::Ballot(_)) => {
                    if let RecordName::Ballot(service) = &name {
                        self.services_read.insert(service.to_string());
                    }
                    self.reads += 1;
                    self.pending_reads.push((self.now, name));
                    self.most_pending = self.most_pending.max(self.pending_reads.len());
                }
                _ => {}
            }
        }
    }

    fn answer(&mut self, connection: ConnectionId, command: &Command) {
        let Some(entry) = self.connections.get(&connection) else { return };
        let status = Status {
            role: entry.role,
            term: 1,
            received: Position { term: 1, number: 1 },
            fenced_term: 0,
            lag: Duration::ZERO,
            running_statements: 0,
            connections: 1,
        };
        let answer = Answer {
            rows: Vec::new(),
            outcome: Outcome::Complete(None),
            state: TransactionState::Idle,
            position: Some(status.received),
            status: (command.order == Order::Status).then_some(status),
        };
        self.step(Event::EndpointAnswered(connection, answer));
    }

    fn lose_primaries(&mut self) {
        self.are_primaries_lost = true;
        let lost = self.connections.iter().filter(|(_, entry)| entry.role == Role::Primary);
        let lost: Vec<ConnectionId> = lost.map(|(id, _)| *id).collect();
        for id in lost {
            self.step(Event::ConnectionLost(id, ConnectionLoss::Broken));
        }
    }

    /// Runs for `time` while the store answers reads after `delay` with this result.
    fn run_for(&mut self, time: Duration, delay: Duration, result: &FetchResult) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            let now = self.now;
            let answered = self.pending_reads.extract_if(.., |(at, _)| now >= *at + delay);
            for (_, name) in answered.collect::<Vec<_>>() {
                self.step(Event::RecordFetched(name, result.clone()));
            }
            self.step(Event::Tick);
        }
    }
}

/// Guards against reads without bound: each of twenty failovers read its ballot every 80 ms, whether
/// or not the store answered, and hundreds of reads held sockets and memory for a second each.
#[test]
fn reads_of_a_silent_store_are_bounded() {
    let mut node = Node::new();
    node.run_for(Duration::from_secs(1), Duration::ZERO, &FetchResult::Missing);
    node.lose_primaries();
    node.run_for(Duration::from_secs(10), Duration::from_secs(1), &FetchResult::Failed);
    assert!(node.most_pending <= 4, "{} reads were unanswered at once", node.most_pending);
    assert!(node.reads <= 45, "{} reads in ten seconds", node.reads);
}

/// All failovers still make progress within the time that a failover of one group takes.
#[test]
fn every_ballot_is_read_soon_when_the_store_answers() {
    let mut node = Node::new();
    node.run_for(Duration::from_secs(1), Duration::ZERO, &FetchResult::Missing);
    node.lose_primaries();
    node.run_for(Duration::from_millis(300), Duration::from_millis(10), &FetchResult::Missing);
    assert_eq!(node.services_read.len(), SERVICES);
}
