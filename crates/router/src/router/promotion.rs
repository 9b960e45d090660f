//! Failover: decides when a group's primary is replaced, and carries out the steps.
//!
//! The steps and their order are those of [`failover`](crate::failover). This module starts a
//! failover, exchanges votes through the store, and turns its steps into commands and actions.

use tracing::{info, warn};

use super::{Action, Router};
use crate::connection::Purpose;
use crate::endpoint::Endpoint;
use crate::failover::{
    Ballot, Failover, PromotionAnswer, Reason, Record, RecordName, Step, VOTE_INTERVAL, View,
};
use crate::group::{Group, Primary};
use crate::message::{Command, EndpointId, Order, Role, ServiceName, Time};
use crate::revision::Revision;

/// Time without a known primary after which a failover promotes one.
const NO_PRIMARY_TIMEOUT: Time = Time::from_millis(800);
/// Time for which a term may stay fenced before this node replaces its primary. It is longer than
/// another node takes to promote, or to abandon its failover and resume the replicas. This node
/// does not resume them, because a replica could then confirm the old primary while a late
/// promotion takes effect.
const FENCED_TIMEOUT: Time = Time::from_millis(5000);
/// Maximum age of a status that shows that an endpoint is not the primary.
const MAX_STATUS_AGE: Time = Time::from_millis(700);
/// Unanswered reads of ballots that a node has at most.
const MAX_BALLOT_READS: usize = 4;
/// Time without an answer after which a read of a ballot counts as lost.
const BALLOT_READ_TIMEOUT: Time = Time::from_millis(1200);
/// Number of times that the interval between two reads of a ballot doubles, once a second.
const MAX_VOTE_INTERVAL_DOUBLINGS: u32 = 3;
/// Time after an abandoned failover in which no other is started for the group.
const ABANDON_PAUSE: Time = Time::from_millis(400);

impl Router {
    /// Starts and advances the failovers of `services`.
    pub(super) fn check_failovers(&mut self, services: &[ServiceName]) {
        for service in services {
            self.start_failover(service);
            self.advance_failover(service);
        }
        self.read_ballots();
        self.maintain_lease();
    }

    fn start_failover(&mut self, service: &ServiceName) {
        let now = self.now;
        let is_stopping = self.stopping_since.is_some();
        let Some(group) = self.groups.get(service) else { return };
        if is_stopping || now < group.next_failover_at {
            return;
        }
        if let Some(failover) = &group.failover {
            let old_primary =
                failover.old_primary.as_ref().and_then(|old| group.endpoints.get(&old.endpoint));
            let has_answered =
                old_primary.is_none_or(|endpoint| endpoint.suspected_since.is_none());
            if failover.reason == Reason::Lost && !failover.needs_lease() && has_answered {
                info!(%service, "primary answers again; canceling its failover");
                self.end_failover(service, Time::ZERO);
                self.withdraw_vote(service);
            }
            return;
        }
        let Some((reason, old_primary)) = self.due_failover(service) else { return };
        let term = group.term;
        info!(
            %service, ?reason, old = ?old_primary.as_ref().map(|old| &old.endpoint), term,
            "primary must be replaced; starting a failover"
        );
        let Some(group) = self.groups.get_mut(service) else { return };
        let last_heard_at = old_primary
            .as_ref()
            .and_then(|old| group.endpoints.get(&old.endpoint))
            .map(|e| e.last_heard_at);
        let mut failover = Failover::new(reason, old_primary, term, now);
        if let Some(last_heard_at) = last_heard_at.filter(|_| reason == Reason::Lost) {
            failover = failover.with_detection_time(now.saturating_sub(last_heard_at));
        }
        let is_presumed = group.primary.is_none();
        group.is_withdrawing_vote = false;
        group.failover =
            Some(if is_presumed { failover.with_presumed_primary() } else { failover });
    }

