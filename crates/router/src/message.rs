//! Messages that the router exchanges with clients and endpoints.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use tamarackbend_policy::code;
pub use tamarackbend_policy::position::{Role, Term};

use crate::customer::{CustomerName, KeyDigest};

/// Time since the VM's start, suspension included.
pub type Time = Duration;
/// Identifies a client's session on this node.
pub type SessionId = u64;
/// Identifies a connection of this node to an endpoint.
pub type ConnectionId = u64;
/// Name of a group of endpoints that hold one database.
pub type ServiceName = Rc<str>;
/// Name of an endpoint, unique during the endpoint's lifetime.
pub type EndpointId = Rc<str>;

/// Position in the log of a database; positions of later terms order after those of earlier terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Term of the log entry.
    pub term: Term,
    /// Number of the log entry.
    pub number: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.term, self.number)
    }
}

/// What a node knows of the configuration and of a channel's customer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Introduction {
    /// Highest version of the configuration that the node has or was told of; zero if none.
    pub version: u64,
    /// Customer that the channel's key belongs to, if known.
    pub customer: Option<CustomerName>,
}

/// Whether a statement reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Access {
    /// The statement only reads.
    Read,
    /// The statement writes.
    Write,
}

/// Statement of a session; arguments are passed on unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction must not write.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls back the transaction.
    Rollback,
    /// Reads.
    Read {
        /// Arguments.
        arguments: String,
    },
    /// Writes.
    Write {
        /// Arguments.
        arguments: String,
    },
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement.
    Prepare {
        /// Name within the session.
        name: String,
        /// Whether the statement reads or writes.
        access: Access,
        /// Text of the statement.
        shape: String,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name of the prepared statement.
        name: String,
        /// Arguments.
        arguments: String,
    },
    /// Deallocates a prepared statement.
    Close {
        /// Name within the session.
        name: String,
    },
}

impl Statement {
    /// Returns the name of the statement's kind in logs.
    pub fn label(&self) -> &'static str {
        match self {
            Statement::Begin { .. } => "begin",
            Statement::Commit => "commit",
            Statement::Rollback => "rollback",
            Statement::Read { .. } => "read",
            Statement::Write { .. } => "write",
            Statement::Set { .. } => "set",
            Statement::Prepare { .. } => "prepare",
            Statement::Execute { .. } => "execute",
            Statement::Close { .. } => "close",
        }
    }
}

/// Message of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Opens the session.
    Start {
        /// Database to use.
        database: String,
        /// Digest of the client's key.
        key: Option<KeyDigest>,
    },
    /// Runs a statement.
    Statement {
        /// Identifier that the client gave the statement.
        id: String,
        /// The statement.
        statement: Statement,
        /// Floor of the session: its last commit, as reported by the node that passed the statement
        /// on.
        floor: Option<Position>,
    },
    /// Clears session values and prepared statements.
    Reset,
    /// Message that cannot be parsed.
    Malformed {
        /// Identifier of the statement, if it could be parsed.
        id: Option<String>,
        /// Why the message cannot be parsed.
        reason: String,
    },
    /// Message that is too large, or a statement that would be too large for endpoints.
    TooBig {
        /// Identifier of the statement, if the message was parsed.
        id: Option<String>,
    },
    /// Ends the session.
    End,
}

/// Command to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// Identifier that the client gave the statement; none for the router's own commands.
    pub id: Option<String>,
    /// Position that the endpoint must have applied to run the command.
    pub min_position: Option<Position>,
    /// What the endpoint is to do.
    pub order: Order,
}

/// What a command asks an endpoint to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Run a statement.
    Statement(Statement),
    /// Clear session values and prepared statements.
    Reset,
    /// Report the endpoint's status.
    Status,
    /// Refuse the log of any term below this one.
    FenceTerm(Term),
    /// Remove the fenced term and replicate again.
    ResumeReplication,
    /// Stop being primary of any term below this one.
    Demote(Term),
}

