//! Model of an endpoint: a replicated log of commits, ordered by term and number.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tamarackbend_router::message::{
    Access, Answer, Command, Fault, Order, Outcome, Position, Role, Statement, Status, Term,
    TransactionState,
};

/// Commit in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Position in the log.
    pub position: Position,
    /// Time of the commit.
    pub committed_at: Duration,
    /// Arguments of the writes: the name of an item and its data, separated by a space.
    pub writes: Vec<String>,
}

/// Values that were set on a connection, by name.
pub type Values = BTreeMap<String, String>;

/// Prepared statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prepared {
    /// Whether the statement reads or writes.
    pub access: Access,
    /// Text of the statement.
    pub text: Rc<str>,
}

/// State of a connection to an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Connection {
    /// Session values.
    pub values: Values,
    /// Prepared statements by name.
    pub prepared: BTreeMap<String, Prepared>,
    transaction: Option<Transaction>,
}

impl Connection {
    /// Returns the read or write that executes a prepared statement, and any other statement as it is.
    /// None if the prepared statement does not exist.
    pub fn resolve(&self, statement: &Statement) -> Option<Statement> {
        let Statement::Execute { name, arguments } = statement else {
            return Some(statement.clone());
        };
        let arguments = arguments.clone();
        Some(match self.prepared.get(name)?.access {
            Access::Read => Statement::Read { arguments },
            Access::Write => Statement::Write { arguments },
        })
    }
}

#[derive(Clone, Debug)]
struct Transaction {
    read_only: bool,
    /// Whether a statement failed, so that the transaction can only be rolled back.
    is_failed: bool,
    term: Term,
    writes: Vec<String>,
}

/// Endpoint that holds a copy of the database.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Role that the endpoint has assumed; a former primary keeps its role until it is demoted.
    pub role: Role,
    /// Newest term of which the endpoint was the primary or that it follows.
    pub term: Term,
    /// Fenced term: the endpoint does not replicate from primaries of lower terms. Zero if
    /// replication is not fenced.
    pub fenced_term: Term,
    /// When the endpoint became the primary of its term; zero if it has never been promoted.
    pub promoted_at: Duration,
    /// Received entries.
    pub log: Vec<Entry>,
    /// Number of log entries that are applied, which makes them visible to reads.
    pub applied_count: usize,
    /// Whether the endpoint's process is running.
    pub is_up: bool,
    /// Time since which the endpoint has reached another primary; none if it reaches none.
    pub reaches_primary_since: Option<Duration>,
    /// Delay between an entry's commit and its application on a replica.
    pub apply_delay: Duration,
}

/// Effect of a command, for the checker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// No effect that is checked.
    Nothing,
    /// A read of the log's first `visible_entries` entries.
    Read {
        /// The client's id of the statement.
        id: String,
        /// Number of entries that the read observed.
        visible_entries: usize,
    },
    /// A commit.
    Commit {
        /// The client's id of the statement.
        id: String,
        /// Entry that was appended to the log.
        entry: Entry,
    },
}

impl Endpoint {
    /// Returns a running endpoint of term 1 with an empty database.
    pub fn new(name: &str, role: Role) -> Endpoint {
        let first = Entry {
            position: Position { term: 1, number: 0 },
            committed_at: Duration::ZERO,
            writes: Vec::new(),
        };
        Endpoint {
            name: name.to_owned(),
            role,
            term: 1,
            fenced_term: 0,
            promoted_at: Duration::ZERO,
            log: vec![first],
            applied_count: 1,
            is_up: true,
            reaches_primary_since: None,
            apply_delay: Duration::from_millis(20),
        }
    }

    /// Returns the position of the last received entry.
    pub fn received_position(&self) -> Position {
        self.log[self.log.len() - 1].position
    }

    /// Returns the position of the last applied entry.
    pub fn applied_position(&self) -> Position {
        self.log[self.applied_count - 1].position
    }

