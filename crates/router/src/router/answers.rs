//! Answers of endpoints: delivered, retried, or kept until evidence allows them.

use metrics::histogram;
use tamarackbend_policy::code::Code;
use tracing::{debug, info, trace};

use super::Router;
use super::record::fault_label;
use crate::connection::{Awaited, Purpose};
use crate::evidence::Sample;
use crate::group::{Learned, Pending};
use crate::message::{
    Access, Answer, ConnectionId, EndpointId, Fault, Order, Position, ServiceName, SessionId,
    State, Statement, Time,
};
use crate::session::{Need, Phase, Stage};
use crate::settings::{BUSY_PAUSE, LAGGING_PAUSE, RECONNECT_PAUSE};

/// Age of the status of a replica that lags at which another is asked for.
const LAGGING_STATUS: Time = Time::from_secs(1);
/// Times that a read which failed at an endpoint is sent again.
const FAILED_READ_RETRIES: u32 = 1;

impl Router {
    pub(super) fn connected(&mut self, id: ConnectionId, position: Option<Position>) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.ready = true;
        connection.heard = now;
        let (service, endpoint_id) = (connection.service.clone(), connection.endpoint.clone());
        self.dirty.insert(service.clone());
        let Some(endpoint) = self.endpoint_mut(&service, &endpoint_id) else { return };
        endpoint.hear(now);
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
        connection.heard = now;
        let Some(awaited) = connection.awaited.pop_front() else {
            self.disconnect(id, "answer to nothing");
            return;
        };
        let (service, endpoint_id) = (connection.service.clone(), connection.endpoint.clone());
        if let Some(endpoint) = self.endpoint_mut(&service, &endpoint_id) {
            endpoint.hear(now);
            if let Some(position) = answer.position {
                endpoint.applied = Some((now, position));
            }
        }
        if let Some(position) = answer.position {
            self.note_held(&service, &endpoint_id, position);
        }
        self.record_answer(&awaited.purpose, awaited.sent);
        let state = answer.state;
        let from = From { connection: id, service, endpoint: endpoint_id, awaited };
        self.take(&from, answer);
        self.dirty.insert(from.service.clone());
        let Some(connection) = self.connections.get(&id) else { return };
        if connection.is_free() {
            if state != State::Idle {
                self.disconnect(id, "it is left in a transaction");
            } else {
                self.serve_commands(&from.service, &from.endpoint);
            }
        }
    }

    fn take(&mut self, from: &From, answer: Answer) {
        match from.awaited.purpose {
            Purpose::Setup | Purpose::Cleanup => {
                if from.awaited.purpose == Purpose::Setup && answer.outcome.fault().is_some() {
                    self.disconnect(from.connection, "session values were refused");
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
            open.opened = Some(now);
            if waits {
                self.wait(&service, id);
            }
            return;
        };
        open.phase = Phase::Waiting;
        open.avoid.push((from.endpoint.clone(), now + pause(&fault)));
        if let Some(connection) = self.connections.get_mut(&from.connection) {
            connection.session = None;
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
            endpoint.busy = None;
        }
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(operation) = session.current.as_mut() else { return };
        let commits = operation.statement == Statement::Commit;
        if need == Need::ProvenPrimary {
            operation.answer = Some(answer);
            return;
        }
        if access == Some(Access::Read) && need != Need::Transaction {
            let took = now.saturating_sub(from.awaited.sent);
            if let Some(endpoint) = self.endpoint_mut(&from.service, &from.endpoint) {
                endpoint.respond(took);
            }
            self.reply(id, answer);
            return;
        }
        let transaction = session.transaction.as_ref();
        let from_replica = transaction.is_some_and(|open| open.from_replica);
        let wrote = transaction.is_none_or(|open| open.wrote);
        let opened = transaction.and_then(|open| open.opened);
        if from_replica || session.remote.is_some() {
            self.deliver(from, id, answer, false);
            return;
        }
        let kept = wrote && (commits || transaction.is_none());
        // Reads of a transaction are as recent as its begin; only a commit must be newer.
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
            connection.session = None;
        }
    }

    /// Delivers the primary's answer once it is known that the primary led at `received`, and
    /// that a replica holds the `commit` which it acknowledges.
    fn confirm(
        &mut self,
        from: &From,
        id: SessionId,
        serial: u64,
        received: Time,
        commit: Option<Position>,
        answer: Answer,
    ) {
        let leads = self.groups.get(&from.service).is_some_and(|g| g.leads(&from.endpoint));
        if leads && self.is_confirmed(&from.service, received, commit) {
            self.deliver(from, id, answer, true);
            return;
        }
        if let Some(operation) = self.sessions.get_mut(&id).and_then(|s| s.current.as_mut()) {
            operation.stage = Stage::Confirming;
        }
        let Some(group) = self.groups.get_mut(&from.service) else { return };
        let pending = Pending {
            received,
            session: id,
            serial,
            connection: from.connection,
            endpoint: from.endpoint.clone(),
            sent: from.awaited.sent,
            commit,
            answer,
        };
        group.pending.push(pending);
        match leads {
            true if group.closed.is_some() || commit.is_some() => {}
            true => self.seek_evidence(&from.service),
            false => self.confirm_pending(&from.service),
        }
    }

    /// Returns whether the primary of `service` led at `received`.
    pub(super) fn is_covered(&self, service: &ServiceName, received: Time) -> bool {
        self.groups.get(service).is_some_and(|group| {
            // Where there never was another endpoint, none can be promoted. Others that are no
            // longer listed may live: this node may not see the whole directory.
            group.lead.is_some() && (!group.is_replicated || group.evidence.covers(received))
        })
    }

    /// Returns whether an answer of the primary may be relied on.
    fn is_confirmed(
        &self,
        service: &ServiceName,
        received: Time,
        commit: Option<Position>,
    ) -> bool {
        let Some(group) = self.groups.get(service) else { return false };
        match commit {
            Some(position) if group.replication.holds(position) => true,
            Some(_) if group.waits_for_replicas(self.now) => false,
            _ => self.is_covered(service, received),
        }
    }

    /// Notes that an endpoint holds the log up to `position`.
    pub(super) fn note_held(&mut self, service: &ServiceName, id: &EndpointId, position: Position) {
        let Some(group) = self.groups.get_mut(service) else { return };
        if group.hold(id, position) && group.pending.iter().any(|p| p.commit.is_some()) {
            self.confirm_pending(service);
        }
    }

    /// Delivers the answers that can be confirmed now.
    pub(super) fn confirm_pending(&mut self, service: &ServiceName) {
        let Some(group) = self.groups.get_mut(service) else { return };
        for pending in std::mem::take(&mut group.pending) {
            let current = self.sessions.get(&pending.session).and_then(|s| s.current.as_ref());
            if current.is_none_or(|operation| operation.serial != pending.serial) {
                continue;
            }
            let led = self.groups.get(service).is_some_and(|g| g.leads(&pending.endpoint));
            if led && self.is_confirmed(service, pending.received, pending.commit) {
                self.note_confirmed(service, &pending);
                let awaited = Awaited { sent: pending.sent, purpose: Purpose::Cleanup };
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
                group.pending.push(pending);
            }
        }
    }

    fn note_confirmed(&mut self, service: &ServiceName, pending: &Pending) {
        let took = self.now.saturating_sub(pending.received);
        let stage = if pending.commit.is_some() { "replicate" } else { "confirm" };
        histogram!("stage_seconds", "stage" => stage).record(took.as_secs_f64());
        if let Some(group) = self.groups.get_mut(service)
            && pending.commit.is_some_and(|position| group.replication.holds(position))
        {
            group.replication.took(took);
        }
    }

    /// Decides on an answer of an endpoint that no longer leads.
    fn disown(&mut self, pending: Pending) {
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
            && connection.session == Some(id)
        {
            self.release(pending.connection);
        }
    }

    /// Delivers an answer that may be relied on.
    fn deliver(&mut self, from: &From, id: SessionId, answer: Answer, proven: bool) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(operation) = &session.current else { return };
        let commits = operation.statement == Statement::Commit;
        let wrote = operation.access == Some(Access::Write)
            || (commits && session.transaction.as_ref().is_some_and(|open| open.wrote));
        let acknowledged = commits || session.transaction.is_none();
        if let Some(position) = answer.position
            && wrote
            && acknowledged
        {
            session.raise(&from.service, position);
        }
        if commits {
            session.transaction = None;
            if let Some(connection) = self.connections.get_mut(&from.connection)
                && connection.session == Some(id)
            {
                connection.session = None;
            }
        }
        // Only an answer that evidence covers says how far the primary's log goes.
        if let Some(position) = answer.position
            && acknowledged
            && proven
            && let Some(group) = self.groups.get_mut(&from.service)
            && group.leads(&from.endpoint)
        {
            group.evidence.add(Sample { asked: from.awaited.sent, position });
        }
        self.reply(id, answer);
        self.serve_commands(&from.service, &from.endpoint);
    }

    fn statement_failed(&mut self, from: &From, id: SessionId, fault: &Fault, answer: Answer) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let in_transaction = session.transaction.is_some();
        let remote = session.remote.is_some();
        let Some(operation) = session.current.as_mut() else { return };
        let (service, need) = (operation.route.service.clone(), operation.need);
        let again = match fault {
            Fault::NoStatement => answer.state != State::Failed,
            // Another node has waited and tried already.
            _ if remote => false,
            Fault::Busy => answer.state != State::Failed,
            Fault::Lagging | Fault::ReadOnly => !in_transaction,
            Fault::Failed | Fault::Timeout => {
                let retries = operation.sent <= FAILED_READ_RETRIES;
                operation.is_read() && !in_transaction && retries
            }
            _ => false,
        };
        if again {
            operation.avoid.retain(|(endpoint, _)| *endpoint != from.endpoint);
            operation.avoid.push((from.endpoint.clone(), now + pause(fault)));
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
                open.phase = Phase::Failed { told: true };
            }
            self.unpin(from.connection, answer.state);
        }
        self.reply(id, answer);
    }

    fn unpin(&mut self, connection: ConnectionId, state: State) {
        if state == State::Idle {
            if let Some(connection) = self.connections.get_mut(&connection) {
                connection.session = None;
            }
        } else {
            self.release(connection);
        }
    }

    /// Learns from an error what the endpoint cannot do.
    fn note_fault(&mut self, from: &From, fault: &Fault, need: Option<Need>) {
        let now = self.now;
        match fault {
            Fault::ReadOnly => {
                if self.is_remote(&from.service) {
                    return;
                }
                if let Some(group) = self.groups.get_mut(&from.service)
                    && group.leads(&from.endpoint)
                {
                    info!(service = %from.service, endpoint = %from.endpoint, "primary no longer leads");
                    group.depose(now);
                }
                self.confirm_pending(&from.service);
                self.survey(&from.service);
            }
            Fault::Busy => {
                if let Some(endpoint) = self.endpoint_mut(&from.service, &from.endpoint) {
                    endpoint.turn_away(now);
                }
            }
            Fault::Lagging => {
                let Some(endpoint) = self.endpoint_mut(&from.service, &from.endpoint) else {
                    return;
                };
                if let Some(Need::Position(position)) = need {
                    let refused = match endpoint.lagging {
                        Some((known, until)) if now < until => known.min(position),
                        _ => position,
                    };
                    endpoint.lagging = Some((refused, now + LAGGING_PAUSE));
                }
                // It may not lag but have been closed, and left so.
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
        let Some(read) = operation.answer.take() else { return };
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
            endpoint.probe_asked = None;
        }
        match answer.outcome.fault() {
            Some(Fault::ReadOnly) => {
                let leads = self.groups.get(&from.service).is_some_and(|g| g.leads(&from.endpoint));
                if leads {
                    self.note_fault(from, &Fault::ReadOnly, None);
                }
            }
            Some(fault) => debug!(endpoint = %from.endpoint, ?fault, "probe failed"),
            None => {
                if let Some(position) = answer.position
                    && let Some(group) = self.groups.get_mut(&from.service)
                    && group.leads(&from.endpoint)
                {
                    let sample = Sample { asked: from.awaited.sent, position };
                    group.unproven = Some((sample, now));
                    self.prove_sample(&from.service);
                }
            }
        }
    }

    /// Takes over the primary's position if it led when it told it.
    fn prove_sample(&mut self, service: &ServiceName) {
        let unproven = self.groups.get(service).and_then(|group| group.unproven);
        if let Some((sample, received)) = unproven
            && self.is_covered(service, received)
            && let Some(group) = self.groups.get_mut(service)
        {
            group.unproven = None;
            group.evidence.add(sample);
        }
    }

    fn status_answered(&mut self, from: &From, answer: &Answer) {
        let now = self.now;
        if let Some(endpoint) = self.endpoint_mut(&from.service, &from.endpoint) {
            endpoint.status_asked = None;
        }
        let Some(status) = answer.status else { return };
        let Some(group) = self.groups.get_mut(&from.service) else { return };
        let learned = group.learn(&from.endpoint, from.awaited.sent, now, status);
        trace!(service = %from.service, endpoint = %from.endpoint, ?status, ?learned, "status");
        let term = group.term;
        group.hold(&from.endpoint, status.received);
        match learned {
            Learned::Lead => {
                info!(
                    service = %from.service, endpoint = %from.endpoint, term = status.term,
                    received = %status.received, "endpoint leads"
                );
                self.seek_evidence(&from.service);
            }
            Learned::Closed => {
                debug!(
                    service = %from.service, endpoint = %from.endpoint, term = status.term,
                    held = status.held, "term of the primary is closed"
                );
            }
            Learned::Deposed => {
                info!(service = %from.service, endpoint = %from.endpoint, term, "former primary is demoted");
                self.order(&from.service, &from.endpoint, Order::Demote(term));
            }
            Learned::Nothing | Learned::Witnessed => {}
        }
        self.prove_sample(&from.service);
        self.confirm_pending(&from.service);
        self.advance_change(&from.service);
    }
}

/// Where an answer came from.
struct From {
    connection: ConnectionId,
    service: ServiceName,
    endpoint: EndpointId,
    awaited: Awaited,
}

/// Returns how long an endpoint is not asked again after `fault`.
fn pause(fault: &Fault) -> Time {
    match fault {
        Fault::Lagging => LAGGING_PAUSE,
        Fault::Failed | Fault::Timeout => RECONNECT_PAUSE,
        _ => BUSY_PAUSE,
    }
}
