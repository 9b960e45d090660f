//! Handling of endpoint answers.
//!
//! An answer is delivered to the client, retried at another endpoint, or held back until evidence
//! shows that the endpoint was still the primary when it answered (see
//! [`evidence`](crate::evidence)).

use metrics::histogram;
use tamarackbend_policy::code::Code;
use tracing::info;

use super::Router;
use super::record::fault_label;
use crate::connection::{Purpose, SentCommand};
use crate::evidence::Sample;
use crate::experiment::Mechanism;
use crate::group::PendingAnswer;
use crate::message::{
    Access, Answer, ConnectionId, EndpointId, Fault, Outcome, Position, ServiceName, SessionId,
    Statement, Time, TransactionState,
};
use crate::session::{Need, Phase, Stage};
use crate::settings::{BUSY_PAUSE, LAGGING_PAUSE, RECONNECT_PAUSE};

/// Age at which the status of a replica that reports itself lagging is requested again.
const MAX_LAGGING_STATUS_AGE: Time = Time::from_secs(1);
/// Number of times that a failed read is retried, not counting a retry at an endpoint that has not
/// been tried.
const MAX_READ_RETRIES: u32 = 1;

impl Router {
    pub(super) fn on_connected(&mut self, id: ConnectionId, position: Option<Position>) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.is_established = true;
        connection.last_answer_at = now;
        let (service, endpoint_id) = (connection.service.clone(), connection.endpoint.clone());
        self.dirty.insert(service.clone());
        let Some(endpoint) = self.endpoint_mut(&service, &endpoint_id) else { return };
        endpoint.record_contact(now);
        if let Some(position) = position {
            endpoint.freshness.record_applied(now, position);
        }
        if self.is_remote(&service) {
            self.mark_peer_alive(&endpoint_id);
            return;
        }
        let Some(endpoint) = self.endpoint_mut(&service, &endpoint_id) else { return };
        if endpoint.status.is_none() {
            self.request_status(&service, &endpoint_id);
        }
        self.send_queued_commands(&service, &endpoint_id);
    }

    pub(super) fn on_answer(&mut self, id: ConnectionId, answer: Answer) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.last_answer_at = now;
        let Some(command) = connection.unanswered.pop_front() else {
            self.disconnect(id, "endpoint sent an answer but no command is outstanding");
            return;
        };
        let (service, endpoint_id) = (connection.service.clone(), connection.endpoint.clone());
        if let Some(endpoint) = self.endpoint_mut(&service, &endpoint_id) {
            endpoint.record_contact(now);
            if let Some(position) = answer.position {
                endpoint.freshness.record_applied(now, position);
            }
        }
        if let Some(position) = answer.position {
            self.record_log_position(&service, &endpoint_id, position);
        }
        self.record_response_time(&command.purpose, command.sent_at);
        self.record_slot_time(&service, &command);
        let state = answer.state;
        let origin = Origin { connection: id, service, endpoint: endpoint_id, command };
        self.handle_answer(&origin, answer);
        self.dirty.insert(origin.service.clone());
        let Some(connection) = self.connections.get(&id) else { return };
        if connection.is_free() {
            if state != TransactionState::Idle {
                self.disconnect(id, "connection is still in a transaction after its last command");
            } else {
                self.send_queued_commands(&origin.service, &origin.endpoint);
            }
        }
    }

    fn handle_answer(&mut self, origin: &Origin, answer: Answer) {
        match origin.command.purpose {
            Purpose::Setup | Purpose::Cleanup => {
                if origin.command.purpose == Purpose::Setup && answer.outcome.fault().is_some() {
                    self.disconnect(
                        origin.connection,
                        "endpoint rejected a session value or a prepared statement",
                    );
                }
            }
            Purpose::Begin(session) => self.on_begin_answer(origin, session, &answer),
            Purpose::Statement(session, serial) => {
                self.on_statement_answer(origin, session, serial, answer)
            }
            Purpose::Proof(session, serial) => {
                self.on_proof_answer(origin, session, serial, &answer)
            }
            Purpose::Probe => self.on_probe_answer(origin, &answer),
            Purpose::Status | Purpose::Order => self.on_status_answer(origin, &answer),
        }
    }

    fn on_begin_answer(&mut self, origin: &Origin, id: SessionId, answer: &Answer) {
        let now = self.now;
        let transaction = self.sessions.get(&id).and_then(|session| session.transaction.as_ref());
        if transaction.map(|transaction| transaction.phase)
            != Some(Phase::Opening(origin.connection))
        {
            self.release(origin.connection);
            return;
        }
        let fault = answer.outcome.fault().cloned();
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let has_statement = session.current.is_some();
        let Some(transaction) = &mut session.transaction else { return };
        let (service, floor) = (transaction.route.service.clone(), transaction.floor);
        let Some(fault) = fault else {
            transaction.phase = Phase::Open(origin.connection);
            transaction.opened_at = Some(now);
            if has_statement {
                self.enqueue(&service, id);
            }
            return;
        };
        if matches!(fault, Fault::OverLimit | Fault::Unauthorized) {
            if let Some(connection) = self.connections.get_mut(&origin.connection) {
                connection.transaction_session = None;
            }
            self.refuse_transaction(id, answer.outcome.clone());
            return;
        }
        transaction.phase = Phase::Waiting;
        transaction.avoided_endpoints.push((origin.endpoint.clone(), now + avoidance_time(&fault)));
        if let Some(connection) = self.connections.get_mut(&origin.connection) {
            connection.transaction_session = None;
        }
        self.handle_fault(origin, &fault, floor.map(Need::Position));
        self.enqueue(&service, id);
    }

    /// Fails a transaction whose begin was refused by the node that serves it.
    fn refuse_transaction(&mut self, id: SessionId, refusal: Outcome) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let has_statement = session.current.is_some();
        let Some(transaction) = &mut session.transaction else { return };
        transaction.phase = Phase::Failed { is_reported: has_statement };
        if has_statement {
            self.reply_outcome(id, refusal);
        } else {
            transaction.refusal = Some(refusal);
        }
    }

    fn on_statement_answer(&mut self, origin: &Origin, id: SessionId, serial: u64, answer: Answer) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(operation) = session.current.as_mut().filter(|o| o.serial == serial) else {
            return;
        };
        if !matches!(operation.stage, Stage::Sent { connection, .. } if connection == origin.connection)
        {
            return;
        }
        if let Some(fault) = answer.outcome.fault().cloned() {
            self.on_statement_error(origin, id, &fault, answer);
            return;
        }
        let (need, access) = (operation.need, operation.access);
        self.record_answer(&origin.service, &origin.endpoint, id, origin.command.sent_at);
        if let Some(endpoint) = self.endpoint_mut(&origin.service, &origin.endpoint) {
            endpoint.backoff = None;
            endpoint.window.record_answer();
        }
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(operation) = session.current.as_mut() else { return };
        let is_commit = operation.statement == Statement::Commit;
        if need == Need::ProvenPrimary {
            operation.unproven_answer = Some(answer);
            return;
        }
        if access == Some(Access::Read) && need != Need::Transaction {
            let read_time = now.saturating_sub(origin.command.sent_at);
            if let Some(endpoint) = self.endpoint_mut(&origin.service, &origin.endpoint) {
                endpoint.record_read_time(read_time);
            }
            self.reply(id, answer);
            return;
        }
        let transaction = session.transaction.as_ref();
        let began_at_floor = transaction.is_some_and(|transaction| transaction.floor.is_some());
        let has_written = transaction.is_none_or(|transaction| transaction.has_written);
        let opened_at = transaction.and_then(|transaction| transaction.opened_at);
        if began_at_floor || session.serving_group.is_some() {
            self.deliver(origin, id, answer, false);
            return;
        }
        let acknowledges_write = has_written && (is_commit || transaction.is_none());
        // Reads inside a transaction are as recent as its begin; only a commit needs evidence for
        // the time of its answer.
        let required_at = if acknowledges_write { now } else { opened_at.unwrap_or(now) };
        if is_commit {
            self.unpin_committed(id, origin.connection);
        }
        let commit_position = answer.position.filter(|_| acknowledges_write);
        self.deliver_if_confirmed(origin, id, serial, required_at, commit_position, answer);
    }

    /// Frees the connection of a transaction that its endpoint has committed.
    fn unpin_committed(&mut self, id: SessionId, connection: ConnectionId) {
        let session = self.sessions.get_mut(&id);
        if let Some(transaction) = session.and_then(|session| session.transaction.as_mut()) {
            transaction.phase = Phase::Committed;
        }
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.transaction_session = None;
        }
    }

    /// Delivers an answer of the primary if it is confirmed, and holds it back otherwise.
    ///
    /// `required_at` is the time at which the endpoint must have been the primary.
    /// `commit_position` is the log position of the commit that the answer acknowledges, if any.
    pub(super) fn deliver_if_confirmed(
        &mut self,
        origin: &Origin,
        id: SessionId,
        serial: u64,
        required_at: Time,
        commit_position: Option<Position>,
        answer: Answer,
    ) {
        let is_primary =
            self.groups.get(&origin.service).is_some_and(|g| g.is_primary(&origin.endpoint));
        if is_primary && self.is_confirmed(&origin.service, required_at, commit_position) {
            self.deliver(origin, id, answer, true);
            return;
        }
        if let Some(operation) = self.sessions.get_mut(&id).and_then(|s| s.current.as_mut()) {
            operation.stage = Stage::Confirming;
        }
        let Some(group) = self.groups.get_mut(&origin.service) else { return };
        let pending = PendingAnswer {
            required_at,
            session: id,
            serial,
            connection: origin.connection,
            endpoint: origin.endpoint.clone(),
            sent_at: origin.command.sent_at,
            commit_position,
            answer,
        };
        group.pending_answers.push(pending);
        match is_primary {
            true if group.fenced_since.is_some() || commit_position.is_some() => {}
            true => self.request_evidence(&origin.service),
            false => self.confirm_pending(&origin.service),
        }
    }

    /// Returns whether evidence shows that the primary of `service` was the primary at `time`.
    pub(super) fn is_covered(&self, service: &ServiceName, time: Time) -> bool {
        self.groups.get(service).is_some_and(|group| group.is_covered(time))
    }

    /// Returns whether an answer of the primary is confirmed.
    ///
    /// The answer must be from before any promotion, and a replica must hold the commit unless commits
    /// do not wait for replicas.
    fn is_confirmed(
        &self,
        service: &ServiceName,
        required_at: Time,
        commit_position: Option<Position>,
    ) -> bool {
        let Some(group) = self.groups.get(service) else { return false };
        let is_missing = commit_position.is_some_and(|position| {
            !group.replication.has_replicated(position) && group.waits_for_replicas(self.now)
        });
        !is_missing && group.is_covered(required_at)
    }

    /// Records that an endpoint holds the log up to `position`.
    pub(super) fn record_log_position(
        &mut self,
        service: &ServiceName,
        id: &EndpointId,
        position: Position,
    ) {
        let Some(group) = self.groups.get_mut(service) else { return };
        if group.record_replica_position(id, position)
            && group.pending_answers.iter().any(|p| p.commit_position.is_some())
        {
            self.confirm_pending(service);
        }
    }

    /// Delivers the pending answers that are confirmed by now, and resolves those of an endpoint
    /// that is no longer the primary.
    pub(super) fn confirm_pending(&mut self, service: &ServiceName) {
        let Some(group) = self.groups.get_mut(service) else { return };
        for pending in std::mem::take(&mut group.pending_answers) {
            let operation = self.sessions.get(&pending.session).and_then(|s| s.current.as_ref());
            if operation.is_none_or(|operation| operation.serial != pending.serial) {
                continue;
            }
            let is_primary =
                self.groups.get(service).is_some_and(|g| g.is_primary(&pending.endpoint));
            if is_primary
                && self.is_confirmed(service, pending.required_at, pending.commit_position)
            {
                self.record_confirmation(service, &pending);
                let command = SentCommand { sent_at: pending.sent_at, purpose: Purpose::Cleanup };
                let origin = Origin {
                    connection: pending.connection,
                    service: service.clone(),
                    endpoint: pending.endpoint,
                    command,
                };
                self.deliver(&origin, pending.session, pending.answer, true);
            } else if !is_primary {
                self.resolve_unconfirmed(pending);
            } else if let Some(group) = self.groups.get_mut(service) {
                group.pending_answers.push(pending);
            }
        }
    }

    fn record_confirmation(&mut self, service: &ServiceName, pending: &PendingAnswer) {
        let delay = self.now.saturating_sub(pending.required_at);
        let stage = if pending.commit_position.is_some() { "replicate" } else { "confirm" };
        histogram!("stage_seconds", "stage" => stage).record(delay.as_secs_f64());
        if let Some(group) = self.groups.get_mut(service)
            && pending
                .commit_position
                .is_some_and(|position| group.replication.has_replicated(position))
        {
            group.replication.record_delay(delay);
        }
    }

    /// Resolves a pending answer of an endpoint that is no longer the primary.
    ///
    /// A read is retried. A commit or a write outside of a transaction is in doubt. Any other
    /// statement fails together with its transaction.
    fn resolve_unconfirmed(&mut self, pending: PendingAnswer) {
        let id = pending.session;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(operation) = session.current.as_mut() else { return };
        let is_commit = operation.statement == Statement::Commit;
        if operation.is_read() && session.transaction.is_none() {
            operation.stage = Stage::Waiting;
            let service = operation.route.service.clone();
            self.enqueue(&service, id);
        } else if is_commit || session.transaction.is_none() {
            session.transaction = None;
            self.refuse(id, Fault::InDoubt, Code::PrimaryReplaced, None);
        } else {
            self.fail_transaction(id);
            self.refuse(id, Fault::Aborted, Code::TransactionLost, None);
        }
        if let Some(connection) = self.connections.get(&pending.connection)
            && connection.transaction_session == Some(id)
        {
            self.release(pending.connection);
        }
    }

    /// Delivers an answer to the client; `is_proven` if evidence shows that the primary sent it.
    fn deliver(&mut self, origin: &Origin, id: SessionId, answer: Answer, is_proven: bool) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(operation) = &session.current else { return };
        let is_commit = operation.statement == Statement::Commit;
        let has_written = operation.access == Some(Access::Write)
            || (is_commit
                && session.transaction.as_ref().is_some_and(|transaction| transaction.has_written));
        let is_acknowledged = is_commit || session.transaction.is_none();
        if let Some(position) = answer.position
            && has_written
            && is_acknowledged
        {
            session.raise_last_commit(&origin.service, position);
        }
        if is_commit {
            session.transaction = None;
            if let Some(connection) = self.connections.get_mut(&origin.connection)
                && connection.transaction_session == Some(id)
            {
                connection.transaction_session = None;
            }
        }
        // Only an answer covered by evidence shows how far the primary's log extends.
        if let Some(position) = answer.position
            && is_acknowledged
            && is_proven
            && let Some(group) = self.groups.get_mut(&origin.service)
            && group.is_primary(&origin.endpoint)
        {
            group.evidence.add_sample(Sample { requested_at: origin.command.sent_at, position });
        }
        self.reply(id, answer);
        self.send_queued_commands(&origin.service, &origin.endpoint);
    }

    fn on_statement_error(
        &mut self,
        origin: &Origin,
        id: SessionId,
        fault: &Fault,
        answer: Answer,
    ) {
        let now = self.now;
        self.record_error(&origin.service, &origin.endpoint, fault);
        let may_retry_elsewhere = self.may_retry_elsewhere(id, &origin.endpoint);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let in_transaction = session.transaction.is_some();
        let is_remote = session.serving_group.is_some();
        let Some(operation) = session.current.as_mut() else { return };
        let (service, need) = (operation.route.service.clone(), operation.need);
        let should_retry = match fault {
            Fault::NoStatement => answer.state != TransactionState::Failed,
            // The node that serves the statement has already waited and retried.
            _ if is_remote => false,
            Fault::Busy => answer.state != TransactionState::Failed,
            Fault::Lagging | Fault::ReadOnly => !in_transaction,
            Fault::Failed | Fault::Timeout => {
                let has_retries_left = operation.attempts <= MAX_READ_RETRIES
                    || (operation.attempts <= MAX_READ_RETRIES + 1 && may_retry_elsewhere);
                operation.is_read() && !in_transaction && has_retries_left
            }
            _ => false,
        };
        if should_retry {
            operation.avoided_endpoints.retain(|(endpoint, _)| *endpoint != origin.endpoint);
            operation
                .avoided_endpoints
                .push((origin.endpoint.clone(), now + avoidance_time(fault)));
            operation.stage = Stage::Waiting;
        }
        if *fault == Fault::NoStatement
            && let Some(connection) = self.connections.get_mut(&origin.connection)
        {
            connection.forget_prepared();
        }
        self.handle_fault(origin, fault, Some(need));
        if should_retry {
            if let Some(operation) = self.sessions.get(&id).and_then(|s| s.current.as_ref()) {
                self.record_retry(operation, &origin.endpoint, fault_label(fault));
            }
            self.enqueue(&service, id);
            return;
        }
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let is_commit = session.current.as_ref().is_some_and(|o| o.statement == Statement::Commit);
        if is_commit {
            session.transaction = None;
            self.unpin(origin.connection, answer.state);
        } else if in_transaction {
            if let Some(transaction) = &mut session.transaction {
                transaction.phase = Phase::Failed { is_reported: true };
            }
            self.unpin(origin.connection, answer.state);
        }
        self.reply(id, answer);
    }

    fn unpin(&mut self, connection: ConnectionId, state: TransactionState) {
        if state == TransactionState::Idle {
            if let Some(connection) = self.connections.get_mut(&connection) {
                connection.transaction_session = None;
            }
        } else {
            self.release(connection);
        }
    }

    /// Updates the state of an endpoint after an error that says that the endpoint is not the
    /// primary, is busy or lags.
    pub(super) fn handle_fault(&mut self, origin: &Origin, fault: &Fault, need: Option<Need>) {
        let now = self.now;
        match fault {
            Fault::ReadOnly => {
                if self.is_remote(&origin.service) {
                    return;
                }
                if let Some(group) = self.groups.get_mut(&origin.service)
                    && group.is_primary(&origin.endpoint)
                {
                    info!(
                        service = %origin.service, endpoint = %origin.endpoint,
                        "endpoint is no longer the primary; surveying the group"
                    );
                    group.clear_primary(now);
                }
                self.confirm_pending(&origin.service);
                self.survey(&origin.service);
            }
            Fault::Busy => {
                let in_flight = self.in_flight_at(&origin.service, &origin.endpoint);
                let is_remote = self.is_remote(&origin.service);
                let has_window = self.uses(Mechanism::ConcurrencyWindow);
                let has_pause = self.uses(Mechanism::BusyPause);
                let Some(endpoint) = self.endpoint_mut(&origin.service, &origin.endpoint) else {
                    return;
                };
                // A node that refuses statements has waited for its endpoints itself.
                let is_refusing = endpoint.window.record_refusal(now, in_flight);
                if (is_remote || is_refusing || !has_window) && has_pause {
                    endpoint.back_off(now);
                }
            }
            Fault::Lagging => {
                let Some(endpoint) = self.endpoint_mut(&origin.service, &origin.endpoint) else {
                    return;
                };
                if let Some(Need::Position(position)) = need {
                    endpoint.freshness.record_refusal(now, position);
                }
                // The replica may be fenced rather than lagging, by a failover that was abandoned.
                let is_status_old = endpoint
                    .status
                    .is_none_or(|(requested_at, _)| now >= requested_at + MAX_LAGGING_STATUS_AGE);
                if is_status_old && !self.is_remote(&origin.service) {
                    self.request_status(&origin.service, &origin.endpoint);
                }
            }
            _ => {}
        }
    }
}

/// Origin of an answer, and the command that it answers.
pub(super) struct Origin {
    pub(super) connection: ConnectionId,
    pub(super) service: ServiceName,
    pub(super) endpoint: EndpointId,
    pub(super) command: SentCommand,
}

/// Returns how long an operation avoids an endpoint that returned `fault`.
fn avoidance_time(fault: &Fault) -> Time {
    match fault {
        Fault::Lagging => LAGGING_PAUSE,
        Fault::Failed | Fault::Timeout => RECONNECT_PAUSE,
        _ => BUSY_PAUSE,
    }
}
