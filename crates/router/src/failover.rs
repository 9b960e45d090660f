//! Failover: replacement of a group's primary, planned or after a loss.
//!
//! Two nodes must agree, by votes in the store, that a primary is lost. A node carries the failover
//! out under a lease that only one node holds at a time and whose fencing token only grows. A
//! primary that is draining is replaced without votes.
//!
//! After a loss, a failover fences the old term at the other endpoints, waits until no earlier
//! status can serve as evidence for the old primary (see [`evidence`](crate::evidence)), and
//! promotes the endpoint that has received the most. A primary that can be reached is demoted
//! first; the failover then only waits until the replica has caught up.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::endpoint::Endpoint;
use crate::group::Primary;
use crate::message::{EndpointId, Order, Position, Role, ServiceName, Status, Term, Time};
use crate::revision::Era;
use crate::settings::EVIDENCE_VALIDITY;

/// Votes after which a primary counts as lost.
pub const QUORUM: usize = 2;
/// Time for which a node trusts its lease, from the request that wrote the lease.
pub const LEASE_VALIDITY: Duration = Duration::from_millis(1500);
/// Time without a change of the record after which another node's lease has expired; longer than
/// the holder trusts the lease.
pub const LEASE_EXPIRY: Duration = Duration::from_millis(2500);
/// Age at which a lease in use is renewed.
pub const LEASE_RENEWAL: Duration = Duration::from_millis(700);
/// Interval at which a ballot is read.
pub const VOTE_INTERVAL: Duration = Duration::from_millis(80);
/// Longest wait for the replicas' answers to a survey.
const SURVEY_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait for a reachable primary to become a replica.
const DEMOTE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a replica to receive the rest of a demoted primary's log.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(600);
/// Shortest interval between two orders to the same endpoint.
const ORDER_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which replicas that catch up are asked for their status.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(15);
/// Time to fence a term, find a replica, or get a promotion accepted, after which the failover is
/// abandoned.
const STEP_TIMEOUT: Duration = Duration::from_millis(2500);
/// Added to the validity of evidence, because timers may fire late.
const WAIT_MARGIN: Duration = Duration::from_millis(60);
/// Longest wait for the promoted endpoint to become primary.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(4000);
/// Endpoints that a group is expected to have: an endpoint that is not listed may come back.
pub(crate) const EXPECTED_GROUP_SIZE: usize = 3;
/// Time limit of a failover up to the promotion; allows for several rounds of votes and orders.
const FAILOVER_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Interval at which a promotion is requested again.
const PROMOTE_INTERVAL: Duration = Duration::from_millis(120);

/// Name of a record that nodes keep in the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordName {
    /// Votes on a group's primary.
    Ballot(ServiceName),
    /// Lease for failovers.
    Lease,
}

/// Record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Votes on a group's primary.
    Ballot(Ballot),
    /// Lease for failovers.
    Lease(Lease),
}

/// Votes of the nodes that do not reach a primary.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// Term of the primary that is voted on.
    pub term: Term,
    /// Name of the primary that is voted on.
    pub primary: String,
    /// Names of the nodes that do not reach the primary.
    pub voters: Vec<String>,
}

/// Exclusive right to carry out failovers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Node that holds the lease; empty if the lease is free.
    pub holder: String,
    /// Incarnation of the holder's process.
    #[serde(rename = "run")]
    pub incarnation: u64,
    /// Fencing token; zero while the lease is being acquired: the token then follows from the
    /// record's revision.
    pub token: u64,
    /// Era of the store in which the lease was written.
    #[serde(default)]
    pub era: Era,
    /// Number of the write among those of the holder's process. The store neither raises the revision
    /// nor reports a change for a write of equal contents, and a lease whose revision stays counts as
    /// expired.
    #[serde(default)]
    pub serial: u64,
}

