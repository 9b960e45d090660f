//! Change of a group's primary.
//!
//! Two nodes must agree, through the store, that a primary is lost; the one that adds the deciding
//! vote carries the change out, under a lease that only one node holds at a time and whose token
//! only grows. A primary that is about to leave needs no vote.
//!
//! Order of a change: close the term at the other endpoints, wait until no sample taken before can
//! vouch for the old primary (see [`evidence`](crate::evidence)), promote the endpoint that has
//! received most. A primary that can be reached is demoted first; then nothing has to be waited
//! for but the replica's catching up.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::endpoint::Endpoint;
use crate::group::Primary;
use crate::message::{EndpointId, Order, Position, Role, ServiceName, Status, Term, Time};
use crate::settings::EVIDENCE_VALIDITY;

/// Votes that decide that a primary is lost.
pub const QUORUM: usize = 2;
/// Time for which a node trusts a lease after it asked for it.
pub const LEASE_VALIDITY: Duration = Duration::from_millis(1500);
/// Time without change after which another node's lease is over; longer than its holder trusts it.
pub const LEASE_EXPIRY: Duration = Duration::from_millis(2500);
/// Age at which a lease in use is renewed.
pub const LEASE_RENEWAL: Duration = Duration::from_millis(700);
/// Pause between two looks at the votes.
pub const VOTE_INTERVAL: Duration = Duration::from_millis(80);
/// Time for answers to a survey of the endpoints.
const SURVEY_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for a reachable primary to give up its lead.
const DEMOTE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a replica to receive the rest of a demoted primary's log.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause between two orders to the same endpoint.
const ORDER_INTERVAL: Duration = Duration::from_millis(150);
/// Pause between two looks at a replica that catches up.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(15);
/// Time to close a term before the change is given up.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Added to the validity of evidence for late timers.
const WAIT_MARGIN: Duration = Duration::from_millis(60);
/// Time for the promoted endpoint to lead.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(4000);
/// Endpoints that a group usually has: one that is gone may come back.
const GROUP_USUAL: usize = 3;
/// Time for a whole change up to the promotion: several looks for votes and at the endpoints.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Pause between two attempts to promote.
const PROMOTE_INTERVAL: Duration = Duration::from_millis(120);

/// Names of the records that nodes keep in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordName {
    /// Votes on a group's primary.
    Ballot(ServiceName),
    /// Lease for changes of primaries.
    Lease,
}

/// Record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Votes on a group's primary.
    Ballot(Ballot),
    /// Lease for changes of primaries.
    Lease(Lease),
}

/// Nodes that do not reach a primary.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// Term of the primary.
    pub term: Term,
    /// The primary.
    pub primary: String,
    /// Nodes that do not reach it.
    pub voters: Vec<String>,
}

/// Right to change primaries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Node that holds it; empty if it is free.
    pub holder: String,
    /// Tells runs of the same node apart.
    #[serde(rename = "run")]
    pub incarnation: u64,
    /// Fencing token, zero while it is being taken: then it is the record's revision.
    pub token: u64,
}

impl Ballot {
    /// Returns the ballot with a vote of `node` on `lead` added to `before`.
    pub fn with_vote(before: Option<&Ballot>, lead: &Primary, node: &str) -> Ballot {
        let same = before.filter(|ballot| ballot.is_for(lead));
        let mut voters = same.map(|ballot| ballot.voters.clone()).unwrap_or_default();
        if !voters.iter().any(|voter| voter == node) {
            voters.push(node.to_owned());
        }
        Ballot { term: lead.term, primary: lead.endpoint.to_string(), voters }
    }

    /// Returns whether the votes are on `lead`.
    pub fn is_for(&self, lead: &Primary) -> bool {
        self.term == lead.term && self.primary == *lead.endpoint
    }

    /// Returns whether `node` has voted on `lead`.
    pub fn has_vote(&self, lead: &Primary, node: &str) -> bool {
        self.is_for(lead) && self.voters.iter().any(|voter| voter == node)
    }

    /// Returns whether the votes decide that `lead` is lost.
    pub fn has_quorum(&self, lead: &Primary) -> bool {
        self.is_for(lead) && self.voters.len() >= QUORUM
    }
}

/// Why a primary is to be replaced.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It does not answer.
    Lost,
    /// It is about to leave.
    Draining,
    /// No endpoint leads.
    NoPrimary,
    /// Its term was closed, and whoever did that has not replaced it.
    Fenced,
}

/// Prints the names that logs and state dumps show.
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

