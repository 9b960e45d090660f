//! History of the statements of all clients.

use std::time::Duration;

/// Whether an operation reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Access {
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

/// Read or write of a client: a single statement, or a transaction that writes.
#[derive(Clone, Debug)]
pub(crate) struct Operation {
    /// Index of the client.
    pub(crate) client: usize,
    /// Index of the club.
    pub(crate) club: usize,
    /// Index of the database.
    pub(crate) database: usize,
    pub(crate) access: Access,
    /// Number that a write inserts, or least number that a read must return.
    pub(crate) number: i64,
    /// Number that a read returned; 0 for none.
    pub(crate) seen: i64,
    pub(crate) outcome: Outcome,
    /// Result code or SQLSTATE of the last error.
    pub(crate) error: Option<String>,
    /// Start, since the start of the run.
    pub(crate) start: Duration,
    /// End, since the start of the run.
    pub(crate) end: Duration,
    /// Whether some replica held every write that the read must return.
    pub(crate) is_replica_possible: bool,
}
