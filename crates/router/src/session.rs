//! Sessions of callers.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::configuration::Route;
use crate::message::{
    Access, Answer, ConnectionId, EndpointId, Position, Request, ServiceName, Statement, Time,
    TransactionState,
};

/// Values that a session has set.
pub type Values = BTreeMap<String, String>;

/// Prepared statement of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreparedStatement {
    /// What it does.
    pub access: Access,
    /// Its text.
    pub shape: String,
}

impl PreparedStatement {
    /// Returns the name under which connections hold it; sessions share it.
    pub fn shared_name(&self) -> String {
        match self.access {
            Access::Read => format!("r{}", self.shape),
            Access::Write => format!("w{}", self.shape),
        }
    }
}

/// Session of a caller.
#[derive(Debug, Default)]
pub struct Session {
    /// Database, once the session has started.
    pub database: Option<String>,
    /// Group of the nodes that serve the session; none if this node does.
    pub serving_group: Option<ServiceName>,
    /// Whether the caller was told that its session is open.
    pub is_accepted: bool,
    /// Values.
    pub values: Values,
    /// Prepared statements by name.
    pub prepared: HashMap<String, PreparedStatement>,
    /// The session's own last commit of each service.
    pub last_commits: HashMap<ServiceName, Position>,
    /// Open or failed transaction.
    pub transaction: Option<Transaction>,
    /// Statement that waits for its answer.
    pub current: Option<Operation>,
    /// Number of the last operation; answers to earlier ones are ignored.
    pub last_serial: u64,
    /// Requests that came while a statement was waiting for its answer.
    pub backlog: VecDeque<Request>,
    /// Last request or answer.
    pub last_active_at: Time,
}

/// Transaction of a session.
#[derive(Debug)]
pub struct Transaction {
    /// Route at its begin.
    pub route: Route,
    /// When its begin was received.
    pub received_at: Time,
    /// When the endpoint had begun it.
    pub opened_at: Option<Time>,
    /// Whether it promises not to write.
    pub is_read_only: bool,
    /// Whether it was begun at a position that replicas may hold.
    pub has_replica_position: bool,
    /// Where it is.
    pub phase: Phase,
    /// Whether a write was sent.
    pub has_written: bool,
    /// Endpoints that refused it, and until when not to ask them.
    pub avoided_endpoints: Vec<(EndpointId, Time)>,
}

/// Phase of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waits for a connection.
    Waiting,
    /// Its begin is on the way.
    Opening(ConnectionId),
    /// Open at the endpoint.
    Open(ConnectionId),
    /// Committed by the endpoint, which has not been confirmed.
    Committed,
    /// Failed; `told` once the caller knows.
    Failed {
        /// Whether the caller has been told.
        is_reported: bool,
    },
}

/// What a statement needs of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// The primary, for a write.
    Primary,
    /// The primary, with proof after the read that it leads.
    ProvenPrimary,
    /// Any endpoint whose log holds the position.
    Position(Position),
    /// The connection of the session's transaction.
    Transaction,
}

/// Statement that waits for its answer.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Number within the session.
    pub serial: u64,
    /// The caller's id.
    pub id: String,
    /// The statement.
    pub statement: Statement,
    /// What it does, for prepared ones too.
    pub access: Option<Access>,
    /// Route by which it is handled.
    pub route: Route,
    /// When it was received.
    pub received_at: Time,
    /// When it is given up.
    pub deadline: Time,
    /// What it needs.
    pub need: Need,
    /// Where it is.
    pub stage: Stage,
    /// Endpoints that refused it, and until when not to ask them.
    pub avoided_endpoints: Vec<(EndpointId, Time)>,
    /// Times it was sent to an endpoint.
    pub attempts: u32,
    /// Answer that waits for proof that the endpoint leads.
    pub unproven_answer: Option<Answer>,
}

/// Where a statement is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not sent, or turned away by an endpoint without effect.
    Waiting,
    /// At an endpoint.
    Sent {
        /// Over this connection.
        connection: ConnectionId,
        /// Since.
        sent_at: Time,
    },
    /// Answered by the primary, waits for evidence that it led.
    Confirming,
}

impl Stage {
    /// Returns its name in logs.
    pub fn label(self) -> &'static str {
        match self {
            Stage::Waiting => "waiting",
            Stage::Sent { .. } => "sent",
            Stage::Confirming => "confirming",
        }
    }
}

impl Operation {
    /// Returns whether `endpoint` is not to be asked now.
    pub fn avoids(&self, endpoint: &EndpointId, now: Time) -> bool {
        self.avoided_endpoints.iter().any(|(id, until)| id == endpoint && now < *until)
    }

    /// Returns whether it may run twice.
    pub fn is_read(&self) -> bool {
        self.access == Some(Access::Read)
    }
}

impl Session {
    /// Returns the state that callers are told.
    pub fn state(&self) -> TransactionState {
        match &self.transaction {
            None => TransactionState::Idle,
            Some(transaction) => match transaction.phase {
                Phase::Failed { .. } => TransactionState::Failed,
                _ => TransactionState::Transaction,
            },
        }
    }

    /// Returns the connection that the session's transaction holds.
    pub fn transaction_connection(&self) -> Option<ConnectionId> {
        match self.transaction.as_ref()?.phase {
            Phase::Opening(connection) | Phase::Open(connection) => Some(connection),
            _ => None,
        }
    }

    /// Returns what the statement does to data; none if it touches none.
    pub fn access_of(&self, statement: &Statement) -> Option<Access> {
        match statement {
            Statement::Read { .. } => Some(Access::Read),
            Statement::Write { .. } => Some(Access::Write),
            Statement::Execute { name, .. } => self.prepared.get(name).map(|found| found.access),
            _ => None,
        }
    }

    /// Raises the position of the session's own commits.
    pub fn raise_last_commit(&mut self, service: &ServiceName, position: Position) {
        let known = self.last_commits.entry(service.clone()).or_insert(position);
        *known = position.max(*known);
    }
}
