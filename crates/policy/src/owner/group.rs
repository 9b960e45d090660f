//! The database group: probes, role orders, and when to replace the primary.

use std::time::Duration;

use super::endpoint::Endpoint;
use super::{Action, Connection, Owner, State};
use crate::failover::{Group, GroupError};
use crate::position::{EndpointIndex, Role, Status, majority};

/// Minimum time without progress of any replica after which a primary with unconfirmed writes is
/// replaced.
const REPLICATION_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a draining primary has to finish running statements before a replacement starts.
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Consecutive missed probes after which the reads on an endpoint are retried on another one.
const MISSES_BEFORE_READ_RETRY: u32 = 2;
/// Minimum time between two role orders to one endpoint.
const MIN_ORDER_INTERVAL: Duration = Duration::from_millis(500);

impl Owner {
    /// Handles a pause of the process: the group object may have changed meanwhile, so no statement
    /// is placed until the group object has been read again.
    pub(super) fn on_process_resumed(&mut self) {
        self.is_group_stale = self.group().is_some();
        self.is_group_read_pending = false;
        self.endpoints.iter_mut().for_each(Endpoint::request_probe);
        self.read_group();
    }

    pub(super) fn on_probe_answered(&mut self, endpoint: EndpointIndex, status: Option<Status>) {
        self.endpoints[endpoint].on_probe_answered(self.now, status);
        let Some(status) = status else {
            if self.endpoints[endpoint].missed_probes == MISSES_BEFORE_READ_RETRY {
                self.retry_reads_elsewhere(endpoint);
            }
            if Some(endpoint) == self.primary() {
                self.on_primary_probe_missed(endpoint);
            }
            return;
        };
        if Some(endpoint) == self.primary() {
            self.failover.on_primary_alive();
        }
        self.record_sample();
        self.adopt_group_from_endpoints(endpoint, &status);
        if self.group().is_some_and(|group| status.fenced_term > group.term) {
            self.read_group();
        }
        self.order_role(endpoint, status);
    }

    /// Derives the group from the endpoints' statuses while the group object has not been read yet.
    ///
    /// A primary whose term a majority of endpoints confirms is the primary, so the group object
    /// isn't needed to know the primary.
    pub(super) fn adopt_group_from_endpoints(&mut self, endpoint: EndpointIndex, status: &Status) {
        if self.group().is_some() || status.role != Role::Primary || !status.is_in_newest_term() {
            return;
        }
        let confirms_term = |other: &&Endpoint| {
            other.live_status().is_some_and(|other| other.fenced_term == status.term)
        };
        if self.endpoints.iter().filter(confirms_term).count() >= majority(self.endpoints.len()) {
            let primary = Some(endpoint);
            let group = Group { version: 0, term: status.term, primary, attempt: 0 };
            self.on_group_read(Ok(group));
        }
    }

    pub(super) fn on_primary_probe_missed(&mut self, endpoint: EndpointIndex) {
        let last_seen_at = self.endpoints[endpoint].last_seen_at;
        let actions = self.failover.on_probe_missed(self.now, last_seen_at);
        self.actions.extend(actions);
    }

    /// Orders an endpoint to take the role that the group object gives to the endpoint, if the
    /// endpoint has another role or term.
    pub(super) fn order_role(&mut self, endpoint: EndpointIndex, status: Status) {
        let Some(Group { term, primary: Some(primary), .. }) = self.group() else {
            return;
        };
        let reports_primary = status.role == Role::Primary;
        let has_role = status.term == term
            && status.is_in_newest_term()
            && reports_primary == (endpoint == primary);
        let is_order_due = self.now >= self.endpoints[endpoint].order_after;
        if has_role || status.fenced_term > term || !is_order_due || !self.failover.is_steady() {
            return;
        }
        self.endpoints[endpoint].order_after = self.now + MIN_ORDER_INTERVAL;
        self.actions.push(if endpoint == primary {
            Action::Promote { endpoint, term }
        } else {
            Action::Follow { endpoint, term, primary }
        });
    }