impl Ballot {
    /// Returns the ballot on `primary` with the votes of `previous` and that of `node`.
    pub fn with_vote(previous: Option<&Ballot>, primary: &Primary, node: &str) -> Ballot {
        let current = previous.filter(|ballot| ballot.is_for(primary));
        let mut voters = current.map(|ballot| ballot.voters.clone()).unwrap_or_default();
        if !voters.iter().any(|voter| voter == node) {
            voters.push(node.to_owned());
        }
        Ballot { term: primary.term, primary: primary.endpoint.to_string(), voters }
    }

    /// Returns the ballot without the vote of `node`.
    pub fn without_vote(mut self, node: &str) -> Ballot {
        self.voters.retain(|voter| voter != node);
        self
    }

    /// Returns whether the votes are on `primary`.
    pub fn is_for(&self, primary: &Primary) -> bool {
        self.term == primary.term && self.primary == *primary.endpoint
    }

    /// Returns whether `node` has voted on `primary`.
    pub fn has_vote(&self, primary: &Primary, node: &str) -> bool {
        self.is_for(primary) && self.voters.iter().any(|voter| voter == node)
    }

    /// Returns whether the votes suffice to replace `primary`.
    pub fn has_quorum(&self, primary: &Primary) -> bool {
        self.is_for(primary) && self.voters.len() >= QUORUM
    }
}

/// Why a primary is replaced.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The primary does not answer.
    Lost,
    /// The primary is draining.
    Draining,
    /// No endpoint is primary.
    NoPrimary,
    /// The primary's term was fenced by a node that has not completed the failover.
    Fenced,
}

/// Prints the names that logs and state dumps show; they differ from those of the variants.
impl fmt::Debug for Reason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Reason::Lost => "Lost",
            Reason::Draining => "Leaving",
            Reason::NoPrimary => "Leaderless",
            Reason::Fenced => "Closed",
        })
    }
}

/// Phase of a failover.
#[derive(Clone, PartialEq, Eq)]
pub enum Phase {
    /// Waits for the vote of a second node that does not reach the primary.
    Voting,
    /// Waits until this node holds the lease.
    AcquiringLease,
    /// Asks the replicas for their status, to choose the one that has received the most.
    Surveying,
    /// Waits for the old primary to become a replica; holds the endpoint to promote.
    Demoting(EndpointId),
    /// Waits for the endpoint to receive the old primary's log up to the position.
    CatchingUp(EndpointId, Position),
    /// Fences the old term at the other endpoints.
    Fencing,
    /// Waits until this time, when all evidence for the old primary has expired.
    AwaitingExpiry(Time),
    /// Asks the platform to promote the endpoint.
    Promoting(EndpointId),
    /// Waits for the promoted endpoint to become primary.
    Settling(EndpointId),
}

/// Prints the names that logs and state dumps show; they differ from those of the variants.
impl fmt::Debug for Phase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Phase::Voting => formatter.write_str("Voting"),
            Phase::AcquiringLease => formatter.write_str("Claiming"),
            Phase::Surveying => formatter.write_str("Surveying"),
            Phase::Demoting(target) => formatter.debug_tuple("Demoting").field(target).finish(),
            Phase::CatchingUp(target, goal) => {
                formatter.debug_tuple("CatchingUp").field(target).field(goal).finish()
            }
            Phase::Fencing => formatter.write_str("Closing"),
            Phase::AwaitingExpiry(until) => formatter.debug_tuple("Waiting").field(until).finish(),
            Phase::Promoting(target) => formatter.debug_tuple("Promoting").field(target).finish(),
            Phase::Settling(target) => formatter.debug_tuple("Settling").field(target).finish(),
        }
    }
}

impl Phase {
    /// Returns the name of the phase in logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Phase::Voting => "agree",
            Phase::AcquiringLease => "claim",
            Phase::Surveying => "survey",
            Phase::Demoting(_) => "demote",
            Phase::CatchingUp(..) => "catch up",
            Phase::Fencing => "close",
            Phase::AwaitingExpiry(_) => "wait",
            Phase::Promoting(_) => "promote",
            Phase::Settling(_) => "settle",
        }
    }
}

