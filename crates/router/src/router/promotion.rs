//! Failover: decides when a group's primary is replaced, and carries out the steps.
//!
//! The steps and their order are those of [`failover`](crate::failover). This module starts a
//! failover, exchanges votes through the store, and turns its steps into commands and actions.

use tracing::{info, warn};

use super::{Action, Router};
use crate::connection::Purpose;
use crate::failover::{
    Ballot, Failover, PromotionAnswer, Reason, Record, RecordName, Step, VOTE_INTERVAL, View,
};
use crate::group::Primary;
use crate::message::{Command, EndpointId, Order, Role, ServiceName, Time};

/// Time without a known primary after which a failover promotes one.
const LEADERLESS_TIMEOUT: Time = Time::from_millis(800);
/// Time for which a term may stay fenced before this node replaces its primary. It is longer than
/// another node takes to promote, or to abandon its failover and resume the replicas. This node
/// does not resume them, because a replica could then confirm the old primary while a late
/// promotion takes effect.
const CLOSED_TIMEOUT: Time = Time::from_millis(5000);
/// Maximum age of a status that shows that an endpoint is not the primary.
const STATUS_AGE: Time = Time::from_millis(700);
/// Time after an abandoned failover in which no other is started for the group.
const GIVE_UP_PAUSE: Time = Time::from_millis(400);

impl Router {
    /// Starts and advances the failovers of all groups.
    pub(super) fn check_primaries(&mut self) {
        let services: Vec<ServiceName> = self
            .groups
            .iter()
            .filter(|(_, g)| !g.is_remote)
            .map(|(name, _)| name.clone())
            .collect();
        for service in &services {
            self.begin_change(service);
            self.vote(service);
            self.advance_change(service);
        }
        self.keep_lease();
    }

    fn begin_change(&mut self, service: &ServiceName) {
        let now = self.now;
        let stopping = self.stopping.is_some();
        let Some(group) = self.groups.get(service) else { return };
        if stopping || now < group.next_failover_at {
            return;
        }
        if let Some(change) = &group.failover {
            let presumed =
                change.old_primary.as_ref().and_then(|old| group.endpoints.get(&old.endpoint));
            let back = presumed.is_none_or(|endpoint| endpoint.suspected_since.is_none());
            if change.reason == Reason::Lost && !change.needs_lease() && back {
                info!(%service, "primary answers again; canceling its failover");
                self.end_change(service, Time::ZERO);
            }
            return;
        }
        let Some((reason, old)) = self.due_change(service) else { return };
        let term = group.term;
        info!(
            %service, ?reason, old = ?old.as_ref().map(|lead| &lead.endpoint), term,
            "primary is to be replaced"
        );
        let Some(group) = self.groups.get_mut(service) else { return };
        let heard = old
            .as_ref()
            .and_then(|old| group.endpoints.get(&old.endpoint))
            .map(|e| e.last_heard_at);
        let mut change = Failover::new(reason, old, term, now);
        if let Some(heard) = heard.filter(|_| reason == Reason::Lost) {
            change = change.with_detection_time(now.saturating_sub(heard));
        }
        let is_presumed = group.primary.is_none();
        group.failover = Some(if is_presumed { change.with_presumed_primary() } else { change });
    }

    /// Returns why the primary must be replaced, and which endpoint is or may be that primary; none
    /// if no failover is due.
    fn due_change(&self, service: &ServiceName) -> Option<(Reason, Option<Primary>)> {
        let now = self.now;
        let group = self.groups.get(service)?;
        if group.endpoints.len() < 2 {
            return None;
        }
        if let Some(lead) = &group.primary {
            let primary = group.endpoints.get(&lead.endpoint)?;
            if primary.suspected_since.is_some() {
                return Some((Reason::Lost, Some(lead.clone())));
            }
            // The delay differs between nodes, so that usually one node alone asks for the lease.
            let delay = Time::from_millis(self.stagger(service));
            if primary.draining_since.is_some_and(|since| now >= since + delay) {
                return Some((Reason::Draining, Some(lead.clone())));
            }
            let closed = group.endpoints.values().filter_map(|endpoint| endpoint.fenced_since);
            let is_left = closed.min().is_some_and(|since| now >= since + CLOSED_TIMEOUT + delay);
            return is_left.then(|| (Reason::Fenced, Some(lead.clone())));
        }
        let since = group.without_primary_since?;
        if now < since + LEADERLESS_TIMEOUT + Time::from_millis(self.stagger(service)) {
            return None;
        }
        if group.term == 0 {
            return None;
        }
        // A suspected endpoint may be the primary, so its replacement takes the votes of two nodes.
        let silent = group.endpoints.values().filter(|e| e.suspected_since.is_some());
        if let Some(silent) = silent.max_by_key(|e| e.entry.role == Role::Primary) {
            let lead = Primary { endpoint: silent.entry.id.clone(), term: group.term };
            return Some((Reason::Lost, Some(lead)));
        }
        let follows = |endpoint: &crate::endpoint::Endpoint| {
            endpoint.status.is_some_and(|(asked, status)| {
                status.role == Role::Replica && now < asked + STATUS_AGE
            })
        };
        group.endpoints.values().all(follows).then_some((Reason::NoPrimary, None))
    }

    fn stagger(&self, service: &ServiceName) -> u64 {
        /// Time over which the nodes' delays are spread, in milliseconds.
        const SPREAD_MS: u64 = 150;
        let key = format!("{}/{service}", self.settings.node);
        xxhash_rust::xxh3::xxh3_64(key.as_bytes()) % SPREAD_MS
    }

