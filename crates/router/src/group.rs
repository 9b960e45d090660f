//! Endpoints that hold one database.

use std::collections::BTreeMap;
use std::fmt;

use crate::endpoint::Endpoint;
use crate::evidence::{Evidence, Sample};
use crate::failover::{Ballot, Failover};
use crate::message::{
    Answer, ConnectionId, EndpointId, Position, Role, SessionId, Status, Term, Time,
};
use crate::replication::Progress;

/// Endpoint that leads a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Primary {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its term.
    pub term: Term,
}

/// Answer of a primary that waits for evidence.
#[derive(Debug)]
pub struct PendingAnswer {
    /// When it was received.
    pub received_at: Time,
    /// Whose it is, with the serial of the statement.
    pub session: SessionId,
    /// Serial of the statement.
    pub serial: u64,
    /// Where it came from.
    pub connection: ConnectionId,
    /// Endpoint that answered.
    pub endpoint: EndpointId,
    /// When the command was sent.
    pub sent_at: Time,
    /// Position of the commit that it acknowledges, if it does.
    pub commit_position: Option<Position>,
    /// The answer.
    pub answer: Answer,
}

/// Group of endpoints.
#[derive(Debug, Default)]
pub struct Group {
    /// Whether the endpoints are nodes that hold connections to the database's endpoints.
    pub is_remote: bool,
    /// Connections that one endpoint takes from all nodes together.
    pub max_connections: u32,
    /// Endpoints.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Whether there ever was more than one endpoint, one of which may be promoted.
    pub is_replicated: bool,
    /// Most endpoints that there were at once.
    pub peak_size: usize,
    /// Since when the primary's term is closed: it is being replaced.
    pub fenced_since: Option<Time>,
    /// The primary, if it is known.
    pub primary: Option<Primary>,
    /// Highest term seen.
    pub term: Term,
    /// Since when no primary is known.
    pub without_primary_since: Option<Time>,
    /// What vouches for the primary.
    pub evidence: Evidence,
    /// Last time the primary was asked for its position.
    pub position_requested_at: Time,
    /// Position of the primary that waits for evidence, and when it was received.
    pub unproven_position: Option<(Sample, Time)>,
    /// What replicas hold.
    pub replication: Progress,
    /// Answers that wait for evidence, or for a replica to hold a commit.
    pub pending_answers: Vec<PendingAnswer>,
    /// Sessions whose statement or transaction waits for a connection.
    pub waiting_sessions: Vec<SessionId>,
    /// Number of them when they were last looked at.
    pub waiting_at_dispatch: usize,
    /// Change of primary that this node takes part in.
    pub failover: Option<Failover>,
    /// When another change may begin.
    pub next_failover_at: Time,
    /// When the votes are looked at again.
    pub next_ballot_read_at: Time,
    /// Votes that were written and not answered.
    pub written_ballot: Option<Ballot>,
    /// Last request for this group.
    pub last_request_at: Time,
    /// When all endpoints were last asked for their status.
    pub last_survey_at: Time,
}

/// Consequence of a status.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum StatusEffect {
    /// Nothing that matters.
    Nothing,
    /// The endpoint is the primary now.
    Primary,
    /// The primary's term is closed or over.
    Fenced,
    /// The primary's term was open when the status was asked for.
    TermOpen,
    /// The endpoint believes to lead a term that is over.
    Deposed,
}

/// Prints the names that logs show.
impl fmt::Debug for StatusEffect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            StatusEffect::Nothing => "Nothing",
            StatusEffect::Primary => "Lead",
            StatusEffect::Fenced => "Closed",
            StatusEffect::TermOpen => "Witnessed",
            StatusEffect::Deposed => "Deposed",
        })
    }
}

impl Group {
    /// Takes over the status of `id`, asked for at `asked`.
    pub fn apply_status(
        &mut self,
        id: &EndpointId,
        asked: Time,
        now: Time,
        status: Status,
    ) -> StatusEffect {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return StatusEffect::Nothing };
        endpoint.status = Some((asked, status));
        if status.fenced_term > status.term {
            endpoint.fenced_since.get_or_insert(now);
        } else {
            endpoint.fenced_since = None;
        }
        let known = self.primary.clone();
        self.term = self.term.max(status.term);
        let leads = known.as_ref().is_some_and(|lead| lead.endpoint == *id);
        if known.as_ref().is_some_and(|lead| lead.term < self.term) {
            self.clear_primary(now);
        }
        match status.role {
            Role::Primary if status.term < self.term => StatusEffect::Deposed,
            Role::Primary if leads && self.primary.is_some() => StatusEffect::Nothing,
            Role::Primary => {
                self.primary = Some(Primary { endpoint: id.clone(), term: status.term });
                self.without_primary_since = None;
                self.fenced_since = None;
                self.evidence.invalidate();
                self.replication.reset();
                self.unproven_position = None;
                StatusEffect::Primary
            }
            Role::Replica => {
                if leads {
                    self.clear_primary(now);
                }
                let Some(lead) = &self.primary else { return StatusEffect::Fenced };
                if status.fenced_term > lead.term {
                    // What was witnessed before still holds: the promotion waits for it.
                    self.fenced_since.get_or_insert(now);
                    return StatusEffect::Fenced;
                }
                self.fenced_since = None;
                self.evidence.confirm(asked);
                StatusEffect::TermOpen
            }
        }
    }

    /// Forgets the primary.
    pub fn clear_primary(&mut self, now: Time) {
        self.primary = None;
        self.fenced_since = None;
        self.without_primary_since.get_or_insert(now);
        self.evidence.invalidate();
        self.replication.reset();
        self.unproven_position = None;
    }

    /// Notes that `id` holds the log up to `position`; returns whether that matters to commits.
    pub fn record_replica_position(&mut self, id: &EndpointId, position: Position) -> bool {
        let Some(lead) = &self.primary else { return false };
        let stays = self.endpoints.get(id).is_some_and(|endpoint| !endpoint.entry.leaving);
        lead.endpoint != *id && stays && self.replication.record_position(position, lead.term)
    }

    /// Returns whether commits wait until a replica holds them.
    pub fn waits_for_replicas(&self, now: Time) -> bool {
        let stay = |(id, endpoint): (&EndpointId, &Endpoint)| {
            !self.is_primary(id) && !endpoint.entry.leaving
        };
        let suspended = self.replication.is_suspended(now) && self.fenced_since.is_none();
        !suspended && self.endpoints.iter().any(stay)
    }

    /// Returns the primary's state.
    pub fn primary_endpoint(&self) -> Option<&Endpoint> {
        self.endpoints.get(&self.primary.as_ref()?.endpoint)
    }

    /// Returns whether `id` leads, as far as is known.
    pub fn is_primary(&self, id: &EndpointId) -> bool {
        self.primary.as_ref().is_some_and(|lead| lead.endpoint == *id)
    }
}
