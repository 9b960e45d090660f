//! Messages of callers and endpoints, as the router sees them.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use tamarackbend_policy::code;
pub use tamarackbend_policy::position::{Role, Term};

/// Time since the VM's start, suspension included.
pub type Time = Duration;
/// A caller's connection.
pub type SessionId = u64;
/// A connection to an endpoint.
pub type ConnectionId = u64;
/// Name of a group of endpoints that hold one database.
pub type ServiceName = Rc<str>;
/// Name of an endpoint, unique for its lifetime.
pub type EndpointId = Rc<str>;

/// Point in the log of a database; later terms order after earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Term of the entry.
    pub term: Term,
    /// Number of the entry.
    pub number: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.term, self.number)
    }
}

/// What a prepared statement does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Access {
    /// Reads only.
    Read,
    /// Writes.
    Write,
}

/// Statement of a session. Arguments are passed on as they came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether it promises not to write.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
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
        /// What it does.
        access: Access,
        /// Its text.
        shape: String,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name of the prepared statement.
        name: String,
        /// Arguments.
        arguments: String,
    },
    /// Forgets a prepared statement.
    Close {
        /// Name within the session.
        name: String,
    },
}

impl Statement {
    /// Returns the name of its kind in logs.
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

/// Message of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Opens the session.
    Start {
        /// Database to use.
        database: String,
    },
    /// Runs a statement.
    Statement {
        /// The caller's id of the statement.
        id: String,
        /// The statement.
        statement: Statement,
        /// The session's own last commit, where another node knows it.
        floor: Option<Position>,
    },
    /// Forgets values and prepared statements.
    Reset,
    /// Message that cannot be understood.
    Malformed {
        /// Id of the statement, if it could be read.
        id: Option<String>,
        /// What is wrong.
        reason: String,
    },
    /// Ends the session.
    End,
}

/// Message to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The caller's id; none for the router's own commands.
    pub id: Option<String>,
    /// Position that the endpoint must have applied to run it.
    pub min_position: Option<Position>,
    /// What to do.
    pub order: Order,
}

/// What an endpoint is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Run a statement.
    Statement(Statement),
    /// Clear session values and prepared statements.
    Reset,
    /// Report its status.
    Status,
    /// Stop replication of terms below this one.
    FenceTerm(Term),
    /// Replicate again.
    ResumeReplication,
    /// Give up the lead of any term below this one.
    Demote(Term),
}

impl Command {
    /// Returns a command of the router itself.
    pub fn new(order: Order) -> Command {
        Command { id: None, min_position: None, order }
    }

    /// Returns the command on behalf of a caller's statement.
    pub fn with_id(mut self, id: &str) -> Command {
        self.id = Some(id.to_owned());
        self
    }

    /// Returns the command bound to a log that holds `after`.
    pub fn with_min_position(mut self, after: Option<Position>) -> Command {
        self.min_position = after;
        self
    }
}

/// State of a session after an answer.
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
    /// Not run: overloaded or unavailable.
    Busy,
    /// Not run: the endpoint's log lacks the position asked for.
    Lagging,
    /// Not run: the endpoint does not lead.
    ReadOnly,
    /// Not run: the endpoint is another one.
    Misrouted,
    /// Not run: too many connections.
    TooMany,
    /// Not run: the prepared statement is not known.
    NoStatement,
    /// Ran and failed.
    Failed,
    /// Ran, or may have run, for too long.
    Timeout,
    /// The database is not configured.
    NoDatabase,
    /// The message is too large.
    TooBig,
    /// The message cannot be understood or is not allowed now.
    Malformed,
    /// Nothing of the transaction is kept.
    Aborted,
    /// The outcome is unknown.
    InDoubt,
    /// Another code.
    Other(String),
}

/// Outcome of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran; holds the endpoint's proof of it, none where the router answered itself.
    Complete(Option<String>),
    /// It failed.
    Error {
        /// Kind.
        fault: Fault,
        /// Text for people.
        text: String,
    },
}

impl Outcome {
    /// Returns an error whose text names `code` and says when to try again.
    pub fn refusal(fault: Fault, code: code::Code, retry_after: Option<Duration>) -> Outcome {
        let mut text = format!("T{} {code}", code as u16);
        if let Some(wait) = retry_after {
            text.push_str(&format!("; retry after {} ms", wait.as_millis()));
        }
        Outcome::Error { fault, text }
    }

    /// Returns the kind of error, if it is one.
    pub fn fault(&self) -> Option<&Fault> {
        match self {
            Outcome::Complete(_) => None,
            Outcome::Error { fault, .. } => Some(fault),
        }
    }
}

/// Answer of an endpoint to one command, or to a caller's statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Rows, as they came.
    pub rows: Vec<String>,
    /// Outcome.
    pub outcome: Outcome,
    /// State of the session.
    pub state: TransactionState,
    /// End of the endpoint's applied log.
    pub position: Option<Position>,
    /// Status, where one was asked for.
    pub status: Option<Status>,
}

/// What an endpoint reports of itself.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Part it believes to play.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// End of the log that it has received.
    pub received: Position,
    /// Term for which replication is paused; zero if it isn't.
    pub fenced_term: Term,
    /// How far its applied log is behind.
    pub lag: Duration,
    /// Statements it is running.
    pub running_statements: u32,
    /// Connections that it holds, of all nodes.
    pub connections: u32,
}

/// Prints the field names that logs show.
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
