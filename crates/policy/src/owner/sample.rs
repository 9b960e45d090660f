//! Samples of the primary's log position.
//!
//! A sample is a position of the primary and a time at which a majority of endpoints still
//! confirmed the primary's term. Samples serve as floors for reads of sessions without a known
//! floor, and they bound the age of a replica's data.

use std::time::Duration;

use super::endpoint::Endpoint;
use super::{Owner, Sample, Waiting};
use crate::position::{Floor, Role, Status, majority};
use crate::session::Freshness;

/// Maximum number of stored samples.
const MAX_SAMPLES: usize = 64;
/// Minimum time between two stored samples.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

impl Owner {
    /// Stores the current sample for age checks.
    pub(super) fn record_sample(&mut self) {
        let Some(sample) = self.confirmed_sample() else {
            return;
        };
        if self
            .samples
            .last()
            .is_some_and(|last| sample.taken_at < last.taken_at + MIN_SAMPLE_INTERVAL)
        {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.remove(0);
        }
        self.samples.push(sample);
    }

    /// Returns whether a waiting read needs a sample.
    pub(super) fn needs_sample(&self) -> bool {
        self.queue.jobs().any(|waiting| waiting.request.freshness == Freshness::Sampled)
    }

    /// Returns the primary's position with the latest time at which a majority of endpoints
    /// confirmed the primary's term.
    pub(super) fn confirmed_sample(&self) -> Option<Sample> {
        let primary = &self.endpoints[self.primary()?];
        let status = primary.status().filter(|status| status.role == Role::Primary)?;
        let mut probe_times: Vec<Duration> = self
            .endpoints
            .iter()
            .filter(|endpoint| {
                endpoint.status().is_some_and(|other| other.fenced_term == status.term)
            })
            .map(Endpoint::last_probe_sent_at)
            .collect();
        probe_times.sort_unstable_by(|a, b| b.cmp(a));
        let confirmed_at = probe_times.get(majority(self.endpoints.len()) - 1)?;
        let floor = Floor::new(status.term, status.position);
        Some(Sample { taken_at: (*confirmed_at).min(primary.last_probe_sent_at()), floor })
    }

    /// Gives the current sample as floor to the waiting reads that arrived before the sample was
    /// taken.
    pub(super) fn resolve_samples(&mut self) {
        let Some(sample) = self.confirmed_sample().filter(|_| self.needs_sample()) else {
            return;
        };
        let is_resolved = |waiting: &Waiting| {
            waiting.request.freshness == Freshness::Sampled && waiting.arrived_at <= sample.taken_at
        };
        for mut waiting in self.queue.remove_matching(is_resolved).into_iter().rev() {
            waiting.request.freshness = Freshness::Floor(sample.floor);
            let (club, deadline) = (waiting.request.club.clone(), waiting.request.deadline);
            self.queue.push_front(&club, deadline, waiting);
        }
    }

    /// Returns whether an endpoint with `status` holds all data older than `max_age`.
    pub(super) fn is_within_max_age(&self, status: &Status, max_age: Option<Duration>) -> bool {
        let Some(max_age) = max_age else {
            return true;
        };
        let newest_met = self.samples.iter().rev().find(|sample| sample.floor.is_met_by(status));
        newest_met.is_some_and(|sample| self.now.saturating_sub(sample.taken_at) <= max_age)
    }
}