/// Action that a failover asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send an order to an endpoint.
    Order(EndpointId, Order),
    /// Ask the platform to promote the endpoint.
    Promote(EndpointId),
    /// End the failover: the group has a new primary.
    Finish,
    /// End the failover without a new primary, for this reason.
    Abandon(&'static str),
}

/// Answer of the platform to a promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionAnswer {
    /// The promotion is under way.
    Accepted,
    /// The endpoint cannot be promoted.
    Refused,
    /// The outcome is unknown: there was no usable answer.
    Unknown,
}

/// Failover of one group, as one node carries it out.
#[derive(Clone, Debug)]
pub struct Failover {
    /// Why the primary is replaced.
    pub reason: Reason,
    /// Primary that is replaced, if one is known or presumed.
    pub old_primary: Option<Primary>,
    /// Whether the old primary is a guess: it may be a replica that cannot be reached.
    pub is_presumed: bool,
    /// Highest term when the failover started.
    pub term: Term,
    /// Current phase.
    pub phase: Phase,
    /// When the failover started.
    pub started_at: Time,
    /// When the current phase started.
    pub phase_started_at: Time,
    /// Labels and durations of the completed phases.
    pub phase_durations: Vec<(&'static str, Time)>,
    last_ordered_at: BTreeMap<EndpointId, Time>,
    promotion_requested_at: Option<Time>,
    is_promotion_accepted: bool,
    /// Whether the old primary had become a replica when the term was fenced.
    was_old_primary_demoted: bool,
}

/// State of a group that a failover decides on.
pub struct View<'a> {
    /// Endpoints of the group.
    pub endpoints: &'a BTreeMap<EndpointId, Endpoint>,
    /// Current primary, if one is known.
    pub primary: Option<&'a Primary>,
    /// Highest term that any endpoint has reported.
    pub term: Term,
    /// Largest number of endpoints that the group has had at once.
    pub peak_size: usize,
    /// Whether this node holds the lease.
    pub holds_lease: bool,
}

impl Failover {
    /// Returns a failover that starts at `now`.
    pub fn new(reason: Reason, old_primary: Option<Primary>, term: Term, now: Time) -> Failover {
        let phase = match reason {
            Reason::Lost => Phase::Voting,
            Reason::Draining | Reason::NoPrimary | Reason::Fenced => Phase::AcquiringLease,
        };
        Failover {
            reason,
            old_primary,
            is_presumed: false,
            term,
            phase,
            started_at: now,
            phase_started_at: now,
            phase_durations: Vec::new(),
            last_ordered_at: BTreeMap::new(),
            promotion_requested_at: None,
            is_promotion_accepted: false,
            was_old_primary_demoted: false,
        }
    }

    /// Marks the old primary as a guess.
    pub fn with_presumed_primary(mut self) -> Failover {
        self.is_presumed = true;
        self
    }

    /// Adds the time for which the old primary had been silent before the failover started.
    pub fn with_detection_time(mut self, silence: Time) -> Failover {
        self.phase_durations.push(("detect", silence));
        self
    }

    /// Returns whether the current phase needs the lease.
    pub fn needs_lease(&self) -> bool {
        self.phase != Phase::Voting
    }

    /// Handles a ballot with enough votes.
    pub fn on_quorum(&mut self, now: Time) {
        if self.phase == Phase::Voting {
            self.enter(Phase::AcquiringLease, now);
        }
    }

    /// Handles the platform's answer to a promotion.
    pub fn on_promotion_answer(&mut self, answer: PromotionAnswer, now: Time) {
        let Phase::Promoting(target) = &self.phase else { return };
        match answer {
            PromotionAnswer::Accepted => {
                let target = target.clone();
                self.is_promotion_accepted = true;
                self.enter(Phase::Settling(target), now);
            }
            PromotionAnswer::Refused => self.enter(Phase::Fencing, now),
            PromotionAnswer::Unknown => {}
        }
    }

