//! Failover: the replacement of a database group's primary.
//!
//! The platform stores a group object with the newest term and its primary. A node that misses
//! probes of the primary runs these steps:
//!
//! 1. Suspect the primary and ask peers for their votes on whether they reach the primary.
//! 2. Claim the next term by a conditional update of the group object.
//! 3. Fence the new term at a majority of endpoints, which then refuse orders and confirmations
//!    of lower terms.
//! 4. Record the endpoint with the longest log as the primary in the group object.
//! 5. Promote that endpoint.
//!
//! Because the claim precedes fencing, only one node can work on each term, and a healthy primary
//! is not disturbed while the platform is unreachable. Fencing a majority ends the old primary's
//! term: the old primary can no longer collect confirmations, even if it still takes itself for
//! the primary. The scheme is Raft's leader election (Ongaro and Ousterhout, 2014) with the votes
//! for a term replaced by the conditional update.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::owner::Action;
use crate::position::{EndpointIndex, Status, Term, majority};
use crate::retry::Backoff;

/// Time to wait for answers of further endpoints after a majority is fenced.
const FENCE_GRACE: Duration = Duration::from_millis(20);
/// Time between fence orders to an endpoint that has not answered.
const FENCE_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a new suspicion after peers reached a primary that this node could not reach.
const REJECTED_SUSPICION_PAUSE: Duration = Duration::from_secs(1);
/// Time for another node's failover to finish before this node claims the next term.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Minimum time between the end of a failover and the next suspicion or replacement.
const PROMOTION_PAUSE: Duration = Duration::from_secs(2);
/// Promote orders sent to a candidate before the next term is claimed instead.
const MAX_PROMOTE_ORDERS: u32 = 3;
/// First delay between attempts to reach the platform.
const PLATFORM_RETRY_MIN: Duration = Duration::from_millis(50);
/// Maximum delay between attempts to reach the platform.
const PLATFORM_RETRY_MAX: Duration = Duration::from_secs(2);

/// Group object: the platform's record of a database group's primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Group {
    /// Object version, compared by conditional updates.
    pub version: u64,
    /// Newest term.
    pub term: Term,
    /// Primary of `term`; none while a failover is choosing the primary.
    pub primary: Option<EndpointIndex>,
    /// Id of the update attempt that wrote the object.
    pub attempt: u64,
}

/// Error of a read or an update of the group object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupError {
    /// The object has another version than the update expected; holds the current object.
    Conflict(Group),
    /// The platform did not answer; an update may have taken effect.
    Unavailable,
}

/// Times at which the steps of the last failover were completed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timeline {
    /// Last answer of the old primary.
    pub last_seen: Duration,
    /// First missed probe of the old primary.
    pub suspected: Duration,
    /// Peers confirmed that they do not reach the old primary.
    pub agreed: Duration,
    /// The platform accepted the claim of the next term.
    pub claimed: Duration,
    /// A majority of endpoints was fenced and the candidate was chosen.
    pub fenced: Duration,
    /// The candidate was recorded in the group object.
    pub recorded: Duration,
    /// The candidate had become primary.
    pub promoted: Duration,
}

#[derive(Clone, Debug)]
enum Phase {
    Steady,
    /// One probe was missed and peers were asked for votes. A second miss together with the peers'
    /// agreement leads to the claim.
    Suspected {
        missed_again: bool,
        peers_agreed: bool,
    },
    /// The update that claims the next term is in flight.
    Claiming {
        attempt: u64,
    },
    /// Fence orders were sent to all endpoints.
    Fencing {
        term: Term,
        majority_at: Option<Duration>,
        answers: BTreeMap<EndpointIndex, Status>,
    },
    /// The update that records the candidate as primary is in flight.
    Recording {
        attempt: u64,
        candidate: EndpointIndex,
    },
    /// The candidate was ordered to become primary.
    Promoting {
        term: Term,
        candidate: EndpointIndex,
        orders_sent: u32,
    },
}

