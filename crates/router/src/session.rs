//! Sessions of clients, with their transactions and statements.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

use crate::configuration::Route;
use crate::customer::{CustomerName, KeyDigest};
use crate::message::{
    Access, Answer, ConnectionId, EndpointId, Introduction, Outcome, Position, Request,
    ServiceName, Statement, Time, TransactionState,
};

/// Values that a session has set.
pub type Values = BTreeMap<String, String>;

/// Prepared statement of a session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PreparedStatement {
    /// Whether the statement reads or writes.
    pub access: Access,
    /// Text of the statement.
    pub shape: String,
}

/// Time after the start of a session within which a first request was ready before the start.
const FIRST_REQUEST_DELAY: Time = Time::from_millis(50);

/// Session of a client.
#[derive(Debug, Default)]
pub struct Session {
    /// Database, once the session has started.
    pub database: Option<String>,
    /// Customer of the client, if this node serves the session and clients are identified.
    pub customer: Option<CustomerName>,
    /// Digest of the client's key, if clients are identified.
    pub key: Option<KeyDigest>,
    /// Whether the client's key was revoked.
    pub is_revoked: bool,
    /// Whether the session is a channel that another node opened; this node then serves it.
    pub is_channel: bool,
    /// What the node that opened the channel knows.
    pub introduction: Introduction,
    /// Group of the poolers that serve the session; none if this node serves it.
    pub serving_group: Option<ServiceName>,
    /// When the client asked for the session.
    pub requested_at: Time,
    /// Whether the client was told that the session is open.
    pub is_accepted: bool,
    /// When the client was told so.
    pub accepted_at: Time,
    /// Values that the session has set.
    pub values: Values,
    /// Prepared statements by name.
    pub prepared: HashMap<String, Rc<PreparedStatement>>,
    /// Position of the session's last commit in each service.
    pub last_commits: HashMap<ServiceName, Position>,
    /// Open or failed transaction.
    pub transaction: Option<Transaction>,
    /// Statement in progress.
    pub current: Option<Operation>,
    /// Serial number of the last operation; answers to earlier operations are ignored.
    pub last_serial: u64,
    /// Requests that arrived while a statement was in progress.
    pub backlog: VecDeque<Request>,
    /// Time of the last request or answer.
    pub last_active_at: Time,
}

/// Transaction of a session.
#[derive(Debug)]
pub struct Transaction {
    /// Route when the transaction began.
    pub route: Route,
    /// When the begin was received.
    pub received_at: Time,
    /// Since when the client has waited, which orders waiting work.
    pub waiting_since: Time,
    /// When the endpoint's answer to the begin was received.
    pub opened_at: Option<Time>,
    /// Whether the transaction must not write.
    pub is_read_only: bool,
    /// Floor at which the transaction began: any endpoint that has applied the floor may serve the
    /// transaction, and its answers need no evidence. None if only the primary may serve it.
    pub floor: Option<Position>,
    /// Current phase.
    pub phase: Phase,
    /// Whether a write was sent in the transaction.
    pub has_written: bool,
    /// Refusal by the node that serves the transaction, which the client has not been told.
    pub refusal: Option<Outcome>,
    /// Endpoints that refused the begin, and until when they are avoided.
    pub avoided_endpoints: Vec<(EndpointId, Time)>,
}

/// Phase of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waits for a connection.
    Waiting,
    /// The begin was sent over the connection and not answered yet.
    Opening(ConnectionId),
    /// Open on the connection.
    Open(ConnectionId),
    /// Committed by the endpoint; the commit is not confirmed yet.
    Committed,
    /// Failed; only the client can end the transaction.
    Failed {
        /// Whether the failure was reported to the client.
        is_reported: bool,
    },
}

/// Requirement of a statement on the endpoint that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// The primary, for a write.
    Primary,
    /// The primary, with proof after the read that the endpoint was still the primary.
    ProvenPrimary,
    /// Any endpoint that has applied its log up to the position.
    Position(Position),
    /// The connection on which the session's transaction is open.
    Transaction,
}

