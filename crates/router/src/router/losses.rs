//! Handling of lost and refused connections.
//!
//! Reads on a lost connection are retried at another endpoint. A write or commit that was sent is
//! in doubt, and any other statement of a transaction fails together with the transaction. Statements
//! that crossed the closing of an idle channel have not run and are all retried.

use tamarackbend_policy::code::Code;
use tracing::debug;

use super::{ConnectionLoss, Router};
use crate::admission::outlier::Attempt;
use crate::connection::{Connection, Purpose};
use crate::message::{
    Access, ConnectionId, EndpointId, Fault, ServiceName, SessionId, Statement, Time,
};
use crate::session::{Phase, Stage};
use crate::settings::RECONNECT_PAUSE;

/// Time before another channel is opened to a node that serves other customers: its view of the fleet
/// differs for a moment.
const MISROUTED_PAUSE: Time = Time::from_millis(20);

impl Router {
    pub(super) fn on_connection_lost(&mut self, id: ConnectionId, loss: &ConnectionLoss) {
        let now = self.now;
        let Some(connection) = self.connections.get(&id) else { return };
        let (service, endpoint_id) = (connection.service.clone(), connection.endpoint.clone());
        let is_established = connection.is_established;
        debug!(
            connection = id, endpoint = %endpoint_id, ready = is_established, ?loss,
            "connection was lost or refused"
        );
        if let ConnectionLoss::Refused(fault) = loss
            && self.is_remote(&service)
            && self.on_channel_refused(id, fault)
        {
            return;
        }
        if let Some(group) = self.groups.get_mut(&service) {
            group.next_check_at = now;
        }
        if *loss == ConnectionLoss::Broken && is_established {
            self.record_lost_connection(id);
        }
        let is_remote = self.is_remote(&service);
        if let Some(endpoint) = self.endpoint_mut(&service, &endpoint_id)
            && (!is_established || is_remote)
        {
            match loss {
                // Other nodes serve the sessions until a channel to this node opens again.
                _ if is_remote => self.mark_peer_failed(&endpoint_id),
                ConnectionLoss::Refused(Fault::TooMany) => {
                    self.on_too_many_connections(&service, &endpoint_id);
                }
                ConnectionLoss::Refused(_) | ConnectionLoss::Broken | ConnectionLoss::Closed => {
                    endpoint.connect_after = now + RECONNECT_PAUSE;
                    endpoint.suspected_since.get_or_insert(now);
                }
            }
        }
        match loss {
            ConnectionLoss::Closed => self.requeue_unrun(id),
            ConnectionLoss::Broken | ConnectionLoss::Refused(_) => self.drop_connection(id),
        }
    }

    /// Handles the refusal of a channel for its database or key, or because other nodes serve the
    /// customer. Returns whether the node that refused the channel counts as alive.
    fn on_channel_refused(&mut self, id: ConnectionId, fault: &Fault) -> bool {
        let now = self.now;
        let Some(connection) = self.connections.get(&id) else { return false };
        let (service, peer) = (connection.service.clone(), connection.endpoint.clone());
        let is_outdated = connection.peer_version < self.seen_version;
        match fault {
            Fault::NoDatabase | Fault::Unauthorized if !is_outdated => {
                self.drop_connection(id);
                self.reject_unknown(&service, fault);
            }
            // Another node may have a newer configuration.
            Fault::NoDatabase | Fault::Unauthorized => {
                self.drop_connection(id);
                if let Some(endpoint) = self.endpoint_mut(&service, &peer) {
                    endpoint.record_failure(now);
                }
            }
            Fault::Misrouted => {
                self.drop_connection(id);
                if let Some(endpoint) = self.endpoint_mut(&service, &peer) {
                    endpoint.connect_after = now + MISROUTED_PAUSE;
                }
            }
            _ => return false,
        }
        true
    }

    /// Removes a closed channel and queues the statements again that were sent over it without an
    /// answer. Such a channel has no open transaction.
    fn requeue_unrun(&mut self, id: ConnectionId) {
        let Some(connection) = self.remove_connection(id) else { return };
        if let Some(session) = connection.transaction_session {
            self.on_transaction_lost(session, id);
        }
        for command in connection.unanswered {
            let Purpose::Statement(session, serial) = command.purpose else { continue };
            let operation = self.sessions.get_mut(&session).and_then(|s| s.current.as_mut());
            let Some(operation) = operation.filter(|operation| {
                operation.serial == serial && matches!(operation.stage, Stage::Sent { .. })
            }) else {
                continue;
            };
            operation.stage = Stage::Waiting;
            let operation = operation.clone();
            self.record_retry(&operation, &connection.endpoint, "channel closed");
            self.enqueue(&operation.route.service, session);
        }
    }

