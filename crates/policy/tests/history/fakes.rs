//! Fake endpoints and a fake platform, as far as an owner interacts with them.

use std::collections::BTreeMap;
use std::time::Duration;

use tamarackbend_policy::failover::{Group, GroupError};
use tamarackbend_policy::owner::{ConnectionId, SessionId};
use tamarackbend_policy::position::{Role, Status, Term};

/// Id of a written row.
pub type RowId = u64;

/// Committed transaction.
#[derive(Clone, Debug)]
pub struct Entry {
    pub term: Term,
    pub written_at: Duration,
    pub rows: Vec<RowId>,
}

/// Transaction that is open on a connection.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    pub rows: Vec<RowId>,
    pub sessions: Vec<SessionId>,
}

/// Endpoint with an in-memory log.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub status: Status,
    pub log: Vec<Entry>,
    pub is_crashed: bool,
    pub is_isolated: bool,
    /// Delay before an entry of the primary's log is applied.
    pub lag: Duration,
    pub followed_primary: Option<usize>,
    /// Incremented when all connections are dropped; connections of older generations are broken.
    pub connection_generation: u64,
    pub transactions: BTreeMap<(usize, ConnectionId), Transaction>,
}

impl Endpoint {
    pub fn new(index: usize) -> Endpoint {
        let role = if index == 0 { Role::Primary } else { Role::Replica };
        let status = Status {
            role,
            fenced_term: 1,
            term: 1,
            log_term: 1,
            term_start: 0,
            position: 0,
            incarnation: 1,
        };
        Endpoint {
            status,
            log: Vec::new(),
            is_crashed: false,
            is_isolated: false,
            lag: Duration::from_millis(10),
            followed_primary: Some(0),
            connection_generation: 0,
            transactions: BTreeMap::new(),
        }
    }

    pub fn rows(&self) -> Vec<RowId> {
        self.log.iter().flat_map(|entry| entry.rows.iter().copied()).collect()
    }

    pub fn append(&mut self, now: Duration, rows: Vec<RowId>) {
        self.log.push(Entry { term: self.status.term, written_at: now, rows });
        self.update_status();
    }

    pub fn drop_connections(&mut self) {
        self.connection_generation += 1;
        self.transactions.clear();
    }

    pub fn fence_term(&mut self, term: Term) {
        if term > self.status.fenced_term {
            self.status.fenced_term = term;
            self.status.role = Role::Replica;
            self.followed_primary = None;
        }
    }

    pub fn promote(&mut self, now: Duration, term: Term) -> bool {
        if self.status.fenced_term != term {
            return false;
        }
        if self.status.role != Role::Primary || self.status.term != term {
            self.status.role = Role::Primary;
            self.status.term = term;
            self.status.term_start = self.log.len() as u64;
            self.append(now, Vec::new());
        }
        true
    }

    fn update_status(&mut self) {
        self.status.position = self.log.len() as u64;
        self.status.log_term = self.log.last().map_or(1, |entry| entry.term);
    }
}

/// Makes an endpoint a replica of `primary` in `term`, if the primary is reachable. Entries that
/// differ from the primary's log are truncated.
pub fn follow(endpoints: &mut [Endpoint], index: usize, term: Term, primary: usize) {
    let primary_endpoint = endpoints[primary].clone();
    let endpoint = &mut endpoints[index];
    let is_connected =
        !primary_endpoint.is_crashed && !primary_endpoint.is_isolated && !endpoint.is_isolated;
    let is_primary =
        primary_endpoint.status.role == Role::Primary && primary_endpoint.status.term == term;
    if term < endpoint.status.fenced_term || !is_connected || !is_primary {
        return;
    }
    let have_same_term = |(a, b): &(&Entry, &Entry)| a.term == b.term;
    let common_entries =
        primary_endpoint.log.iter().zip(&endpoint.log).take_while(have_same_term).count();
    endpoint.status.fenced_term = term;
    endpoint.status.role = Role::Replica;
    endpoint.status.term = term;
    endpoint.status.term_start = primary_endpoint.status.term_start;
    endpoint.followed_primary = Some(primary);
    if common_entries < endpoint.log.len() {
        endpoint.log.truncate(common_entries);
        endpoint.status.incarnation += 1;
        endpoint.drop_connections();
    }
    endpoint.update_status();
}

/// Copies log entries from primaries to their reachable replicas, each after the replica's lag.
pub fn replicate(endpoints: &mut [Endpoint], now: Duration) {
    for index in 0..endpoints.len() {
        let Some(primary) = endpoints[index].followed_primary.filter(|primary| *primary != index)
        else {
            continue;
        };
        let primary_endpoint = endpoints[primary].clone();
        let endpoint = &mut endpoints[index];
        let is_connected = !primary_endpoint.is_crashed
            && !primary_endpoint.is_isolated
            && !endpoint.is_isolated
            && !endpoint.is_crashed;
        let is_primary = primary_endpoint.status.role == Role::Primary
            && primary_endpoint.status.term == endpoint.status.term
            && endpoint.status.is_in_newest_term();
        if !is_connected || !is_primary {
            continue;
        }
        let missing = primary_endpoint.log.iter().skip(endpoint.log.len());
        let due = missing.take_while(|entry| now >= entry.written_at + endpoint.lag).cloned();
        endpoint.log.extend(due.collect::<Vec<_>>());
        endpoint.update_status();
    }
}

/// Platform that stores the group object.
#[derive(Clone, Debug)]
pub struct Platform {
    pub group: Group,
    pub is_down: bool,
    /// Number of further updates that take effect but whose answers are lost.
    pub answers_to_lose: u32,
}

impl Platform {
    pub fn new() -> Platform {
        let group = Group { version: 1, term: 1, primary: Some(0), attempt: 0 };
        Platform { group, is_down: false, answers_to_lose: 0 }
    }

    pub fn read(&self) -> Result<Group, GroupError> {
        if self.is_down { Err(GroupError::Unavailable) } else { Ok(self.group) }
    }

    pub fn update(&mut self, group: Group) -> Result<Group, GroupError> {
        if self.is_down {
            return Err(GroupError::Unavailable);
        }
        if group.version != self.group.version {
            return Err(GroupError::Conflict(self.group));
        }
        self.group = Group { version: group.version + 1, ..group };
        if self.answers_to_lose > 0 {
            self.answers_to_lose -= 1;
            return Err(GroupError::Unavailable);
        }
        Ok(self.group)
    }
}
