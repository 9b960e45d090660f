//! Connections to endpoints.
//!
//! A connection carries one session's values at a time and remembers them, so that few have to be
//! replayed. It is free only when every command has been answered.

use std::collections::{HashSet, VecDeque};

use crate::message::{
    Command, ConnectionId, EndpointId, Order, ServiceName, SessionId, Statement, Time,
};
use crate::session::{Session, Values};

/// Most prepared statements on one connection before it is cleared.
const PREPARED_MOST: usize = 256;

/// Connection to an endpoint.
#[derive(Debug)]
pub struct Connection {
    /// Name.
    pub id: ConnectionId,
    /// Group of the endpoint.
    pub service: ServiceName,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When it was asked for.
    pub requested_at: Time,
    /// Whether it is established.
    pub is_established: bool,
    /// Session whose transaction it carries.
    pub transaction_session: Option<SessionId>,
    /// Commands that have not been answered, in order.
    pub unanswered: VecDeque<SentCommand>,
    /// Last answer.
    pub last_answer_at: Time,
    values: Values,
    prepared: HashSet<String>,
}

/// Command that was sent.
#[derive(Clone, Debug)]
pub struct SentCommand {
    /// When it was sent.
    pub sent_at: Time,
    /// Why.
    pub purpose: Purpose,
}

/// Why a command was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Session values or prepared statements.
    Setup,
    /// Begin of a session's transaction.
    Begin(SessionId),
    /// Statement with this serial of a session.
    Statement(SessionId, u64),
    /// Begin behind a read: proof that the endpoint leads.
    Proof(SessionId, u64),
    /// End of a transaction whose answer does not matter.
    Cleanup,
    /// Begin that proves the lead, and the position.
    Probe,
    /// Status.
    Status,
    /// Order of a change of primary.
    Order,
}

impl Connection {
    /// Returns a connection that is being opened.
    pub fn new(
        id: ConnectionId,
        service: ServiceName,
        endpoint: EndpointId,
        now: Time,
    ) -> Connection {
        Connection {
            id,
            service,
            endpoint,
            requested_at: now,
            is_established: false,
            transaction_session: None,
            unanswered: VecDeque::new(),
            last_answer_at: now,
            values: Values::new(),
            prepared: HashSet::new(),
        }
    }

    /// Returns whether it may be used for another session's work.
    pub fn is_free(&self) -> bool {
        self.is_established && self.transaction_session.is_none() && self.unanswered.is_empty()
    }

    /// Returns how well its values fit those of a session; less is better.
    pub fn value_mismatch(&self, values: &Values) -> usize {
        match self.values.is_empty() || self.values == *values {
            true => usize::from(self.values.len() != values.len()),
            false => 2,
        }
    }

    /// Returns the commands that make the connection fit `session` for `statement`.
    ///
    /// Each of them is awaited as [`Purpose::Setup`].
    pub fn setup_commands(
        &mut self,
        session: &Session,
        statement: Option<&Statement>,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        let fits = self.values.iter().all(|(name, value)| session.values.get(name) == Some(value));
        if !fits || self.prepared.len() > PREPARED_MOST {
            self.values.clear();
            self.prepared.clear();
            commands.push(Command::new(Order::Reset));
        }
        for (name, value) in &session.values {
            if self.values.get(name) != Some(value) {
                self.values.insert(name.clone(), value.clone());
                let set = Statement::Set { name: name.clone(), value: value.clone() };
                commands.push(Command::new(Order::Statement(set)));
            }
        }
        if let Some(Statement::Execute { name, .. }) = statement
            && let Some(prepared) = session.prepared.get(name)
        {
            let shared = prepared.shared_name();
            if self.prepared.insert(shared.clone()) {
                let prepare = Statement::Prepare {
                    name: shared,
                    access: prepared.access,
                    shape: prepared.shape.clone(),
                };
                commands.push(Command::new(Order::Statement(prepare)));
            }
        }
        commands
    }

    /// Forgets which prepared statements the connection holds.
    pub fn forget_prepared(&mut self) {
        self.prepared.clear();
    }
}
