//! A router whose endpoints answer at once until they are lost.

#![allow(dead_code, reason = "each test uses a part of the functions")]

use std::collections::HashMap;
use std::time::Duration;

use tamarackbend_router::configuration::{Configuration, Consistency, Route, Service};
use tamarackbend_router::directory::{Change, Entry};
use tamarackbend_router::membership::Peer;
use tamarackbend_router::message::{
    Answer, Command, ConnectionId, Fault, Order, Outcome, Position, Role, Statement, Status,
    TransactionState,
};
use tamarackbend_router::settings::Settings;
use tamarackbend_router::{Action, ConnectionLoss, Event, Router};

pub const START: Duration = Duration::from_secs(50);
pub const TICK: Duration = Duration::from_millis(15);

/// Node of a small fleet. Service `s0` is used by database `db0`, and so on; endpoint 0 of each
/// service is its primary.
pub struct Node {
    pub router: Router,
    pub now: Duration,
    /// Connections that were opened to endpoints and not lost.
    pub connections: HashMap<ConnectionId, Entry>,
    /// Commands to endpoints, in the order of sending.
    pub commands: Vec<(ConnectionId, Command)>,
    lost_role: Option<Role>,
    /// Actions that concern neither connections to endpoints nor their commands.
    pub actions: Vec<Action>,
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

fn configuration(services: usize) -> Configuration {
    let route = |index: usize| Route {
        service: format!("s{index}").into(),
        consistency: Consistency::Latest,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(400),
        priority: 1,
        is_public: false,
    };
    let service = |index| Service { name: format!("s{index}").into(), connections: 76 };
    Configuration {
        version: 1,
        routes: (0..services).map(|index| (format!("db{index}"), route(index))).collect(),
        services: (0..services).map(service).collect(),
        transaction_idle: Duration::from_secs(3),
        customers: None,
    }
}

impl Node {
    /// Returns the first node of a fleet in which every node holds connections.
    pub fn new(nodes: usize, services: usize) -> Node {
        let settings = Settings {
            node: "node-0".to_owned(),
            failure_domain: "a".to_owned(),
            is_first_start: false,
            regions: HashMap::from([("a".to_owned(), "x".to_owned())]),
            drain_timeout: Duration::from_secs(10),
            stop_timeout: Duration::from_secs(6),
            has_customers: false,
            limit_window: Duration::from_secs(5),
            limit_slack: 20.0,
        };
        let mut node = Node {
            router: Router::new(settings, 1, START),
            now: START,
            connections: HashMap::new(),
            commands: Vec::new(),
            lost_role: None,
            actions: Vec::new(),
        };
        let peers = (0..nodes).map(|index| Peer {
            name: format!("node-{index}").into(),
            failure_domain: "a".to_owned(),
            address: ([127, 0, 0, 1], 2).into(),
            weight: 170,
        });
        node.step(Event::PeersChanged(peers.collect()));
        node.step(Event::ConfigurationRead(configuration(services)));
        let entries = (0..services).flat_map(|s| (0..3).map(move |e| entry(s, e))).collect();
        node.step(Event::DirectoryChanged(Change::Snapshot(entries)));
        node
    }

    pub fn step(&mut self, event: Event) {
        for action in self.router.step(self.now, event) {
            match action {
                Action::Connect { connection, entry, .. } => {
                    let is_lost = self.lost_role == Some(entry.role);
                    self.connections.insert(connection, entry);
                    self.step(match is_lost {
                        true => Event::ConnectionLost(connection, ConnectionLoss::Broken),
                        false => Event::EndpointConnected(connection, None),
                    });
                }
                Action::SendCommands(connection, commands)
                    if self.connections.contains_key(&connection) =>
                {
                    commands.iter().for_each(|command| self.answer(connection, command));
                }
                other => self.actions.push(other),
            }
        }
    }

    fn answer(&mut self, connection: ConnectionId, command: &Command) {
        self.commands.push((connection, command.clone()));
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
        let is_begin = command.order == Order::Statement(Statement::Begin { read_only: false });
        let outcome = match is_begin && entry.role == Role::Replica {
            true => Outcome::Error { fault: Fault::ReadOnly, text: String::new() },
            false => Outcome::Complete(None),
        };
        let answer = Answer {
            rows: Vec::new(),
            outcome,
            state: TransactionState::Idle,
            position: Some(status.received),
            status: (command.order == Order::Status).then_some(status),
        };
        self.step(Event::EndpointAnswered(connection, answer));
    }

    /// Loses the endpoints of a role: their connections break, and new ones are refused. With none, all
    /// endpoints can be reached again.
    pub fn lose(&mut self, role: Option<Role>) {
        self.lost_role = role;
        let lost = self.connections.iter().filter(|(_, entry)| Some(entry.role) == role);
        let lost: Vec<ConnectionId> = lost.map(|(id, _)| *id).collect();
        for id in lost {
            self.connections.remove(&id);
            self.step(Event::ConnectionLost(id, ConnectionLoss::Broken));
        }
    }

    /// Lets one tick pass.
    pub fn tick(&mut self) {
        self.now += TICK;
        self.step(Event::Tick);
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }
}
