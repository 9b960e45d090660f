//! Evidence on the endpoints of a group, ejection of outliers, and retries of reads.
//!
//! Only the endpoints of databases are judged: the endpoints of a remote group are nodes, which
//! answer for many endpoints.

use std::collections::BTreeSet;

use metrics::{counter, gauge};
use tracing::{info, warn};

use super::Router;
use super::overload::kind_of;
use crate::admission::outlier::{Attempt, Change, OVERFLOW_PER_CONNECTION, Reason};
use crate::connection::Purpose;
use crate::endpoint::Endpoint;
use crate::experiment::Mechanism;
use crate::group::Group;
use crate::message::{
    Access, ConnectionId, EndpointId, Fault, Position, ServiceName, SessionId, Time,
};
use crate::session::{Need, Operation, Stage};
use crate::settings::RECONNECT_PAUSE;

/// Ratio to the usual read time from which a read without an answer is overdue.
const OVERDUE_RATIO: u32 = 8;
/// Shortest time after which a read is overdue: many round trips between regions.
const MIN_OVERDUE: Time = Time::from_millis(300);
/// Interval of retries of overdue reads of a group, unless the endpoint is known to leave statements
/// unanswered. It bounds the load of reads that are slow at any endpoint and therefore run twice.
const OVERDUE_RETRY_INTERVAL: Time = Time::from_secs(1);
/// Time after which an answer that nobody waits for any longer counts as lost, if the endpoint has
/// answered others since: longer than the usual time limits, so that a late write still ends.
const LOST_ANSWER_AFTER: Time = Time::from_secs(5);
/// Ratio of the time left to the usual read time from which a second retry is worth the load.
const MIN_RETRY_RATIO: u32 = 2;

impl Router {
    /// Records the outcome of a statement at an endpoint of a database. A commit counts as a write.
    pub(super) fn record_attempt(
        &mut self,
        service: &ServiceName,
        endpoint: &EndpointId,
        access: Option<Access>,
        attempt: Attempt,
    ) {
        let now = self.now;
        let Some(group) = self.groups.get(service).filter(|group| !group.is_remote) else { return };
        let Some(failure_domain) = group.endpoints.get(endpoint).map(|e| &e.entry.failure_domain)
        else {
            return;
        };
        let own_domain = &self.settings.failure_domain;
        let distance = self
            .expected_read_time(failure_domain)
            .saturating_sub(self.expected_read_time(own_domain));
        let attempt = match attempt {
            Attempt::Answered(response) => Attempt::Answered(response.saturating_sub(distance)),
            other => other,
        };
        let access = access.unwrap_or(Access::Write);
        if let Some(group) = self.groups.get_mut(service) {
            group.outliers.record(now, endpoint, access, attempt);
        }
    }

    /// Records an answer of an endpoint to the current statement of a session.
    pub(super) fn record_answer(
        &mut self,
        service: &ServiceName,
        endpoint: &EndpointId,
        session: SessionId,
        sent_at: Time,
    ) {
        let response_time = self.now.saturating_sub(sent_at);
        let operation =
            self.sessions.get_mut(&session).and_then(|session| session.current.as_mut());
        let Some(operation) = operation else { return };
        let (access, need, kind) = (operation.access, operation.need, kind_of(operation));
        // A read that is slow at any endpoint is no evidence against the first one.
        if let Some(first) = operation.overdue_at.take()
            && response_time < MIN_OVERDUE
        {
            self.record_attempt(service, &first, access, Attempt::Unanswered);
        }
        self.record_attempt(service, endpoint, access, Attempt::Answered(response_time));
        if need != Need::Transaction
            && let Some(group) = self.groups.get_mut(service).filter(|group| !group.is_remote)
        {
            group.waits.record_answer(kind, endpoint, response_time);
        }
    }

    /// Records the error of an endpoint if it shows that the endpoint works badly. Refusals as busy
    /// or lagging do not.
    pub(super) fn record_error(
        &mut self,
        service: &ServiceName,
        endpoint: &EndpointId,
        fault: &Fault,
    ) {
        if matches!(fault, Fault::Failed | Fault::Timeout) {
            self.record_attempt(service, endpoint, Some(Access::Read), Attempt::Failed);
        }
    }

    /// Records that a statement on a connection got no answer in time.
    pub(super) fn record_unanswered(&mut self, connection: ConnectionId) {
        let Some(connection) = self.connections.get(&connection) else { return };
        let (service, endpoint) = (connection.service.clone(), connection.endpoint.clone());
        self.record_attempt(&service, &endpoint, Some(Access::Read), Attempt::Unanswered);
    }