    /// Advances the failover and returns the steps that are due at `now`.
    pub fn advance(&mut self, now: Time, view: &View<'_>) -> Vec<Step> {
        let is_complete = view.primary.is_some_and(|primary| primary.term > self.term);
        if is_complete {
            return vec![Step::Finish];
        }
        if view.term > self.term && !self.is_promotion_accepted {
            return vec![Step::Abandon("another failover has started a newer term")];
        }
        if self.needs_lease() && self.phase != Phase::AcquiringLease && !view.holds_lease {
            return vec![Step::Abandon("this node has lost the lease")];
        }
        let is_old_unknown = self.is_presumed || self.old_primary.is_none();
        if is_old_unknown && view.primary.is_some() && self.promotion_requested_at.is_none() {
            return self.abandon("a primary has appeared", self.possibly_fenced(view));
        }
        if now >= self.started_at + FAILOVER_TIMEOUT && self.promotion_requested_at.is_none() {
            return self.abandon("no endpoint was promoted in time", self.possibly_fenced(view));
        }
        match self.phase.clone() {
            Phase::Voting => Vec::new(),
            Phase::AcquiringLease => self.await_lease(now, view),
            Phase::Surveying => self.survey(now, view),
            Phase::Demoting(target) => self.demote(now, view, target),
            Phase::CatchingUp(target, goal) => self.catch_up(now, view, target, goal),
            Phase::Fencing => self.fence(now, view),
            Phase::AwaitingExpiry(until) => self.await_expiry(now, view, until),
            Phase::Promoting(target) => self.promote(now, target),
            Phase::Settling(target) => self.settle(now, target),
        }
    }

    fn enter(&mut self, phase: Phase, now: Time) {
        self.phase_durations.push((self.phase.label(), now.saturating_sub(self.phase_started_at)));
        self.phase = phase;
        self.phase_started_at = now;
        self.last_ordered_at.clear();
    }

    fn await_lease(&mut self, now: Time, view: &View<'_>) -> Vec<Step> {
        if !view.holds_lease {
            return Vec::new();
        }
        match self.reason {
            Reason::Draining => self.enter(Phase::Surveying, now),
            Reason::Lost | Reason::NoPrimary | Reason::Fenced => self.enter(Phase::Fencing, now),
        }
        self.advance(now, view)
    }

    fn survey(&mut self, now: Time, view: &View<'_>) -> Vec<Step> {
        let candidates = self.candidates(view);
        let steps = self.order(now, &candidates, ORDER_INTERVAL, |_| Order::Status);
        let has_answered = |id: &EndpointId| self.status(view, id).is_some();
        if !candidates.iter().all(has_answered) && now < self.phase_started_at + SURVEY_TIMEOUT {
            return steps;
        }
        match self.most_advanced(view, &candidates) {
            Some(target) => {
                self.enter(Phase::Demoting(target), now);
                self.advance(now, view)
            }
            None if now < self.phase_started_at + STEP_TIMEOUT => steps,
            None => vec![Step::Abandon("no replica reported its status in time")],
        }
    }

    fn demote(&mut self, now: Time, view: &View<'_>, target: EndpointId) -> Vec<Step> {
        let Some(old) = self.old_primary.as_ref().map(|old| old.endpoint.clone()) else {
            self.enter(Phase::Fencing, now);
            return Vec::new();
        };
        if let Some(status) = self.status(view, &old)
            && status.role == Role::Replica
        {
            self.enter(Phase::CatchingUp(target, status.received), now);
            return self.advance(now, view);
        }
        if now >= self.phase_started_at + DEMOTE_TIMEOUT {
            self.enter(Phase::Fencing, now);
            return self.advance(now, view);
        }
        let term = self.term + 1;
        self.order(now, &[old], ORDER_INTERVAL, |_| Order::Demote(term))
    }