/// Statement in progress.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Serial number within the session.
    pub serial: u64,
    /// Identifier that the client gave the statement.
    pub id: String,
    /// The statement.
    pub statement: Statement,
    /// The prepared statement that the statement executes, if any.
    pub prepared: Option<Rc<PreparedStatement>>,
    /// Whether the statement reads or writes, also for prepared statements; none for a commit.
    pub access: Option<Access>,
    /// Route of the statement.
    pub route: Route,
    /// When the statement was received.
    pub received_at: Time,
    /// Since when the client has waited, which orders waiting work.
    pub waiting_since: Time,
    /// When the statement times out.
    pub deadline: Time,
    /// Requirement on the endpoint.
    pub need: Need,
    /// Current stage.
    pub stage: Stage,
    /// Endpoints that refused or failed the statement, and until when they are avoided.
    pub avoided_endpoints: Vec<(EndpointId, Time)>,
    /// Number of times that the statement was sent to an endpoint.
    pub attempts: u32,
    /// Endpoint at which the answer was overdue, so that the statement was sent to another one.
    pub overdue_at: Option<EndpointId>,
    /// Answer that waits for proof that the endpoint is still the primary.
    pub unproven_answer: Option<Answer>,
}

/// Stage of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not sent, or refused by an endpoint without effect.
    Waiting,
    /// Sent to an endpoint.
    Sent {
        /// Connection over which the statement was sent.
        connection: ConnectionId,
        /// When the statement was sent.
        sent_at: Time,
    },
    /// Answered by an endpoint; waits for evidence that the endpoint was the primary.
    Confirming,
}

impl Stage {
    /// Returns the name of the stage in logs.
    pub fn label(self) -> &'static str {
        match self {
            Stage::Waiting => "waiting",
            Stage::Sent { .. } => "sent",
            Stage::Confirming => "confirming",
        }
    }
}

impl Operation {
    /// Returns whether `endpoint` is avoided at `now`.
    pub fn avoids(&self, endpoint: &EndpointId, now: Time) -> bool {
        self.avoided_endpoints.iter().any(|(id, until)| id == endpoint && now < *until)
    }

    /// Returns whether the statement only reads, so that it may safely run twice.
    pub fn is_read(&self) -> bool {
        self.access == Some(Access::Read)
    }
}

impl Session {
    /// Returns a session that was opened at `now`.
    pub fn new(now: Time) -> Session {
        Session { last_active_at: now, ..Session::default() }
    }

    /// Marks the session as a channel of another node, which knows what `introduction` says.
    pub fn with_channel(mut self, introduction: Introduction) -> Session {
        self.is_channel = true;
        self.introduction = introduction;
        self
    }

    /// Returns since when the client has waited for a request that is received at `now`. The first request
    /// that follows the start of the session at once has waited since the client asked for the session.
    pub fn waiting_since(&self, now: Time) -> Time {
        let follows_start = self.last_serial == 0 && now < self.accepted_at + FIRST_REQUEST_DELAY;
        if follows_start && !self.is_channel { self.requested_at } else { now }
    }

    /// Returns the transaction state that the client is told.
    pub fn state(&self) -> TransactionState {
        match &self.transaction {
            None => TransactionState::Idle,
            Some(transaction) => match transaction.phase {
                Phase::Failed { .. } => TransactionState::Failed,
                _ => TransactionState::Transaction,
            },
        }
    }

    /// Returns the connection of the session's transaction.
    pub fn transaction_connection(&self) -> Option<ConnectionId> {
        match self.transaction.as_ref()?.phase {
            Phase::Opening(connection) | Phase::Open(connection) => Some(connection),
            _ => None,
        }
    }

    /// Returns whether no statement and no transaction is open.
    pub fn is_idle(&self) -> bool {
        self.current.is_none() && self.transaction.is_none()
    }

    /// Returns whether the current statement waits to be sent, and no statement of its transaction was
    /// sent either.
    pub fn has_unsent_statement(&self) -> bool {
        let is_waiting =
            self.current.as_ref().is_some_and(|operation| operation.stage == Stage::Waiting);
        is_waiting && self.transaction_connection().is_none()
    }

    /// Returns the prepared statement that `statement` executes; none if it executes none or an unknown one.
    pub fn prepared_statement(&self, statement: &Statement) -> Option<Rc<PreparedStatement>> {
        match statement {
            Statement::Execute { name, .. } => self.prepared.get(name).cloned(),
            _ => None,
        }
    }

    /// Returns whether `statement` reads or writes; none if it accesses no data, or executes an
    /// unknown prepared statement.
    pub fn access_of(&self, statement: &Statement) -> Option<Access> {
        match statement {
            Statement::Read { .. } => Some(Access::Read),
            Statement::Write { .. } => Some(Access::Write),
            _ => self.prepared_statement(statement).map(|prepared| prepared.access),
        }
    }

    /// Raises the position of the session's last commit in `service` to `position`.
    pub fn raise_last_commit(&mut self, service: &ServiceName, position: Position) {
        let last_commit = self.last_commits.entry(service.clone()).or_insert(position);
        *last_commit = position.max(*last_commit);
    }
}