/// Failover state machine of one database group.
#[derive(Clone, Debug)]
pub struct Failover {
    endpoint_count: usize,
    seed: u64,
    group: Option<Group>,
    phase: Phase,
    /// Endpoint that is chosen only if the other fenced endpoints form no majority.
    excluded: Option<EndpointIndex>,
    /// Earliest time of the next suspicion or replacement.
    next_failover_at: Duration,
    wake_at: Option<Duration>,
    backoff: Backoff,
    timeline: Timeline,
    attempt_count: u64,
    promotions: u64,
}

impl Failover {
    /// Returns the state machine of a group of `endpoint_count` endpoints, before the group object
    /// has been read.
    pub fn new(endpoint_count: usize, seed: u64) -> Failover {
        Failover {
            endpoint_count,
            seed,
            group: None,
            phase: Phase::Steady,
            excluded: None,
            next_failover_at: Duration::ZERO,
            wake_at: None,
            backoff: Backoff::new(PLATFORM_RETRY_MIN, PLATFORM_RETRY_MAX, seed),
            timeline: Timeline::default(),
            attempt_count: 0,
            promotions: 0,
        }
    }

    /// Returns the group object of the highest version received.
    pub fn group(&self) -> Option<Group> {
        self.group
    }

    /// Returns the step times of the last failover.
    pub fn timeline(&self) -> Timeline {
        self.timeline
    }

    /// Returns the number of failovers that this node has completed.
    pub fn promotions(&self) -> u64 {
        self.promotions
    }

