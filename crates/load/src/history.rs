//! History of the statements of all clients.

use std::time::Duration;

/// Kind of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Read,
    Write,
}

/// Outcome that a client learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Acknowledged.
    Done,
    /// Refused without an effect.
    NotRun,
    /// Failed, perhaps after it took effect.
    Unknown,
}

/// Statement or transaction of a client.
#[derive(Clone, Debug)]
pub(crate) struct Operation {
    /// Index of the client.
    pub(crate) client: usize,
    /// Index of the club.
    pub(crate) club: usize,
    /// Index of the database.
    pub(crate) database: usize,
    pub(crate) kind: Kind,
    /// Number that a write inserts, or least number that a read must return.
    pub(crate) number: i64,
    /// Number that a read returned; 0 for none.
    pub(crate) seen: i64,
    pub(crate) outcome: Outcome,
    /// Result code or SQLSTATE of the last error.
    pub(crate) error: Option<String>,
    /// Time since the start of the run.
    pub(crate) start: Duration,
    /// Time since the start of the run.
    pub(crate) end: Duration,
    /// Whether some replica held every write that the read must return.
    pub(crate) is_replica_possible: bool,
}