/// Part of a change.
#[derive(Clone, PartialEq, Eq)]
pub enum Phase {
    /// Looks for a second node that does not reach the primary.
    Voting,
    /// Waits for the lease.
    Claiming,
    /// Looks for the replica that has received most.
    Surveying,
    /// Waits for the old primary to give up.
    Demoting(EndpointId),
    /// Waits for the replica to hold what the old primary had.
    CatchingUp(EndpointId, Position),
    /// Closes the old term at the other endpoints.
    Fencing,
    /// Waits until no sample can vouch for the old primary.
    AwaitingExpiry(Time),
    /// Asks the platform.
    Promoting(EndpointId),
    /// Waits for the new primary to lead.
    Settling(EndpointId),
}

/// Prints the names that logs and state dumps show.
impl fmt::Debug for Phase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Phase::Voting => formatter.write_str("Voting"),
            Phase::Claiming => formatter.write_str("Claiming"),
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
    /// Returns its name in logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Phase::Voting => "agree",
            Phase::Claiming => "claim",
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

/// What a change asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send an order to an endpoint.
    Order(EndpointId, Order),
    /// Ask the platform to promote the endpoint.
    Promote(EndpointId),
    /// The change is over.
    Finish,
    /// The change is given up.
    GiveUp(&'static str),
}

/// Answer of the platform to a promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionAnswer {
    /// It is under way.
    Accepted,
    /// The endpoint cannot lead.
    Refused,
    /// Not known: no answer, or none that helps.
    Unknown,
}

/// Change of one group's primary.
#[derive(Clone, Debug)]
pub struct Failover {
    /// Why.
    pub reason: Reason,
    /// Primary to be replaced, if one is known or presumed.
    pub old_primary: Option<Primary>,
    /// Whether nobody saw the old primary lead: it may be a replica that is out of reach.
    pub is_presumed: bool,
    /// Highest term when the change began.
    pub term: Term,
    /// Part.
    pub phase: Phase,
    /// When the change began.
    pub started_at: Time,
    /// When the part began.
    pub phase_started_at: Time,
    /// Parts that are over, and how long each took.
    pub phase_durations: Vec<(&'static str, Time)>,
    ordered: BTreeMap<EndpointId, Time>,
    promoted: Option<Time>,
    accepted: bool,
    /// Whether the old primary had given up when the term was closed.
    was_demoted: bool,
}

/// Endpoints as a change sees them.
pub struct View<'a> {
    /// Endpoints of the group.
    pub endpoints: &'a BTreeMap<EndpointId, Endpoint>,
    /// Primary now.
    pub primary: Option<&'a Primary>,
    /// Highest term that any endpoint has shown.
    pub term: Term,
    /// Most endpoints that the group has had at once.
    pub peak_size: usize,
    /// Whether this node holds the lease.
    pub holds_lease: bool,
}

impl Failover {
    /// Returns a change that begins at `now`.
    pub fn new(reason: Reason, old: Option<Primary>, term: Term, now: Time) -> Failover {
        let phase = match reason {
            Reason::Lost => Phase::Voting,
            Reason::Draining | Reason::NoPrimary | Reason::Fenced => Phase::Claiming,
        };
        Failover {
            reason,
            old_primary: old,
            is_presumed: false,
            term,
            phase,
            started_at: now,
            phase_started_at: now,
            phase_durations: Vec::new(),
            ordered: BTreeMap::new(),
            promoted: None,
            accepted: false,
            was_demoted: false,
        }
    }

    /// Returns the change with an old primary that nobody saw lead.
    pub fn with_presumed_primary(mut self) -> Failover {
        self.is_presumed = true;
        self
    }

    /// Returns the change with the time for which the old primary had been silent.
    pub fn with_detection_time(mut self, silence: Time) -> Failover {
        self.phase_durations.push(("detect", silence));
        self
    }

    /// Returns whether the change needs the lease now.
    pub fn needs_lease(&self) -> bool {
        self.phase != Phase::Voting
    }

    /// Takes over that the votes decide.
    pub fn on_votes_decided(&mut self, now: Time) {
        if self.phase == Phase::Voting {
            self.enter(Phase::Claiming, now);
        }
    }

    /// Takes over the platform's answer to the promotion.
    pub fn on_promotion_answer(&mut self, answer: PromotionAnswer, now: Time) {
        let Phase::Promoting(target) = &self.phase else { return };
        match answer {
            PromotionAnswer::Accepted => {
                let target = target.clone();
                self.accepted = true;
                self.enter(Phase::Settling(target), now);
            }
            PromotionAnswer::Refused => self.enter(Phase::Fencing, now),
            PromotionAnswer::Unknown => {}
        }
    }

