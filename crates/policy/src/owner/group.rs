//! The group: probes, the primary and its replacement.

use std::time::Duration;

use super::endpoint::Endpoint;
use super::{Action, Connection, Owner, Use};
use crate::failover::{Group, GroupError};
use crate::position::{EndpointIndex, Role, Status, majority};

/// Time without progress of any replica after which a primary with waiting commits is replaced.
const STALL_LIMIT: Duration = Duration::from_secs(1);
/// Time for which a leaving primary may finish what it runs before it is replaced.
const LEAVE_GRACE: Duration = Duration::from_secs(2);
/// Misses after which the reads on an endpoint start elsewhere.
const SILENT_MISSES: u32 = 2;
/// Time between two orders to an endpoint to take up its part.
const ORDER_SPACING: Duration = Duration::from_millis(500);

impl Owner {
    /// Asks for the group again before anything is started: what was known may be old.
    pub(super) fn resume(&mut self) {
        self.unconfirmed = self.group().is_some();
        self.asked_group = false;
        self.endpoints.iter_mut().for_each(Endpoint::probe_now);
        self.read_group();
    }

    pub(super) fn probed(&mut self, endpoint: EndpointIndex, status: Option<Status>) {
        self.endpoints[endpoint].probed(self.now, status);
        let Some(status) = status else {
            if self.endpoints[endpoint].misses == SILENT_MISSES {
                self.settle_silent(endpoint);
            }
            if Some(endpoint) == self.primary() {
                self.suspect(endpoint);
            }
            return;
        };
        if Some(endpoint) == self.primary() {
            self.failover.on_primary_alive();
        }
        self.take_sample();
        self.adopt_from_endpoints(endpoint, &status);
        if self.group().is_some_and(|group| status.fenced_term > group.term) {
            self.read_group();
        }
        self.order_role(endpoint, status);
    }

    /// Takes the group as the endpoints show it while the platform has not been reached yet.
    ///
    /// A primary whose term a majority confirms is the primary, whatever the group object says.
    pub(super) fn adopt_from_endpoints(&mut self, endpoint: EndpointIndex, status: &Status) {
        if self.group().is_some() || status.role != Role::Primary || !status.is_in_newest_term() {
            return;
        }
        let confirms = |other: &&Endpoint| {
            other.live_status().is_some_and(|other| other.fenced_term == status.term)
        };
        if self.endpoints.iter().filter(confirms).count() >= majority(self.endpoints.len()) {
            let primary = Some(endpoint);
            let group = Group { version: 0, term: status.term, primary, attempt: 0 };
            self.group_read(Ok(group));
        }
    }

    pub(super) fn suspect(&mut self, endpoint: EndpointIndex) {
        let last_seen = self.endpoints[endpoint].last_seen;
        let actions = self.failover.on_probe_missed(self.now, last_seen);
        self.actions.extend(actions);
    }

    /// Repeats to an endpoint the part that the group object gives it, if it plays another.
    pub(super) fn order_role(&mut self, endpoint: EndpointIndex, status: Status) {
        let Some(Group { term, primary: Some(primary), .. }) = self.group() else {
            return;
        };
        let leads = status.role == Role::Primary;
        let settled =
            status.term == term && status.is_in_newest_term() && leads == (endpoint == primary);
        let due = self.now >= self.endpoints[endpoint].order_after;
        if settled || status.fenced_term > term || !due || !self.failover.is_steady() {
            return;
        }
        self.endpoints[endpoint].order_after = self.now + ORDER_SPACING;
        self.actions.push(if endpoint == primary {
            Action::Promote { endpoint, term }
        } else {
            Action::Follow { endpoint, term, primary }
        });
    }

    pub(super) fn group_read(&mut self, result: Result<Group, GroupError>) {
        self.asked_group = false;
        self.unconfirmed = false;
        let before = self.group().map(|group| group.term);
        let actions = self.failover.on_group_read(self.now, result);
        self.actions.extend(actions);
        if self.group().map(|group| group.term) != before {
            self.endpoints.iter_mut().for_each(Endpoint::probe_now);
        }
        if let Some(Group { primary: Some(primary), .. }) = self.group() {
            self.settle_deposed(primary);
        }
    }

    pub(super) fn promoted(&mut self, status: Option<Status>) {
        let actions = self.failover.on_promote_answer(self.now, status);
        self.actions.extend(actions);
        if let (Some(primary), Some(status)) = (self.primary(), status) {
            self.endpoints[primary].observe(self.now, status);
            self.endpoints.iter_mut().for_each(Endpoint::probe_now);
        }
    }

    pub(super) fn leaving(&mut self, endpoint: EndpointIndex, leaving: bool) {
        let since = self.endpoints[endpoint].leaving.unwrap_or(self.now);
        self.endpoints[endpoint].leaving = leaving.then_some(since);
    }

    /// Replaces a primary that answers but is leaving or cut off from its replicas.
    pub(super) fn replace_primary(&mut self) {
        let Some(primary) = self.primary() else {
            return;
        };
        if self.has_left(primary) || self.is_stalled(primary) {
            let actions = self.failover.start_replacement(self.now, primary);
            self.actions.extend(actions);
        }
    }

    pub(super) fn has_left(&self, primary: EndpointIndex) -> bool {
        let Some(since) = self.endpoints[primary].leaving else {
            return false;
        };
        let works = |connection: &Connection| {
            let used = matches!(connection.used, Use::Busy | Use::Pinned { .. });
            connection.endpoint == primary && used
        };
        let idle = self.pending.is_empty() && !self.connections.values().any(works);
        idle || self.now >= since + LEAVE_GRACE
    }

    /// Returns whether commits wait while replicas answer and none of them gets anything.
    pub(super) fn is_stalled(&self, primary: EndpointIndex) -> bool {
        let limit = STALL_LIMIT.max(self.lag * 4);
        let overdue = self.pending.iter().any(|pending| self.now >= pending.since + limit);
        let replicas = || self.endpoints.iter().enumerate().filter(|(index, _)| *index != primary);
        let answer = replicas().filter(|(_, replica)| replica.is_live()).count();
        overdue
            && answer >= majority(self.endpoints.len())
            && replicas().all(|(_, replica)| self.now >= replica.advanced + limit)
    }

    pub(super) fn tick_failover(&mut self) {
        if self.group().is_none() && !self.asked_group && self.failover.next_wake().is_none() {
            self.read_group();
        }
        let actions = self.failover.tick(self.now);
        self.actions.extend(actions);
    }

    pub(super) fn read_group(&mut self) {
        if !self.asked_group {
            self.asked_group = true;
            self.actions.push(Action::ReadGroup);
        }
    }

    pub(super) fn probe(&mut self) {
        let waiting = !self.pending.is_empty() || self.wants_sample();
        let primary = self.primary();
        for index in 0..self.endpoints.len() {
            let interval = match () {
                _ if waiting => self.settings.sample_interval,
                _ if self.catching_up => self.settings.sample_interval * 4,
                _ if Some(index) == primary => self.settings.probe_interval,
                _ => self.settings.probe_interval * 4,
            };
            if self.endpoints[index].probe_due(self.now, interval) {
                self.counters.probes += 1;
                self.actions.push(Action::Probe(index));
            }
        }
    }

    pub(super) fn primary(&self) -> Option<EndpointIndex> {
        self.group().and_then(|group| group.primary)
    }
}