    /// Returns why the primary must be replaced, and which endpoint is or may be that primary; none
    /// if no failover is due.
    fn due_failover(&self, service: &ServiceName) -> Option<(Reason, Option<Primary>)> {
        let now = self.now;
        let group = self.groups.get(service)?;
        if group.endpoints.len() < 2 {
            return None;
        }
        if let Some(primary) = &group.primary {
            let endpoint = group.endpoints.get(&primary.endpoint)?;
            if endpoint.suspected_since.is_some() {
                return Some((Reason::Lost, Some(primary.clone())));
            }
            // The delay differs between nodes, so that usually one node alone asks for the lease.
            let delay = Time::from_millis(self.stagger_ms(service));
            if endpoint.draining_since.is_some_and(|since| now >= since + delay) {
                return Some((Reason::Draining, Some(primary.clone())));
            }
            // A promotion ends a fence, so only a recent status shows that it was given up.
            let is_fenced = |endpoint: &Endpoint| {
                endpoint.status.is_some_and(|(requested_at, status)| {
                    status.fenced_term > primary.term && now < requested_at + MAX_STATUS_AGE
                })
            };
            let is_abandoned = group.endpoints.values().any(|endpoint| {
                let fenced_since = endpoint.fenced_since.filter(|_| is_fenced(endpoint));
                fenced_since.is_some_and(|since| now >= since + FENCED_TIMEOUT + delay)
            });
            return is_abandoned.then(|| (Reason::Fenced, Some(primary.clone())));
        }
        let since = group.without_primary_since?;
        if now < since + NO_PRIMARY_TIMEOUT + Time::from_millis(self.stagger_ms(service)) {
            return None;
        }
        if group.term == 0 {
            return None;
        }
        // A suspected endpoint may be the primary, so its replacement takes the votes of two nodes.
        let suspected = group.endpoints.values().filter(|e| e.suspected_since.is_some());
        if let Some(suspected) = suspected.max_by_key(|e| e.entry.role == Role::Primary) {
            let primary = Primary { endpoint: suspected.entry.id.clone(), term: group.term };
            return Some((Reason::Lost, Some(primary)));
        }
        let is_replica = |endpoint: &Endpoint| {
            endpoint.status.is_some_and(|(requested_at, status)| {
                status.role == Role::Replica && now < requested_at + MAX_STATUS_AGE
            })
        };
        group.endpoints.values().all(is_replica).then_some((Reason::NoPrimary, None))
    }

    fn stagger_ms(&self, service: &ServiceName) -> u64 {
        /// Time over which the nodes' delays are spread, in milliseconds.
        const SPREAD_MS: u64 = 150;
        let key = format!("{}/{service}", self.settings.node);
        xxhash_rust::xxh3::xxh3_64(key.as_bytes()) % SPREAD_MS
    }

    /// Reads the ballots of the groups whose failovers wait for votes, those first that have waited
    /// the longest for a read. At most [`MAX_BALLOT_READS`] are unanswered, so that the loss of many
    /// primaries does not overload the store.
    pub(super) fn read_ballots(&mut self) {
        let now = self.now;
        let is_pending = |group: &Group| {
            group.ballot_requested_at.is_some_and(|at| now < at + BALLOT_READ_TIMEOUT)
        };
        let is_due = |group: &Group| {
            let is_voting = group.failover.as_ref().is_some_and(|f| !f.needs_lease());
            is_voting && now >= group.next_ballot_read_at && !is_pending(group)
        };
        let pending_count = self.groups.values().filter(|group| is_pending(group)).count();
        let mut due: Vec<(Time, ServiceName)> = self
            .groups
            .iter()
            .filter(|(_, group)| is_due(group))
            .map(|(name, group)| (group.next_ballot_read_at, name.clone()))
            .collect();
        due.sort();
        for (_, service) in due.into_iter().take(MAX_BALLOT_READS.saturating_sub(pending_count)) {
            let Some(group) = self.groups.get_mut(&service) else { continue };
            let voting_since = group.failover.as_ref().map_or(now, |failover| failover.started_at);
            let doublings = (now.saturating_sub(voting_since).as_secs() as u32)
                .min(MAX_VOTE_INTERVAL_DOUBLINGS);
            group.next_ballot_read_at = now + VOTE_INTERVAL * (1 << doublings);
            group.ballot_requested_at = Some(now);
            self.actions.push(Action::FetchRecord(RecordName::Ballot(service)));
        }
    }

