//! How far a replica has applied its log, and which reads it is sent.
//!
//! Load pattern: replicas fall behind by more than the reads' staleness bounds allow, for many seconds,
//! and the primary alone cannot serve all reads. Each read that waits for the primary is then sent to the
//! replicas again whenever a fixed pause ends. The replicas refuse tens of thousands of reads, whose
//! connections and time are lost to the work that can be served.
//!
//! A replica that refused a position as not yet applied gets no read that needs this position or a later
//! one until an answer shows that it has caught up. One such read at a time tries the replica; the pause
//! between trials doubles while they are refused. Reads that need an earlier position are not affected.

use crate::message::{Position, Time};
use crate::settings::LAGGING_PAUSE;

/// Longest pause between two trials; a replica that has caught up is used again after this time.
const MAX_PAUSE: Time = Time::from_millis(960);

/// Applied log of one endpoint, as far as its answers show.
#[derive(Debug, Default)]
pub struct Freshness {
    applied: Option<(Time, Position)>,
    refusal: Option<Refusal>,
}

#[derive(Debug)]
struct Refusal {
    /// Lowest position that was refused and has not been applied since.
    position: Position,
    /// Earliest next trial.
    next_trial_at: Time,
    /// Pause after the next refusal is twice as long.
    pause: Time,
}

impl Freshness {
    /// Records the end of the applied log that an answer reported.
    pub fn record_applied(&mut self, now: Time, position: Position) {
        self.applied = Some((now, position));
        if self.refusal.as_ref().is_some_and(|refusal| position >= refusal.position) {
            self.refusal = None;
        }
    }

    /// Records that the endpoint refused a read that needs `position`.
    pub fn record_refusal(&mut self, now: Time, position: Position) {
        match &mut self.refusal {
            // Reads that were sent before the first refusal was known.
            Some(refusal) if now < refusal.next_trial_at => {
                refusal.position = refusal.position.min(position);
            }
            Some(refusal) => {
                refusal.position = refusal.position.min(position);
                refusal.pause = (refusal.pause * 2).min(MAX_PAUSE);
                refusal.next_trial_at = now + refusal.pause;
            }
            None => {
                let next_trial_at = now + LAGGING_PAUSE;
                self.refusal = Some(Refusal { position, next_trial_at, pause: LAGGING_PAUSE });
            }
        }
    }

    /// Records that a read that needs `position` is sent to the endpoint.
    pub fn record_sent(&mut self, now: Time, position: Position) {
        if let Some(refusal) = &mut self.refusal
            && position >= refusal.position
        {
            refusal.pause = (refusal.pause * 2).min(MAX_PAUSE);
            refusal.next_trial_at = now + refusal.pause;
        }
    }

    /// Returns whether the endpoint may have applied `position`, or is due for a trial.
    pub fn may_serve(&self, now: Time, position: Position) -> bool {
        let has_applied = self.applied.is_some_and(|(_, applied)| applied >= position);
        let may_have_applied =
            |refusal: &Refusal| position < refusal.position || now >= refusal.next_trial_at;
        has_applied || self.refusal.as_ref().is_none_or(may_have_applied)
    }

    /// Returns whether the endpoint has refused a position that it has not applied since.
    pub fn is_behind(&self) -> bool {
        self.refusal.is_some()
    }

    /// Returns the end of the applied log in the last answer, and when it was received.
    pub fn applied(&self) -> Option<(Time, Position)> {
        self.applied
    }
}
