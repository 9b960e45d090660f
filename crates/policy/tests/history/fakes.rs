//! Fake endpoints and platform with the shapes that an owner sees.

use std::collections::BTreeMap;
use std::time::Duration;

use tamarackbend_policy::failover::{Group, GroupError};
use tamarackbend_policy::owner::{ConnectionId, SessionId};
use tamarackbend_policy::position::{Role, Status, Term};

/// Identifies a written row.
pub type RowId = u64;

/// Committed transaction.
#[derive(Clone, Debug)]
pub struct Entry {
    pub term: Term,
    pub written: Duration,
    pub rows: Vec<RowId>,
}

/// Transaction that is open on a connection.
#[derive(Clone, Debug, Default)]
pub struct Open {
    pub rows: Vec<RowId>,
    pub sessions: Vec<SessionId>,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub status: Status,
    pub log: Vec<Entry>,
    pub crashed: bool,
    pub isolated: bool,
    pub lag: Duration,
    pub follows: Option<usize>,
    /// Changes when all connections are dropped.
    pub generation: u64,
    pub transactions: BTreeMap<(usize, ConnectionId), Open>,
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
            crashed: false,
            isolated: false,
            lag: Duration::from_millis(10),
            follows: Some(0),
            generation: 0,
            transactions: BTreeMap::new(),
        }
    }

    pub fn rows(&self) -> Vec<RowId> {
        self.log.iter().flat_map(|entry| entry.rows.iter().copied()).collect()
    }

    pub fn append(&mut self, now: Duration, rows: Vec<RowId>) {
        self.log.push(Entry { term: self.status.term, written: now, rows });
        self.measure();
    }

    pub fn drop_connections(&mut self) {
        self.generation += 1;
        self.transactions.clear();
    }

    pub fn close_term(&mut self, term: Term) {
        if term > self.status.fenced_term {
            self.status.fenced_term = term;
            self.status.role = Role::Replica;
            self.follows = None;
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

    fn measure(&mut self) {
        self.status.position = self.log.len() as u64;
        self.status.log_term = self.log.last().map_or(1, |entry| entry.term);
    }
}

pub fn follow(endpoints: &mut [Endpoint], index: usize, term: Term, primary: usize) {
    let leader = endpoints[primary].clone();
    let endpoint = &mut endpoints[index];
    let linked = !leader.crashed && !leader.isolated && !endpoint.isolated;
    let leads = leader.status.role == Role::Primary && leader.status.term == term;
    if term < endpoint.status.fenced_term || !linked || !leads {
        return;
    }
    let same = |(a, b): &(&Entry, &Entry)| a.term == b.term;
    let common = leader.log.iter().zip(&endpoint.log).take_while(same).count();
    endpoint.status.fenced_term = term;
    endpoint.status.role = Role::Replica;
    endpoint.status.term = term;
    endpoint.status.term_start = leader.status.term_start;
    endpoint.follows = Some(primary);
    if common < endpoint.log.len() {
        endpoint.log.truncate(common);
        endpoint.status.incarnation += 1;
        endpoint.drop_connections();
    }
    endpoint.measure();
}

pub fn replicate(endpoints: &mut [Endpoint], now: Duration) {
    for index in 0..endpoints.len() {
        let Some(primary) = endpoints[index].follows.filter(|primary| *primary != index) else {
            continue;
        };
        let leader = endpoints[primary].clone();
        let endpoint = &mut endpoints[index];
        let linked = !leader.crashed && !leader.isolated && !endpoint.isolated && !endpoint.crashed;
        let leads = leader.status.role == Role::Primary
            && leader.status.term == endpoint.status.term
            && endpoint.status.is_in_newest_term();
        if !linked || !leads {
            continue;
        }
        let due = leader.log.iter().skip(endpoint.log.len());
        let due = due.take_while(|entry| now >= entry.written + endpoint.lag).cloned();
        endpoint.log.extend(due.collect::<Vec<_>>());
        endpoint.measure();
    }
}

/// The platform's group object.
#[derive(Clone, Debug)]
pub struct Platform {
    pub group: Group,
    pub outage: bool,
    /// Updates whose answer is lost after they took effect.
    pub lose_answers: u32,
}

impl Platform {
    pub fn new() -> Platform {
        let group = Group { version: 1, term: 1, primary: Some(0), attempt: 0 };
        Platform { group, outage: false, lose_answers: 0 }
    }

    pub fn read(&self) -> Result<Group, GroupError> {
        if self.outage { Err(GroupError::Unavailable) } else { Ok(self.group) }
    }

    pub fn update(&mut self, group: Group) -> Result<Group, GroupError> {
        if self.outage {
            return Err(GroupError::Unavailable);
        }
        if group.version != self.group.version {
            return Err(GroupError::Conflict(self.group));
        }
        self.group = Group { version: group.version + 1, ..group };
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return Err(GroupError::Unavailable);
        }
        Ok(self.group)
    }
}