    fn catch_up(
        &mut self,
        now: Time,
        view: &View<'_>,
        target: EndpointId,
        goal: Position,
    ) -> Vec<Step> {
        let received = self.status(view, &target).map(|status| status.received);
        if received.is_some_and(|received| received >= goal) {
            self.enter(Phase::Promoting(target), now);
            return self.advance(now, view);
        }
        if now >= self.phase_started_at + CATCH_UP_TIMEOUT {
            let best = self.most_advanced(view, &self.candidates(view)).unwrap_or(target);
            self.enter(Phase::Promoting(best), now);
            return self.advance(now, view);
        }
        self.order(now, &self.candidates(view), CATCH_UP_INTERVAL, |_| Order::Status)
    }

    fn fence(&mut self, now: Time, view: &View<'_>) -> Vec<Step> {
        let term = self.term + 1;
        let others = self.others(view);
        let fenced: Vec<EndpointId> =
            others.iter().filter(|id| self.is_fenced(view, id)).cloned().collect();
        let is_demoted = self.is_old_primary_demoted(view);
        if self.is_old_primary_cut_off(view, &fenced) {
            let wait = match is_demoted {
                true => Duration::ZERO,
                false => EVIDENCE_VALIDITY + WAIT_MARGIN,
            };
            self.was_old_primary_demoted = is_demoted;
            self.enter(Phase::AwaitingExpiry(now + wait), now);
            return Vec::new();
        }
        if now >= self.phase_started_at + STEP_TIMEOUT {
            return self.abandon("the old term could not be fenced in time", fenced);
        }
        let unfenced: Vec<EndpointId> =
            others.into_iter().filter(|id| !fenced.contains(id)).collect();
        let mut steps = self.order(now, &unfenced, ORDER_INTERVAL, |_| Order::FenceTerm(term));
        if let Some(old) = self.old_primary.as_ref().map(|old| old.endpoint.clone())
            && !is_demoted
            && !self.is_presumed
        {
            steps.extend(self.order(now, &[old], ORDER_INTERVAL, |_| Order::Demote(term)));
        }
        steps
    }

    fn await_expiry(&mut self, now: Time, view: &View<'_>, until: Time) -> Vec<Step> {
        if now < until {
            return Vec::new();
        }
        // An endpoint that has restarted meanwhile has lost its fenced term: ask all of them again.
        let others = self.others(view);
        let is_any_unfenced = others.iter().any(|id| {
            self.status(view, id)
                .is_some_and(|status| status.fenced_term.max(status.term) <= self.term)
        });
        if is_any_unfenced {
            self.enter(Phase::Fencing, now);
            return self.advance(now, view);
        }
        let confirmed: Vec<EndpointId> =
            others.iter().filter(|id| self.is_fenced(view, id)).cloned().collect();
        let is_survey_over = confirmed.len() == others.len() || now >= until + ORDER_INTERVAL;
        if let Some(target) = self.most_advanced(view, &confirmed)
            && is_survey_over
            && (self.was_old_primary_demoted || self.is_old_primary_cut_off(view, &confirmed))
        {
            self.enter(Phase::Promoting(target), now);
            return self.advance(now, view);
        }
        if now >= until + DEMOTE_TIMEOUT {
            self.enter(Phase::Fencing, now);
            return self.advance(now, view);
        }
        self.order(now, &others, ORDER_INTERVAL, |_| Order::Status)
    }

    fn promote(&mut self, now: Time, target: EndpointId) -> Vec<Step> {
        if now >= self.phase_started_at + STEP_TIMEOUT {
            return self.abandon("the platform did not accept the promotion in time", Vec::new());
        }
        if self.promotion_requested_at.is_some_and(|at| now < at + PROMOTE_INTERVAL) {
            return Vec::new();
        }
        self.promotion_requested_at = Some(now);
        vec![Step::Promote(target)]
    }

    fn settle(&mut self, now: Time, target: EndpointId) -> Vec<Step> {
        if now >= self.phase_started_at + SETTLE_TIMEOUT {
            return vec![Step::Abandon("the promoted endpoint did not become primary in time")];
        }
        self.order(now, &[target], Duration::from_millis(40), |_| Order::Status)
    }

