//! Endpoints: a replicated log with terms.

use std::time::Duration;

use tamarackbend_router::message::{
    Answer, Command, Fault, Order, Outcome, Position, Role, Statement, Status, Term,
    TransactionState,
};

/// Commit in a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Where it is.
    pub position: Position,
    /// When it was made.
    pub at: Duration,
    /// Arguments of its writes: an item and its data.
    pub writes: Vec<String>,
}

/// Connection as the endpoint sees it.
#[derive(Clone, Debug, Default)]
pub struct Conversation {
    transaction: Option<Transaction>,
}

#[derive(Clone, Debug)]
struct Transaction {
    read_only: bool,
    term: Term,
    writes: Vec<String>,
}

/// Endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name.
    pub name: String,
    /// Part it believes to play.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// Term for which replication is paused; zero if it isn't.
    pub held: Term,
    /// What it has received.
    pub log: Vec<Entry>,
    /// Entries of the log that are visible to reads.
    pub applied: usize,
    /// Whether it runs.
    pub is_up: bool,
    /// Since when it reaches another primary.
    pub meets: Option<Duration>,
    /// Delay until a received entry is applied.
    pub lag: Duration,
}

/// What a command did, for the checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing that is checked.
    Nothing,
    /// A read that saw the first `holds` entries of the log.
    Read {
        /// The caller's id.
        id: String,
        /// Number of entries.
        holds: usize,
    },
    /// A commit.
    Commit {
        /// The caller's id.
        id: String,
        /// What was added to the log.
        entry: Entry,
    },
}

impl Endpoint {
    /// Returns an endpoint with an empty database.
    pub fn new(name: &str, role: Role) -> Endpoint {
        let first = Entry {
            position: Position { term: 1, number: 0 },
            at: Duration::ZERO,
            writes: Vec::new(),
        };
        Endpoint {
            name: name.to_owned(),
            role,
            term: 1,
            held: 0,
            log: vec![first],
            applied: 1,
            is_up: true,
            meets: None,
            lag: Duration::from_millis(20),
        }
    }

    /// Returns the end of the log.
    pub fn received(&self) -> Position {
        self.log[self.log.len() - 1].position
    }

    /// Returns the end of the applied log.
    pub fn position(&self) -> Position {
        self.log[self.applied - 1].position
    }

    /// Makes this endpoint the primary of the next term.
    pub fn promote(&mut self, term: Term) {
        self.role = Role::Primary;
        self.term = term;
        self.held = 0;
        self.applied = self.log.len();
    }

    /// Receives what `primary` has that this endpoint lacks.
    pub fn follow(&mut self, primary: &Endpoint, now: Duration) {
        if self.held > primary.term || primary.term < self.term {
            return;
        }
        if primary.term > self.term {
            let common = self.log.iter().zip(&primary.log).take_while(|(a, b)| a == b).count();
            self.log.truncate(common);
            self.applied = self.applied.min(common);
            self.term = primary.term;
            self.role = Role::Replica;
        }
        for entry in &primary.log[self.log.len().min(primary.log.len())..] {
            self.log.push(entry.clone());
        }
        while self.applied < self.log.len() && self.log[self.applied].at + self.lag <= now {
            self.applied += 1;
        }
    }

    /// Runs a command.
    pub fn run(
        &mut self,
        conversation: &mut Conversation,
        command: &Command,
        now: Duration,
    ) -> (Answer, Effect) {
        let id = command.id.clone().unwrap_or_default();
        if command.min_position.is_some_and(|after| self.position() < after) {
            return (self.error(conversation, Fault::Lagging), Effect::Nothing);
        }
        match &command.order {
            Order::Statement(statement) => self.statement(conversation, &id, statement, now),
            Order::Reset => (self.done(conversation), Effect::Nothing),
            Order::Status => (self.report(conversation), Effect::Nothing),
            Order::FenceTerm(term) => {
                if *term > self.term && self.role == Role::Replica {
                    self.held = *term;
                }
                (self.report(conversation), Effect::Nothing)
            }
            Order::ResumeReplication => {
                self.held = 0;
                (self.report(conversation), Effect::Nothing)
            }
            Order::Demote(term) => {
                if *term > self.term && self.role == Role::Primary {
                    self.role = Role::Replica;
                }
                (self.report(conversation), Effect::Nothing)
            }
        }
    }