    /// Returns what is to be done at `now`.
    pub fn advance(&mut self, now: Time, view: &View<'_>) -> Vec<Step> {
        let over = view.primary.is_some_and(|lead| lead.term > self.term);
        if over {
            return vec![Step::Finish];
        }
        if view.term > self.term && !self.accepted {
            return vec![Step::GiveUp("another change has begun a newer term")];
        }
        if self.needs_lease() && self.phase != Phase::Claiming && !view.holds_lease {
            return vec![Step::GiveUp("lease is lost")];
        }
        let is_blind = self.is_presumed || self.old_primary.is_none();
        if is_blind && view.primary.is_some() && self.promoted.is_none() {
            return self.reopen("a primary leads", self.closed_here(view));
        }
        if now >= self.started_at + CHANGE_TIMEOUT && self.promoted.is_none() {
            return self.reopen("it takes too long", self.closed_here(view));
        }
        match self.phase.clone() {
            Phase::Voting => Vec::new(),
            Phase::Claiming => self.claim(now, view),
            Phase::Surveying => self.survey(now, view),
            Phase::Demoting(target) => self.demote(now, view, target),
            Phase::CatchingUp(target, goal) => self.catch_up(now, view, target, goal),
            Phase::Fencing => self.close(now, view),
            Phase::AwaitingExpiry(until) => self.wait(now, view, until),
            Phase::Promoting(target) => self.promote(now, target),
            Phase::Settling(target) => self.settle(now, target),
        }
    }

    fn enter(&mut self, phase: Phase, now: Time) {
        self.phase_durations.push((self.phase.label(), now.saturating_sub(self.phase_started_at)));
        self.phase = phase;
        self.phase_started_at = now;
        self.ordered.clear();
    }

    fn claim(&mut self, now: Time, view: &View<'_>) -> Vec<Step> {
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
        let others: Vec<EndpointId> = self.candidates(view);
        let steps = self.order(now, &others, ORDER_INTERVAL, |_| Order::Status);
        let heard = |id: &EndpointId| self.status(view, id).is_some();
        if !others.iter().all(heard) && now < self.phase_started_at + SURVEY_TIMEOUT {
            return steps;
        }
        match self.best(view, &others) {
            Some(target) => {
                self.enter(Phase::Demoting(target), now);
                self.advance(now, view)
            }
            None if now < self.phase_started_at + CLOSE_TIMEOUT => steps,
            None => vec![Step::GiveUp("no replica answers")],
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
            let best = self.best(view, &self.candidates(view)).unwrap_or(target);
            self.enter(Phase::Promoting(best), now);
            return self.advance(now, view);
        }
        self.order(now, &self.candidates(view), CATCH_UP_INTERVAL, |_| Order::Status)
    }

    fn close(&mut self, now: Time, view: &View<'_>) -> Vec<Step> {
        let term = self.term + 1;
        let others = self.others(view);
        let closed: Vec<EndpointId> =
            others.iter().filter(|id| self.is_closed(view, id)).cloned().collect();
        let demoted = self.is_demoted(view);
        if self.is_enough(view, &closed) {
            let wait = match demoted {
                true => Duration::ZERO,
                false => EVIDENCE_VALIDITY + WAIT_MARGIN,
            };
            self.was_demoted = demoted;
            self.enter(Phase::AwaitingExpiry(now + wait), now);
            return Vec::new();
        }
        if now >= self.phase_started_at + CLOSE_TIMEOUT {
            return self.reopen("the term cannot be closed", closed);
        }
        let open: Vec<EndpointId> = others.into_iter().filter(|id| !closed.contains(id)).collect();
        let mut steps = self.order(now, &open, ORDER_INTERVAL, |_| Order::FenceTerm(term));
        if let Some(old) = self.old_primary.as_ref().map(|old| old.endpoint.clone())
            && !demoted
            && !self.is_presumed
        {
            steps.extend(self.order(now, &[old], ORDER_INTERVAL, |_| Order::Demote(term)));
        }
        steps
    }

