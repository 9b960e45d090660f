//! Log positions and the terms they belong to.
//!
//! A position is comparable with another only within one lineage: the log of a term begins with
//! the log of the endpoint that was promoted for it.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

/// Number of a primary's reign; the platform's group object hands each out once.
pub type Term = u64;
/// Offset in an endpoint's log.
pub type LogPosition = u64;
/// Index of an endpoint within its database.
pub type EndpointIndex = usize;

/// Part an endpoint plays in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Applies the log of a primary.
    Replica,
}

/// What an endpoint reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Part it believes to play.
    pub role: Role,
    /// Highest term it was told of; it refuses orders and confirmations of lower ones.
    #[serde(rename = "closed_term")]
    pub fenced_term: Term,
    /// Term whose primary it is or whose log it applies; what it holds is a prefix of that log.
    pub term: Term,
    /// Term in which the last entry of its log was written.
    pub log_term: Term,
    /// Where the log of that term begins.
    pub term_start: LogPosition,
    /// End of its log.
    pub position: LogPosition,
    /// Changes when it restarts or drops part of its log; positions never decrease within one.
    pub incarnation: u64,
}

impl Status {
    /// Returns whether the endpoint holds the log of its newest term.
    pub fn is_in_newest_term(&self) -> bool {
        self.fenced_term == self.term
    }
}

/// Point in a database's history that a session has written or seen.
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
    /// A later term's log holds every acknowledged write of earlier terms before its start, so
    /// what lies beyond that start in an earlier term was never acknowledged and is not asked for.
    /// A log of an earlier term never qualifies.
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