    /// Returns the endpoints at which this failover may have fenced the term.
    fn possibly_fenced(&self, view: &View<'_>) -> Vec<EndpointId> {
        match self.phase {
            Phase::Fencing | Phase::AwaitingExpiry(_) if view.holds_lease => self.others(view),
            _ => Vec::new(),
        }
    }

    fn abandon(&self, reason: &'static str, fenced: Vec<EndpointId>) -> Vec<Step> {
        // The old primary may still be in service, and its replicas must receive its log again.
        let mut steps: Vec<Step> = match self.promotion_requested_at {
            Some(_) => Vec::new(),
            None => {
                fenced.into_iter().map(|id| Step::Order(id, Order::ResumeReplication)).collect()
            }
        };
        steps.push(Step::Abandon(reason));
        steps
    }

    /// Returns an order for each of `ids` that has had none for `interval`.
    fn order(
        &mut self,
        now: Time,
        ids: &[EndpointId],
        interval: Duration,
        order: impl Fn(&EndpointId) -> Order,
    ) -> Vec<Step> {
        let mut steps = Vec::new();
        for id in ids {
            if self.last_ordered_at.get(id).is_none_or(|at| now >= *at + interval) {
                self.last_ordered_at.insert(id.clone(), now);
                steps.push(Step::Order(id.clone(), order(id)));
            }
        }
        steps
    }

    /// Returns whether no endpoint remains that could supply evidence for the old primary.
    ///
    /// Endpoints whose directory entry is missing count until the directory has removed them.
    fn is_old_primary_cut_off(&self, view: &View<'_>, fenced: &[EndpointId]) -> bool {
        if fenced.is_empty() {
            return false;
        }
        if self.is_presumed || self.old_primary.is_none() {
            let members = view.endpoints.len().max(view.peak_size.min(EXPECTED_GROUP_SIZE));
            return fenced.len() + 1 >= members;
        }
        self.is_old_primary_demoted(view) || fenced.len() == self.others(view).len()
    }

    /// Returns all endpoints except the old primary; all of them if the old primary is a guess.
    fn others(&self, view: &View<'_>) -> Vec<EndpointId> {
        let certain = self.old_primary.as_ref().filter(|_| !self.is_presumed);
        let old = certain.map(|old| &old.endpoint);
        view.endpoints.keys().filter(|id| Some(*id) != old).cloned().collect()
    }

    /// Returns the endpoints that may be promoted: all except the old primary that are neither
    /// suspected nor draining.
    fn candidates(&self, view: &View<'_>) -> Vec<EndpointId> {
        let mut others = self.others(view);
        others.retain(|id| {
            let endpoint = view.endpoints.get(id);
            endpoint.is_some_and(|endpoint| {
                endpoint.suspected_since.is_none() && !endpoint.entry.leaving
            })
        });
        others
    }

    /// Returns the status of `id` that was requested during the current phase.
    fn status(&self, view: &View<'_>, id: &EndpointId) -> Option<Status> {
        let (requested_at, status) = view.endpoints.get(id)?.status?;
        (requested_at >= self.phase_started_at).then_some(status)
    }

    fn is_fenced(&self, view: &View<'_>, id: &EndpointId) -> bool {
        self.status(view, id).is_some_and(|status| status.fenced_term.max(status.term) > self.term)
    }

    fn is_old_primary_demoted(&self, view: &View<'_>) -> bool {
        let Some(old) = self.old_primary.as_ref().filter(|_| !self.is_presumed) else {
            return false;
        };
        self.status(view, &old.endpoint).is_some_and(|status| status.role == Role::Replica)
    }

    /// Returns the endpoint that has received the most, preferably one that is not draining.
    fn most_advanced(&self, view: &View<'_>, ids: &[EndpointId]) -> Option<EndpointId> {
        let ranked = ids.iter().filter_map(|id| {
            let is_draining = view.endpoints.get(id)?.entry.leaving;
            Some((!is_draining, self.status(view, id)?.received, id.clone()))
        });
        ranked.max().map(|(_, _, id)| id)
    }
}