    fn wait(&mut self, now: Time, view: &View<'_>, until: Time) -> Vec<Step> {
        if now < until {
            return Vec::new();
        }
        // The endpoints are asked again: one that has restarted has forgotten that it was closed.
        let others = self.others(view);
        let open = others.iter().any(|id| {
            self.status(view, id)
                .is_some_and(|status| status.fenced_term.max(status.term) <= self.term)
        });
        if open {
            self.enter(Phase::Fencing, now);
            return self.advance(now, view);
        }
        let confirmed: Vec<EndpointId> =
            others.iter().filter(|id| self.is_closed(view, id)).cloned().collect();
        let answered = confirmed.len() == others.len() || now >= until + ORDER_INTERVAL;
        if let Some(target) = self.best(view, &confirmed)
            && answered
            && (self.was_demoted || self.is_enough(view, &confirmed))
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
        if now >= self.phase_started_at + CLOSE_TIMEOUT {
            return self.reopen("the platform does not promote", Vec::new());
        }
        if self.promoted.is_some_and(|at| now < at + PROMOTE_INTERVAL) {
            return Vec::new();
        }
        self.promoted = Some(now);
        vec![Step::Promote(target)]
    }

    fn settle(&mut self, now: Time, target: EndpointId) -> Vec<Step> {
        if now >= self.phase_started_at + SETTLE_TIMEOUT {
            return vec![Step::GiveUp("the promoted endpoint does not lead")];
        }
        self.order(now, &[target], Duration::from_millis(40), |_| Order::Status)
    }

    /// Returns the endpoints that this change may have closed.
    fn closed_here(&self, view: &View<'_>) -> Vec<EndpointId> {
        match self.phase {
            Phase::Fencing | Phase::AwaitingExpiry(_) if view.holds_lease => self.others(view),
            _ => Vec::new(),
        }
    }

    fn reopen(&self, reason: &'static str, closed: Vec<EndpointId>) -> Vec<Step> {
        // Replicas of a primary that may still lead must receive its log again.
        let mut steps: Vec<Step> = match self.promoted {
            Some(_) => Vec::new(),
            None => {
                closed.into_iter().map(|id| Step::Order(id, Order::ResumeReplication)).collect()
            }
        };
        steps.push(Step::GiveUp(reason));
        steps
    }

    fn order(
        &mut self,
        now: Time,
        ids: &[EndpointId],
        interval: Duration,
        order: impl Fn(&EndpointId) -> Order,
    ) -> Vec<Step> {
        let mut steps = Vec::new();
        for id in ids {
            if self.ordered.get(id).is_none_or(|at| now >= *at + interval) {
                self.ordered.insert(id.clone(), now);
                steps.push(Step::Order(id.clone(), order(id)));
            }
        }
        steps
    }

    /// Returns whether no endpoint is left that could vouch for the old primary.
    ///
    /// Endpoints that are not listed count until the directory has given them up.
    fn is_enough(&self, view: &View<'_>, closed: &[EndpointId]) -> bool {
        if closed.is_empty() {
            return false;
        }
        if self.is_presumed || self.old_primary.is_none() {
            let members = view.endpoints.len().max(view.peak_size.min(GROUP_USUAL));
            return closed.len() + 1 >= members;
        }
        self.is_demoted(view) || closed.len() == self.others(view).len()
    }

    /// Returns the endpoints but the old primary; all of them if it is only presumed.
    fn others(&self, view: &View<'_>) -> Vec<EndpointId> {
        let known = self.old_primary.as_ref().filter(|_| !self.is_presumed);
        let old = known.map(|old| &old.endpoint);
        view.endpoints.keys().filter(|id| Some(*id) != old).cloned().collect()
    }

    fn candidates(&self, view: &View<'_>) -> Vec<EndpointId> {
        let mut others = self.others(view);
        others.retain(|id| {
            let endpoint = view.endpoints.get(id);
            endpoint.is_some_and(|e| e.suspected_since.is_none() && !e.entry.leaving)
        });
        others
    }

    /// Returns the status of `id` that was asked for in this part of the change.
    fn status(&self, view: &View<'_>, id: &EndpointId) -> Option<Status> {
        let (asked, status) = view.endpoints.get(id)?.status?;
        (asked >= self.phase_started_at).then_some(status)
    }

    fn is_closed(&self, view: &View<'_>, id: &EndpointId) -> bool {
        self.status(view, id).is_some_and(|status| status.fenced_term.max(status.term) > self.term)
    }

    fn is_demoted(&self, view: &View<'_>) -> bool {
        let Some(old) = self.old_primary.as_ref().filter(|_| !self.is_presumed) else {
            return false;
        };
        self.status(view, &old.endpoint).is_some_and(|status| status.role == Role::Replica)
    }

    /// Returns the endpoint that has received most, of those that will stay if there are any.
    fn best(&self, view: &View<'_>, ids: &[EndpointId]) -> Option<EndpointId> {
        let known = ids.iter().filter_map(|id| {
            let leaving = view.endpoints.get(id)?.entry.leaving;
            Some((!leaving, self.status(view, id)?.received, id.clone()))
        });
        known.max().map(|(_, _, id)| id)
    }
}
