//! State of a group: the endpoints that hold one database.

use std::collections::BTreeMap;
use std::fmt;

use crate::admission::outlier::Monitor;
use crate::admission::queue::Queue;
use crate::admission::retry::Crowd;
use crate::admission::shedding::Shedder;
use crate::admission::wait::{Estimator, Kind};
use crate::customer::{CustomerName, KeyDigest};
use crate::endpoint::Endpoint;
use crate::evidence::{Candidate, Evidence, FOLLOW_TIMEOUT, Sample};
use crate::failover::{Ballot, EXPECTED_GROUP_SIZE, Failover};
use crate::message::{
    Answer, ConnectionId, EndpointId, Position, Role, SessionId, Status, Term, Time,
};
use crate::replication::Progress;

/// Primary of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Primary {
    /// Endpoint that is the primary.
    pub endpoint: EndpointId,
    /// Term of the primary.
    pub term: Term,
}

/// Answer of a primary that is held until evidence or a replica confirms it.
#[derive(Debug)]
pub struct PendingAnswer {
    /// Time at which the endpoint must have been the primary: when the answer was received, or, for
    /// an answer in a transaction that acknowledges no commit, when the transaction was opened.
    pub required_at: Time,
    /// Session that sent the statement.
    pub session: SessionId,
    /// Serial number of the statement within the session.
    pub serial: u64,
    /// Connection that the answer came from.
    pub connection: ConnectionId,
    /// Endpoint that answered.
    pub endpoint: EndpointId,
    /// When the command was sent.
    pub sent_at: Time,
    /// Log position of the commit that the answer acknowledges, if any.
    pub commit_position: Option<Position>,
    /// The answer.
    pub answer: Answer,
}

/// Group of endpoints.
#[derive(Debug, Default)]
pub struct Group {
    /// Whether the endpoints are poolers that serve the database for this node.
    pub is_remote: bool,
    /// Key of the sessions of a remote group, if clients are identified.
    pub key: Option<KeyDigest>,
    /// Customer that the key belongs to, once a pooler has reported it.
    pub customer: Option<CustomerName>,
    /// Connections that one endpoint accepts from all nodes together.
    pub max_connections: u32,
    /// Since when none of the nodes of a remote group has answered.
    pub unserved_since: Option<Time>,
    /// Endpoints.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Whether the group has ever had more than one endpoint, so that another may be promoted.
    pub is_replicated: bool,
    /// Largest number of endpoints that the group has had at once.
    pub peak_size: usize,
    /// Since when the primary's term has been fenced: the primary is being replaced.
    pub fenced_since: Option<Time>,
    /// The primary, if it is known.
    pub primary: Option<Primary>,
    /// Highest term that any endpoint has reported.
    pub term: Term,
    /// Since when no primary has been known.
    pub without_primary_since: Option<Time>,
    /// Evidence that the primary is still the primary.
    pub evidence: Evidence,
    /// When the primary was last asked for its position.
    pub position_requested_at: Time,
    /// Position sample of the primary that waits for evidence, and when the sample was received.
    pub unproven_sample: Option<(Sample, Time)>,
    /// How far replicas have received the primary's log.
    pub replication: Progress,
    /// Answers that wait for evidence, or for a replica to hold a commit.
    pub pending_answers: Vec<PendingAnswer>,
    /// Sessions whose statement or transaction waits for a connection.
    pub waiting_sessions: Queue,
    /// Clients that were refused lately.
    pub crowd: Crowd,
    /// Outcomes of statements by endpoint, and ejected endpoints.
    pub outliers: Monitor,
    /// Earliest retry of a read that is overdue at an endpoint without recent unanswered statements.
    pub next_overdue_retry_at: Time,
    /// Overload by each kind of work.
    pub shedders: [Shedder; Kind::ALL.len()],
    /// Service times and throughput.
    pub waits: Estimator,
    /// Waiting statements that could still meet their objective at the last check, by kind and
    /// priority.
    pub on_time_counts: BTreeMap<(Kind, u32), usize>,
    /// Earliest refusal of work for its expected wait, after the primary was silent or replaced.
    pub wait_estimates_after: Time,
    /// When waiting work is searched for hopeless work again.
    pub next_wait_check_at: Time,
    /// Number of waiting sessions at the last dispatch.
    pub waiting_at_dispatch: usize,
    /// Failover that this node takes part in.
    pub failover: Option<Failover>,
    /// Earliest start of another failover.
    pub next_failover_at: Time,
    /// When the ballot is read again.
    pub next_ballot_read_at: Time,
    /// When the read of the ballot that is still unanswered was requested.
    pub ballot_requested_at: Option<Time>,
    /// Ballot that was written to the store and not confirmed yet.
    pub written_ballot: Option<Ballot>,
    /// Whether this node has written a vote on the primary.
    pub has_voted: bool,
    /// Whether this node is withdrawing its vote, since the primary answers again.
    pub is_withdrawing_vote: bool,
    /// When a session last requested work of the group.
    pub last_request_at: Time,
    /// When all endpoints were last asked for their status.
    pub last_survey_at: Time,
    /// When the connections and the failover of the group are checked again.
    pub next_check_at: Time,
}

