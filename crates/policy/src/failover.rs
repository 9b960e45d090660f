//! Change of a database's primary.
//!
//! The order is suspicion, the opinion of peers, a claim of the next term by a conditional update
//! of the group object, closing that term at a majority of endpoints, recording the endpoint with
//! the longest log, and its promotion. Claiming before closing hands each term to one promoter
//! only, and leaves a healthy primary alone while the platform cannot be reached. Closing at a
//! majority is what deposes the old primary: it can no longer gather confirmations for its term,
//! whatever it believes. The scheme is the election of Raft (Ongaro and Ousterhout, 2014) with the
//! vote for a term replaced by the conditional update.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::owner::Action;
use crate::position::{EndpointIndex, Status, Term, majority};
use crate::retry::Backoff;

/// Wait for further endpoints after a majority has closed the term.
const CLOSE_GRACE: Duration = Duration::from_millis(20);
/// Wait before an endpoint is asked again to close the term.
const CLOSE_RETRY: Duration = Duration::from_millis(250);
/// Wait after peers reached an endpoint that this node could not reach.
const DENIED_HOLD: Duration = Duration::from_secs(1);
/// Wait for another promoter to finish before the next term is claimed.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Wait after a promotion before the next one, unless the new primary refuses connections.
const PROMOTION_HOLD: Duration = Duration::from_secs(2);
/// Orders sent to a candidate before another term is claimed.
const PROMOTE_ATTEMPTS: u32 = 3;
/// First delay between attempts at the platform.
const PLATFORM_RETRY_BASE: Duration = Duration::from_millis(50);
/// Longest delay between attempts at the platform.
const PLATFORM_RETRY_CAP: Duration = Duration::from_secs(2);

/// The platform's object for one database group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Group {
    /// Version for conditional updates.
    pub version: u64,
    /// Newest term.
    pub term: Term,
    /// Primary of that term, none while it is being chosen.
    pub primary: Option<EndpointIndex>,
    /// Identifies the writer's attempt.
    pub attempt: u64,
}

/// Why the group object was not read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupError {
    /// It has another version; here is what it holds.
    Conflict(Group),
    /// No answer; a write may have taken effect.
    Unavailable,
}

/// When each step of the last change of primary was done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timeline {
    /// Last sign of life of the old primary.
    pub last_seen: Duration,
    /// The old primary was suspected.
    pub suspected: Duration,
    /// Peers agreed.
    pub agreed: Duration,
    /// The term was claimed.
    pub claimed: Duration,
    /// A majority of endpoints had closed the term.
    pub fenced: Duration,
    /// The choice was recorded.
    pub recorded: Duration,
    /// The new primary had taken up the term.
    pub promoted: Duration,
}

#[derive(Clone, Debug)]
enum Phase {
    Steady,
    /// A probe was missed and peers are asked; a second miss and their word start the change.
    Suspected {
        missed_again: bool,
        agreed: bool,
    },
    Claiming {
        attempt: u64,
    },
    Closing {
        term: Term,
        since_majority: Option<Duration>,
        replies: BTreeMap<EndpointIndex, Status>,
    },
    Recording {
        attempt: u64,
        candidate: EndpointIndex,
    },
    Promoting {
        term: Term,
        candidate: EndpointIndex,
        sent: u32,
    },
}

/// State of one database's failover.
#[derive(Clone, Debug)]
pub struct Failover {
    endpoints: usize,
    seed: u64,
    group: Option<Group>,
    phase: Phase,
    /// Endpoint that is not chosen as long as a majority is left without it.
    avoided: Option<EndpointIndex>,
    hold_until: Duration,
    retry_at: Option<Duration>,
    backoff: Backoff,
    timeline: Timeline,
    attempts: u64,
    promotions: u64,
}

impl Failover {
    /// Returns a failover of a group of `endpoints`, which has read no group object yet.
    pub fn new(endpoints: usize, seed: u64) -> Failover {
        Failover {
            endpoints,
            seed,
            group: None,
            phase: Phase::Steady,
            avoided: None,
            hold_until: Duration::ZERO,
            retry_at: None,
            backoff: Backoff::new(PLATFORM_RETRY_BASE, PLATFORM_RETRY_CAP, seed),
            timeline: Timeline::default(),
            attempts: 0,
            promotions: 0,
        }
    }

    /// Returns the newest group object seen.
    pub fn group(&self) -> Option<Group> {
        self.group
    }

    /// Returns the steps of the last change of primary.
    pub fn timeline(&self) -> Timeline {
        self.timeline
    }

    /// Returns the number of promotions that this node has finished.
    pub fn promotions(&self) -> u64 {
        self.promotions
    }

