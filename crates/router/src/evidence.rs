//! Evidence that a primary still leads, and samples of its log's end.
//!
//! A promotion first closes the old term at the other endpoints and then waits
//! [`EVIDENCE_VALIDITY`] before it takes effect. A sample of another endpoint that was *sent* at
//! `s` and shows the term open therefore proves that whatever the primary had answered until
//! `s + EVIDENCE_VALIDITY` was answered before any promotion. The proof needs no clock in common
//! and no store, and a node that was frozen finds its samples too old when it wakes.
//!
//! Answers of the primary that arrive without such a sample wait for one.

use std::collections::VecDeque;

use crate::message::{Position, Time};
use crate::settings::EVIDENCE_VALIDITY;

/// Most samples of positions kept; enough for a few seconds.
const SAMPLES_MOST: usize = 24;
/// Least time between two samples that are kept.
const SAMPLE_SPACING: Time = Time::from_millis(100);

/// Position that the primary's log had reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// When it was asked for: the log held all commits acknowledged before.
    pub requested_at: Time,
    /// End of the log.
    pub position: Position,
}

/// What is known of one database's primary.
#[derive(Debug, Default)]
pub struct Evidence {
    confirmed_at: Option<Time>,
    samples: VecDeque<Sample>,
}

impl Evidence {
    /// Notes that a sample sent at `asked` showed the primary's term open.
    pub fn confirm(&mut self, asked: Time) {
        if self.confirmed_at.is_none_or(|before| before < asked) {
            self.confirmed_at = Some(asked);
        }
    }

    /// Forgets what vouches for the primary.
    pub fn invalidate(&mut self) {
        self.confirmed_at = None;
    }

    /// Returns whether what the primary answered by `received` was answered before any promotion.
    pub fn covers(&self, received: Time) -> bool {
        self.confirmed_at.is_some_and(|asked| received <= asked + EVIDENCE_VALIDITY)
    }

    /// Returns when the newest vouching sample was asked for.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Adds a position that the primary proved to lead at.
    pub fn add_position(&mut self, sample: Sample) {
        let newest = self.samples.back().map(|last| last.requested_at);
        if newest.is_some_and(|newest| sample.requested_at < newest + SAMPLE_SPACING) {
            return;
        }
        if self.samples.len() == SAMPLES_MOST {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// Returns when the newest position was asked for.
    pub fn newest_position_at(&self) -> Option<Time> {
        self.samples.back().map(|sample| sample.requested_at)
    }

    /// Returns the oldest position that includes all commits acknowledged before `since`.
    ///
    /// The oldest one lets the most replicas serve the read.
    pub fn position_since(&self, since: Time) -> Option<Position> {
        self.samples
            .iter()
            .find(|sample| sample.requested_at >= since)
            .map(|sample| sample.position)
    }
}
