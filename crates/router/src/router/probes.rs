//! Periodic work: failure detection, evidence for the primary, and position samples.
//!
//! The router sends two kinds of commands of its own. A status request asks an endpoint for its
//! role, term and log positions. A probe begins and rolls back a transaction that may write, which
//! shows that the endpoint is alive, its log position, and whether it is the primary.

use std::collections::BTreeSet;

use tracing::{info, warn};

use super::{Action, Router};
use crate::connection::Purpose;
use crate::evidence::FOLLOW_TIMEOUT;
use crate::experiment::Mechanism;
use crate::group::{Group, PendingAnswer};
use crate::message::{
    Command, ConnectionId, EndpointId, Order, ServiceName, SessionId, Statement, Time,
};
use crate::replication::MAX_REPLICATION_WAIT;
use crate::settings::{
    CONNECT_TIMEOUT, EVIDENCE_REFRESH_AGE, MAX_POSITION_AGE, POSITION_INTERVAL,
    POSITION_RETRY_PAUSE, PROBE_AFTER, PROBE_TIMEOUT,
};

/// Time without requests after which a group counts as idle.
const GROUP_IDLE_AFTER: Time = Time::from_secs(3);
/// Factor by which the sampling interval of idle groups is longer.
const IDLE_INTERVAL_FACTOR: u32 = 10;
/// Time without an answer after which a status request is repeated.
const STATUS_TIMEOUT: Time = Time::from_millis(250);
/// Number of groups that a node may check in every tick. A node with several times as many checks each
/// idle group once in as many intervals of [`CHECK_INTERVAL`].
const GROUPS_PER_CHECK: usize = 32;
/// Interval of ticks while work is in progress.
const CHECK_INTERVAL: Time = Time::from_millis(15);
/// Interval of status requests to all endpoints while no primary is known or its term is fenced.
const SURVEY_INTERVAL: Time = Time::from_millis(120);
/// Time after which connections of a suspected endpoint are closed, except those with unanswered
/// writes.
const MAX_SILENCE: Time = Time::from_millis(1500);

impl Router {
    pub(super) fn tick(&mut self) {
        if self.store_unreachable_since.is_none() {
            for effect in self.directory.expire(self.now) {
                self.apply_effect(effect);
            }
        }
        self.prepare_without_fleet();
        self.check_sessions();
        self.check_peers();
        self.tick_limits();
        let due = self.due_groups();
        for service in &due {
            if self.uses_group(service) {
                self.check_connections(service);
                self.sample_group(service);
                self.check_overdue(service);
                self.review_outliers(service);
                self.check_waits(service);
            } else {
                self.close_free_connections(service);
            }
        }
        self.check_failovers(&due);
        let waiting = self.groups.iter().filter(|(_, group)| !group.waiting_sessions.is_empty());
        self.dirty.extend(waiting.map(|(name, _)| name.clone()));
        self.update_readiness();
        self.advance_shutdown();
    }

    /// Returns the groups of endpoints to check in this tick: those with work in progress, and the
    /// others in turn. A node with few groups checks all of them in every tick.
    fn due_groups(&mut self) -> Vec<ServiceName> {
        let now = self.now;
        let late_commands = self.connections.values().filter(|connection| {
            connection.unanswered.front().is_some_and(|front| now >= front.sent_at + PROBE_AFTER)
        });
        let late: BTreeSet<ServiceName> = late_commands.map(|c| c.service.clone()).collect();
        let local_groups = self.groups.iter_mut().filter(|(_, group)| !group.is_remote);
        let groups: Vec<(&ServiceName, &mut Group)> = local_groups.collect();
        let interval = CHECK_INTERVAL * (groups.len() / GROUPS_PER_CHECK) as u32;
        let mut due = Vec::new();
        for (name, group) in groups {
            if now >= group.next_check_at || group.has_work_in_progress() || late.contains(name) {
                group.next_check_at = now + interval;
                due.push(name.clone());
            }
        }
        due
    }

