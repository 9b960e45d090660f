//! What goes into an owner and what it asks to be done.

use std::time::Duration;

use crate::code::Code;
use crate::failover::{Group, GroupError};
use crate::position::{EndpointIndex, Floor, Status, Term};
use crate::queue::ClubId;
use crate::session::Freshness;

/// Identifies a connection to an endpoint.
pub type ConnectionId = u64;
/// Identifies a statement within its owner.
pub type RequestId = u64;
/// Identifies a caller's session across nodes.
pub type SessionId = u64;
/// Counts the statements of a session.
pub type StatementNumber = u64;

/// What a statement needs of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Surely reads only; any endpoint that is fresh enough will do.
    Read,
    /// May write; runs on the primary.
    Write,
}

/// A statement to be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifies it in later events and actions.
    pub id: RequestId,
    /// The session that sent it.
    pub session: SessionId,
    /// Its number in the session.
    pub statement_number: StatementNumber,
    /// The club that pays for it.
    pub club: ClubId,
    /// What it needs.
    pub kind: StatementKind,
    /// The session's floor. A write asks for it only to see nothing older within a transaction.
    pub freshness: Freshness,
    /// Age of data that the caller accepts.
    pub max_age: Option<Duration>,
    /// Whether the session has an open transaction.
    pub in_transaction: bool,
    /// Whether the statement begins a transaction.
    pub begins_transaction: bool,
    /// When it is no longer worth starting.
    pub deadline: Duration,
}

/// How a dispatched statement ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionResult {
    /// The endpoint answered in full.
    Completed {
        /// The endpoint's status after the statement, none if it could not be asked.
        status: Option<Status>,
        /// Whether a transaction is open now.
        in_transaction: bool,
    },
    /// The endpoint refused to write because it is no primary.
    NotPrimary,
    /// The connection was found broken before anything was sent.
    NotSent,
    /// The connection broke or the answer did not come.
    NoAnswer,
}

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// Every slot of the endpoint is taken.
    NoSlot,
    /// The endpoint cannot be reached.
    Unreachable,
}

/// Limits that a service sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections that may be open to one endpoint.
    pub slots: usize,
    /// Longest wait for a replica before a read goes to the primary.
    pub read_wait: Duration,
    /// Time a transaction may sit idle.
    pub idle_in_transaction: Duration,
}

/// Input of an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A statement arrived.
    Submit(Request),
    /// The caller no longer wants the statement.
    Cancel(RequestId),
    /// The session is over.
    EndSession(SessionId),
    /// A connection is open.
    ConnectionOpened(ConnectionId),
    /// A connection could not be opened.
    ConnectionFailed(ConnectionId, OpenError),
    /// An idle or pinned connection broke.
    ConnectionLost(ConnectionId),
    /// A dispatched statement ended.
    StatementFinished(RequestId, ExecutionResult),
    /// An endpoint answered a probe, or did not.
    ProbeAnswered(EndpointIndex, Option<Status>),
    /// Peers have answered; this many reached the primary.
    Votes {
        /// Peers that reached the primary.
        against: usize,
    },
    /// The group object was read.
    GroupRead(Result<Group, GroupError>),
    /// The group object was written, or not.
    GroupWritten(Result<Group, GroupError>),
    /// An endpoint answered the order to close a term.
    FenceAnswered(EndpointIndex, Option<Status>),
    /// An endpoint answered the order to take up a term.
    PromoteAnswered(Option<Status>),
    /// An endpoint is leaving or no longer is.
    Draining(EndpointIndex, bool),
    /// A club's share has changed.
    ClubWeight(ClubId, u32),
    /// The service's limits have changed.
    Limits(Limits),
    /// Another node owns the database now, or no longer: idle connections are not kept.
    Retire(bool),
}

/// Final word on a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint's answer goes to the caller.
    Completed {
        /// What the session has now written or seen.
        floor: Option<Floor>,
        /// Whether a transaction is open.
        in_transaction: bool,
    },
    /// Nothing has run.
    NotRun {
        /// Why.
        code: Code,
        /// When a new attempt is worth it.
        retry_after: Duration,
    },
    /// Something may have run.
    Unknown {
        /// Why.
        code: Code,
    },
}

/// Output of an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a connection.
    OpenConnection(ConnectionId, EndpointIndex),
    /// Close a connection, whatever it is doing.
    CloseConnection(ConnectionId),
    /// Run a statement on a connection and then ask for the endpoint's status.
    Dispatch(RequestId, ConnectionId),
    /// Tell the caller.
    Answer(RequestId, Outcome),
    /// Ask an endpoint for its status.
    Probe(EndpointIndex),
    /// Ask peers in other failure domains whether they reach the primary.
    RequestVotes,
    /// Read the group object.
    ReadGroup,
    /// Write the group object if it still has the given version.
    UpdateGroup(Group),
    /// Order an endpoint to refuse terms below this one.
    FenceTerm {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// The term.
        term: Term,
    },
    /// Order an endpoint to become primary of a term that it has closed.
    Promote {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// The term.
        term: Term,
    },
    /// Order an endpoint to apply the log of a term's primary.
    Follow {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// The term.
        term: Term,
        /// The primary.
        primary: EndpointIndex,
    },
}