/// Effect of an endpoint's status on the group.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum StatusEffect {
    /// No change that matters to the router.
    Nothing,
    /// The endpoint has become the primary.
    Primary,
    /// The primary's term is fenced or has ended.
    Fenced,
    /// The primary's term was not fenced when the status was requested.
    TermOpen,
    /// The primary's term was not fenced, but the status may be from after a promotion.
    Ambiguous,
    /// The endpoint still acts as primary of a term that has ended.
    Deposed,
}

/// Prints the names that logs show; they differ from those of the variants.
impl fmt::Debug for StatusEffect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            StatusEffect::Nothing => "Nothing",
            StatusEffect::Primary => "Lead",
            StatusEffect::Fenced => "Closed",
            StatusEffect::TermOpen => "Witnessed",
            StatusEffect::Ambiguous => "Ambiguous",
            StatusEffect::Deposed => "Deposed",
        })
    }
}

impl Group {
    /// Applies the status of `id` that was requested at `requested_at`.
    pub fn apply_status(
        &mut self,
        id: &EndpointId,
        requested_at: Time,
        now: Time,
        status: Status,
    ) -> StatusEffect {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return StatusEffect::Nothing };
        endpoint.status = Some((requested_at, status));
        if status.fenced_term > status.term {
            endpoint.fenced_since.get_or_insert(now);
        } else {
            endpoint.fenced_since = None;
        }
        let previous = self.primary.clone();
        self.term = self.term.max(status.term);
        let was_primary = previous.as_ref().is_some_and(|primary| primary.endpoint == *id);
        if previous.as_ref().is_some_and(|primary| primary.term < self.term) {
            self.clear_primary(now);
        }
        match status.role {
            Role::Primary if status.term < self.term => {
                if let Some(endpoint) = self.endpoints.get_mut(id) {
                    endpoint.record_not_primary(requested_at);
                }
                StatusEffect::Deposed
            }
            Role::Primary if was_primary && self.primary.is_some() => StatusEffect::Nothing,
            Role::Primary => {
                self.primary = Some(Primary { endpoint: id.clone(), term: status.term });
                self.without_primary_since = None;
                self.fenced_since = None;
                self.endpoints.values_mut().for_each(|endpoint| endpoint.fenced_since = None);
                self.evidence.invalidate();
                // The endpoint was promoted after it last answered as a replica. The next promotion
                // first fences the new term and waits.
                if let Some(not_primary_at) = self.endpoints.get(id).and_then(|e| e.not_primary_at)
                {
                    self.evidence.confirm(not_primary_at);
                }
                self.replication.reset();
                self.unproven_sample = None;
                StatusEffect::Primary
            }
            Role::Replica => {
                if was_primary {
                    self.clear_primary(now);
                }
                if let Some(endpoint) = self.endpoints.get_mut(id) {
                    endpoint.record_not_primary(requested_at);
                }
                let Some(primary) = &self.primary else { return StatusEffect::Fenced };
                if status.fenced_term > primary.term {
                    // Earlier evidence stays valid: a promotion waits until it has expired.
                    self.fenced_since.get_or_insert(now);
                    self.evidence.drop_candidate();
                    return StatusEffect::Fenced;
                }
                let follows_primary = status.term == primary.term;
                match self.record_open_term(id, requested_at, now, follows_primary) {
                    true => StatusEffect::TermOpen,
                    false => StatusEffect::Ambiguous,
                }
            }
        }
    }

    /// Records a status that shows the primary's term as open; returns whether it is evidence.
    fn record_open_term(
        &mut self,
        id: &EndpointId,
        requested_at: Time,
        now: Time,
        follows_primary: bool,
    ) -> bool {
        if self.evidence.covers(now) {
            self.evidence.confirm(requested_at);
            self.fenced_since = None;
            return true;
        }
        let has_followed = follows_primary
            && self.evidence.candidate(now).is_some_and(|candidate| {
                candidate.endpoint == *id
                    && requested_at >= candidate.received_at + FOLLOW_TIMEOUT
                    && self.possibly_promoted(candidate).all(|endpoint| {
                        endpoint.last_heard_at < candidate.received_at
                            && !self.is_listed_as_primary(endpoint)
                    })
            });
        if has_followed {
            self.evidence.confirm(requested_at);
            self.fenced_since = None;
            return true;
        }
        self.evidence.propose(Candidate { endpoint: id.clone(), requested_at, received_at: now });
        self.accept_candidate(now)
    }

    /// Returns whether the directory lists an endpoint as primary that is not known to be the primary of
    /// an earlier term.
    fn is_listed_as_primary(&self, endpoint: &Endpoint) -> bool {
        let term = self.primary.as_ref().map_or(0, |primary| primary.term);
        endpoint.entry.role == Role::Primary
            && endpoint.status.is_none_or(|(_, status)| status.term >= term)
    }

    /// Makes the candidate evidence if no other endpoint may have been promoted before it; returns whether
    /// there is evidence.
    pub fn accept_candidate(&mut self, now: Time) -> bool {
        let Some(candidate) = self.evidence.candidate(now) else {
            return self.evidence.covers(now);
        };
        if self.is_incomplete() || self.possibly_promoted(candidate).next().is_some() {
            return false;
        }
        let requested_at = candidate.requested_at;
        self.evidence.confirm(requested_at);
        self.fenced_since = None;
        true
    }

    /// Returns the endpoints that may have been promoted before a candidate was reported: those that
    /// have not shown since the candidate arrived that they are not the primary.
    pub fn possibly_promoted<'a>(
        &'a self,
        candidate: &'a Candidate,
    ) -> impl Iterator<Item = &'a Endpoint> {
        self.other_endpoints().filter(|endpoint| {
            endpoint.entry.id != candidate.endpoint
                && endpoint.not_primary_at.is_none_or(|at| at < candidate.received_at)
        })
    }

    /// Returns the endpoints that are not the primary.
    pub fn other_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter().filter(|(id, _)| !self.is_primary(id)).map(|(_, endpoint)| endpoint)
    }

    /// Returns whether an endpoint that the group should have is not listed. It may still run and be
    /// promoted: entries are missing for a while after an outage of the directory.
    pub fn is_incomplete(&self) -> bool {
        self.endpoints.len() < self.peak_size.min(EXPECTED_GROUP_SIZE)
    }

    /// Returns whether everything that was received from the primary by `time` was answered before any
    /// promotion.
    pub fn is_covered(&self, time: Time) -> bool {
        if self.primary.is_none() {
            return false;
        }
        // A group that never had a second endpoint has nothing to promote.
        !self.is_replicated || self.evidence.covers(time) || self.are_others_not_primary_since(time)
    }

    /// Returns whether all endpoints except the primary have shown that they are not the primary, in
    /// answers to commands that were requested at `time` or later.
    fn are_others_not_primary_since(&self, time: Time) -> bool {
        let mut others = self.other_endpoints().peekable();
        others.peek().is_some()
            && !self.is_incomplete()
            && others.all(|endpoint| endpoint.not_primary_at.is_some_and(|at| at >= time))
    }

    /// Returns whether sessions, a failover or commands of the router wait for something, so that the
    /// group must be checked often.
    pub fn has_work_in_progress(&self) -> bool {
        let has_own_commands = |endpoint: &Endpoint| {
            endpoint.status_requested_at.is_some()
                || endpoint.probe_requested_at.is_some()
                || !endpoint.queued_commands.is_empty()
        };
        !self.waiting_sessions.is_empty()
            || !self.pending_answers.is_empty()
            || self.failover.is_some()
            || self.endpoints.values().any(has_own_commands)
    }

    /// Removes the primary and all evidence for it.
    pub fn clear_primary(&mut self, now: Time) {
        self.primary = None;
        self.fenced_since = None;
        self.without_primary_since.get_or_insert(now);
        self.evidence.invalidate();
        self.replication.reset();
        self.unproven_sample = None;
    }

    /// Records that `id` holds the log up to `position`; returns whether that may confirm commits.
    pub fn record_replica_position(&mut self, id: &EndpointId, position: Position) -> bool {
        let Some(primary) = &self.primary else { return false };
        let is_remaining = self.endpoints.get(id).is_some_and(|endpoint| !endpoint.entry.leaving);
        primary.endpoint != *id
            && is_remaining
            && self.replication.record_position(position, primary.term)
    }

    /// Returns whether the acknowledgement of a commit waits until a replica holds it.
    pub fn waits_for_replicas(&self, now: Time) -> bool {
        let is_remaining_replica = |(id, endpoint): (&EndpointId, &Endpoint)| {
            !self.is_primary(id) && !endpoint.entry.leaving
        };
        let is_suspended = self.replication.is_suspended(now) && self.fenced_since.is_none();
        !is_suspended && self.endpoints.iter().any(is_remaining_replica)
    }

    /// Returns the endpoint that is the primary.
    pub fn primary_endpoint(&self) -> Option<&Endpoint> {
        self.endpoints.get(&self.primary.as_ref()?.endpoint)
    }

    /// Returns whether `id` is the primary, as far as this node knows.
    pub fn is_primary(&self, id: &EndpointId) -> bool {
        self.primary.as_ref().is_some_and(|primary| primary.endpoint == *id)
    }
}