    fn statement(
        &mut self,
        conversation: &mut Conversation,
        id: &str,
        statement: &Statement,
        now: Duration,
    ) -> (Answer, Effect) {
        let leads = self.role == Role::Primary;
        if let Some(open) = &conversation.transaction
            && !open.read_only
            && (!leads || open.term != self.term)
            && *statement != Statement::Rollback
        {
            let empty_commit = *statement == Statement::Commit && open.writes.is_empty();
            if !empty_commit {
                return (self.error(conversation, Fault::ReadOnly), Effect::Nothing);
            }
        }
        match statement {
            Statement::Begin { read_only } => {
                if !read_only && !leads {
                    return (self.error(conversation, Fault::ReadOnly), Effect::Nothing);
                }
                conversation.transaction = Some(Transaction {
                    read_only: *read_only,
                    term: self.term,
                    writes: Vec::new(),
                });
                (self.done(conversation), Effect::Nothing)
            }
            Statement::Rollback => {
                conversation.transaction = None;
                (self.done(conversation), Effect::Nothing)
            }
            Statement::Commit => {
                let writes = conversation.transaction.take().map(|open| open.writes);
                match writes.filter(|writes| !writes.is_empty()) {
                    Some(writes) => self.commit(conversation, id, writes, now),
                    None => (self.done(conversation), Effect::Nothing),
                }
            }
            Statement::Write { arguments } => match &mut conversation.transaction {
                Some(open) => {
                    open.writes.push(arguments.clone());
                    (self.done(conversation), Effect::Nothing)
                }
                None if !leads => (self.error(conversation, Fault::ReadOnly), Effect::Nothing),
                None => self.commit(conversation, id, vec![arguments.clone()], now),
            },
            Statement::Read { arguments } => {
                let read = Effect::Read { id: id.to_owned(), holds: self.applied };
                let mut answer = self.done(conversation);
                answer.rows = vec![self.item(arguments).to_owned()];
                (answer, read)
            }
            _ => (self.done(conversation), Effect::Nothing),
        }
    }

    /// Returns the data of an item.
    fn item(&self, item: &str) -> &str {
        let writes = self.log[..self.applied].iter().rev().flat_map(|entry| &entry.writes);
        let mut data = writes.filter_map(|write| write.split_once(' '));
        data.find(|(name, _)| *name == item).map_or("none", |(_, data)| data)
    }

    fn commit(
        &mut self,
        conversation: &Conversation,
        id: &str,
        writes: Vec<String>,
        now: Duration,
    ) -> (Answer, Effect) {
        let number = self.received().number + 1;
        let entry = Entry { position: Position { term: self.term, number }, at: now, writes };
        self.log.push(entry.clone());
        self.applied = self.log.len();
        (self.done(conversation), Effect::Commit { id: id.to_owned(), entry })
    }

    fn done(&self, conversation: &Conversation) -> Answer {
        self.answer(conversation, Outcome::Complete(Some("proof".to_owned())))
    }

    fn error(&self, conversation: &Conversation, fault: Fault) -> Answer {
        let mut answer = self.answer(conversation, Outcome::Error { fault, text: String::new() });
        if conversation.transaction.is_some() {
            answer.state = TransactionState::Failed;
        }
        answer
    }

    fn answer(&self, conversation: &Conversation, outcome: Outcome) -> Answer {
        let state = match conversation.transaction {
            Some(_) => TransactionState::Transaction,
            None => TransactionState::Idle,
        };
        Answer { rows: Vec::new(), outcome, state, position: Some(self.position()), status: None }
    }

    fn report(&self, conversation: &Conversation) -> Answer {
        let mut answer = self.done(conversation);
        answer.status = Some(Status {
            role: self.role,
            term: self.term,
            received: self.received(),
            fenced_term: self.held,
            lag: self.lag,
            running_statements: 0,
            connections: 0,
        });
        answer
    }
}