    pub(super) fn on_ballot_read(
        &mut self,
        service: &ServiceName,
        revision: Option<Revision>,
        ballot: &Ballot,
    ) {
        let now = self.now;
        let node = self.settings.node.clone();
        let Some(group) = self.groups.get_mut(service) else { return };
        if let Some(revision) = revision.filter(|_| group.is_withdrawing_vote) {
            self.write_withdrawal(service, revision, ballot);
            return;
        }
        let Some(failover) = group.failover.as_mut().filter(|failover| !failover.needs_lease())
        else {
            return;
        };
        let Some(old_primary) = failover.old_primary.clone() else { return };
        if ballot.has_quorum(&old_primary) && ballot.has_vote(&old_primary, &node) {
            failover.on_quorum(now);
            info!(
                %service, voters = ?ballot.voters,
                "votes confirm that the primary is lost; failing over"
            );
            self.maintain_lease();
            return;
        }
        if ballot.has_vote(&old_primary, &node) {
            return;
        }
        let new_ballot = Ballot::with_vote(Some(ballot), &old_primary, &node);
        group.written_ballot = Some(new_ballot.clone());
        group.has_voted = true;
        let name = RecordName::Ballot(service.clone());
        self.actions.push(Action::WriteRecord(name, revision, Record::Ballot(new_ballot)));
    }

    pub(super) fn on_ballot_written(&mut self, service: &ServiceName, result: &super::WriteResult) {
        let now = self.now;
        let Some(group) = self.groups.get_mut(service) else { return };
        if group.is_withdrawing_vote {
            let is_vote = group.written_ballot.take().is_some();
            match result {
                _ if is_vote => {
                    self.actions.push(Action::FetchRecord(RecordName::Ballot(service.clone())));
                }
                super::WriteResult::Conflict => {
                    self.actions.push(Action::FetchRecord(RecordName::Ballot(service.clone())));
                }
                super::WriteResult::Done(_) => group.is_withdrawing_vote = false,
                super::WriteResult::Failed => {
                    info!(%service, "vote on a primary that answers again could not be withdrawn");
                    group.is_withdrawing_vote = false;
                }
            }
            return;
        }
        let Some(ballot) = group.written_ballot.take() else { return };
        let Some(failover) = group.failover.as_mut().filter(|failover| !failover.needs_lease())
        else {
            return;
        };
        match result {
            super::WriteResult::Done(_) => {
                let has_quorum =
                    failover.old_primary.as_ref().is_some_and(|old| ballot.has_quorum(old));
                if has_quorum {
                    info!(
                        %service, voters = ?ballot.voters,
                        "votes confirm that the primary is lost; failing over"
                    );
                    failover.on_quorum(now);
                    self.maintain_lease();
                }
            }
            super::WriteResult::Conflict => group.next_ballot_read_at = now,
            super::WriteResult::Failed => {}
        }
    }

    /// Withdraws this node's vote on a primary that answers again. Otherwise, the vote of another node
    /// would later replace the primary although only one node does not reach it.
    fn withdraw_vote(&mut self, service: &ServiceName) {
        let Some(group) = self.groups.get_mut(service) else { return };
        if std::mem::take(&mut group.has_voted) {
            group.is_withdrawing_vote = true;
            // A read that is served before an unanswered write of the vote would not show the vote.
            if group.written_ballot.is_none() {
                self.actions.push(Action::FetchRecord(RecordName::Ballot(service.clone())));
            }
        }
    }