    /// Records the loss of a connection if statements on it were unanswered.
    pub(super) fn record_lost_connection(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        let is_leaving = self
            .groups
            .get(&connection.service)
            .and_then(|group| group.endpoints.get(&connection.endpoint))
            .is_none_or(|endpoint| endpoint.entry.leaving);
        let has_statement =
            connection.unanswered.iter().any(|c| matches!(c.purpose, Purpose::Statement(..)));
        if has_statement && !is_leaving {
            self.record_unanswered(id);
        }
    }

    /// Records that a read that any endpoint may serve was sent over a connection.
    pub(super) fn record_read_sent(
        &mut self,
        service: &ServiceName,
        connection: ConnectionId,
        position: Position,
    ) {
        let now = self.now;
        self.record_floor_sent(service, connection, position);
        let Some(connection) = self.connections.get(&connection) else { return };
        if let Some(group) = self.groups.get_mut(service) {
            group.outliers.record_sent(now, &connection.endpoint);
        }
    }

    /// Records that a read or a begin that needs `position` was sent over a connection.
    pub(super) fn record_floor_sent(
        &mut self,
        service: &ServiceName,
        connection: ConnectionId,
        position: Position,
    ) {
        let now = self.now;
        let Some(connection) = self.connections.get(&connection) else { return };
        let endpoint = connection.endpoint.clone();
        if let Some(endpoint) = self.endpoint_mut(service, &endpoint) {
            endpoint.freshness.record_sent(now, position);
        }
    }

    /// Orders the endpoints that can serve a read, of which the cheapest is first, by their standing.
    pub(super) fn order_by_standing(
        &self,
        group: &Group,
        candidates: Vec<EndpointId>,
    ) -> Vec<EndpointId> {
        let is_overloaded = |in_use: &[EndpointId]| {
            let endpoints = in_use.iter().filter_map(|id| group.endpoints.get(id));
            let connection_count: usize = endpoints.map(|e| e.connections.len()).sum();
            group.waiting_at_dispatch > connection_count * OVERFLOW_PER_CONNECTION
        };
        group.outliers.order(self.now, candidates, &is_overloaded)
    }

    /// Ejects and readmits endpoints of a group.
    pub(super) fn review_outliers(&mut self, service: &ServiceName) {
        let now = self.now;
        let Some(group) = self.groups.get_mut(service) else { return };
        let is_draining = |endpoint: &Endpoint| endpoint.draining_since.is_some();
        let usable: BTreeSet<EndpointId> = group
            .endpoints
            .iter()
            .filter(|(_, e)| {
                e.suspected_since.is_none()
                    && !is_draining(e)
                    && !e.is_backing_off(now)
                    && !e.freshness.is_behind()
            })
            .map(|(id, _)| id.clone())
            .collect();
        if !self.experiment.uses(Mechanism::OutlierEjection) {
            return;
        }
        let ejected_before = group.outliers.ejected_count();
        group.outliers.retain(|id| group.endpoints.contains_key(id));
        group.waits.retain(|id| group.endpoints.contains_key(id));
        let changes = group.outliers.review(now, &|id| usable.contains(id));
        if changes.is_empty() && group.outliers.ejected_count() == ejected_before {
            return;
        }
        for change in changes {
            log_change(service, &change);
        }
        let ejected: usize = self.groups.values().map(|group| group.outliers.ejected_count()).sum();
        gauge!("endpoints_ejected").set(ejected as f64);
        self.dirty.insert(service.clone());
    }

    /// Returns whether a read that has failed at `failed_endpoint` may be retried once more: another
    /// endpoint has not been tried, and the time left allows for its answer.
    pub(super) fn may_retry_elsewhere(&self, id: SessionId, failed_endpoint: &EndpointId) -> bool {
        let operation = self.sessions.get(&id).and_then(|session| session.current.as_ref());
        operation.is_some_and(|operation| self.has_other_endpoint(operation, failed_endpoint))
    }

    fn has_other_endpoint(&self, operation: &Operation, used: &EndpointId) -> bool {
        let Some(group) = self.groups.get(&operation.route.service) else { return false };
        let is_tried = |id: &EndpointId| {
            id == used || operation.avoided_endpoints.iter().any(|(avoided, _)| avoided == id)
        };
        let candidates = self.candidates(group, operation.need, &is_tried);
        let time_left = operation.deadline.saturating_sub(self.now);
        candidates
            .iter()
            .filter_map(|id| group.endpoints.get(id))
            .any(|endpoint| time_left >= endpoint.average_read_time * MIN_RETRY_RATIO)
    }

