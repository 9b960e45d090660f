//! Events that an owner handles and actions that an owner requests.

use std::time::Duration;

use crate::code::Code;
use crate::failover::{Group, GroupError};
use crate::position::{EndpointIndex, Floor, Status, Term};
use crate::queue::ClubId;
use crate::session::Freshness;

/// Id of a connection to an endpoint, unique within one owner.
pub type ConnectionId = u64;
/// Id of a request, unique within one owner.
pub type RequestId = u64;
/// Id of a client's session, unique across nodes.
pub type SessionId = u64;
/// Number of a statement within its session, ascending.
pub type StatementNumber = u64;

/// Kind of endpoint that a statement needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Only reads, for certain; runs on any endpoint that is fresh enough.
    Read,
    /// Possibly writes; runs on the primary.
    Write,
}

/// Request to run one statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id of the request in later events and actions.
    pub id: RequestId,
    /// Session that sent the statement.
    pub session: SessionId,
    /// Number of the statement in the session.
    pub statement_number: StatementNumber,
    /// Club to which the slot time is charged.
    pub club: ClubId,
    /// Kind of endpoint that the statement needs.
    pub access: Access,
    /// Required freshness. For a write, the floor ensures that the transaction's reads observe
    /// nothing older.
    pub freshness: Freshness,
    /// Maximum age of data that the client accepts.
    pub max_age: Option<Duration>,
    /// Whether the session has an open transaction, as far as it knows.
    pub in_transaction: bool,
    /// Whether the statement begins a transaction.
    pub begins_transaction: bool,
    /// Time after which the statement is not started.
    pub deadline: Duration,
}

/// Result of a dispatched statement, as the connection observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The endpoint answered in full.
    Completed {
        /// Status of the endpoint after the statement; none if the status query failed.
        status: Option<Status>,
        /// Whether the connection has an open transaction after the statement.
        in_transaction: bool,
    },
    /// The endpoint refused the write because it is not the primary.
    NotPrimary,
    /// The connection was broken before the statement was sent.
    NotSent,
    /// The statement was sent, and the connection broke or the answer timed out.
    NoAnswer,
}

/// Reason why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// Every slot of the endpoint is in use.
    NoSlot,
    /// The endpoint cannot be reached.
    Unreachable,
}

/// Limits that the configuration of a service sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of open connections to one endpoint.
    pub slots: usize,
    /// Maximum time that a read waits for a replica before it goes to the primary.
    pub read_wait: Duration,
    /// Maximum time that a transaction may be idle.
    pub idle_in_transaction: Duration,
}

/// Event that an owner handles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The timer has fired.
    Tick,
    /// A request arrived.
    Submit(Request),
    /// The client canceled the request.
    Cancel(RequestId),
    /// The session ended.
    EndSession(SessionId),
    /// A connection was opened.
    ConnectionOpened(ConnectionId),
    /// A connection could not be opened.
    ConnectionFailed(ConnectionId, OpenError),
    /// A connection without a running statement broke.
    ConnectionLost(ConnectionId),
    /// A dispatched statement ended.
    StatementFinished(RequestId, Execution),
    /// An endpoint answered a probe; no status if the probe failed or timed out.
    ProbeAnswered(EndpointIndex, Option<Status>),
    /// Peers answered whether they reach the primary.
    Votes {
        /// Number of peers that reach the primary and so vote against a failover.
        against: usize,
    },
    /// A read of the group object ended.
    GroupRead(Result<Group, GroupError>),
    /// An update of the group object ended.
    GroupWritten(Result<Group, GroupError>),
    /// An endpoint answered a fence order; no status if the order failed or timed out.
    FenceAnswered(EndpointIndex, Option<Status>),
    /// The candidate answered a promote order; no status if the order failed or timed out.
    PromoteAnswered(Option<Status>),
    /// An endpoint started draining (true) or stopped draining (false).
    Draining(EndpointIndex, bool),
    /// A club's weight changed.
    ClubWeight(ClubId, u32),
    /// The service's limits changed.
    Limits(Limits),
    /// Another node became the owner of the database (true) or ceased to be the owner (false).
    /// A retired owner returns its waiting statements and keeps no idle connections.
    Retire(bool),
}

/// Outcome of a request, as told to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint's answer is passed to the client.
    Completed {
        /// Position that the session wrote or observed; none within a transaction.
        floor: Option<Floor>,
        /// Whether the session has an open transaction.
        in_transaction: bool,
    },
    /// The statement had no effect.
    NotRun {
        /// Reason.
        code: Code,
        /// Suggested delay before the client sends the statement again.
        retry_after: Duration,
    },
    /// The statement may or may not have run.
    Unknown {
        /// Reason.
        code: Code,
    },
}

/// Action that an owner requests from the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a connection.
    OpenConnection(ConnectionId, EndpointIndex),
    /// Close a connection, even if a statement is running on it.
    CloseConnection(ConnectionId),
    /// Run a statement on a connection, followed by a query of the endpoint's status.
    Dispatch(RequestId, ConnectionId),
    /// Report the outcome of a request to the client.
    Answer(RequestId, Outcome),
    /// Query the status of an endpoint.
    Probe(EndpointIndex),
    /// Ask peers in other failure domains whether they reach the primary.
    RequestVotes,
    /// Read the group object.
    ReadGroup,
    /// Update the group object if it still has the version given in `Group`.
    UpdateGroup(Group),
    /// Order an endpoint to refuse orders and confirmations of terms below `term`.
    FenceTerm {
        /// Endpoint to fence.
        endpoint: EndpointIndex,
        /// Lowest term that the endpoint still accepts.
        term: Term,
    },
    /// Order an endpoint to become primary of the term at which it is fenced.
    Promote {
        /// Endpoint to promote.
        endpoint: EndpointIndex,
        /// Term of which the endpoint becomes primary.
        term: Term,
    },
    /// Order an endpoint to apply the log of a term's primary.
    Follow {
        /// Endpoint that becomes a replica.
        endpoint: EndpointIndex,
        /// Term whose log the endpoint applies.
        term: Term,
        /// Primary of `term`.
        primary: EndpointIndex,
    },
}
