//! Handling of client requests.
//!
//! This node answers requests that only change the session (begin, set, prepare, close) itself.
//! Each other statement becomes an [`Operation`], which waits until it is placed on a connection.

use tamarackbend_policy::code::Code;
use tracing::debug;

use super::peers::remote_route;
use super::{Action, Router};
use crate::configuration::{Consistency, Route};
use crate::connection::Purpose;
use crate::message::{
    Access, Answer, Command, ConnectionId, Fault, Order, Outcome, Position, Request, ServiceName,
    SessionId, Statement, Time, TransactionState,
};
use crate::session::{Need, Operation, Phase, PreparedStatement, Stage, Transaction};
use crate::settings::{
    BALANCER_DRAIN_TIME, RETRY_AFTER_BUSY, RETRY_AFTER_NO_PRIMARY, SESSION_START_TIMEOUT,
};

/// How long a session for an unknown database waits for a newer configuration.
const FRESH_WAIT: Time = Time::from_millis(400);
/// Maximum number of requests of one session that are queued behind its current statement.
const BACKLOG_MOST: usize = 32;
/// Minimum time between two configuration reads that unknown databases cause.
const REFRESH_INTERVAL: Time = Time::from_millis(200);

impl Router {
    pub(super) fn request(&mut self, id: SessionId, request: Request) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.last_active_at = now;
        match request {
            Request::Start { database } => self.start(id, database),
            Request::End => {
                self.leave(id);
                self.actions.push(Action::CloseSession(id));
            }
            Request::Malformed { reason, .. } => {
                debug!(session = id, reason, "client sent a malformed message; refusing it");
                if session.database.is_none() {
                    self.reject(id, Fault::Malformed, Code::BadMessage);
                    return;
                }
                self.fail_transaction(id);
                self.refuse(id, Fault::Malformed, Code::BadMessage, None);
            }
            Request::Reset => {
                session.values.clear();
                session.prepared.clear();
                self.reply_done(id);
            }
            Request::Statement { id: statement_id, statement, floor } => {
                if session.current.is_some() && session.backlog.len() < BACKLOG_MOST {
                    let request = Request::Statement { id: statement_id, statement, floor };
                    session.backlog.push_back(request);
                    return;
                }
                if let Some(floor) = floor {
                    self.raise_floor(id, floor);
                }
                let Some(session) = self.sessions.get(&id) else { return };
                if session.database.is_none() || session.current.is_some() {
                    self.reject(id, Fault::Malformed, Code::BadMessage);
                    return;
                }
                self.statement(id, statement_id, statement);
            }
        }
    }

    /// Handles the next queued request of each session that has just been answered.
    pub(super) fn resume(&mut self) {
        while let Some(id) = self.resumed.pop() {
            let next = self.sessions.get_mut(&id).and_then(|session| session.backlog.pop_front());
            if let Some(request) = next {
                self.request(id, request);
            }
        }
    }

    fn start(&mut self, id: SessionId, database: String) {
        let now = self.now;
        let known = self.route(&database).is_some();
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if session.database.is_some() {
            self.reject(id, Fault::Malformed, Code::BadMessage);
            return;
        }
        session.database = Some(database.clone());
        if self.holds == Some(false) {
            self.start_remote(id, &database);
            return;
        }
        if self.awaits_role() {
            self.starting.push((id, now));
            return;
        }
        if self.stopping.is_some_and(|since| now >= since + BALANCER_DRAIN_TIME) {
            self.reject(id, Fault::Busy, Code::Draining);
            return;
        }
        if known {
            self.welcome(id);
            return;
        }
        // A configuration that the operator has just applied may name the database.
        self.starting.push((id, now));
        let configured = self.configuration.is_some();
        if configured && self.refreshed.is_none_or(|at| now >= at + REFRESH_INTERVAL) {
            self.refreshed = Some(now);
            self.actions.push(Action::RefreshConfiguration);
        }
    }

    /// Accepts or rejects the sessions that wait for their database to become known.
    ///
    /// `fresh` is set when a newer configuration has just been read.
    pub(super) fn resolve_starts(&mut self, fresh: bool) {
        for (id, since) in std::mem::take(&mut self.starting) {
            let Some(session) = self.sessions.get(&id) else { continue };
            let database = session.database.clone().unwrap_or_default();
            if self.awaits_role() && self.now < since + SESSION_START_TIMEOUT {
                self.starting.push((id, since));
            } else if self.holds != Some(false) && self.route(&database).is_some() {
                self.welcome(id);
            } else if self.holds == Some(false) {
                self.start_remote(id, &database);
            } else if self.configuration.is_none() {
                match self.now >= since + SESSION_START_TIMEOUT {
                    true => self.reject(id, Fault::Busy, Code::OwnerUnreachable),
                    false => self.starting.push((id, since)),
                }
            } else if self.now >= since + FRESH_WAIT || (fresh && self.now > since) {
                self.reject(id, Fault::NoDatabase, Code::NoSuchDatabase);
            } else {
                self.starting.push((id, since));
            }
        }
    }

    pub(super) fn welcome(&mut self, id: SessionId) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.is_accepted = true;
            self.actions.push(Action::AcceptSession(id));
        }
    }

    pub(super) fn reject(&mut self, id: SessionId, fault: Fault, code: Code) {
        let outcome = Outcome::refusal(fault, code, None);
        let answer = Answer {
            rows: Vec::new(),
            outcome,
            state: TransactionState::Idle,
            position: None,
            status: None,
        };
        self.leave(id);
        self.actions.push(Action::RejectSession(id, answer));
    }

    fn statement(&mut self, id: SessionId, statement_id: String, statement: Statement) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if let Some(transaction) = &mut session.transaction
            && let Phase::Failed { is_reported: told } = &mut transaction.phase
        {
            let first = !std::mem::replace(told, true);
            match statement {
                Statement::Rollback => {
                    session.transaction = None;
                    self.reply_done(id);
                }
                Statement::Commit => {
                    session.transaction = None;
                    self.refuse(id, Fault::Aborted, Code::TransactionLost, None);
                }
                _ if first => self.refuse(id, Fault::Aborted, Code::TransactionLost, None),
                _ => self.refuse(id, Fault::Malformed, Code::TransactionLost, None),
            }
            return;
        }
        match statement {
            Statement::Begin { read_only } => self.begin(id, read_only),
            Statement::Rollback => {
                self.release_transaction(id);
                self.reply_done(id);
            }
            Statement::Set { name, value } => {
                session.values.insert(name, value);
                self.reply_done(id);
            }
            Statement::Prepare { name, access, shape } => {
                session.prepared.insert(name, PreparedStatement { access, shape });
                self.reply_done(id);
            }
            Statement::Close { name } => {
                session.prepared.remove(&name);
                self.reply_done(id);
            }
            Statement::Commit if session.transaction.is_none() => {
                self.refuse(id, Fault::Malformed, Code::BadMessage, None);
            }
            Statement::Commit
            | Statement::Read { .. }
            | Statement::Write { .. }
            | Statement::Execute { .. } => self.operate(id, statement_id, statement),
        }
    }

    fn raise_floor(&mut self, id: SessionId, floor: Position) {
        let service = self.session_route(id).map(|route| route.service);
        if let (Some(service), Some(session)) = (service, self.sessions.get_mut(&id)) {
            session.raise_last_commit(&service, floor);
        }
    }

    fn session_route(&self, id: SessionId) -> Option<Route> {
        let session = self.sessions.get(&id)?;
        if let Some(service) = &session.serving_group {
            return Some(remote_route(service));
        }
        self.route(self.sessions.get(&id)?.database.as_ref()?).cloned()
    }

    fn begin(&mut self, id: SessionId, read_only: bool) {
        let now = self.now;
        let route = self.session_route(id);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if session.transaction.is_some() {
            self.refuse(id, Fault::Malformed, Code::BadMessage, None);
            return;
        }
        let Some(route) = route else {
            self.refuse(id, Fault::NoDatabase, Code::NoSuchDatabase, None);
            return;
        };
        let service = route.service.clone();
        session.transaction = Some(Transaction {
            route,
            received_at: now,
            opened_at: None,
            is_read_only: read_only,
            has_replica_position: false,
            phase: Phase::Waiting,
            has_written: false,
            avoided_endpoints: Vec::new(),
        });
        self.wait(&service, id);
        self.reply_done(id);
    }

    fn operate(&mut self, id: SessionId, statement_id: String, statement: Statement) {
        let now = self.now;
        let route = match self.sessions.get(&id).and_then(|session| session.transaction.as_ref()) {
            Some(transaction) => Some(transaction.route.clone()),
            None => self.session_route(id),
        };
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(route) = route else {
            self.refuse(id, Fault::NoDatabase, Code::NoSuchDatabase, None);
            return;
        };
        let access = session.access_of(&statement);
        if access.is_none() && statement != Statement::Commit {
            self.fail_transaction(id);
            self.refuse(id, Fault::NoStatement, Code::BadMessage, None);
            return;
        }
        let read_only = session.transaction.as_ref().is_some_and(|open| open.is_read_only);
        if read_only && access == Some(Access::Write) {
            self.fail_transaction(id);
            self.refuse(id, Fault::ReadOnly, Code::BadMessage, None);
            return;
        }
        session.last_serial += 1;
        let service = route.service.clone();
        session.current = Some(Operation {
            serial: session.last_serial,
            id: statement_id,
            statement,
            access,
            received_at: now,
            deadline: now + route.timeout,
            route,
            need: Need::Primary,
            stage: Stage::Waiting,
            avoided_endpoints: Vec::new(),
            attempts: 0,
            unproven_answer: None,
        });
        self.wait(&service, id);
    }

    /// Queues a session whose statement or transaction needs a connection.
    pub(super) fn wait(&mut self, service: &ServiceName, id: SessionId) {
        let now = self.now;
        self.dirty.insert(service.clone());
        let group = self.groups.entry(service.clone()).or_default();
        group.last_request_at = now;
        if !group.waiting_sessions.contains(&id) {
            group.waiting_sessions.push(id);
        }
    }

    fn reply_done(&mut self, id: SessionId) {
        self.reply_outcome(id, Outcome::Complete(None));
    }

    pub(super) fn reply_outcome(&mut self, id: SessionId, outcome: Outcome) {
        let Some(session) = self.sessions.get(&id) else { return };
        let state = session.state();
        let answer = Answer { rows: Vec::new(), outcome, state, position: None, status: None };
        self.reply(id, answer);
    }

    /// Completes the session's current statement with `answer`.
    pub(super) fn reply(&mut self, id: SessionId, mut answer: Answer) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.last_active_at = now;
        let operation = session.current.take();
        if !session.backlog.is_empty() {
            self.resumed.push(id);
        }
        answer.state = session.state();
        if let Some(operation) = operation {
            self.record_outcome(id, &operation, &answer);
        }
        self.actions.push(Action::Reply(id, answer));
    }

    /// Ends the session's current statement without an answer of an endpoint, usually at its
    /// deadline. The error tells whether the statement may have run.
    pub(super) fn give_up(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(operation) = session.current.clone() else { return };
        let wrote = session.transaction.as_ref().is_some_and(|open| open.has_written);
        let in_transaction = session.transaction.is_some();
        let commits = operation.statement == Statement::Commit;
        let (fault, code) = match operation.stage {
            Stage::Waiting => {
                let code = self.waiting_code(&operation);
                (Fault::Busy, code)
            }
            Stage::Sent { .. } if commits && !wrote => (Fault::Aborted, Code::TransactionLost),
            Stage::Sent { .. } if in_transaction && !commits => {
                (Fault::Aborted, Code::TransactionLost)
            }
            Stage::Sent { .. } if operation.is_read() => (Fault::Timeout, Code::AnswerTimeout),
            Stage::Sent { .. } => (Fault::InDoubt, Code::ConfirmTimeout),
            Stage::Confirming if operation.is_read() || (commits && !wrote) => {
                (Fault::Busy, Code::NoPrimary)
            }
            Stage::Confirming => (Fault::InDoubt, Code::ConfirmTimeout),
        };
        let retry = match code {
            Code::NoPrimary => Some(RETRY_AFTER_NO_PRIMARY),
            Code::QueueTimeout | Code::NoFreshEndpoint => Some(RETRY_AFTER_BUSY),
            _ => None,
        };
        if in_transaction {
            self.fail_transaction(id);
        }
        if commits && let Some(session) = self.sessions.get_mut(&id) {
            session.transaction = None;
        }
        self.refuse(id, fault, code, retry);
    }

    fn waiting_code(&self, operation: &Operation) -> Code {
        let group = self.groups.get(&operation.route.service);
        let reachable = group
            .and_then(|group| group.primary_endpoint())
            .is_some_and(|primary| primary.suspected_since.is_none());
        let isolated = group.is_some_and(|group| self.is_isolated(group));
        match operation.need {
            Need::Position(_) => Code::NoFreshEndpoint,
            _ if !reachable || isolated => Code::NoPrimary,
            _ => Code::QueueTimeout,
        }
    }

    /// Marks the session's transaction as failed; the answer that follows tells the client.
    pub(super) fn fail_transaction(&mut self, id: SessionId) {
        self.abort_transaction(id, true);
    }

    /// Aborts the session's transaction at the endpoint. The client must still end it; `told` if
    /// the client learns of the failure from the answer that follows.
    pub(super) fn abort_transaction(&mut self, id: SessionId, told: bool) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let pinned = session.transaction_connection();
        let Some(transaction) = &mut session.transaction else { return };
        transaction.phase = Phase::Failed { is_reported: told };
        if let Some(connection) = pinned {
            self.release(connection);
        }
    }

    /// Rolls back the session's transaction.
    fn release_transaction(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let pinned = session.transaction_connection();
        session.transaction = None;
        if let Some(connection) = pinned {
            self.release(connection);
        }
    }

    /// Rolls back the transaction on a connection and frees the connection, or closes it if
    /// commands are outstanding.
    pub(super) fn release(&mut self, connection: ConnectionId) {
        let Some(state) = self.connections.get_mut(&connection) else { return };
        state.transaction_session = None;
        if state.unanswered.is_empty() && state.is_established {
            let rollback = Command::new(Order::Statement(Statement::Rollback));
            self.send(connection, vec![(rollback, Purpose::Cleanup)]);
        } else {
            self.actions.push(Action::Disconnect(connection));
            self.forget_connection(connection);
        }
    }

    pub(super) fn leave(&mut self, id: SessionId) {
        self.release_transaction(id);
        self.sessions.remove(&id);
        for group in self.groups.values_mut() {
            group.waiting_sessions.retain(|waiting| *waiting != id);
            group.pending_answers.retain(|pending| pending.session != id);
        }
    }

    /// Ends statements that are past their deadline, and aborts transactions that are idle for too
    /// long.
    pub(super) fn check_sessions(&mut self) {
        let now = self.now;
        let idle = self.configuration.as_ref().map(|known| known.transaction_idle);
        let mut late = Vec::new();
        let mut resting = Vec::new();
        for (id, session) in &self.sessions {
            match &session.current {
                Some(operation) if now >= operation.deadline => late.push(*id),
                Some(_) => {}
                None => {
                    let rests = idle.is_some_and(|idle| now >= session.last_active_at + idle);
                    if rests && session.state() == TransactionState::Transaction {
                        resting.push(*id);
                    }
                }
            }
        }
        for id in late {
            self.give_up(id);
        }
        for id in resting {
            debug!(session = id, "transaction was idle for too long; aborting it");
            self.abort_transaction(id, false);
        }
        self.resolve_starts(false);
    }
}

/// Returns the staleness bound of reads; none if replicas may not serve them.
pub(super) fn allows_replicas(consistency: Consistency) -> Option<Time> {
    match consistency {
        Consistency::Latest => None,
        Consistency::Bounded(age) | Consistency::Session(age) => Some(age),
    }
}