    fn update_readiness(&mut self) {
        let can_serve = match self.is_pooler {
            Some(false) => !self.poolers.is_empty(),
            // While the fleet is unknown, the node serves the databases that it can reach.
            Some(true) | None => {
                self.configuration.is_some()
                    && self.groups.values().any(|group| !group.endpoints.is_empty())
            }
        };
        if can_serve && !self.is_ready && self.stopping_since.is_none() {
            info!("node is ready for clients");
            self.is_ready = true;
            self.actions.push(Action::SetReady(true));
        }
    }

    /// Opens missing connections, closes those of silent endpoints and detects such endpoints in a group.
    fn check_connections(&mut self, service: &ServiceName) {
        let now = self.now;
        let Some(group) = self.groups.get(service) else { return };
        let ids: Vec<EndpointId> = group.endpoints.keys().cloned().collect();
        let limit = self.max_connections(group) + 1;
        for id in ids {
            self.check_connecting(service, &id);
            self.check_silence(service, &id);
            let connections = self.connection_ids(service, &id);
            let Some(endpoint) = self.endpoint_mut(service, &id) else { continue };
            let needs_connection =
                endpoint.suspected_since.is_some() || !endpoint.queued_commands.is_empty();
            let has_drained = endpoint.draining_since.is_some() && connections.is_empty();
            if (connections.is_empty() && !has_drained) || needs_connection {
                self.open_connection(service, &id, limit);
            }
            let Some(endpoint) = self.endpoint_mut(service, &id) else { continue };
            if endpoint
                .status_requested_at
                .is_some_and(|requested_at| now >= requested_at + STATUS_TIMEOUT)
            {
                endpoint.status_requested_at = None;
            }
        }
    }

    /// Closes the connections of a group that no session uses.
    fn close_free_connections(&mut self, service: &ServiceName) {
        let Some(group) = self.groups.get(service) else { return };
        let connections = group.endpoints.values().flat_map(|e| self.connections_to(e));
        let free: Vec<ConnectionId> = connections.filter(|c| c.is_free()).map(|c| c.id).collect();
        for connection in free {
            self.disconnect(connection, "no session uses the group");
        }
    }

    fn check_connecting(&mut self, service: &ServiceName, id: &EndpointId) {
        let now = self.now;
        let Some(endpoint) = self.groups.get(service).and_then(|g| g.endpoints.get(id)) else {
            return;
        };
        let expired_connections: Vec<ConnectionId> = self
            .connections_to(endpoint)
            .filter(|c| !c.is_established && now >= c.requested_at + CONNECT_TIMEOUT)
            .map(|c| c.id)
            .collect();
        for connection in expired_connections {
            self.disconnect(connection, "connection was not established in time");
            if let Some(endpoint) = self.endpoint_mut(service, id)
                && now >= endpoint.last_heard_at + CONNECT_TIMEOUT
            {
                self.mark_suspected(service, id);
            }
        }
    }

    fn check_silence(&mut self, service: &ServiceName, id: &EndpointId) {
        let now = self.now;
        let Some(endpoint) = self.groups.get(service).and_then(|g| g.endpoints.get(id)) else {
            return;
        };
        let has_late_command = self
            .connections_to(endpoint)
            .any(|c| c.unanswered.front().is_some_and(|front| now >= front.sent_at + PROBE_AFTER));
        let Some(endpoint) = self.endpoint_mut(service, id) else { return };
        if has_late_command
            && now >= endpoint.last_heard_at + PROBE_AFTER
            && endpoint.probe_requested_at.is_none()
        {
            self.send_probe(service, id);
            return;
        }
        let is_silent = endpoint.probe_requested_at.is_some_and(|requested_at| {
            now >= requested_at + PROBE_TIMEOUT && endpoint.last_heard_at < requested_at
        });
        if is_silent && endpoint.suspected_since.is_none() {
            self.mark_suspected(service, id);
        }
        let Some(endpoint) = self.endpoint_mut(service, id) else { return };
        let is_silent_too_long =
            endpoint.suspected_since.is_some_and(|since| now >= since + MAX_SILENCE);
        if is_silent_too_long {
            let silent_connections =
                self.connection_ids(service, id).into_iter().filter(|connection| {
                    let connection = self.connections.get(connection);
                    connection
                        .is_some_and(|c| c.is_established && now >= c.last_answer_at + MAX_SILENCE)
                });
            for connection in silent_connections.collect::<Vec<ConnectionId>>() {
                if !self.has_unanswered_write(connection) {
                    self.disconnect(connection, "endpoint is silent");
                }
            }
        }
    }

