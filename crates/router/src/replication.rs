//! What the replicas of a primary are known to hold, and whether commits wait for it.
//!
//! A commit is acknowledged once a replica holds it. A promotion closes the term at the replicas
//! and takes the one that has received most, so the commit survives the loss of the primary. It
//! also needs no other evidence: a replica whose term is closed receives nothing more, so what it
//! holds was committed before any promotion.
//!
//! Replicas that lag would hold up all writes. Commits then stop waiting for a while, as in
//! semi-synchronous replication, as long as the term is known to be open.

use crate::message::{Position, Term, Time};

/// Longest wait of a commit for a replica; the usual delay of replication is a third of it at most.
pub const MAX_REPLICATION_WAIT: Time = Time::from_millis(250);
/// How long commits do not wait after one has waited in vain.
const SUSPENSION: Time = Time::from_secs(1);
/// Weight of a new delay in the average.
const DELAY_WEIGHT: f64 = 0.2;
/// Part of the average delay after which a replica is first asked.
const FIRST_LOOK: f64 = 0.75;

/// Progress of a primary's replicas.
#[derive(Debug, Default)]
pub struct Progress {
    held: Option<Position>,
    delay: Time,
    suspended_until: Time,
}

impl Progress {
    /// Notes that a replica holds the log up to `position`, in the primary's `term`.
    ///
    /// Returns whether that is news.
    pub fn record_position(&mut self, position: Position, term: Term) -> bool {
        if position.term != term || self.held.is_some_and(|held| held >= position) {
            return false;
        }
        self.held = Some(position);
        true
    }

    /// Returns whether a replica holds `position`.
    pub fn has_replicated(&self, position: Position) -> bool {
        self.held.is_some_and(|held| held.term == position.term && held >= position)
    }

    /// Forgets what replicas of a former primary held.
    pub fn reset(&mut self) {
        self.held = None;
    }

    /// Notes how long after the primary's answer a commit was known to be replicated.
    pub fn record_delay(&mut self, delay: Time) {
        let average = self.delay.as_secs_f64();
        let change = (delay.as_secs_f64() - average) * DELAY_WEIGHT;
        self.delay = Time::from_secs_f64((average + change).max(0.0));
    }

    /// Returns when replicas are worth asking for a commit answered at `received`.
    pub fn first_check_at(&self, received: Time) -> Time {
        received + self.delay.mul_f64(FIRST_LOOK)
    }

    /// Lets commits go on without replicas for a while.
    pub fn suspend(&mut self, now: Time) {
        self.suspended_until = now + SUSPENSION;
    }

    /// Returns whether commits do not wait for replicas.
    pub fn is_suspended(&self, now: Time) -> bool {
        now < self.suspended_until
    }
}