    /// Makes this endpoint the primary of `term` and applies all entries that it has received.
    pub fn promote(&mut self, term: Term, now: Duration) {
        self.promoted_at = now;
        self.role = Role::Primary;
        self.term = term;
        self.fenced_term = 0;
        self.applied_count = self.log.len();
    }

    /// Replicates the log of `primary`, unless its term is fenced or lower than this endpoint's.
    ///
    /// When the primary's term is higher, entries that the primary does not have are removed first.
    pub fn replicate_from(&mut self, primary: &Endpoint, now: Duration) {
        if self.fenced_term > primary.term || primary.term < self.term {
            return;
        }
        if primary.term > self.term {
            let common_count =
                self.log.iter().zip(&primary.log).take_while(|(a, b)| a == b).count();
            self.log.truncate(common_count);
            self.applied_count = self.applied_count.min(common_count);
            self.term = primary.term;
            self.role = Role::Replica;
        }
        for entry in &primary.log[self.log.len().min(primary.log.len())..] {
            self.log.push(entry.clone());
        }
        while self.applied_count < self.log.len()
            && self.log[self.applied_count].committed_at + self.apply_delay <= now
        {
            self.applied_count += 1;
        }
    }

    /// Executes a command that arrived on `connection`.
    pub fn execute(
        &mut self,
        connection: &mut Connection,
        command: &Command,
        now: Duration,
    ) -> (Answer, Effect) {
        let id = command.id.clone().unwrap_or_default();
        if command.min_position.is_some_and(|min_position| self.applied_position() < min_position) {
            return (self.error(connection, Fault::Lagging), Effect::Nothing);
        }
        match &command.order {
            Order::Statement(statement) => self.execute_statement(connection, &id, statement, now),
            Order::Reset => {
                connection.values.clear();
                connection.prepared.clear();
                (self.completion(connection), Effect::Nothing)
            }
            Order::Status => (self.status_answer(connection), Effect::Nothing),
            Order::FenceTerm(term) => {
                if *term > self.term && self.role == Role::Replica {
                    self.fenced_term = *term;
                }
                (self.status_answer(connection), Effect::Nothing)
            }
            Order::ResumeReplication => {
                self.fenced_term = 0;
                (self.status_answer(connection), Effect::Nothing)
            }
            Order::Demote(term) => {
                if *term > self.term && self.role == Role::Primary {
                    self.role = Role::Replica;
                }
                (self.status_answer(connection), Effect::Nothing)
            }
        }
    }

    fn execute_statement(
        &mut self,
        connection: &mut Connection,
        id: &str,
        statement: &Statement,
        now: Duration,
    ) -> (Answer, Effect) {
        if connection.transaction.as_ref().is_some_and(|transaction| transaction.is_failed) {
            return (self.execute_in_failed_transaction(connection, statement), Effect::Nothing);
        }
        let is_primary = self.role == Role::Primary;
        let Some(statement) = &connection.resolve(statement) else {
            return (self.error(connection, Fault::NoStatement), Effect::Nothing);
        };
        if let Some(transaction) = &connection.transaction
            && !transaction.read_only
            && (!is_primary || transaction.term != self.term)
            && *statement != Statement::Rollback
        {
            let is_empty_commit = *statement == Statement::Commit && transaction.writes.is_empty();
            if !is_empty_commit {
                return (self.error(connection, Fault::ReadOnly), Effect::Nothing);
            }
        }
        match statement {
            Statement::Begin { read_only } => {
                if !read_only && !is_primary {
                    return (self.error(connection, Fault::ReadOnly), Effect::Nothing);
                }
                connection.transaction = Some(Transaction {
                    read_only: *read_only,
                    is_failed: false,
                    term: self.term,
                    writes: Vec::new(),
                });
                (self.completion(connection), Effect::Nothing)
            }
            Statement::Rollback => {
                connection.transaction = None;
                (self.completion(connection), Effect::Nothing)
            }
            Statement::Commit => {
                let writes = connection.transaction.take().map(|transaction| transaction.writes);
                match writes.filter(|writes| !writes.is_empty()) {
                    Some(writes) => self.commit(connection, id, writes, now),
                    None => (self.completion(connection), Effect::Nothing),
                }
            }
            Statement::Write { arguments } => match &mut connection.transaction {
                Some(transaction) => {
                    transaction.writes.push(arguments.clone());
                    (self.completion(connection), Effect::Nothing)
                }
                None if !is_primary => (self.error(connection, Fault::ReadOnly), Effect::Nothing),
                None => self.commit(connection, id, vec![arguments.clone()], now),
            },
            Statement::Read { arguments } => {
                let read = Effect::Read { id: id.to_owned(), visible_entries: self.applied_count };
                let mut answer = self.completion(connection);
                answer.rows = vec![self.read_item(arguments).to_owned()];
                (answer, read)
            }
            Statement::Set { name, value } => {
                connection.values.insert(name.clone(), value.clone());
                (self.completion(connection), Effect::Nothing)
            }
            Statement::Prepare { name, access, shape } => {
                let prepared = Prepared { access: *access, text: shape.as_str().into() };
                connection.prepared.insert(name.clone(), prepared);
                (self.completion(connection), Effect::Nothing)
            }
            Statement::Close { name } => {
                connection.prepared.remove(name);
                (self.completion(connection), Effect::Nothing)
            }
            Statement::Execute { .. } => {
                (self.error(connection, Fault::NoStatement), Effect::Nothing)
            }
        }
    }