    fn has_unanswered_write(&self, connection: ConnectionId) -> bool {
        let Some(state) = self.connections.get(&connection) else { return false };
        state.unanswered.iter().any(|command| match command.purpose {
            Purpose::Statement(session, serial) => self.is_unanswered_write(session, serial),
            _ => false,
        })
    }

    fn is_unanswered_write(&self, session: SessionId, serial: u64) -> bool {
        let operation = self.sessions.get(&session).and_then(|session| session.current.as_ref());
        operation.is_some_and(|operation| operation.serial == serial && !operation.is_read())
    }

    fn mark_suspected(&mut self, service: &ServiceName, id: &EndpointId) {
        let now = self.now;
        let Some(endpoint) = self.endpoint_mut(service, id) else { return };
        let silent_ms = now.saturating_sub(endpoint.last_heard_at).as_millis() as u64;
        info!(
            %service, endpoint = %id, silent_ms,
            "endpoint does not answer; retrying its reads at other endpoints"
        );
        endpoint.suspected_since.get_or_insert(now);
        self.requeue_reads(service, id);
    }

    /// Keeps the evidence and the position samples of a group recent, less often if it is idle.
    fn sample_group(&mut self, service: &ServiceName) {
        let now = self.now;
        let Some(group) = self.groups.get(service) else { return };
        if group.primary.is_none() || group.fenced_since.is_some() {
            if now >= group.last_survey_at + SURVEY_INTERVAL {
                self.survey(service);
            }
            return;
        }
        self.survey_fenced(service);
        let Some(group) = self.groups.get(service) else { return };
        let is_idle = now >= group.last_request_at + GROUP_IDLE_AFTER;
        let position_age = group.evidence.newest_position_at().map(|at| now.saturating_sub(at));
        let (max_position_age, min_pause) = match is_idle {
            true => {
                (POSITION_INTERVAL * IDLE_INTERVAL_FACTOR, POSITION_INTERVAL * IDLE_INTERVAL_FACTOR)
            }
            false => (MAX_POSITION_AGE, POSITION_RETRY_PAUSE),
        };
        let is_late = position_age.is_none_or(|position_age| position_age >= max_position_age);
        let is_due = is_late
            || (position_age.is_some_and(|position_age| position_age >= POSITION_INTERVAL)
                && self.is_covered(service, now));
        let is_due = is_due && now >= group.position_requested_at + min_pause;
        let is_any_silent =
            group.is_incomplete() || group.other_endpoints().any(|e| e.suspected_since.is_some());
        if group.pending_answers.iter().any(|pending| self.needs_evidence(pending)) {
            self.request_evidence(service);
        } else if is_any_silent && !is_idle {
            // Without an answer of each endpoint, evidence takes long to regain once it has expired.
            self.request_evidence_if_old(service);
        }
        self.poll_replicas(service);
        let Some(group) = self.groups.get_mut(service) else { return };
        if let Some(primary) = group.primary.as_ref().map(|primary| primary.endpoint.clone())
            && is_due
            && group.primary_endpoint().is_some_and(|primary| primary.probe_requested_at.is_none())
        {
            group.position_requested_at = now;
            if !is_idle {
                self.request_evidence_if_old(service);
            }
            self.send_probe(service, &primary);
        }
    }

    /// Asks the endpoints again that were fenced, as nothing reports the end of a fence.
    fn survey_fenced(&mut self, service: &ServiceName) {
        let now = self.now;
        let Some(group) = self.groups.get(service) else { return };
        let due: Vec<EndpointId> = group
            .other_endpoints()
            .filter(|endpoint| {
                let is_recent = endpoint.status.is_some_and(|(at, _)| now < at + SURVEY_INTERVAL);
                endpoint.fenced_since.is_some() && endpoint.suspected_since.is_none() && !is_recent
            })
            .map(|endpoint| endpoint.entry.id.clone())
            .collect();
        for id in due {
            self.request_status(service, &id);
        }
    }

