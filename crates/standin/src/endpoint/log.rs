//! Log of an endpoint, its terms and its replication.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use serde::{Deserialize, Serialize};
use tamarackbend_policy::position::{LogPosition, Role, Status, Term};

use super::engine::{Engine, Logged};
use super::{Faults, Setup};
use crate::latency::Latency;

/// Committed transaction.
#[derive(Clone, Debug)]
struct Entry {
    term: Term,
    written: Instant,
    statements: Vec<Logged>,
}

/// What an endpoint holds and has served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Status.
    pub status: Status,
    /// Open connections other than control connections.
    pub connections: usize,
    /// Most such connections at any time.
    pub most_connections: usize,
    /// Statements run.
    pub statements: u64,
}

/// One endpoint.
pub(super) struct Server {
    pub(super) failure_domain: String,
    pub(super) latency: Latency,
    pub(super) slots: usize,
    pub(super) connections: usize,
    pub(super) most_connections: usize,
    pub(super) statements: u64,
    pub(super) engine: Engine,
    index: usize,
    name: String,
    role: Role,
    closed_term: Term,
    term: Term,
    term_start: LogPosition,
    incarnation: u64,
    log: Vec<Entry>,
    primary: Option<usize>,
    faults: Faults,
    kills: Vec<oneshot::Sender<()>>,
}

impl Server {
    pub(super) fn new(setup: &Setup, index: usize, address: SocketAddr) -> Server {
        let name = format!("{}-{}", setup.database, address.port());
        Server {
            failure_domain: setup.failure_domains[index].clone(),
            latency: setup.latency.clone(),
            slots: setup.slots,
            connections: 0,
            most_connections: 0,
            statements: 0,
            engine: Engine::new(&name, 1),
            index,
            name,
            role: if index == 0 { Role::Primary } else { Role::Replica },
            closed_term: 1,
            term: 1,
            term_start: 0,
            incarnation: 1,
            log: Vec::new(),
            primary: Some(0),
            faults: Faults::default(),
            kills: Vec::new(),
        }
    }

    pub(super) fn status(&self) -> Status {
        Status {
            role: self.role,
            fenced_term: self.closed_term,
            term: self.term,
            log_term: self.log.last().map_or(1, |entry| entry.term),
            term_start: self.term_start,
            position: self.log.len() as LogPosition,
            incarnation: self.incarnation,
        }
    }

    pub(super) fn report(&self) -> Report {
        Report {
            status: self.status(),
            connections: self.connections,
            most_connections: self.most_connections,
            statements: self.statements,
        }
    }

    pub(super) fn faults(&self) -> Faults {
        self.faults
    }

    pub(super) fn set_faults(&mut self, faults: Faults) {
        if faults.crashed && !self.faults.crashed {
            self.kill_connections();
        }
        if !faults.crashed && self.faults.crashed {
            self.incarnation += 1;
        }
        self.faults = faults;
    }

    /// Returns a channel that closes when the endpoint drops its connections.
    pub(super) fn register(&mut self) -> oneshot::Receiver<()> {
        let (kill, killed) = oneshot::channel();
        self.kills.retain(|kill| !kill.is_canceled());
        self.kills.push(kill);
        killed
    }

    pub(super) fn is_primary(&self) -> bool {
        self.role == Role::Primary
    }

    /// Appends a committed transaction to the log.
    pub(super) fn append(&mut self, statements: Vec<Logged>) {
        self.log.push(Entry { term: self.term, written: Instant::now(), statements });
    }

    pub(super) fn close_term(&mut self, term: Term) {
        if term > self.closed_term {
            self.closed_term = term;
            self.role = Role::Replica;
            self.primary = None;
        }
    }

    pub(super) fn promote(&mut self, term: Term) -> Result<(), String> {
        if self.closed_term != term {
            return Err(format!("term {term} is not closed here but {}", self.closed_term));
        }
        if self.role == Role::Primary && self.term == term {
            return Ok(());
        }
        self.role = Role::Primary;
        self.term = term;
        self.term_start = self.log.len() as LogPosition;
        self.append(Vec::new());
        Ok(())
    }

    fn kill_connections(&mut self) {
        self.kills.clear();
    }

    fn truncate(&mut self, length: usize) {
        self.log.truncate(length);
        self.incarnation += 1;
        self.engine = Engine::new(&self.name, self.incarnation);
        for entry in &self.log {
            self.engine.replay(&entry.statements);
        }
        self.kill_connections();
    }

    fn stands_still(&self) -> bool {
        self.faults.crashed || self.faults.paused || self.faults.isolated
    }
}

/// Orders `servers[index]` to apply the log of `primary` in `term`.
pub(super) fn follow(
    servers: &[Rc<RefCell<Server>>],
    index: usize,
    term: Term,
    primary: usize,
) -> Result<(), String> {
    if primary == index || primary >= servers.len() {
        return Err("endpoint cannot follow itself".to_owned());
    }
    let leader = servers[primary].borrow();
    let mut server = servers[index].borrow_mut();
    if term < server.closed_term {
        return Err(format!("term {} is closed", server.closed_term));
    }
    if leader.stands_still() || server.faults.isolated {
        return Err("primary cannot be reached".to_owned());
    }
    if leader.role != Role::Primary || leader.term != term {
        return Err("endpoint is no primary of that term".to_owned());
    }
    let common = leader.log.iter().zip(&server.log).take_while(|(a, b)| a.term == b.term).count();
    server.closed_term = term;
    server.role = Role::Replica;
    server.term = term;
    server.term_start = leader.term_start;
    server.primary = Some(primary);
    if common < server.log.len() {
        server.truncate(common);
    }
    Ok(())
}

/// Moves entries that are old enough from primaries to the replicas that follow them.
pub(super) fn replicate(servers: &[Rc<RefCell<Server>>]) {
    for replica in servers {
        let Some(primary) = source(servers, replica) else {
            continue;
        };
        let primary = primary.borrow();
        let mut replica = replica.borrow_mut();
        let distance = replica.latency.between(&primary.failure_domain, &replica.failure_domain);
        let age = Duration::from_millis(replica.faults.lag_ms) + distance;
        while let Some(entry) = primary.log.get(replica.log.len()) {
            if entry.written.elapsed() < age || !replica.engine.replay(&entry.statements) {
                break;
            }
            replica.log.push(entry.clone());
        }
    }
}

fn source<'a>(
    servers: &'a [Rc<RefCell<Server>>],
    replica: &Rc<RefCell<Server>>,
) -> Option<&'a Rc<RefCell<Server>>> {
    let replica = replica.borrow();
    let primary = replica.primary.filter(|primary| *primary != replica.index)?;
    let source = servers.get(primary)?;
    let leader = source.borrow();
    let linked = !replica.stands_still() && !leader.stands_still();
    let settled = replica.term == replica.closed_term && replica.role == Role::Replica;
    let leads = leader.role == Role::Primary && leader.term == replica.term;
    (linked && settled && leads).then_some(source)
}