    fn vote(&mut self, service: &ServiceName) {
        let now = self.now;
        let Some(group) = self.groups.get_mut(service) else { return };
        let voting = group.failover.as_ref().is_some_and(|change| !change.needs_lease());
        if voting && now >= group.next_ballot_read_at {
            group.next_ballot_read_at = now + VOTE_INTERVAL;
            self.actions.push(Action::FetchRecord(RecordName::Ballot(service.clone())));
        }
    }

    pub(super) fn ballot_read(
        &mut self,
        service: &ServiceName,
        revision: Option<u64>,
        ballot: &Ballot,
    ) {
        let now = self.now;
        let node = self.settings.node.clone();
        let Some(group) = self.groups.get_mut(service) else { return };
        let Some(change) = group.failover.as_mut().filter(|change| !change.needs_lease()) else {
            return;
        };
        let Some(old) = change.old_primary.clone() else { return };
        if ballot.has_quorum(&old) && ballot.has_vote(&old, &node) {
            change.on_votes_decided(now);
            info!(%service, voters = ?ballot.voters, "votes decide that the primary is lost");
            self.keep_lease();
            return;
        }
        if ballot.has_vote(&old, &node) {
            return;
        }
        let voted = Ballot::with_vote(Some(ballot), &old, &node);
        group.written_ballot = Some(voted.clone());
        let name = RecordName::Ballot(service.clone());
        self.actions.push(Action::WriteRecord(name, revision, Record::Ballot(voted)));
    }

    pub(super) fn ballot_written(&mut self, service: &ServiceName, write: &super::WriteResult) {
        let now = self.now;
        let Some(group) = self.groups.get_mut(service) else { return };
        let Some(voted) = group.written_ballot.take() else { return };
        let Some(change) = group.failover.as_mut().filter(|change| !change.needs_lease()) else {
            return;
        };
        match write {
            super::WriteResult::Done(_) => {
                let decides = change.old_primary.as_ref().is_some_and(|old| voted.has_quorum(old));
                if decides {
                    info!(%service, voters = ?voted.voters, "votes decide that the primary is lost");
                    change.on_votes_decided(now);
                    self.keep_lease();
                }
            }
            super::WriteResult::Conflict => group.next_ballot_read_at = now,
            super::WriteResult::Failed => {}
        }
    }

    /// Advances the failover of a group and carries out its next steps.
    pub(super) fn advance_change(&mut self, service: &ServiceName) {
        let now = self.now;
        let holds_lease = self.holding.token(now).is_some();
        let Some(group) = self.groups.get_mut(service) else { return };
        let Some(mut change) = group.failover.take() else { return };
        let before = change.phase.clone();
        let view = View {
            endpoints: &group.endpoints,
            primary: group.primary.as_ref(),
            term: group.term,
            peak_size: group.peak_size,
            holds_lease,
        };
        let steps = change.advance(now, &view);
        if change.phase != before {
            info!(%service, phase = ?change.phase, "change of primary goes on");
        }
        let (started, since) = (change.started_at, change.phase_started_at);
        let mut parts = change.phase_durations.clone();
        parts.push((change.phase.label(), now.saturating_sub(since)));
        let is_own = holds_lease;
        group.failover = Some(change);
        for step in steps {
            match step {
                Step::Order(endpoint, order) => self.order(service, &endpoint, order),
                Step::Promote(endpoint) => {
                    let Some(token) = self.holding.token(now) else { continue };
                    metrics::counter!("promotions_total").increment(1);
                    info!(%service, %endpoint, token, "endpoint is promoted");
                    self.actions.push(Action::Promote {
                        service: service.clone(),
                        endpoint,
                        token,
                    });
                }
                Step::Finish => {
                    let took = now.saturating_sub(started);
                    metrics::histogram!("change_of_primary_seconds").record(took.as_secs_f64());
                    let took_ms = took.as_millis() as u64;
                    for (part, took) in &parts {
                        metrics::histogram!("change_of_primary_part_seconds", "part" => *part)
                            .record(took.as_secs_f64());
                    }
                    let parts: Vec<String> = parts
                        .iter()
                        .map(|(part, took)| format!("{part} {} ms", took.as_millis()))
                        .collect();
                    let parts = parts.join(", ");
                    info!(%service, took_ms, parts, is_own, "change of primary is over");
                    self.end_change(service, Time::ZERO);
                }
                Step::GiveUp(why) => {
                    warn!(%service, why, "failover abandoned");
                    self.end_change(service, GIVE_UP_PAUSE);
                }
            }
        }
    }

    fn end_change(&mut self, service: &ServiceName, pause: Time) {
        let now = self.now;
        if let Some(group) = self.groups.get_mut(service) {
            group.failover = None;
            group.next_failover_at = now + pause;
        }
    }

    pub(super) fn promoted(&mut self, service: &ServiceName, promotion: PromotionAnswer) {
        let now = self.now;
        info!(%service, ?promotion, "platform answered the promotion request");
        if let Some(group) = self.groups.get_mut(service)
            && let Some(change) = &mut group.failover
        {
            change.on_promotion_answer(promotion, now);
        }
        self.advance_change(service);
    }

    /// Queues an order for an endpoint unless the same order already waits.
    pub(super) fn order(&mut self, service: &ServiceName, id: &EndpointId, order: Order) {
        let Some(endpoint) = self.endpoint_mut(service, id) else { return };
        let command = Command::new(order);
        if endpoint.queued_commands.iter().any(|(waiting, _)| *waiting == command) {
            return;
        }
        endpoint.queued_commands.push_back((command, Purpose::Order));
        self.serve_commands(service, id);
    }
}