    fn write_withdrawal(&mut self, service: &ServiceName, revision: Revision, ballot: &Ballot) {
        let node = &self.settings.node;
        if ballot.voters.iter().any(|voter| voter == node) {
            let record = Record::Ballot(ballot.clone().without_vote(node));
            let name = RecordName::Ballot(service.clone());
            self.actions.push(Action::WriteRecord(name, Some(revision), record));
        } else if let Some(group) = self.groups.get_mut(service) {
            group.is_withdrawing_vote = false;
        }
    }

    /// Advances the failover of a group and carries out its next steps.
    pub(super) fn advance_failover(&mut self, service: &ServiceName) {
        let now = self.now;
        let holds_lease = self.lease.token(now).is_some();
        let Some(group) = self.groups.get_mut(service) else { return };
        let Some(mut failover) = group.failover.take() else { return };
        let phase_before = failover.phase.clone();
        let view = View {
            endpoints: &group.endpoints,
            primary: group.primary.as_ref(),
            term: group.term,
            peak_size: group.peak_size,
            holds_lease,
        };
        let steps = failover.advance(now, &view);
        if failover.phase != phase_before {
            info!(%service, phase = ?failover.phase, "failover entered another phase");
        }
        let (started_at, phase_started_at) = (failover.started_at, failover.phase_started_at);
        let mut phase_durations = failover.phase_durations.clone();
        phase_durations.push((failover.phase.label(), now.saturating_sub(phase_started_at)));
        let is_own = holds_lease;
        group.failover = Some(failover);
        for step in steps {
            match step {
                Step::Order(endpoint, order) => self.queue_order(service, &endpoint, order),
                Step::Promote(endpoint) => {
                    let Some(token) = self.lease.token(now) else { continue };
                    metrics::counter!("promotions_total").increment(1);
                    info!(
                        %service, %endpoint, token, "asking the platform to promote the endpoint"
                    );
                    self.actions.push(Action::Promote {
                        service: service.clone(),
                        endpoint,
                        token,
                    });
                }
                Step::Finish => {
                    let total = now.saturating_sub(started_at);
                    metrics::histogram!("change_of_primary_seconds").record(total.as_secs_f64());
                    let took_ms = total.as_millis() as u64;
                    for (phase, duration) in &phase_durations {
                        metrics::histogram!("change_of_primary_part_seconds", "part" => *phase)
                            .record(duration.as_secs_f64());
                    }
                    let parts: Vec<String> = phase_durations
                        .iter()
                        .map(|(phase, duration)| format!("{phase} {} ms", duration.as_millis()))
                        .collect();
                    let parts = parts.join(", ");
                    info!(%service, took_ms, parts, is_own, "failover finished");
                    self.end_failover(service, Time::ZERO);
                }
                Step::Abandon(why) => {
                    warn!(%service, why, "failover abandoned");
                    self.end_failover(service, ABANDON_PAUSE);
                }
            }
        }
    }

    fn end_failover(&mut self, service: &ServiceName, pause: Time) {
        let now = self.now;
        if let Some(group) = self.groups.get_mut(service) {
            group.failover = None;
            group.next_failover_at = now + pause;
        }
    }

    pub(super) fn on_promotion_answer(
        &mut self,
        service: &ServiceName,
        promotion: PromotionAnswer,
    ) {
        let now = self.now;
        info!(%service, ?promotion, "platform answered the promotion request");
        if let Some(group) = self.groups.get_mut(service)
            && let Some(failover) = &mut group.failover
        {
            failover.on_promotion_answer(promotion, now);
        }
        self.advance_failover(service);
    }

    /// Queues an order for an endpoint unless the same order already waits.
    pub(super) fn queue_order(&mut self, service: &ServiceName, id: &EndpointId, order: Order) {
        let Some(endpoint) = self.endpoint_mut(service, id) else { return };
        let command = Command::new(order);
        if endpoint.queued_commands.iter().any(|(waiting, _)| *waiting == command) {
            return;
        }
        endpoint.queued_commands.push_back((command, Purpose::Order));
        self.send_queued_commands(service, id);
    }
}
