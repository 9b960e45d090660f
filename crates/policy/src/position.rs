//! Log positions, terms and the status of endpoints.
//!
//! A term is the period of one primary and has a number. Its log continues the log of the
//! endpoint that was promoted for it, so positions of different terms can only be compared where
//! one log continues the other. A floor is the least position that a read must observe. An
//! endpoint that is fenced at a term refuses orders and confirmations of lower terms.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

/// Number of a primary's term; the platform's group object assigns each number once.
pub type Term = u64;
/// Offset in an endpoint's log, in the endpoint's own unit.
pub type LogPosition = u64;
/// Index of an endpoint within its database group.
pub type EndpointIndex = usize;

/// Role of an endpoint in its database group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Applies the log of the primary.
    Replica,
}

/// Status that an endpoint reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Role that the endpoint has taken.
    pub role: Role,
    /// Term at which the endpoint is fenced: the highest one that it was told of.
    #[serde(rename = "closed_term")]
    pub fenced_term: Term,
    /// Term of which the endpoint is the primary, or whose log it applies; its own log is a prefix
    /// of that term's log.
    pub term: Term,
    /// Term in which the last entry of the endpoint's log was written.
    pub log_term: Term,
    /// Position at which the log of `term` begins.
    pub term_start: LogPosition,
    /// End of the endpoint's log.
    pub position: LogPosition,
    /// Changes when the endpoint restarts or truncates its log; within one incarnation, positions
    /// never decrease.
    pub incarnation: u64,
}

impl Status {
    /// Returns whether the endpoint has joined the newest term that it was told of.
    pub fn is_in_newest_term(&self) -> bool {
        self.fenced_term == self.term
    }
}

/// Least position that a session's reads of a database must observe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Floor {
    /// Term of the position.
    pub term: Term,
    /// Position in that term's log.
    pub position: LogPosition,
}

impl Floor {
    /// Returns the floor at `position` in the log of `term`.
    pub fn new(term: Term, position: LogPosition) -> Floor {
        Floor { term, position }
    }

    /// Returns whether an endpoint with `status` holds everything up to this floor.
    ///
    /// The log of a later term holds every acknowledged write of earlier terms before its start.
    /// Entries of an earlier term beyond that start were never acknowledged, so a floor above the
    /// start is lowered to it. The log of an earlier term never meets the floor.
    pub fn is_met_by(&self, status: &Status) -> bool {
        match status.term.cmp(&self.term) {
            Ordering::Less => false,
            Ordering::Equal => status.position >= self.position,
            Ordering::Greater => status.position >= self.position.min(status.term_start),
        }
    }
}

/// Returns the number of endpoints that form a majority of `count`.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}
