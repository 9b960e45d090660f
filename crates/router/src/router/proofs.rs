//! Handling of answers to the router's own commands: proofs, probes and status requests.

use tracing::{debug, info, trace};

use super::Router;
use super::answers::Origin;
use crate::evidence::Sample;
use crate::group::StatusEffect;
use crate::message::{Answer, Fault, Order, ServiceName, SessionId};
use crate::session::Stage;

impl Router {
    pub(super) fn on_proof_answer(
        &mut self,
        origin: &Origin,
        id: SessionId,
        serial: u64,
        answer: &Answer,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(operation) = session.current.as_mut().filter(|o| o.serial == serial) else {
            return;
        };
        let Some(read_answer) = operation.unproven_answer.take() else { return };
        if let Some(fault) = answer.outcome.fault() {
            let fault = fault.clone();
            operation.stage = Stage::Waiting;
            let service = operation.route.service.clone();
            self.handle_fault(origin, &fault, None);
            self.enqueue(&service, id);
            return;
        }
        let now = self.now;
        self.deliver_if_confirmed(origin, id, serial, now, None, read_answer);
    }

    pub(super) fn on_probe_answer(&mut self, origin: &Origin, answer: &Answer) {
        let now = self.now;
        if let Some(endpoint) = self.endpoint_mut(&origin.service, &origin.endpoint) {
            endpoint.probe_requested_at = None;
        }
        match answer.outcome.fault() {
            Some(Fault::ReadOnly) => {
                let is_primary = self
                    .groups
                    .get(&origin.service)
                    .is_some_and(|g| g.is_primary(&origin.endpoint));
                if is_primary {
                    self.handle_fault(origin, &Fault::ReadOnly, None);
                } else {
                    self.on_not_primary(origin);
                }
            }
            Some(fault) => debug!(endpoint = %origin.endpoint, ?fault, "probe failed"),
            None => {
                let Some(group) = self.groups.get_mut(&origin.service) else { return };
                if !group.is_primary(&origin.endpoint) {
                    // The endpoint accepts writes: it has been promoted.
                    self.request_status(&origin.service, &origin.endpoint);
                } else if let Some(position) = answer.position {
                    let sample = Sample { requested_at: origin.command.sent_at, position };
                    group.unproven_sample = Some((sample, now));
                    self.accept_proven_sample(&origin.service);
                }
            }
        }
    }

    /// Handles an answer that shows that an endpoint was not the primary.
    fn on_not_primary(&mut self, origin: &Origin) {
        let now = self.now;
        if let Some(endpoint) = self.endpoint_mut(&origin.service, &origin.endpoint) {
            endpoint.record_not_primary(origin.command.sent_at);
        }
        if let Some(group) = self.groups.get_mut(&origin.service) {
            group.accept_candidate(now);
        }
        self.probe_possibly_promoted(&origin.service);
        self.accept_proven_sample(&origin.service);
        self.confirm_pending(&origin.service);
    }

    /// Keeps the last position sample of the primary once evidence shows that the endpoint was
    /// still the primary when it reported the position.
    fn accept_proven_sample(&mut self, service: &ServiceName) {
        let unproven_sample = self.groups.get(service).and_then(|group| group.unproven_sample);
        if let Some((sample, received_at)) = unproven_sample
            && self.is_covered(service, received_at)
            && let Some(group) = self.groups.get_mut(service)
        {
            group.unproven_sample = None;
            group.evidence.add_sample(sample);
        }
    }

    pub(super) fn on_status_answer(&mut self, origin: &Origin, answer: &Answer) {
        let now = self.now;
        if let Some(endpoint) = self.endpoint_mut(&origin.service, &origin.endpoint) {
            endpoint.status_requested_at = None;
        }
        let Some(status) = answer.status else { return };
        let Some(group) = self.groups.get_mut(&origin.service) else { return };
        let effect = group.apply_status(&origin.endpoint, origin.command.sent_at, now, status);
        trace!(
            service = %origin.service, endpoint = %origin.endpoint, ?status, learned = ?effect,
            "endpoint reported its status"
        );
        let term = group.term;
        group.record_replica_position(&origin.endpoint, status.received);
        match effect {
            StatusEffect::Primary => {
                info!(
                    service = %origin.service, endpoint = %origin.endpoint, term = status.term,
                    received = %status.received, "endpoint is the primary; requesting evidence"
                );
                self.request_evidence(&origin.service);
            }
            StatusEffect::Fenced => {
                debug!(
                    service = %origin.service, endpoint = %origin.endpoint, term = status.term,
                    held = status.fenced_term,
                    "status is no evidence for a primary: the term is fenced or has ended"
                );
            }
            StatusEffect::Deposed => {
                info!(
                    service = %origin.service, endpoint = %origin.endpoint, term,
                    "endpoint acts as primary of a term that has ended; demoting the endpoint"
                );
                self.queue_order(&origin.service, &origin.endpoint, Order::Demote(term));
            }
            StatusEffect::Ambiguous => self.probe_possibly_promoted(&origin.service),
            StatusEffect::Nothing | StatusEffect::TermOpen => {}
        }
        self.return_connections(&origin.service, &origin.endpoint);
        self.accept_proven_sample(&origin.service);
        self.confirm_pending(&origin.service);
        self.advance_failover(&origin.service);
    }
}
