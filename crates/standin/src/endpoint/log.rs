//! State of one endpoint: its transaction log, its terms and its replication.
//!
//! A *term* is the numbered period of one primary. An endpoint that is *fenced* at a term stops
//! being the primary of a lower term and rejects orders of lower terms.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use serde::{Deserialize, Serialize};
use tamarackbend_policy::position::{LogPosition, Role, Status, Term};

use super::engine::{Engine, LoggedStatement};
use super::{Faults, Setup};
use crate::latency::Latency;

/// Log entry: one committed transaction.
#[derive(Clone, Debug)]
struct Entry {
    term: Term,
    committed_at: Instant,
    statements: Vec<LoggedStatement>,
}

/// Status of an endpoint, and its numbers of connections and statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Role, terms and log position.
    pub status: Status,
    /// Open connections other than control connections.
    pub connections: usize,
    /// Highest number of such connections at any time.
    #[serde(rename = "most_connections")]
    pub peak_connections: usize,
    /// Statements received since the start.
    pub statements: u64,
}

/// State of one endpoint.
pub(super) struct Server {
    pub(super) failure_domain: String,
    pub(super) latency: Latency,
    pub(super) slots: usize,
    pub(super) connections: usize,
    pub(super) peak_connections: usize,
    pub(super) statements: u64,
    pub(super) engine: Engine,
    index: usize,
    name: String,
    role: Role,
    fenced_term: Term,
    term: Term,
    /// Log position at which the current term began.
    term_start: LogPosition,
    incarnation: u64,
    log: Vec<Entry>,
    /// Index of the primary that this endpoint replicates from.
    primary: Option<usize>,
    faults: Faults,
    /// One sender per connection; the connection ends when its sender is dropped.
    close_signals: Vec<oneshot::Sender<()>>,
}

impl Server {
    pub(super) fn new(setup: &Setup, index: usize, address: SocketAddr) -> Server {
        let name = format!("{}-{}", setup.database, address.port());
        Server {
            failure_domain: setup.failure_domains[index].clone(),
            latency: setup.latency.clone(),
            slots: setup.slots,
            connections: 0,
            peak_connections: 0,
            statements: 0,
            engine: Engine::new(&name, 1),
            index,
            name,
            role: if index == 0 { Role::Primary } else { Role::Replica },
            fenced_term: 1,
            term: 1,
            term_start: 0,
            incarnation: 1,
            log: Vec::new(),
            primary: Some(0),
            faults: Faults::default(),
            close_signals: Vec::new(),
        }
    }

    pub(super) fn status(&self) -> Status {
        Status {
            role: self.role,
            fenced_term: self.fenced_term,
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
            peak_connections: self.peak_connections,
            statements: self.statements,
        }
    }

    pub(super) fn faults(&self) -> Faults {
        self.faults
    }

    pub(super) fn set_faults(&mut self, faults: Faults) {
        if faults.crashed && !self.faults.crashed {
            self.close_connections();
        }
        if !faults.crashed && self.faults.crashed {
            self.incarnation += 1;
        }
        self.faults = faults;
    }

    /// Returns a channel that closes when the endpoint closes its connections.
    pub(super) fn register_connection(&mut self) -> oneshot::Receiver<()> {
        let (signal, closed) = oneshot::channel();
        self.close_signals.retain(|signal| !signal.is_canceled());
        self.close_signals.push(signal);
        closed
    }

    pub(super) fn is_primary(&self) -> bool {
        self.role == Role::Primary
    }

    /// Appends a committed transaction to the log.
    pub(super) fn append(&mut self, statements: Vec<LoggedStatement>) {
        self.log.push(Entry { term: self.term, committed_at: Instant::now(), statements });
    }

    /// Fences the endpoint at `term`, unless it is already fenced at that term or a higher one.
    ///
    /// The endpoint becomes a replica that replicates from no primary.
    pub(super) fn fence_term(&mut self, term: Term) {
        if term > self.fenced_term {
            self.fenced_term = term;
            self.role = Role::Replica;
            self.primary = None;
        }
    }

    /// Makes the endpoint the primary of `term`, at which it must be fenced.
    pub(super) fn promote(&mut self, term: Term) -> Result<(), String> {
        if self.fenced_term != term {
            return Err(format!("term {term} is not closed here but {}", self.fenced_term));
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

    fn close_connections(&mut self) {
        self.close_signals.clear();
    }

    /// Cuts the log to `length` entries and rebuilds the database from them.
    fn truncate(&mut self, length: usize) {
        self.log.truncate(length);
        self.incarnation += 1;
        self.engine = Engine::new(&self.name, self.incarnation);
        for entry in &self.log {
            self.engine.replay(&entry.statements);
        }
        self.close_connections();
    }

    /// Returns whether a fault keeps the endpoint from exchanging log entries with its group.
    fn is_replication_blocked(&self) -> bool {
        self.faults.crashed || self.faults.paused || self.faults.isolated
    }
}

/// Makes `servers[index]` a replica that applies the log of `servers[primary]` in `term`.
pub(super) fn replicate_from(
    servers: &[Rc<RefCell<Server>>],
    index: usize,
    term: Term,
    primary: usize,
) -> Result<(), String> {
    if primary == index || primary >= servers.len() {
        return Err("endpoint cannot follow itself".to_owned());
    }
    let primary_server = servers[primary].borrow();
    let mut server = servers[index].borrow_mut();
    if term < server.fenced_term {
        return Err(format!("term {} is closed", server.fenced_term));
    }
    if primary_server.is_replication_blocked() || server.faults.isolated {
        return Err("primary cannot be reached".to_owned());
    }
    if primary_server.role != Role::Primary || primary_server.term != term {
        return Err("endpoint is no primary of that term".to_owned());
    }
    let common_length =
        primary_server.log.iter().zip(&server.log).take_while(|(a, b)| a.term == b.term).count();
    server.fenced_term = term;
    server.role = Role::Replica;
    server.term = term;
    server.term_start = primary_server.term_start;
    server.primary = Some(primary);
    if common_length < server.log.len() {
        server.truncate(common_length);
    }
    Ok(())
}

/// Copies log entries older than the replication lag from each primary to its replicas.
pub(super) fn replicate(servers: &[Rc<RefCell<Server>>]) {
    for replica in servers {
        let Some(primary) = replication_source(servers, replica) else {
            continue;
        };
        let primary = primary.borrow();
        let mut replica = replica.borrow_mut();
        let delay = replica.latency.between(&primary.failure_domain, &replica.failure_domain);
        let min_age = Duration::from_millis(replica.faults.lag_ms) + delay;
        while let Some(entry) = primary.log.get(replica.log.len()) {
            if entry.committed_at.elapsed() < min_age || !replica.engine.replay(&entry.statements) {
                break;
            }
            replica.log.push(entry.clone());
        }
    }
}

/// Returns the primary that `replica` can replicate from now.
fn replication_source<'a>(
    servers: &'a [Rc<RefCell<Server>>],
    replica: &Rc<RefCell<Server>>,
) -> Option<&'a Rc<RefCell<Server>>> {
    let replica = replica.borrow();
    let primary = replica.primary.filter(|primary| *primary != replica.index)?;
    let source = servers.get(primary)?;
    let primary_server = source.borrow();
    let is_connected =
        !replica.is_replication_blocked() && !primary_server.is_replication_blocked();
    let is_in_newest_term = replica.term == replica.fenced_term && replica.role == Role::Replica;
    let is_primary = primary_server.role == Role::Primary && primary_server.term == replica.term;
    (is_connected && is_in_newest_term && is_primary).then_some(source)
}