    /// Ends a failed transaction, which rolls it back, and refuses all other statements.
    fn execute_in_failed_transaction(
        &self,
        connection: &mut Connection,
        statement: &Statement,
    ) -> Answer {
        match statement {
            Statement::Rollback => {
                connection.transaction = None;
                self.completion(connection)
            }
            Statement::Commit => {
                connection.transaction = None;
                self.error(connection, Fault::Aborted)
            }
            _ => self.error(connection, Fault::Malformed),
        }
    }

    /// Returns the data of an item according to the applied entries.
    fn read_item(&self, item: &str) -> &str {
        let writes = self.log[..self.applied_count].iter().rev().flat_map(|entry| &entry.writes);
        let mut data = writes.filter_map(|write| write.split_once(' '));
        data.find(|(name, _)| *name == item).map_or("none", |(_, data)| data)
    }

    fn commit(
        &mut self,
        connection: &Connection,
        id: &str,
        writes: Vec<String>,
        now: Duration,
    ) -> (Answer, Effect) {
        let number = self.received_position().number + 1;
        let entry =
            Entry { position: Position { term: self.term, number }, committed_at: now, writes };
        self.log.push(entry.clone());
        self.applied_count = self.log.len();
        (self.completion(connection), Effect::Commit { id: id.to_owned(), entry })
    }

    fn completion(&self, connection: &Connection) -> Answer {
        self.answer(connection, Outcome::Complete(Some("proof".to_owned())))
    }

    /// Returns the answer to a command that is not run, and fails the open transaction.
    pub fn error(&self, connection: &mut Connection, fault: Fault) -> Answer {
        if let Some(transaction) = &mut connection.transaction {
            transaction.is_failed = true;
        }
        self.answer(connection, Outcome::Error { fault, text: String::new() })
    }

    fn answer(&self, connection: &Connection, outcome: Outcome) -> Answer {
        let state = match &connection.transaction {
            Some(transaction) if transaction.is_failed => TransactionState::Failed,
            Some(_) => TransactionState::Transaction,
            None => TransactionState::Idle,
        };
        Answer {
            rows: Vec::new(),
            outcome,
            state,
            position: Some(self.applied_position()),
            status: None,
        }
    }

    fn status_answer(&self, connection: &Connection) -> Answer {
        let mut answer = self.completion(connection);
        answer.status = Some(Status {
            role: self.role,
            term: self.term,
            received: self.received_position(),
            fenced_term: self.fenced_term,
            lag: self.apply_delay,
            running_statements: 0,
            connections: 0,
        });
        answer
    }
}
