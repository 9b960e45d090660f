//! Handling of endpoint answers.
//!
//! An answer is delivered to the client, retried at another endpoint, or held back until evidence
//! shows that the primary still led when it answered (see [`evidence`](crate::evidence)).

use metrics::histogram;
use tamarackbend_policy::code::Code;
use tracing::{debug, info, trace};

use super::Router;
use super::record::fault_label;
use crate::connection::{Purpose, SentCommand};
use crate::evidence::Sample;
use crate::group::{PendingAnswer, StatusEffect};
use crate::message::{
    Access, Answer, ConnectionId, EndpointId, Fault, Order, Position, ServiceName, SessionId,
    Statement, Time, TransactionState,
};
use crate::session::{Need, Phase, Stage};
use crate::settings::{BUSY_PAUSE, LAGGING_PAUSE, RECONNECT_PAUSE};

/// Age at which the status of a replica that reports itself lagging is requested again.
const LAGGING_STATUS: Time = Time::from_secs(1);
/// Number of times that a failed read is retried.
const FAILED_READ_RETRIES: u32 = 1;

impl Router {
    pub(super) fn connected(&mut self, id: ConnectionId, position: Option<Position>) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.is_established = true;
        connection.last_answer_at = now;
        let (service, endpoint_id) = (connection.service.clone(), connection.endpoint.clone());
        self.dirty.insert(service.clone());
        let Some(endpoint) = self.endpoint_mut(&service, &endpoint_id) else { return };
        endpoint.record_contact(now);
        if let Some(position) = position {
            endpoint.applied = Some((now, position));
        }
        if self.is_remote(&service) {
            self.peer_answered(&endpoint_id);
            return;
        }
        let Some(endpoint) = self.endpoint_mut(&service, &endpoint_id) else { return };
        if endpoint.status.is_none() {
            self.ask_status(&service, &endpoint_id);
        }
        self.serve_commands(&service, &endpoint_id);
    }

    pub(super) fn answered(&mut self, id: ConnectionId, answer: Answer) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.last_answer_at = now;
        let Some(awaited) = connection.unanswered.pop_front() else {
            self.disconnect(id, "endpoint sent an answer but no command is outstanding");
            return;
        };
        let (service, endpoint_id) = (connection.service.clone(), connection.endpoint.clone());
        if let Some(endpoint) = self.endpoint_mut(&service, &endpoint_id) {
            endpoint.record_contact(now);
            if let Some(position) = answer.position {
                endpoint.applied = Some((now, position));
            }
        }
        if let Some(position) = answer.position {
            self.note_held(&service, &endpoint_id, position);
        }
        self.record_answer(&awaited.purpose, awaited.sent_at);
        let state = answer.state;
        let from = From { connection: id, service, endpoint: endpoint_id, awaited };
        self.take(&from, answer);
        self.dirty.insert(from.service.clone());
        let Some(connection) = self.connections.get(&id) else { return };
        if connection.is_free() {
            if state != TransactionState::Idle {
                self.disconnect(id, "connection is still in a transaction after its last command");
            } else {
                self.serve_commands(&from.service, &from.endpoint);
            }
        }
    }

    fn take(&mut self, from: &From, answer: Answer) {
        match from.awaited.purpose {
            Purpose::Setup | Purpose::Cleanup => {
                if from.awaited.purpose == Purpose::Setup && answer.outcome.fault().is_some() {
                    self.disconnect(from.connection, "endpoint rejected the session values");
                }
            }
            Purpose::Begin(session) => self.begun(from, session, &answer),
            Purpose::Statement(session, serial) => {
                self.statement_answered(from, session, serial, answer)
            }
            Purpose::Proof(session, serial) => self.proven(from, session, serial, &answer),
            Purpose::Probe => self.probed(from, &answer),
            Purpose::Status | Purpose::Order => self.status_answered(from, &answer),
        }
    }

    fn begun(&mut self, from: &From, id: SessionId, answer: &Answer) {
        let now = self.now;
        let current = self.sessions.get(&id).and_then(|session| session.transaction.as_ref());
        if current.map(|open| open.phase) != Some(Phase::Opening(from.connection)) {
            self.release(from.connection);
            return;
        }
        let fault = answer.outcome.fault().cloned();
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let waits = session.current.is_some();
        let Some(open) = &mut session.transaction else { return };
        let service = open.route.service.clone();
        let Some(fault) = fault else {
            open.phase = Phase::Open(from.connection);
            open.opened_at = Some(now);
            if waits {
                self.wait(&service, id);
            }
            return;
        };
        open.phase = Phase::Waiting;
        open.avoided_endpoints.push((from.endpoint.clone(), now + pause(&fault)));
        if let Some(connection) = self.connections.get_mut(&from.connection) {
            connection.transaction_session = None;
        }
        self.note_fault(from, &fault, None);
        self.wait(&service, id);
    }

    fn statement_answered(&mut self, from: &From, id: SessionId, serial: u64, answer: Answer) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(operation) = session.current.as_mut().filter(|o| o.serial == serial) else {
            return;
        };
        if !matches!(operation.stage, Stage::Sent { connection, .. } if connection == from.connection)
        {
            return;
        }
        if let Some(fault) = answer.outcome.fault().cloned() {
            self.statement_failed(from, id, &fault, answer);
            return;
        }
        let (need, access) = (operation.need, operation.access);
        if let Some(endpoint) = self.endpoint_mut(&from.service, &from.endpoint) {
            endpoint.backoff = None;
        }
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(operation) = session.current.as_mut() else { return };
        let commits = operation.statement == Statement::Commit;
        if need == Need::ProvenPrimary {
            operation.unproven_answer = Some(answer);
            return;
        }
        if access == Some(Access::Read) && need != Need::Transaction {
            let took = now.saturating_sub(from.awaited.sent_at);
            if let Some(endpoint) = self.endpoint_mut(&from.service, &from.endpoint) {
                endpoint.record_read_time(took);
            }
            self.reply(id, answer);
            return;
        }
        let transaction = session.transaction.as_ref();
        let from_replica = transaction.is_some_and(|open| open.has_replica_position);
        let wrote = transaction.is_none_or(|open| open.has_written);
        let opened = transaction.and_then(|open| open.opened_at);
        if from_replica || session.serving_group.is_some() {
            self.deliver(from, id, answer, false);
            return;
        }
        let kept = wrote && (commits || transaction.is_none());
        // Reads inside a transaction are as recent as its begin; only a commit needs evidence for
        // the time of its answer.
        let proven_by = if kept { now } else { opened.unwrap_or(now) };
        if commits {
            self.unpin_committed(id, from.connection);
        }
        let commit = answer.position.filter(|_| kept);
        self.confirm(from, id, serial, proven_by, commit, answer);
    }

    /// Frees the connection of a transaction that its endpoint has committed.
    fn unpin_committed(&mut self, id: SessionId, connection: ConnectionId) {
        let session = self.sessions.get_mut(&id);
        if let Some(open) = session.and_then(|session| session.transaction.as_mut()) {
            open.phase = Phase::Committed;
        }
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.transaction_session = None;
        }
    }

    /// Delivers an answer of the primary if it is confirmed, and holds it back otherwise.
    ///
    /// `received` is the time at which the primary must have led. `commit` is the log position of
    /// the commit that the answer acknowledges, if any.
    fn confirm(
        &mut self,
        from: &From,
        id: SessionId,
        serial: u64,
        received: Time,
        commit: Option<Position>,
        answer: Answer,
    ) {
        let leads = self.groups.get(&from.service).is_some_and(|g| g.is_primary(&from.endpoint));
        if leads && self.is_confirmed(&from.service, received, commit) {
            self.deliver(from, id, answer, true);
            return;
        }
        if let Some(operation) = self.sessions.get_mut(&id).and_then(|s| s.current.as_mut()) {
            operation.stage = Stage::Confirming;
        }
        let Some(group) = self.groups.get_mut(&from.service) else { return };
        let pending = PendingAnswer {
            received_at: received,
            session: id,
            serial,
            connection: from.connection,
            endpoint: from.endpoint.clone(),
            sent_at: from.awaited.sent_at,
            commit_position: commit,
            answer,
        };
        group.pending_answers.push(pending);
        match leads {
            true if group.fenced_since.is_some() || commit.is_some() => {}
            true => self.seek_evidence(&from.service),
            false => self.confirm_pending(&from.service),
        }
    }

    /// Returns whether evidence shows that the primary of `service` led at `received`.
    pub(super) fn is_covered(&self, service: &ServiceName, received: Time) -> bool {
        self.groups.get(service).is_some_and(|group| {
            // A group that never had a second endpoint has nothing to promote. An endpoint that
            // is no longer listed may still run: this node may not see the whole directory.
            group.primary.is_some() && (!group.is_replicated || group.evidence.covers(received))
        })
    }

    /// Returns whether an answer of the primary is confirmed.
    ///
    /// A commit is confirmed by a replica that holds its position. Without a commit, or while
    /// commits do not wait for replicas, evidence that covers `received` confirms the answer.
    fn is_confirmed(
        &self,
        service: &ServiceName,
        received: Time,
        commit: Option<Position>,
    ) -> bool {
        let Some(group) = self.groups.get(service) else { return false };
        match commit {
            Some(position) if group.replication.has_replicated(position) => true,
            Some(_) if group.waits_for_replicas(self.now) => false,
            _ => self.is_covered(service, received),
        }
    }

    /// Records that an endpoint holds the log up to `position`.
    pub(super) fn note_held(&mut self, service: &ServiceName, id: &EndpointId, position: Position) {
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
            let current = self.sessions.get(&pending.session).and_then(|s| s.current.as_ref());
            if current.is_none_or(|operation| operation.serial != pending.serial) {
                continue;
            }
            let led = self.groups.get(service).is_some_and(|g| g.is_primary(&pending.endpoint));
            if led && self.is_confirmed(service, pending.received_at, pending.commit_position) {
                self.note_confirmed(service, &pending);
                let awaited = SentCommand { sent_at: pending.sent_at, purpose: Purpose::Cleanup };
                let from = From {
                    connection: pending.connection,
                    service: service.clone(),
                    endpoint: pending.endpoint,
                    awaited,
                };
                self.deliver(&from, pending.session, pending.answer, true);
            } else if !led {
                self.disown(pending);
            } else if let Some(group) = self.groups.get_mut(service) {
                group.pending_answers.push(pending);
            }
        }
    }

    fn note_confirmed(&mut self, service: &ServiceName, pending: &PendingAnswer) {
        let took = self.now.saturating_sub(pending.received_at);
        let stage = if pending.commit_position.is_some() { "replicate" } else { "confirm" };
        histogram!("stage_seconds", "stage" => stage).record(took.as_secs_f64());
        if let Some(group) = self.groups.get_mut(service)
            && pending
                .commit_position
                .is_some_and(|position| group.replication.has_replicated(position))
        {
            group.replication.record_delay(took);
        }
    }

    /// Resolves a pending answer of an endpoint that is no longer the primary.
    ///
    /// A read is retried. A commit or a write outside of a transaction is in doubt. Any other
    /// statement fails together with its transaction.
    fn disown(&mut self, pending: PendingAnswer) {
        let id = pending.session;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(operation) = session.current.as_mut() else { return };
        let commits = operation.statement == Statement::Commit;
        if operation.is_read() && session.transaction.is_none() {
            operation.stage = Stage::Waiting;
            let service = operation.route.service.clone();
            self.wait(&service, id);
        } else if commits || session.transaction.is_none() {
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

    /// Delivers an answer to the client; `proven` if evidence shows that the primary sent it.
    fn deliver(&mut self, from: &From, id: SessionId, answer: Answer, proven: bool) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(operation) = &session.current else { return };
        let commits = operation.statement == Statement::Commit;
        let wrote = operation.access == Some(Access::Write)
            || (commits && session.transaction.as_ref().is_some_and(|open| open.has_written));
        let acknowledged = commits || session.transaction.is_none();
        if let Some(position) = answer.position
            && wrote
            && acknowledged
        {
            session.raise_last_commit(&from.service, position);
        }
        if commits {
            session.transaction = None;
            if let Some(connection) = self.connections.get_mut(&from.connection)
                && connection.transaction_session == Some(id)
            {
                connection.transaction_session = None;
            }
        }
        // Only an answer covered by evidence shows how far the primary's log extends.
        if let Some(position) = answer.position
            && acknowledged
            && proven
            && let Some(group) = self.groups.get_mut(&from.service)
            && group.is_primary(&from.endpoint)
        {
            group.evidence.add_position(Sample { requested_at: from.awaited.sent_at, position });
        }
        self.reply(id, answer);
        self.serve_commands(&from.service, &from.endpoint);
    }

    fn statement_failed(&mut self, from: &From, id: SessionId, fault: &Fault, answer: Answer) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let in_transaction = session.transaction.is_some();
        let remote = session.serving_group.is_some();
        let Some(operation) = session.current.as_mut() else { return };
        let (service, need) = (operation.route.service.clone(), operation.need);
        let again = match fault {
            Fault::NoStatement => answer.state != TransactionState::Failed,
            // The node that serves the statement has already waited and retried.
            _ if remote => false,
            Fault::Busy => answer.state != TransactionState::Failed,
            Fault::Lagging | Fault::ReadOnly => !in_transaction,
            Fault::Failed | Fault::Timeout => {
                let retries = operation.attempts <= FAILED_READ_RETRIES;
                operation.is_read() && !in_transaction && retries
            }
            _ => false,
        };
        if again {
            operation.avoided_endpoints.retain(|(endpoint, _)| *endpoint != from.endpoint);
            operation.avoided_endpoints.push((from.endpoint.clone(), now + pause(fault)));
            operation.stage = Stage::Waiting;
        }
        if *fault == Fault::NoStatement
            && let Some(connection) = self.connections.get_mut(&from.connection)
        {
            connection.forget_prepared();
        }
        self.note_fault(from, fault, Some(need));
        if again {
            if let Some(operation) = self.sessions.get(&id).and_then(|s| s.current.as_ref()) {
                self.record_retry(operation, &from.endpoint, fault_label(fault));
            }
            self.wait(&service, id);
            return;
        }
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let commits = session.current.as_ref().is_some_and(|o| o.statement == Statement::Commit);
        if commits {
            session.transaction = None;
            self.unpin(from.connection, answer.state);
        } else if in_transaction {
            if let Some(open) = &mut session.transaction {
                open.phase = Phase::Failed { is_reported: true };
            }
            self.unpin(from.connection, answer.state);
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

    /// Updates the state of an endpoint after an error: deposed, busy or lagging.
    fn note_fault(&mut self, from: &From, fault: &Fault, need: Option<Need>) {
        let now = self.now;
        match fault {
            Fault::ReadOnly => {
                if self.is_remote(&from.service) {
                    return;
                }
                if let Some(group) = self.groups.get_mut(&from.service)
                    && group.is_primary(&from.endpoint)
                {
                    info!(
                        service = %from.service, endpoint = %from.endpoint,
                        "endpoint is no longer the primary; surveying the group"
                    );
                    group.clear_primary(now);
                }
                self.confirm_pending(&from.service);
                self.survey(&from.service);
            }
            Fault::Busy => {
                if let Some(endpoint) = self.endpoint_mut(&from.service, &from.endpoint) {
                    endpoint.back_off(now);
                }
            }
            Fault::Lagging => {
                let Some(endpoint) = self.endpoint_mut(&from.service, &from.endpoint) else {
                    return;
                };
                if let Some(Need::Position(position)) = need {
                    let refused = match endpoint.lag_refusal {
                        Some((known, until)) if now < until => known.min(position),
                        _ => position,
                    };
                    endpoint.lag_refusal = Some((refused, now + LAGGING_PAUSE));
                }
                // The replica may be fenced rather than lagging, by a failover that was abandoned.
                let is_old = endpoint.status.is_none_or(|(asked, _)| now >= asked + LAGGING_STATUS);
                if is_old && !self.is_remote(&from.service) {
                    self.ask_status(&from.service, &from.endpoint);
                }
            }
            _ => {}
        }
    }

    fn proven(&mut self, from: &From, id: SessionId, serial: u64, answer: &Answer) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(operation) = session.current.as_mut().filter(|o| o.serial == serial) else {
            return;
        };
        let Some(read) = operation.unproven_answer.take() else { return };
        if let Some(fault) = answer.outcome.fault() {
            let fault = fault.clone();
            operation.stage = Stage::Waiting;
            let service = operation.route.service.clone();
            self.note_fault(from, &fault, None);
            self.wait(&service, id);
            return;
        }
        let now = self.now;
        self.confirm(from, id, serial, now, None, read);
    }

    fn probed(&mut self, from: &From, answer: &Answer) {
        let now = self.now;
        if let Some(endpoint) = self.endpoint_mut(&from.service, &from.endpoint) {
            endpoint.probe_requested_at = None;
        }
        match answer.outcome.fault() {
            Some(Fault::ReadOnly) => {
                let leads =
                    self.groups.get(&from.service).is_some_and(|g| g.is_primary(&from.endpoint));
                if leads {
                    self.note_fault(from, &Fault::ReadOnly, None);
                }
            }
            Some(fault) => debug!(endpoint = %from.endpoint, ?fault, "probe failed"),
            None => {
                if let Some(position) = answer.position
                    && let Some(group) = self.groups.get_mut(&from.service)
                    && group.is_primary(&from.endpoint)
                {
                    let sample = Sample { requested_at: from.awaited.sent_at, position };
                    group.unproven_position = Some((sample, now));
                    self.prove_sample(&from.service);
                }
            }
        }
    }

    /// Records the primary's last reported position as a sample once evidence shows that the
    /// primary led when it reported it.
    fn prove_sample(&mut self, service: &ServiceName) {
        let unproven = self.groups.get(service).and_then(|group| group.unproven_position);
        if let Some((sample, received)) = unproven
            && self.is_covered(service, received)
            && let Some(group) = self.groups.get_mut(service)
        {
            group.unproven_position = None;
            group.evidence.add_position(sample);
        }
    }

    fn status_answered(&mut self, from: &From, answer: &Answer) {
        let now = self.now;
        if let Some(endpoint) = self.endpoint_mut(&from.service, &from.endpoint) {
            endpoint.status_requested_at = None;
        }
        let Some(status) = answer.status else { return };
        let Some(group) = self.groups.get_mut(&from.service) else { return };
        let learned = group.apply_status(&from.endpoint, from.awaited.sent_at, now, status);
        trace!(
            service = %from.service, endpoint = %from.endpoint, ?status, ?learned,
            "endpoint reported its status"
        );
        let term = group.term;
        group.record_replica_position(&from.endpoint, status.received);
        match learned {
            StatusEffect::Primary => {
                info!(
                    service = %from.service, endpoint = %from.endpoint, term = status.term,
                    received = %status.received, "endpoint leads"
                );
                self.seek_evidence(&from.service);
            }
            StatusEffect::Fenced => {
                debug!(
                    service = %from.service, endpoint = %from.endpoint, term = status.term,
                    held = status.fenced_term,
                    "replica confirms no primary: the term is fenced or over"
                );
            }
            StatusEffect::Deposed => {
                info!(
                    service = %from.service, endpoint = %from.endpoint, term,
                    "endpoint acts as primary of a term that is over; ordering it to step down"
                );
                self.order(&from.service, &from.endpoint, Order::Demote(term));
            }
            StatusEffect::Nothing | StatusEffect::TermOpen => {}
        }
        self.prove_sample(&from.service);
        self.confirm_pending(&from.service);
        self.advance_change(&from.service);
    }
}

/// Origin of an answer, and the command that it answers.
struct From {
    connection: ConnectionId,
    service: ServiceName,
    endpoint: EndpointId,
    awaited: SentCommand,
}

/// Returns how long an operation avoids an endpoint that returned `fault`.
fn pause(fault: &Fault) -> Time {
    match fault {
        Fault::Lagging => LAGGING_PAUSE,
        Fault::Failed | Fault::Timeout => RECONNECT_PAUSE,
        _ => BUSY_PAUSE,
    }
}