    /// Retries the reads of a group whose answers are overdue at other endpoints, and closes the
    /// connections of answers that are lost for good.
    pub(super) fn check_overdue(&mut self, service: &ServiceName) {
        let now = self.now;
        let Some(group) = self.groups.get(service) else { return };
        let (mut overdue, mut lost) = (Vec::new(), Vec::new());
        for (id, endpoint) in &group.endpoints {
            if endpoint.suspected_since.is_some() {
                continue;
            }
            for connection in self.connections_to(endpoint) {
                let Some(front) = connection.unanswered.front() else { continue };
                if now < front.sent_at + MIN_OVERDUE {
                    continue;
                }
                let statement = connection.unanswered.iter().find_map(|c| match c.purpose {
                    Purpose::Statement(session, serial) => Some((session, serial)),
                    _ => None,
                });
                let Some((session, serial)) = statement else { continue };
                let operation = self.sessions.get(&session).and_then(|s| s.current.as_ref());
                let is_awaited = operation.is_some_and(|o| o.serial == serial);
                let is_lost = now >= front.sent_at + LOST_ANSWER_AFTER
                    && endpoint.last_heard_at >= front.sent_at + LOST_ANSWER_AFTER / 2;
                if !is_awaited && is_lost && connection.transaction_session.is_none() {
                    lost.push(connection.id);
                } else if self.is_overdue(group, id, session, serial, front.sent_at) {
                    overdue.push((session, id.clone()));
                }
            }
        }
        for connection in lost {
            self.disconnect(connection, "answer was lost");
        }
        for (session, endpoint) in overdue {
            self.requeue_overdue(session, &endpoint);
        }
    }

    /// Returns whether a statement is a read outside of a transaction that was sent once, whose
    /// answer is overdue and that another endpoint can serve.
    fn is_overdue(
        &self,
        group: &Group,
        endpoint: &EndpointId,
        session: SessionId,
        serial: u64,
        sent_at: Time,
    ) -> bool {
        let Some(session) = self.sessions.get(&session) else { return false };
        let Some(operation) = session.current.as_ref().filter(|o| o.serial == serial) else {
            return false;
        };
        let peers = group.endpoints.iter().filter(|(id, _)| *id != endpoint);
        let usual_time = peers.map(|(_, peer)| peer.average_read_time).max().unwrap_or(Time::MAX);
        let elapsed = self.now.saturating_sub(sent_at);
        self.uses(Mechanism::OverdueRetry)
            && operation.is_read()
            && session.transaction.is_none()
            && matches!(operation.stage, Stage::Sent { .. })
            && operation.attempts == 1
            && elapsed >= usual_time.saturating_mul(OVERDUE_RATIO)
            && operation.deadline.saturating_sub(self.now) >= elapsed
            && self.has_other_endpoint(operation, endpoint)
    }

    fn requeue_overdue(&mut self, id: SessionId, endpoint: &EndpointId) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(operation) = session.current.as_mut() else { return };
        let Some(group) = self.groups.get_mut(&operation.route.service) else { return };
        if now < group.next_overdue_retry_at && !group.outliers.has_unanswered(endpoint) {
            return;
        }
        group.next_overdue_retry_at = now + OVERDUE_RETRY_INTERVAL;
        session.last_serial += 1;
        operation.serial = session.last_serial;
        operation.stage = Stage::Waiting;
        operation.unproven_answer = None;
        operation.overdue_at = Some(endpoint.clone());
        operation.avoided_endpoints.push((endpoint.clone(), now + RECONNECT_PAUSE));
        let operation = operation.clone();
        self.record_retry(&operation, endpoint, "overdue");
        self.enqueue(&operation.route.service, id);
    }
}

fn log_change(service: &ServiceName, change: &Change) {
    match change {
        Change::Ejected(endpoint, reason, length) => {
            let label = match reason {
                Reason::Failures { .. } => "failures",
                Reason::Slow { .. } => "slow",
            };
            counter!("ejections_total", "reason" => label).increment(1);
            warn!(
                %service, %endpoint, ?reason, ejected_ms = length.as_millis() as u64,
                "endpoint works worse than its peers; it gets no reads for a while"
            );
        }
        Change::Trial(endpoint) => {
            info!(%service, %endpoint, "ejection has ended; some reads try the endpoint");
        }
        Change::Readmitted(endpoint) => {
            info!(%service, %endpoint, "endpoint answered its trial well; it gets reads again");
        }
    }
}