    /// Returns the name of the current phase, as shown in the state dump.
    pub fn phase(&self) -> &'static str {
        match self.phase {
            Phase::Steady => "steady",
            Phase::Suspected { .. } => "suspected",
            Phase::Claiming { .. } => "claiming",
            Phase::Fencing { .. } => "closing",
            Phase::Recording { .. } => "recording",
            Phase::Promoting { .. } => "promoting",
        }
    }

    /// Returns whether no failover or suspicion is in progress.
    pub fn is_steady(&self) -> bool {
        matches!(self.phase, Phase::Steady)
    }

    /// Returns the time at which [`Failover::tick`] is due.
    pub fn next_wake(&self) -> Option<Duration> {
        self.wake_at
    }

    /// Handles a missed probe of the primary, whose last answer came at `last_seen`.
    pub fn on_probe_missed(&mut self, now: Duration, last_seen: Duration) -> Vec<Action> {
        match &mut self.phase {
            Phase::Steady if now >= self.next_failover_at => {
                self.timeline = Timeline { last_seen, suspected: now, ..Timeline::default() };
                self.phase = Phase::Suspected { missed_again: false, peers_agreed: false };
                self.excluded = None;
                vec![Action::RequestVotes]
            }
            Phase::Suspected { missed_again, .. } => {
                *missed_again = true;
                self.claim_if_agreed(now)
            }
            _ => Vec::new(),
        }
    }

    /// Handles an answer of the primary: ends a suspicion that has not led to a claim.
    pub fn on_primary_alive(&mut self) {
        if matches!(self.phase, Phase::Suspected { .. }) {
            self.phase = Phase::Steady;
            self.wake_at = None;
        }
    }

    /// Starts a failover away from a primary that answers but must be replaced.
    ///
    /// Every acknowledged write is held by a majority. Any majority of the group therefore
    /// includes an endpoint with all acknowledged writes, so the longest log among a majority
    /// without the old primary is a safe choice.
    pub fn start_replacement(&mut self, now: Duration, primary: EndpointIndex) -> Vec<Action> {
        if !self.is_steady() || now < self.next_failover_at {
            return Vec::new();
        }
        self.excluded = Some(primary);
        self.timeline =
            Timeline { last_seen: now, suspected: now, agreed: now, ..Timeline::default() };
        self.claim_next_term()
    }

    /// Handles the peers' votes; `against` is the number of peers that reach the primary.
    pub fn on_votes(&mut self, now: Duration, against: usize) -> Vec<Action> {
        let Phase::Suspected { peers_agreed, .. } = &mut self.phase else {
            return Vec::new();
        };
        if against > 0 {
            self.phase = Phase::Steady;
            self.next_failover_at = now + REJECTED_SUSPICION_PAUSE;
            return Vec::new();
        }
        *peers_agreed = true;
        self.claim_if_agreed(now)
    }

    /// Handles the result of a read of the group object.
    pub fn on_group_read(
        &mut self,
        now: Duration,
        result: Result<Group, GroupError>,
    ) -> Vec<Action> {
        match result {
            Ok(group) | Err(GroupError::Conflict(group)) => self.handle_group(now, group),
            Err(GroupError::Unavailable) => {
                self.wake_at = Some(now + self.backoff.next_delay());
                Vec::new()
            }
        }
    }

    /// Handles the result of an update of the group object.
    pub fn on_group_written(
        &mut self,
        now: Duration,
        result: Result<Group, GroupError>,
    ) -> Vec<Action> {
        self.on_group_read(now, result)
    }

    /// Handles an endpoint's answer to a fence order.
    pub fn on_fence_answer(
        &mut self,
        now: Duration,
        endpoint: EndpointIndex,
        status: Status,
    ) -> Vec<Action> {
        let Phase::Fencing { term, majority_at, answers } = &mut self.phase else {
            return Vec::new();
        };
        if status.fenced_term > *term {
            self.phase = Phase::Steady;
            self.next_failover_at = now + ELECTION_TIMEOUT;
            return vec![Action::ReadGroup];
        }
        if status.fenced_term < *term {
            return Vec::new();
        }
        answers.insert(endpoint, status);
        if answers.len() == self.endpoint_count {
            return self.choose_candidate(now);
        }
        if answers.len() >= majority(self.endpoint_count) && majority_at.is_none() {
            *majority_at = Some(now);
            self.wake_at = Some(now + FENCE_GRACE);
        }
        Vec::new()
    }

    /// Handles the candidate's answer to a promote order; `status` is none if the order failed.
    pub fn on_promote_answer(&mut self, now: Duration, status: Option<Status>) -> Vec<Action> {
        let Phase::Promoting { term, candidate, orders_sent } = &mut self.phase else {
            return Vec::new();
        };
        let is_promoted =
            status.is_some_and(|status| status.term == *term && status.is_in_newest_term());
        if is_promoted {
            self.phase = Phase::Steady;
            self.next_failover_at = now + PROMOTION_PAUSE;
            self.wake_at = None;
            self.timeline.promoted = now;
            self.promotions += 1;
            return Vec::new();
        }
        if *orders_sent < MAX_PROMOTE_ORDERS {
            *orders_sent += 1;
            return vec![Action::Promote { endpoint: *candidate, term: *term }];
        }
        self.claim_next_term()
    }

    /// Runs the actions that are due at `now`.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        if self.wake_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.wake_at = None;
        match &self.phase {
            Phase::Fencing { majority_at: Some(at), .. } if now >= *at + FENCE_GRACE => {
                self.choose_candidate(now)
            }
            Phase::Fencing { term, answers, .. } => {
                let term = *term;
                let unanswered =
                    (0..self.endpoint_count).filter(|index| !answers.contains_key(index));
                let orders =
                    unanswered.map(|endpoint| Action::FenceTerm { endpoint, term }).collect();
                self.wake_at = Some(now + FENCE_RETRY_INTERVAL);
                orders
            }
            Phase::Steady if self.group.is_some_and(|group| group.primary.is_none()) => {
                self.timeline.agreed = now;
                self.claim_next_term()
            }
            Phase::Steady | Phase::Claiming { .. } | Phase::Recording { .. } => {
                vec![Action::ReadGroup]
            }
            Phase::Suspected { .. } | Phase::Promoting { .. } => Vec::new(),
        }
    }

    fn handle_group(&mut self, now: Duration, group: Group) -> Vec<Action> {
        if self.group.is_some_and(|current| group.version < current.version) {
            return Vec::new();
        }
        self.backoff.reset();
        let is_unchanged = self.group.is_some_and(|current| current.version == group.version);
        self.group = Some(group);
        match &self.phase {
            Phase::Claiming { attempt } if group.attempt == *attempt => self.fence(now, group.term),
            Phase::Recording { attempt, candidate } if group.attempt == *attempt => {
                let candidate = *candidate;
                self.timeline.recorded = now;
                self.phase = Phase::Promoting { term: group.term, candidate, orders_sent: 1 };
                vec![Action::Promote { endpoint: candidate, term: group.term }]
            }
            Phase::Claiming { attempt } if is_unchanged => vec![self.claim_term_update(*attempt)],
            Phase::Recording { attempt, candidate } if is_unchanged => {
                vec![self.record_primary_update(*attempt, *candidate)]
            }
            Phase::Steady | Phase::Suspected { .. } if group.primary.is_none() => {
                self.phase = Phase::Steady;
                self.wake_at = Some(now + ELECTION_TIMEOUT);
                Vec::new()
            }
            Phase::Steady | Phase::Suspected { .. } => Vec::new(),
            // The watch reports the update that this node has just made.
            Phase::Fencing { .. } | Phase::Promoting { .. } if is_unchanged => Vec::new(),
            _ => self.yield_to_other_node(now),
        }
    }

    /// Leaves the failover to the node that made a newer update.
    fn yield_to_other_node(&mut self, now: Duration) -> Vec<Action> {
        self.phase = Phase::Steady;
        self.next_failover_at = now + ELECTION_TIMEOUT;
        self.wake_at = Some(now + ELECTION_TIMEOUT);
        Vec::new()
    }

    fn claim_if_agreed(&mut self, now: Duration) -> Vec<Action> {
        if !matches!(self.phase, Phase::Suspected { missed_again: true, peers_agreed: true }) {
            return Vec::new();
        }
        self.timeline.agreed = now;
        self.claim_next_term()
    }

    fn claim_next_term(&mut self) -> Vec<Action> {
        let Some(_) = self.group else {
            self.phase = Phase::Steady;
            return vec![Action::ReadGroup];
        };
        let attempt = self.next_attempt_id();
        self.phase = Phase::Claiming { attempt };
        vec![self.claim_term_update(attempt)]
    }

    fn claim_term_update(&self, attempt: u64) -> Action {
        let group = self.group.unwrap_or_default();
        Action::UpdateGroup(Group { term: group.term + 1, primary: None, attempt, ..group })
    }

    fn record_primary_update(&self, attempt: u64, candidate: EndpointIndex) -> Action {
        let group = self.group.unwrap_or_default();
        Action::UpdateGroup(Group { primary: Some(candidate), attempt, ..group })
    }

    fn fence(&mut self, now: Duration, term: Term) -> Vec<Action> {
        self.timeline.claimed = now;
        self.phase = Phase::Fencing { term, majority_at: None, answers: BTreeMap::new() };
        self.wake_at = Some(now + FENCE_RETRY_INTERVAL);
        (0..self.endpoint_count).map(|endpoint| Action::FenceTerm { endpoint, term }).collect()
    }

    /// Chooses the fenced endpoint with the longest log and records that endpoint as primary.
    fn choose_candidate(&mut self, now: Duration) -> Vec<Action> {
        let Phase::Fencing { answers, .. } = &self.phase else {
            return Vec::new();
        };
        let longest_log = |excluded: Option<EndpointIndex>| {
            let eligible = answers.iter().filter(|(index, _)| Some(**index) != excluded);
            let is_majority = eligible.clone().count() >= majority(self.endpoint_count);
            let longest = eligible.max_by_key(|(_, status)| (status.log_term, status.position));
            longest.filter(|_| is_majority).map(|(index, _)| *index)
        };
        let Some(candidate) = longest_log(self.excluded).or_else(|| longest_log(None)) else {
            return Vec::new();
        };
        self.timeline.fenced = now;
        self.wake_at = None;
        let attempt = self.next_attempt_id();
        self.phase = Phase::Recording { attempt, candidate };
        vec![self.record_primary_update(attempt, candidate)]
    }

    fn next_attempt_id(&mut self) -> u64 {
        self.attempt_count += 1;
        xxh3_64_with_seed(&self.attempt_count.to_le_bytes(), self.seed)
    }
}