    /// Returns the name of the current step.
    pub fn phase(&self) -> &'static str {
        match self.phase {
            Phase::Steady => "steady",
            Phase::Suspected { .. } => "suspected",
            Phase::Claiming { .. } => "claiming",
            Phase::Closing { .. } => "closing",
            Phase::Recording { .. } => "recording",
            Phase::Promoting { .. } => "promoting",
        }
    }

    /// Returns whether no change of primary is in progress.
    pub fn is_steady(&self) -> bool {
        matches!(self.phase, Phase::Steady)
    }

    /// Returns when [`Failover::tick`] is due.
    pub fn next_wake(&self) -> Option<Duration> {
        self.retry_at
    }

    /// Handles a missed probe of the primary, last seen at `last_seen`.
    pub fn on_probe_missed(&mut self, now: Duration, last_seen: Duration) -> Vec<Action> {
        match &mut self.phase {
            Phase::Steady if now >= self.hold_until => {
                self.timeline = Timeline { last_seen, suspected: now, ..Timeline::default() };
                self.phase = Phase::Suspected { missed_again: false, agreed: false };
                self.avoided = None;
                vec![Action::RequestVotes]
            }
            Phase::Suspected { missed_again, .. } => {
                *missed_again = true;
                self.claim_if_agreed(now)
            }
            _ => Vec::new(),
        }
    }

    /// Handles a sign of life of the primary: a change that has claimed nothing is given up.
    pub fn on_primary_alive(&mut self) {
        if matches!(self.phase, Phase::Suspected { .. }) {
            self.phase = Phase::Steady;
            self.retry_at = None;
        }
    }

    /// Starts a change away from a primary that answers but is not to stay.
    ///
    /// Every acknowledged write is held by a majority, so a majority of the others holds them all
    /// and the longest of their logs will do.
    pub fn start_replacement(&mut self, now: Duration, primary: EndpointIndex) -> Vec<Action> {
        if !self.is_steady() || now < self.hold_until {
            return Vec::new();
        }
        self.avoided = Some(primary);
        self.timeline =
            Timeline { last_seen: now, suspected: now, agreed: now, ..Timeline::default() };
        self.claim()
    }

    /// Handles what the peers said: how many of them reach the primary.
    pub fn on_votes(&mut self, now: Duration, against: usize) -> Vec<Action> {
        let Phase::Suspected { agreed, .. } = &mut self.phase else {
            return Vec::new();
        };
        if against > 0 {
            self.phase = Phase::Steady;
            self.hold_until = now + DENIED_HOLD;
            return Vec::new();
        }
        *agreed = true;
        self.claim_if_agreed(now)
    }

    /// Handles a read of the group object.
    pub fn on_group_read(
        &mut self,
        now: Duration,
        result: Result<Group, GroupError>,
    ) -> Vec<Action> {
        match result {
            Ok(group) | Err(GroupError::Conflict(group)) => self.group_seen(now, group),
            Err(GroupError::Unavailable) => {
                self.retry_at = Some(now + self.backoff.next_delay());
                Vec::new()
            }
        }
    }

    /// Handles the answer to an update of the group object.
    pub fn on_group_written(
        &mut self,
        now: Duration,
        result: Result<Group, GroupError>,
    ) -> Vec<Action> {
        self.on_group_read(now, result)
    }

    /// Handles an endpoint's answer to the order to close a term.
    pub fn on_fence_answer(
        &mut self,
        now: Duration,
        endpoint: EndpointIndex,
        status: Status,
    ) -> Vec<Action> {
        let Phase::Closing { term, since_majority, replies } = &mut self.phase else {
            return Vec::new();
        };
        if status.fenced_term > *term {
            self.phase = Phase::Steady;
            self.hold_until = now + ELECTION_TIMEOUT;
            return vec![Action::ReadGroup];
        }
        if status.fenced_term < *term {
            return Vec::new();
        }
        replies.insert(endpoint, status);
        if replies.len() == self.endpoints {
            return self.choose(now);
        }
        if replies.len() >= majority(self.endpoints) && since_majority.is_none() {
            *since_majority = Some(now);
            self.retry_at = Some(now + CLOSE_GRACE);
        }
        Vec::new()
    }

    /// Handles a candidate's answer to the order to take up its term.
    pub fn on_promote_answer(&mut self, now: Duration, status: Option<Status>) -> Vec<Action> {
        let Phase::Promoting { term, candidate, sent } = &mut self.phase else {
            return Vec::new();
        };
        let taken = status.is_some_and(|status| status.term == *term && status.is_in_newest_term());
        if taken {
            self.phase = Phase::Steady;
            self.hold_until = now + PROMOTION_HOLD;
            self.retry_at = None;
            self.timeline.promoted = now;
            self.promotions += 1;
            return Vec::new();
        }
        if *sent < PROMOTE_ATTEMPTS {
            *sent += 1;
            return vec![Action::Promote { endpoint: *candidate, term: *term }];
        }
        self.claim()
    }

    /// Handles the passing of time.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        if self.retry_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.retry_at = None;
        match &self.phase {
            Phase::Closing { since_majority: Some(since), .. } if now >= *since + CLOSE_GRACE => {
                self.choose(now)
            }
            Phase::Closing { term, replies, .. } => {
                let term = *term;
                let missing = (0..self.endpoints).filter(|index| !replies.contains_key(index));
                let orders = missing.map(|endpoint| Action::FenceTerm { endpoint, term }).collect();
                self.retry_at = Some(now + CLOSE_RETRY);
                orders
            }
            Phase::Steady if self.group.is_some_and(|group| group.primary.is_none()) => {
                self.timeline.agreed = now;
                self.claim()
            }
            Phase::Steady | Phase::Claiming { .. } | Phase::Recording { .. } => {
                vec![Action::ReadGroup]
            }
            Phase::Suspected { .. } | Phase::Promoting { .. } => Vec::new(),
        }
    }

    fn group_seen(&mut self, now: Duration, group: Group) -> Vec<Action> {
        if self.group.is_some_and(|known| group.version < known.version) {
            return Vec::new();
        }
        self.backoff.reset();
        let unchanged = self.group.is_some_and(|known| known.version == group.version);
        self.group = Some(group);
        match &self.phase {
            Phase::Claiming { attempt } if group.attempt == *attempt => self.close(now, group.term),
            Phase::Recording { attempt, candidate } if group.attempt == *attempt => {
                let candidate = *candidate;
                self.timeline.recorded = now;
                self.phase = Phase::Promoting { term: group.term, candidate, sent: 1 };
                vec![Action::Promote { endpoint: candidate, term: group.term }]
            }
            Phase::Claiming { attempt } if unchanged => vec![self.claim_update(*attempt)],
            Phase::Recording { attempt, candidate } if unchanged => {
                vec![self.record_update(*attempt, *candidate)]
            }
            Phase::Steady | Phase::Suspected { .. } if group.primary.is_none() => {
                self.phase = Phase::Steady;
                self.retry_at = Some(now + ELECTION_TIMEOUT);
                Vec::new()
            }
            Phase::Steady | Phase::Suspected { .. } => Vec::new(),
            // A watch repeats what this node has written itself.
            Phase::Closing { .. } | Phase::Promoting { .. } if unchanged => Vec::new(),
            _ => self.yield_to_other(now),
        }
    }

    fn yield_to_other(&mut self, now: Duration) -> Vec<Action> {
        self.phase = Phase::Steady;
        self.hold_until = now + ELECTION_TIMEOUT;
        self.retry_at = Some(now + ELECTION_TIMEOUT);
        Vec::new()
    }

    fn claim_if_agreed(&mut self, now: Duration) -> Vec<Action> {
        if !matches!(self.phase, Phase::Suspected { missed_again: true, agreed: true }) {
            return Vec::new();
        }
        self.timeline.agreed = now;
        self.claim()
    }

    fn claim(&mut self) -> Vec<Action> {
        let Some(_) = self.group else {
            self.phase = Phase::Steady;
            return vec![Action::ReadGroup];
        };
        let attempt = self.next_attempt();
        self.phase = Phase::Claiming { attempt };
        vec![self.claim_update(attempt)]
    }

    fn claim_update(&self, attempt: u64) -> Action {
        let known = self.group.unwrap_or_default();
        Action::UpdateGroup(Group { term: known.term + 1, primary: None, attempt, ..known })
    }

    fn record_update(&self, attempt: u64, candidate: EndpointIndex) -> Action {
        let known = self.group.unwrap_or_default();
        Action::UpdateGroup(Group { primary: Some(candidate), attempt, ..known })
    }

    fn close(&mut self, now: Duration, term: Term) -> Vec<Action> {
        self.timeline.claimed = now;
        self.phase = Phase::Closing { term, since_majority: None, replies: BTreeMap::new() };
        self.retry_at = Some(now + CLOSE_RETRY);
        (0..self.endpoints).map(|endpoint| Action::FenceTerm { endpoint, term }).collect()
    }

    fn choose(&mut self, now: Duration) -> Vec<Action> {
        let Phase::Closing { replies, .. } = &self.phase else {
            return Vec::new();
        };
        let longest = |avoided: Option<EndpointIndex>| {
            let considered = replies.iter().filter(|(index, _)| Some(**index) != avoided);
            let enough = considered.clone().count() >= majority(self.endpoints);
            let longest = considered.max_by_key(|(_, status)| (status.log_term, status.position));
            longest.filter(|_| enough).map(|(index, _)| *index)
        };
        let Some(candidate) = longest(self.avoided).or_else(|| longest(None)) else {
            return Vec::new();
        };
        self.timeline.fenced = now;
        self.retry_at = None;
        let attempt = self.next_attempt();
        self.phase = Phase::Recording { attempt, candidate };
        vec![self.record_update(attempt, candidate)]
    }

    fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        xxh3_64_with_seed(&self.attempts.to_le_bytes(), self.seed)
    }
}