    pub(super) fn on_group_read(&mut self, result: Result<Group, GroupError>) {
        self.is_group_read_pending = false;
        self.is_group_stale = false;
        let previous_term = self.group().map(|group| group.term);
        let actions = self.failover.on_group_read(self.now, result);
        self.actions.extend(actions);
        if self.group().map(|group| group.term) != previous_term {
            self.endpoints.iter_mut().for_each(Endpoint::request_probe);
        }
        if let Some(Group { primary: Some(primary), .. }) = self.group() {
            self.answer_writes_on_old_primary(primary);
        }
    }

    pub(super) fn on_promote_answered(&mut self, status: Option<Status>) {
        let actions = self.failover.on_promote_answer(self.now, status);
        self.actions.extend(actions);
        if let (Some(primary), Some(status)) = (self.primary(), status) {
            self.endpoints[primary].update_status(self.now, status);
            self.endpoints.iter_mut().for_each(Endpoint::request_probe);
        }
    }

    pub(super) fn set_draining(&mut self, endpoint: EndpointIndex, is_draining: bool) {
        let since = self.endpoints[endpoint].draining_since.unwrap_or(self.now);
        self.endpoints[endpoint].draining_since = is_draining.then_some(since);
    }

    /// Starts the replacement of a primary that is draining or that no longer replicates writes,
    /// even though the primary still answers.
    pub(super) fn replace_primary_if_needed(&mut self) {
        let Some(primary) = self.primary() else {
            return;
        };
        if self.is_drained(primary) || self.is_replication_stalled(primary) {
            let actions = self.failover.start_replacement(self.now, primary);
            self.actions.extend(actions);
        }
    }

    /// Returns whether the primary is draining and is either idle or out of time.
    pub(super) fn is_drained(&self, primary: EndpointIndex) -> bool {
        let Some(since) = self.endpoints[primary].draining_since else {
            return false;
        };
        let is_working = |connection: &Connection| {
            let is_in_use = matches!(connection.state, State::Busy | State::Pinned { .. });
            connection.endpoint == primary && is_in_use
        };
        let is_idle = self.pending.is_empty() && !self.connections.values().any(is_working);
        is_idle || self.now >= since + DRAIN_GRACE
    }

    /// Returns whether writes wait for confirmation although a majority of endpoints besides the
    /// primary is live, and no replica's log advances.
    pub(super) fn is_replication_stalled(&self, primary: EndpointIndex) -> bool {
        let limit = REPLICATION_STALL_TIMEOUT.max(self.confirmation_lag * 4);
        let is_overdue = self.pending.iter().any(|pending| self.now >= pending.since + limit);
        let replicas = || self.endpoints.iter().enumerate().filter(|(index, _)| *index != primary);
        let live_count = replicas().filter(|(_, replica)| replica.is_live()).count();
        is_overdue
            && live_count >= majority(self.endpoints.len())
            && replicas().all(|(_, replica)| self.now >= replica.log_advanced_at + limit)
    }

    pub(super) fn tick_failover(&mut self) {
        if self.group().is_none()
            && !self.is_group_read_pending
            && self.failover.next_wake().is_none()
        {
            self.read_group();
        }
        let actions = self.failover.tick(self.now);
        self.actions.extend(actions);
    }

    pub(super) fn read_group(&mut self) {
        if !self.is_group_read_pending {
            self.is_group_read_pending = true;
            self.actions.push(Action::ReadGroup);
        }
    }

    pub(super) fn send_due_probes(&mut self) {
        let awaits_position = !self.pending.is_empty() || self.needs_sample();
        let primary = self.primary();
        for index in 0..self.endpoints.len() {
            let interval = match () {
                _ if awaits_position => self.settings.sample_interval,
                _ if self.has_unplaced_statements => self.settings.sample_interval * 4,
                _ if Some(index) == primary => self.settings.probe_interval,
                _ => self.settings.probe_interval * 4,
            };
            if self.endpoints[index].start_probe_if_due(self.now, interval) {
                self.counters.probes += 1;
                self.actions.push(Action::Probe(index));
            }
        }
    }

    pub(super) fn primary(&self) -> Option<EndpointIndex> {
        self.group().and_then(|group| group.primary)
    }
}
