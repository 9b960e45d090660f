//! Progress of replication, and whether commits wait for it.
//!
//! A commit is acknowledged once a replica holds it. A failover fences the term at the replicas and
//! promotes the one that has received the most, so the commit survives the loss of the primary. It also
//! needs evidence that it was made before any promotion: a promotion ends the fence, and a replica may
//! receive the log of the former primary again until it follows the new one.
//!
//! Lagging replicas would delay all writes. Commits then stop waiting for a while, as in
//! semi-synchronous replication, provided that the term is known not to be fenced.

use crate::message::{Position, Term, Time};

/// Longest wait of a commit for a replica; at least three times the usual replication delay.
pub const MAX_REPLICATION_WAIT: Time = Time::from_millis(250);
/// Time for which commits do not wait after a wait for replicas has timed out.
const WAIT_SUSPENSION: Time = Time::from_secs(1);
/// Weight of a new delay in the moving average.
const DELAY_WEIGHT: f64 = 0.2;
/// Fraction of the average delay after which replicas are first asked.
const FIRST_CHECK_FRACTION: f64 = 0.75;

/// Replication progress of the replicas of one primary.
#[derive(Debug, Default)]
pub struct Progress {
    replicated: Option<Position>,
    average_delay: Time,
    suspended_until: Time,
}

impl Progress {
    /// Records that a replica holds the log up to `position`; `term` is the primary's.
    ///
    /// Returns whether the replicated position has advanced.
    pub fn record_position(&mut self, position: Position, term: Term) -> bool {
        if position.term != term || self.replicated.is_some_and(|replicated| replicated >= position)
        {
            return false;
        }
        self.replicated = Some(position);
        true
    }

    /// Returns whether a replica holds the log up to `position`.
    pub fn has_replicated(&self, position: Position) -> bool {
        self.replicated
            .is_some_and(|replicated| replicated.term == position.term && replicated >= position)
    }

    /// Clears the progress, when the primary changes.
    pub fn reset(&mut self) {
        self.replicated = None;
    }

    /// Records the time from the primary's answer to a commit until its replication was known.
    pub fn record_delay(&mut self, delay: Time) {
        let average = self.average_delay.as_secs_f64();
        let correction = (delay.as_secs_f64() - average) * DELAY_WEIGHT;
        self.average_delay = Time::from_secs_f64((average + correction).max(0.0));
    }

    /// Returns when replicas are first asked for a commit that was answered at `received_at`.
    pub fn first_check_at(&self, received_at: Time) -> Time {
        received_at + self.average_delay.mul_f64(FIRST_CHECK_FRACTION)
    }

    /// Suspends the wait for replicas for a while.
    pub fn suspend(&mut self, now: Time) {
        self.suspended_until = now + WAIT_SUSPENSION;
    }

    /// Returns whether the wait for replicas is suspended.
    pub fn is_suspended(&self, now: Time) -> bool {
        now < self.suspended_until
    }
}
