//! What callers did and saw.

use std::time::Duration;

/// Kind of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Read,
    Write,
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Done,
    NotRun,
    Unknown,
}

/// One statement, or one transaction.
#[derive(Clone, Debug)]
pub(crate) struct Operation {
    pub(crate) caller: usize,
    pub(crate) club: usize,
    pub(crate) database: usize,
    pub(crate) kind: Kind,
    /// Number that a write wrote, or the highest that a read must see.
    pub(crate) number: i64,
    /// Highest number that a read saw.
    pub(crate) seen: i64,
    pub(crate) outcome: Outcome,
    /// Result code or SQLSTATE of the last error.
    pub(crate) error: Option<String>,
    pub(crate) start: Duration,
    pub(crate) end: Duration,
    /// Whether a replica could have answered a read.
    pub(crate) replica_possible: bool,
}