    /// Removes a connection from the router's state.
    pub(super) fn remove_connection(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        self.dirty.insert(connection.service.clone());
        if let Some(endpoint) = self.endpoint_mut(&connection.service, &connection.endpoint) {
            endpoint.connections.retain(|other| *other != id);
        }
        Some(connection)
    }

    /// Removes a connection and fails or retries the work on it.
    pub(super) fn drop_connection(&mut self, id: ConnectionId) {
        let Some(connection) = self.remove_connection(id) else { return };
        let now = self.now;
        if let Some(endpoint) = self.endpoint_mut(&connection.service, &connection.endpoint) {
            endpoint.status_requested_at = None;
            endpoint.probe_requested_at = None;
        }
        if let Some(session) = connection.transaction_session {
            self.on_transaction_lost(session, id);
        }
        for command in connection.unanswered {
            let Purpose::Statement(session, serial) = command.purpose else { continue };
            self.on_statement_lost(session, serial, &connection.endpoint, now);
        }
    }

    fn on_transaction_lost(&mut self, id: SessionId, connection: ConnectionId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(transaction) = &mut session.transaction else { return };
        let service = transaction.route.service.clone();
        if transaction.phase == Phase::Opening(connection) {
            transaction.phase = Phase::Waiting;
            self.enqueue(&service, id);
            return;
        }
        if transaction.phase != Phase::Open(connection) {
            return;
        }
        let has_written = transaction.has_written;
        let Some(operation) = &session.current else {
            transaction.phase = Phase::Failed { is_reported: false };
            return;
        };
        let was_sent = !matches!(operation.stage, Stage::Waiting);
        if operation.statement == Statement::Commit {
            session.transaction = None;
            match was_sent && has_written {
                true => self.refuse(id, Fault::InDoubt, Code::ConnectionLost, None),
                false => self.refuse(id, Fault::Aborted, Code::TransactionLost, None),
            }
        } else {
            transaction.phase = Phase::Failed { is_reported: true };
            self.refuse(id, Fault::Aborted, Code::TransactionLost, None);
        }
    }

    fn on_statement_lost(&mut self, id: SessionId, serial: u64, endpoint: &EndpointId, now: Time) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if session.transaction.is_some() {
            return;
        }
        let Some(operation) = session.current.as_mut().filter(|o| o.serial == serial) else {
            return;
        };
        if operation.is_read() {
            operation.stage = Stage::Waiting;
            operation.unproven_answer = None;
            operation.avoided_endpoints.push((endpoint.clone(), now + RECONNECT_PAUSE));
            let operation = operation.clone();
            self.record_retry(&operation, endpoint, "connection lost");
            self.enqueue(&operation.route.service, id);
        } else {
            self.refuse(id, Fault::InDoubt, Code::ConnectionLost, None);
        }
    }

    /// Queues the unanswered reads of a silent endpoint again, for other endpoints.
    pub(super) fn requeue_reads(&mut self, service: &ServiceName, endpoint: &EndpointId) {
        let now = self.now;
        let connections = self.connection_ids(service, endpoint);
        let mut requeued = Vec::new();
        for (id, session) in &mut self.sessions {
            if session.transaction.is_some() {
                continue;
            }
            let Some(operation) = session.current.as_mut() else { continue };
            let Stage::Sent { connection, .. } = operation.stage else { continue };
            if operation.is_read() && connections.contains(&connection) {
                session.last_serial += 1;
                operation.serial = session.last_serial;
                operation.stage = Stage::Waiting;
                operation.unproven_answer = None;
                operation.avoided_endpoints.push((endpoint.clone(), now + RECONNECT_PAUSE));
                requeued.push(*id);
            }
        }
        if !requeued.is_empty() {
            self.record_attempt(service, endpoint, Some(Access::Read), Attempt::Unanswered);
        }
        for id in requeued {
            self.enqueue(service, id);
        }
    }
}
