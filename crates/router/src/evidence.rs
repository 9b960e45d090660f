//! Evidence that a primary was still the primary, and samples of its log position.
//!
//! A failover first fences the old term at the other endpoints and then waits
//! [`EVIDENCE_VALIDITY`] before it promotes a replica. If the status of another endpoint that was
//! *requested* at time `s` shows the term as open (not fenced) and is from before any promotion, then
//! everything that the primary had answered until `s + EVIDENCE_VALIDITY` was answered before any
//! promotion. This proof needs neither synchronized clocks nor the store, and a node that was
//! suspended finds its evidence expired when it resumes.
//!
//! A promotion ends the fence at all endpoints, and a replica reports the old term as open until it
//! receives the log of the new primary. An open term is therefore evidence only if one of these rules
//! out a promotion before the status was reported:
//!
//! - Evidence from before still held when the status arrived.
//! - Each other endpoint has answered a request that was sent after the status had arrived, and the
//!   answer shows that it is not the primary. Until then the status is a [`Candidate`].
//! - The endpoint follows the primary's term and still reports it as open [`FOLLOW_TIMEOUT`] later. The
//!   other endpoints have shown that they are not the primary or have not answered at all, and the
//!   directory lists none of the latter as primary of the term or a later one.
//!
//! Answers of the primary that arrive without valid evidence are held until new evidence arrives.

use std::collections::VecDeque;

use crate::message::{EndpointId, Position, Time};
use crate::settings::EVIDENCE_VALIDITY;

/// Time in which a replica receives the log of a new primary that it reaches: several times the usual
/// replication delay.
pub const FOLLOW_TIMEOUT: Time = Time::from_millis(250);
/// Position samples that are kept, enough for a few seconds.
const MAX_SAMPLES: usize = 24;
/// Shortest time between the requests of two position samples that are kept.
const MIN_SAMPLE_INTERVAL: Time = Time::from_millis(100);

/// Sample of the primary's log position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// When the position was requested: the log contains all commits acknowledged before then.
    pub requested_at: Time,
    /// End of the primary's log.
    pub position: Position,
}

/// Status that shows the primary's term as open, and that may be from after a promotion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Endpoint that reported the status.
    pub endpoint: EndpointId,
    /// When the status was requested.
    pub requested_at: Time,
    /// When the status arrived.
    pub received_at: Time,
}

/// Evidence for the primary of one group, and its sampled positions.
#[derive(Debug, Default)]
pub struct Evidence {
    confirmed_at: Option<Time>,
    candidate: Option<Candidate>,
    samples: VecDeque<Sample>,
}

impl Evidence {
    /// Records that there is no promotion before `requested_at + EVIDENCE_VALIDITY`.
    pub fn confirm(&mut self, requested_at: Time) {
        self.candidate = None;
        if self.confirmed_at.is_none_or(|newest| newest < requested_at) {
            self.confirmed_at = Some(requested_at);
        }
    }

    /// Drops the evidence for the primary.
    pub fn invalidate(&mut self) {
        self.confirmed_at = None;
        self.candidate = None;
    }

    /// Keeps a status that may become evidence, unless an earlier one still can.
    pub fn propose(&mut self, candidate: Candidate) {
        if self.candidate(candidate.received_at).is_none() {
            self.candidate = Some(candidate);
        }
    }

    /// Drops the candidate, as the term is fenced.
    pub fn drop_candidate(&mut self) {
        self.candidate = None;
    }

    /// Returns the status that would be valid evidence at `now` if no promotion came before the status.
    pub fn candidate(&self, now: Time) -> Option<&Candidate> {
        let candidate = self.candidate.as_ref();
        candidate.filter(|candidate| now <= candidate.requested_at + EVIDENCE_VALIDITY)
    }

    /// Returns whether everything that was received from the primary by `received_at` was answered
    /// before any promotion.
    pub fn covers(&self, received_at: Time) -> bool {
        self.confirmed_at
            .is_some_and(|requested_at| received_at <= requested_at + EVIDENCE_VALIDITY)
    }

    /// Returns when the newest status that serves as evidence was requested.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Adds a sample that an endpoint reported while it was certainly the primary.
    pub fn add_sample(&mut self, sample: Sample) {
        let newest = self.samples.back().map(|last| last.requested_at);
        if newest.is_some_and(|newest| sample.requested_at < newest + MIN_SAMPLE_INTERVAL) {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// Returns when the newest position was requested.
    pub fn newest_position_at(&self) -> Option<Time> {
        self.samples.back().map(|sample| sample.requested_at)
    }

    /// Returns the oldest position that includes all commits acknowledged before `since`.
    ///
    /// The oldest such position lets the most replicas serve a read.
    pub fn position_since(&self, since: Time) -> Option<Position> {
        self.samples
            .iter()
            .find(|sample| sample.requested_at >= since)
            .map(|sample| sample.position)
    }
}