    /// Returns whether a pending answer needs evidence. A commit needs it only if no replica has
    /// confirmed it after half of [`MAX_REPLICATION_WAIT`].
    fn needs_evidence(&self, pending: &PendingAnswer) -> bool {
        pending.commit_position.is_none()
            || self.now >= pending.required_at + MAX_REPLICATION_WAIT / 2
    }

    /// Probes replicas for the positions of pending commits. After [`MAX_REPLICATION_WAIT`],
    /// commits stop waiting for replicas for a while.
    fn poll_replicas(&mut self, service: &ServiceName) {
        let now = self.now;
        let Some(group) = self.groups.get_mut(service) else { return };
        let commits =
            group.pending_answers.iter().filter(|pending| pending.commit_position.is_some());
        let Some(waiting_since) = commits.map(|pending| pending.required_at).min() else { return };
        let is_term_confirmed =
            group.evidence.confirmed_at().is_some_and(|requested_at| requested_at >= waiting_since);
        // A primary that is lost takes what no replica holds with it, so only one that still answers
        // may do without replicas.
        let overdue_since = waiting_since + MAX_REPLICATION_WAIT / 2;
        let has_answered =
            group.primary_endpoint().is_some_and(|primary| primary.last_heard_at >= overdue_since);
        if now >= waiting_since + MAX_REPLICATION_WAIT && is_term_confirmed && has_answered {
            group.replication.suspend(now);
            warn!(%service, "replicas lag; commits stop waiting for them for a while");
            self.confirm_pending(service);
            return;
        }
        if now < group.replication.first_check_at(waiting_since) {
            return;
        }
        let primary = group.primary.as_ref().map(|primary| primary.endpoint.clone());
        if now >= overdue_since
            && !has_answered
            && let Some(primary) = primary
        {
            self.send_probe_if_none(service, &primary);
        }
        let Some(group) = self.groups.get(service) else { return };
        let commits = group.pending_answers.iter().filter(|p| p.commit_position.is_some());
        let is_covered = commits.map(|pending| pending.required_at).all(|at| group.is_covered(at));
        let mut replicas: Vec<(Time, EndpointId)> = group
            .endpoints
            .iter()
            .filter(|(id, endpoint)| {
                !group.is_primary(id)
                    && endpoint.suspected_since.is_none()
                    && (!endpoint.entry.leaving || !is_covered)
            })
            .map(|(id, endpoint)| {
                (self.expected_read_time(&endpoint.entry.failure_domain), id.clone())
            })
            .collect();
        replicas.sort();
        // The nearest replica usually holds the commit; after a third of the wait, the others are
        // asked as well, and at once if there is no evidence: their answers show that none of them
        // had been promoted.
        if is_covered && now < waiting_since + MAX_REPLICATION_WAIT / 3 {
            replicas.truncate(1);
        }
        for (_, id) in replicas {
            self.send_probe_if_none(service, &id);
        }
    }

    /// Requests new evidence if the last is old, before an answer of the primary needs it.
    pub(super) fn request_evidence_if_old(&mut self, service: &ServiceName) {
        let now = self.now;
        if !self.uses(Mechanism::EvidenceRefresh) {
            return;
        }
        let Some(group) = self.groups.get(service) else { return };
        if group.evidence.confirmed_at().is_none_or(|at| now >= at + EVIDENCE_REFRESH_AGE) {
            self.request_evidence(service);
        }
    }

