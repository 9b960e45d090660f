//! Connections to endpoints.
//!
//! A connection carries the values of one session at a time. It remembers them and its prepared
//! statements, so that few have to be replayed for the next session. A connection is free once
//! every command that was sent over it has been answered.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use tracing::debug;

use crate::customer::CustomerName;
use crate::message::{
    Command, ConnectionId, EndpointId, Order, ServiceName, SessionId, Statement, Time,
};
use crate::session::{PreparedStatement, Values};

/// Prepared statements that one connection may hold; the connection is reset once it has more.
const MAX_PREPARED_STATEMENTS: usize = 256;

/// Connection to an endpoint.
#[derive(Debug)]
pub struct Connection {
    /// Identifier on this node.
    pub id: ConnectionId,
    /// Service of the endpoint.
    pub service: ServiceName,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Customer whose work the connection carries; none for channels, and if clients are not
    /// identified.
    pub customer: Option<CustomerName>,
    /// Version of the configuration that the node at the other end of a channel reported.
    pub peer_version: u64,
    /// When the connection was requested.
    pub requested_at: Time,
    /// Whether the endpoint has accepted the connection.
    pub is_established: bool,
    /// Session whose transaction is open on the connection.
    pub transaction_session: Option<SessionId>,
    /// Commands that have not been answered, in the order of sending.
    pub unanswered: VecDeque<SentCommand>,
    /// Time of the last answer; before the first one, the time of the request.
    pub last_answer_at: Time,
    values: Values,
    /// Numbers of the prepared statements.
    prepared: HashMap<Rc<PreparedStatement>, u64>,
    /// Grows for the life of the connection, so that no name ever stands for two statements.
    next_prepared_number: u64,
}

/// Command that waits for its answer.
#[derive(Clone, Debug)]
pub struct SentCommand {
    /// When the command was sent.
    pub sent_at: Time,
    /// Why the command was sent.
    pub purpose: Purpose,
}

/// What a connection needs before a statement is sent over it.
#[derive(Debug, Default)]
pub struct Setup {
    /// Commands that precede the statement, sent with [`Purpose::Setup`].
    pub commands: Vec<Command>,
    /// Name on the connection of the prepared statement that the statement executes.
    pub prepared_name: Option<String>,
}

/// Why a command was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Session values or prepared statements.
    Setup,
    /// Begin of a session's transaction.
    Begin(SessionId),
    /// Statement of a session, with its serial number.
    Statement(SessionId, u64),
    /// Begin that follows a read and proves that the endpoint is still the primary.
    Proof(SessionId, u64),
    /// End of a transaction; the answer does not matter.
    Cleanup,
    /// Begin that checks that the endpoint answers, and that a primary is still the primary; the
    /// answer carries the log position.
    Probe,
    /// Status request.
    Status,
    /// Order of a failover.
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
            customer: None,
            peer_version: 0,
            requested_at: now,
            is_established: false,
            transaction_session: None,
            unanswered: VecDeque::new(),
            last_answer_at: now,
            values: Values::new(),
            prepared: HashMap::new(),
            next_prepared_number: 0,
        }
    }

    /// Sets the customer whose work the connection carries.
    pub fn with_customer(mut self, customer: Option<CustomerName>) -> Connection {
        self.customer = customer;
        self
    }

    /// Returns whether another session's statement may be sent over the connection.
    pub fn is_free(&self) -> bool {
        self.is_established && self.transaction_session.is_none() && self.unanswered.is_empty()
    }

    /// Returns how much setup a session with `values` needs on this connection; less is better.
    pub fn setup_cost(&self, values: &Values) -> usize {
        match self.values.is_empty() || self.values == *values {
            true => usize::from(self.values.len() != values.len()),
            false => 2,
        }
    }

    /// Prepares the connection for a statement of a session with `values` that executes `prepared`.
    pub fn setup(&mut self, values: &Values, prepared: Option<&Rc<PreparedStatement>>) -> Setup {
        let mut setup = Setup::default();
        let is_compatible = self.values.iter().all(|(name, value)| values.get(name) == Some(value));
        let has_unset_value = self.values.keys().any(|name| !values.contains_key(name));
        let is_full = self.prepared.len() > MAX_PREPARED_STATEMENTS;
        // The effect of a reset on an open transaction is not defined. Changed values are set anew.
        let needs_reset = match self.transaction_session {
            Some(_) => has_unset_value,
            None => !is_compatible || is_full,
        };
        if needs_reset {
            self.values.clear();
            self.prepared.clear();
            setup.commands.push(Command::new(Order::Reset));
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                self.values.insert(name.clone(), value.clone());
                let set = Statement::Set { name: name.clone(), value: value.clone() };
                setup.commands.push(Command::new(Order::Statement(set)));
            }
        }
        if let Some(prepared) = prepared {
            let number = self.prepared.get(prepared).copied().unwrap_or_else(|| {
                let number = self.next_prepared_number;
                self.next_prepared_number += 1;
                self.prepared.insert(prepared.clone(), number);
                setup.commands.push(self.prepare_command(prepared, number));
                number
            });
            setup.prepared_name = Some(prepared_name(number));
        }
        setup
    }

    fn prepare_command(&self, prepared: &PreparedStatement, number: u64) -> Command {
        let name = prepared_name(number);
        debug!(
            connection = self.id, endpoint = %self.endpoint, prepared = name,
            text_bytes = prepared.shape.len(), "preparing a statement"
        );
        Command::new(Order::Statement(Statement::Prepare {
            name,
            access: prepared.access,
            shape: prepared.shape.clone(),
        }))
    }

    /// Forgets the connection's prepared statements.
    pub fn forget_prepared(&mut self) {
        self.prepared.clear();
    }
}

/// Returns the name of a prepared statement on its connection. The statement's text is not part of the
/// name: it may hold any characters, and a name is one word.
fn prepared_name(number: u64) -> String {
    format!("p{number}")
}