impl Command {
    /// Returns a command of the router itself.
    pub fn new(order: Order) -> Command {
        Command { id: None, min_position: None, order }
    }

    /// Sets the identifier that the client gave the statement.
    pub fn with_id(mut self, id: &str) -> Command {
        self.id = Some(id.to_owned());
        self
    }

    /// Sets the position that the endpoint must have applied to run the command.
    pub fn with_min_position(mut self, min_position: Option<Position>) -> Command {
        self.min_position = min_position;
        self
    }
}

/// Transaction state of a session after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Transaction,
    /// The transaction failed and must be ended.
    Failed,
}

/// Kind of an error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Not run: the endpoint is overloaded or unavailable.
    Busy,
    /// Not run: the endpoint has not applied the required position.
    Lagging,
    /// Not run: the endpoint is not the primary.
    ReadOnly,
    /// Not run: the statement reached the wrong endpoint.
    Misrouted,
    /// Not run: the customer is over its limit. Another endpoint would refuse it as well.
    OverLimit,
    /// Not run: too many connections.
    TooMany,
    /// Not run: the prepared statement does not exist.
    NoStatement,
    /// Ran and failed.
    Failed,
    /// Ran, or may have run, for longer than the time limit.
    Timeout,
    /// The database is not configured.
    NoDatabase,
    /// The client's key is not known.
    Unauthorized,
    /// The message is too large.
    TooBig,
    /// The message cannot be parsed, or is not allowed in the session's state.
    Malformed,
    /// The transaction has failed; none of its writes are kept.
    Aborted,
    /// The statement or commit may or may not have taken effect.
    InDoubt,
    /// Another error, by the endpoint's word for it.
    Other(String),
}

/// Outcome of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The statement ran. Holds the endpoint's proof, or none if the router answered itself.
    Complete(Option<String>),
    /// The statement failed.
    Error {
        /// Kind of the error.
        fault: Fault,
        /// Human-readable text.
        text: String,
    },
}

impl Outcome {
    /// Returns an error whose text contains `code` and the delay before a retry, if any.
    pub fn refusal(fault: Fault, code: code::Code, retry_after: Option<Duration>) -> Outcome {
        let mut text = format!("T{} {code}", code as u16);
        if let Some(delay) = retry_after {
            text.push_str(&format!("; retry after {} ms", delay.as_millis()));
        }
        Outcome::Error { fault, text }
    }

    /// Returns the kind of the error, or none if the statement ran.
    pub fn fault(&self) -> Option<&Fault> {
        match self {
            Outcome::Complete(_) => None,
            Outcome::Error { fault, .. } => Some(fault),
        }
    }
}

/// Answer to one command of the router, or to a client's statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Rows, unchanged.
    pub rows: Vec<String>,
    /// Outcome of the statement.
    pub outcome: Outcome,
    /// Transaction state of the session.
    pub state: TransactionState,
    /// End of the endpoint's applied log.
    pub position: Option<Position>,
    /// Status of the endpoint, if the command requested it.
    pub status: Option<Status>,
}

/// Status that an endpoint reports.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Role that the endpoint claims.
    pub role: Role,
    /// Term of the endpoint.
    pub term: Term,
    /// End of the received log.
    pub received: Position,
    /// Fenced term: the endpoint refuses the log of lower terms; zero if no term is fenced.
    pub fenced_term: Term,
    /// Delay with which the endpoint applies its log.
    pub lag: Duration,
    /// Statements that the endpoint is running.
    pub running_statements: u32,
    /// Open connections of all nodes to the endpoint.
    pub connections: u32,
}

/// Prints the field names that logs show; they differ from those of the struct.
impl fmt::Debug for Status {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Status")
            .field("role", &self.role)
            .field("term", &self.term)
            .field("received", &self.received)
            .field("held", &self.fenced_term)
            .field("lag", &self.lag)
            .field("busy", &self.running_statements)
            .field("connections", &self.connections)
            .finish()
    }
}
