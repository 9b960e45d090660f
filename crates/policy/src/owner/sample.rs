//! Samples of the primary's position: floors of sessions that show none, and the age of data.

use std::time::Duration;

use super::endpoint::Endpoint;
use super::{Owner, Sample, Waiting};
use crate::position::{Floor, Role, Status, majority};
use crate::session::Freshness;

/// Samples of the primary's position that are kept.
const SAMPLE_LIMIT: usize = 64;
/// Least time between two samples.
const SAMPLE_SPACING: Duration = Duration::from_millis(50);

impl Owner {
    pub(super) fn take_sample(&mut self) {
        let Some(sample) = self.confirmed_sample() else {
            return;
        };
        if self.samples.last().is_some_and(|last| sample.taken < last.taken + SAMPLE_SPACING) {
            return;
        }
        if self.samples.len() == SAMPLE_LIMIT {
            self.samples.remove(0);
        }
        self.samples.push(sample);
    }

    pub(super) fn wants_sample(&self) -> bool {
        self.queue.jobs().any(|waiting| waiting.request.freshness == Freshness::Sampled)
    }

    /// Returns the primary's position with the latest time at which a majority confirmed its term.
    pub(super) fn confirmed_sample(&self) -> Option<Sample> {
        let primary = &self.endpoints[self.primary()?];
        let status = primary.status().filter(|status| status.role == Role::Primary)?;
        let mut asked: Vec<Duration> = self
            .endpoints
            .iter()
            .filter(|endpoint| {
                endpoint.status().is_some_and(|other| other.fenced_term == status.term)
            })
            .map(Endpoint::asked)
            .collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        let confirmed = asked.get(majority(self.endpoints.len()) - 1)?;
        let floor = Floor::new(status.term, status.position);
        Some(Sample { taken: (*confirmed).min(primary.asked()), floor })
    }

    pub(super) fn resolve_samples(&mut self) {
        let Some(sample) = self.confirmed_sample().filter(|_| self.wants_sample()) else {
            return;
        };
        let resolved = |waiting: &Waiting| {
            waiting.request.freshness == Freshness::Sampled && waiting.arrived <= sample.taken
        };
        for mut waiting in self.queue.remove_matching(resolved).into_iter().rev() {
            waiting.request.freshness = Freshness::Floor(sample.floor);
            let (club, deadline) = (waiting.request.club.clone(), waiting.request.deadline);
            self.queue.push_front(&club, deadline, waiting);
        }
    }

    pub(super) fn is_young(&self, status: &Status, max_age: Option<Duration>) -> bool {
        let Some(max_age) = max_age else {
            return true;
        };
        let known = self.samples.iter().rev().find(|sample| sample.floor.is_met_by(status));
        known.is_some_and(|sample| self.now.saturating_sub(sample.taken) <= max_age)
    }
}