    /// Asks another endpoint for its status, which is evidence if the primary's term is not fenced
    /// there.
    pub(super) fn request_evidence(&mut self, service: &ServiceName) {
        let now = self.now;
        let Some(group) = self.groups.get(service) else { return };
        let is_requested = group.endpoints.values().any(|endpoint| {
            !group.is_primary(&endpoint.entry.id)
                && endpoint
                    .status_requested_at
                    .is_some_and(|requested_at| now < requested_at + STATUS_TIMEOUT)
        });
        if is_requested {
            return;
        }
        if let Some(candidate) = group.evidence.candidate(now) {
            let id = candidate.endpoint.clone();
            let is_follow_due = now >= candidate.received_at + FOLLOW_TIMEOUT;
            self.probe_possibly_promoted(service);
            if is_follow_due {
                self.request_status(service, &id);
            }
            return;
        }
        let nearest = group
            .endpoints
            .iter()
            .filter(|(id, endpoint)| !group.is_primary(id) && endpoint.suspected_since.is_none())
            .min_by_key(|(_, endpoint)| {
                let is_status_old = endpoint
                    .status
                    .map(|(requested_at, _)| now.saturating_sub(requested_at) > GROUP_IDLE_AFTER);
                (
                    is_status_old == Some(true),
                    self.expected_read_time(&endpoint.entry.failure_domain),
                )
            })
            .map(|(id, _)| id.clone());
        if let Some(id) = nearest {
            self.request_status(service, &id);
        }
    }

    /// Probes the endpoints that may have been promoted before the present candidate.
    pub(super) fn probe_possibly_promoted(&mut self, service: &ServiceName) {
        let Some(group) = self.groups.get(service) else { return };
        let Some(candidate) = group.evidence.candidate(self.now) else { return };
        let undecided = group
            .possibly_promoted(candidate)
            .filter(|endpoint| endpoint.suspected_since.is_none());
        let ids: Vec<EndpointId> = undecided.map(|endpoint| endpoint.entry.id.clone()).collect();
        for id in ids {
            self.send_probe_if_none(service, &id);
        }
    }

    /// Requests the status of all endpoints of a group.
    pub(super) fn survey(&mut self, service: &ServiceName) {
        let now = self.now;
        let Some(group) = self.groups.get_mut(service) else { return };
        group.last_survey_at = now;
        let ids: Vec<EndpointId> = group.endpoints.keys().cloned().collect();
        for id in ids {
            self.request_status(service, &id);
        }
    }

    pub(super) fn request_status(&mut self, service: &ServiceName, id: &EndpointId) {
        let now = self.now;
        let Some(endpoint) = self.endpoint_mut(service, id) else { return };
        if endpoint.status_requested_at.is_some() {
            return;
        }
        endpoint.status_requested_at = Some(now);
        endpoint.queued_commands.push_back((Command::new(Order::Status), Purpose::Status));
        self.send_queued_commands(service, id);
    }

    fn send_probe_if_none(&mut self, service: &ServiceName, id: &EndpointId) {
        if self.endpoint_mut(service, id).is_some_and(|e| e.probe_requested_at.is_none()) {
            self.send_probe(service, id);
        }
    }

    /// Probes an endpoint with an empty transaction, which uses no slot. The transaction may write, so
    /// only the primary accepts it.
    fn send_probe(&mut self, service: &ServiceName, id: &EndpointId) {
        let now = self.now;
        let Some(endpoint) = self.endpoint_mut(service, id) else { return };
        endpoint.probe_requested_at = Some(now);
        let begin = Order::Statement(Statement::Begin { read_only: false });
        endpoint.queued_commands.push_back((Command::new(begin), Purpose::Probe));
        self.send_queued_commands(service, id);
    }

    /// Sends the router's queued commands to an endpoint over a free connection, or opens one.
    pub(super) fn send_queued_commands(&mut self, service: &ServiceName, id: &EndpointId) {
        let Some(endpoint) = self.endpoint_mut(service, id) else { return };
        if endpoint.queued_commands.is_empty() {
            return;
        }
        let free_connection = self.connection_ids(service, id).into_iter().find(|connection| {
            self.connections.get(connection).is_some_and(|state| state.is_free())
        });
        let Some(connection) = free_connection else {
            let limit = self.groups.get(service).map_or(1, |group| self.max_connections(group) + 1);
            self.open_connection(service, id, limit);
            return;
        };
        let Some(endpoint) = self.endpoint_mut(service, id) else { return };
        let mut commands = Vec::new();
        for (command, purpose) in endpoint.queued_commands.drain(..) {
            let is_probe = purpose == Purpose::Probe;
            commands.push((command, purpose));
            if is_probe {
                let rollback = Command::new(Order::Statement(Statement::Rollback));
                commands.push((rollback, Purpose::Cleanup));
            }
        }
        self.send(connection, commands);
    }
}
