//! Log lines and metrics of requests, and the accounts of customers.
//!
//! The line of a failed request has the state on which the decision was based: the primary and its
//! term, and the ages of the evidence, of the primary's silence and of an outage of the store.

use metrics::{counter, histogram};
use tracing::{debug, info, warn};

use super::Router;
use crate::connection::{Purpose, SentCommand};
use crate::message::{Answer, EndpointId, Fault, Outcome, ServiceName, SessionId, Time};
use crate::session::{Need, Operation};

impl Router {
    /// Charges the customer of a session for a statement that is sent to an endpoint.
    pub(super) fn record_sent(&mut self, service: &ServiceName, id: SessionId) {
        let now = self.now;
        if let Some(session) = self.sessions.get(&id)
            && let Some(group) = self.groups.get_mut(service)
        {
            group.waiting_sessions.record_sent(now, &session.customer);
        }
    }

    /// Charges the customer of a session for the slot time of an answered statement.
    pub(super) fn record_slot_time(&mut self, service: &ServiceName, command: &SentCommand) {
        let (Purpose::Begin(id) | Purpose::Statement(id, _)) = command.purpose else { return };
        let slot_time = self.now.saturating_sub(command.sent_at);
        if let Some(session) = self.sessions.get(&id)
            && let Some(group) = self.groups.get_mut(service)
        {
            group.waiting_sessions.record_answered(self.now, &session.customer, slot_time);
        }
    }

    /// Records the outcome of a client's statement.
    pub(super) fn record_outcome(
        &self,
        session: SessionId,
        operation: &Operation,
        answer: &Answer,
    ) {
        let waited = self.now.saturating_sub(operation.received_at);
        let outcome = match &answer.outcome {
            Outcome::Complete(_) => "served",
            Outcome::Error { fault, .. } => fault_label(fault),
        };
        let need = need_label(operation.need);
        counter!("requests_total", "outcome" => outcome, "need" => need).increment(1);
        histogram!("request_seconds", "need" => need).record(waited.as_secs_f64());
        match &answer.outcome {
            Outcome::Complete(_) if waited > operation.route.objective => {
                info!(
                    request = %operation.id, session, service = %operation.route.service,
                    need, sent = operation.attempts, waited_ms = millis(waited),
                    "statement served after its latency objective"
                );
            }
            Outcome::Complete(_) => {
                debug!(
                    request = %operation.id, session, service = %operation.route.service,
                    need, sent = operation.attempts, waited_ms = millis(waited), "statement served"
                );
            }
            Outcome::Error { fault, text } => self.log_failure(session, operation, fault, text),
        }
    }

    fn log_failure(&self, session: SessionId, operation: &Operation, fault: &Fault, text: &str) {
        let now = self.now;
        let waited = now.saturating_sub(operation.received_at);
        let group = self.groups.get(&operation.route.service);
        let primary = group.and_then(|group| group.primary.as_ref());
        let evidence_at = group.and_then(|group| group.evidence.confirmed_at());
        let silent_since = group
            .and_then(|group| group.primary_endpoint())
            .and_then(|primary| primary.suspected_since);
        let age = |since: Option<Time>| since.map(|since| millis(now.saturating_sub(since)));
        warn!(
            request = %operation.id,
            session,
            service = %operation.route.service,
            statement = operation.statement.label(),
            need = need_label(operation.need),
            stage = operation.stage.label(),
            sent = operation.attempts,
            waited_ms = millis(waited),
            fault = fault_label(fault),
            text,
            primary = primary.map(|primary| &*primary.endpoint),
            term = primary.map(|primary| primary.term),
            primary_silent_ms = age(silent_since),
            evidence_ms = age(evidence_at),
            store_away_ms = age(self.store_unreachable_since),
            configuration = self.configuration.as_ref().map(|configuration| configuration.version),
            "statement failed"
        );
    }

    /// Records that a statement is retried after a failure at `endpoint`.
    pub(super) fn record_retry(&self, operation: &Operation, endpoint: &EndpointId, why: &str) {
        counter!("retries_total", "reason" => why.to_owned()).increment(1);
        info!(
            request = %operation.id, service = %operation.route.service, %endpoint, why,
            sent = operation.attempts, "retrying statement"
        );
    }

    /// Records the response time of an endpoint to a command sent at `sent_at`.
    pub(super) fn record_response_time(&self, purpose: &Purpose, sent_at: Time) {
        let purpose = match purpose {
            Purpose::Setup => "setup",
            Purpose::Begin(_) => "begin",
            Purpose::Statement(..) => "statement",
            Purpose::Proof(..) => "proof",
            Purpose::Cleanup => "cleanup",
            Purpose::Probe => "probe",
            Purpose::Status => "status",
            Purpose::Order => "order",
        };
        let response_time = self.now.saturating_sub(sent_at);
        histogram!("endpoint_seconds", "purpose" => purpose).record(response_time.as_secs_f64());
    }
}

fn millis(time: Time) -> u64 {
    time.as_millis() as u64
}

fn need_label(need: Need) -> &'static str {
    match need {
        Need::Primary => "primary",
        Need::ProvenPrimary => "proven primary",
        Need::Position(_) => "position",
        Need::Transaction => "transaction",
    }
}

/// Returns the label of a fault in logs and metrics.
pub(super) fn fault_label(fault: &Fault) -> &'static str {
    match fault {
        Fault::Busy => "busy",
        Fault::Lagging => "lagging",
        Fault::ReadOnly => "read only",
        Fault::Misrouted => "misrouted",
        Fault::OverLimit => "over limit",
        Fault::TooMany => "too many",
        Fault::NoStatement => "no statement",
        Fault::Failed => "failed",
        Fault::Timeout => "timeout",
        Fault::NoDatabase => "no database",
        Fault::Unauthorized => "unauthorized",
        Fault::TooBig => "too big",
        Fault::Malformed => "malformed",
        Fault::Aborted => "aborted",
        Fault::InDoubt => "in doubt",
        Fault::Other(_) => "other",
    }
}
