//! Handling of client requests.
//!
//! Requests that only change the session (begin, set, prepare, close) are answered at once. Any
//! other statement becomes an [`Operation`], which waits until it is placed on a connection.

use std::rc::Rc;

use tamarackbend_policy::code::Code;
use tracing::debug;

use super::peers::remote_route;
use super::{Action, Router};
use crate::admission::queue::{Kind, Work};
use crate::admission::retry::MAX_SPREAD;
use crate::configuration::{Consistency, Route};
use crate::connection::Purpose;
use crate::experiment::Mechanism;
use crate::message::{
    Access, Answer, Command, ConnectionId, Fault, Order, Outcome, Position, Request, ServiceName,
    SessionId, Statement, Time, TransactionState,
};
use crate::session::{Need, Operation, Phase, PreparedStatement, Session, Stage, Transaction};
use crate::settings::{RETRY_AFTER_BUSY, RETRY_AFTER_NO_PRIMARY};

/// Maximum number of requests of one session that are queued until it is accepted, or behind its current
/// statement.
const MAX_BACKLOG: usize = 32;

impl Router {
    pub(super) fn on_request(&mut self, id: SessionId, request: Request) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.last_active_at = now;
        // The client's key has not been checked yet.
        let is_starting = session.database.is_some() && !session.is_accepted;
        let must_wait = is_starting || session.current.is_some();
        if must_wait && !matches!(request, Request::Start { .. } | Request::End) {
            match session.backlog.len() < MAX_BACKLOG {
                true => session.backlog.push_back(request),
                false => self.reject_session(id, Fault::Malformed, Code::BadMessage),
            }
            return;
        }
        match request {
            Request::Start { database, key } => self.start_session(id, database, key),
            Request::End => {
                self.close_session(id);
                self.actions.push(Action::CloseSession(id));
            }
            Request::Malformed { reason, .. } => {
                debug!(session = id, reason, "client sent a malformed message; refusing it");
                self.refuse_message(id, Fault::Malformed);
            }
            Request::TooBig { id: statement_id } => {
                debug!(
                    session = id,
                    request = statement_id,
                    "client sent a message that is too large; refusing it"
                );
                self.refuse_message(id, Fault::TooBig);
            }
            Request::Reset => {
                session.values.clear();
                session.prepared.clear();
                self.reply_complete(id);
            }
            Request::Statement { id: statement_id, statement, floor } => {
                if let Some(floor) = floor {
                    self.raise_floor(id, floor);
                }
                let Some(session) = self.sessions.get(&id) else { return };
                if session.database.is_none() {
                    self.reject_session(id, Fault::Malformed, Code::BadMessage);
                    return;
                }
                self.handle_statement(id, statement_id, statement);
            }
        }
    }

    /// Refuses a message that is no request; ends a session that has not started.
    fn refuse_message(&mut self, id: SessionId, fault: Fault) {
        let Some(session) = self.sessions.get(&id) else { return };
        if session.database.is_none() {
            self.reject_session(id, fault, Code::BadMessage);
            return;
        }
        self.fail_transaction(id);
        self.refuse(id, fault, Code::BadMessage, None);
    }

    /// Handles the next queued request of each session that has just been answered.
    pub(super) fn resume_answered_sessions(&mut self) {
        while let Some(id) = self.answered_sessions.pop() {
            let next = self.sessions.get_mut(&id).and_then(|session| session.backlog.pop_front());
            if let Some(request) = next {
                self.on_request(id, request);
            }
        }
    }

    fn handle_statement(&mut self, id: SessionId, statement_id: String, statement: Statement) {
        if self.refuse_revoked(id) {
            return;
        }
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if let Some(transaction) = &mut session.transaction
            && let Phase::Failed { is_reported } = &mut transaction.phase
        {
            let is_first = !std::mem::replace(is_reported, true);
            let refusal = transaction.refusal.take();
            match statement {
                Statement::Rollback => {
                    session.transaction = None;
                    self.reply_complete(id);
                }
                Statement::Commit => {
                    session.transaction = None;
                    self.refuse(id, Fault::Aborted, Code::TransactionLost, None);
                }
                _ if is_first => match refusal {
                    Some(refusal) => self.reply_outcome(id, refusal),
                    None => self.refuse(id, Fault::Aborted, Code::TransactionLost, None),
                },
                _ => self.refuse(id, Fault::Malformed, Code::TransactionLost, None),
            }
            return;
        }
        if self.refuse_over_limit(id, &statement_id, &statement) {
            return;
        }
        let Some(session) = self.sessions.get_mut(&id) else { return };
        match statement {
            Statement::Begin { read_only } => self.begin_transaction(id, read_only),
            Statement::Rollback => {
                self.roll_back_transaction(id);
                self.reply_complete(id);
            }
            Statement::Set { name, value } => {
                session.values.insert(name, value);
                self.reply_complete(id);
            }
            Statement::Prepare { name, access, shape } => {
                session.prepared.insert(name, Rc::new(PreparedStatement { access, shape }));
                self.reply_complete(id);
            }
            Statement::Close { name } => {
                session.prepared.remove(&name);
                self.reply_complete(id);
            }
            Statement::Commit if session.transaction.is_none() => {
                self.refuse(id, Fault::Malformed, Code::BadMessage, None);
            }
            Statement::Commit
            | Statement::Read { .. }
            | Statement::Write { .. }
            | Statement::Execute { .. } => self.queue_operation(id, statement_id, statement),
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

    fn begin_transaction(&mut self, id: SessionId, is_read_only: bool) {
        let now = self.now;
        let uses_session_age = self.uses(Mechanism::SessionAge);
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
            waiting_since: if uses_session_age { session.waiting_since(now) } else { now },
            opened_at: None,
            is_read_only,
            floor: None,
            phase: Phase::Waiting,
            has_written: false,
            refusal: None,
            avoided_endpoints: Vec::new(),
        });
        self.enqueue(&service, id);
        self.reply_complete(id);
    }

    fn queue_operation(&mut self, id: SessionId, statement_id: String, statement: Statement) {
        let now = self.now;
        let uses_session_age = self.uses(Mechanism::SessionAge);
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
        let is_read_only =
            session.transaction.as_ref().is_some_and(|transaction| transaction.is_read_only);
        if is_read_only && access == Some(Access::Write) {
            self.fail_transaction(id);
            self.refuse(id, Fault::ReadOnly, Code::BadMessage, None);
            return;
        }
        let waiting_since = if uses_session_age { session.waiting_since(now) } else { now };
        session.last_serial += 1;
        let service = route.service.clone();
        session.current = Some(Operation {
            serial: session.last_serial,
            id: statement_id,
            prepared: session.prepared_statement(&statement),
            statement,
            access,
            received_at: now,
            waiting_since,
            deadline: now + route.timeout,
            route,
            need: Need::Primary,
            stage: Stage::Waiting,
            avoided_endpoints: Vec::new(),
            attempts: 0,
            overdue_at: None,
            unproven_answer: None,
        });
        if self.refuse_if_hopeless(&service, id) {
            return;
        }
        self.enqueue(&service, id);
    }

    /// Queues a session whose statement or transaction needs a connection.
    pub(super) fn enqueue(&mut self, service: &ServiceName, id: SessionId) {
        let now = self.now;
        self.dirty.insert(service.clone());
        let mut work =
            self.sessions.get(&id).map_or_else(|| Work::last(id), |s| waiting_work(id, s));
        if !self.uses(Mechanism::LateOrder) {
            work.late_at = Time::MAX;
        }
        if !self.uses(Mechanism::PriorityOrder) {
            work.priority = 0;
        }
        if !self.uses(Mechanism::FairOrder) {
            work.customer = None;
        }
        let weight = self.weights.weight(work.customer.as_ref());
        let group = self.groups.entry(service.clone()).or_default();
        group.last_request_at = now;
        group.waiting_sessions.add(now, work, weight);
    }

    fn reply_complete(&mut self, id: SessionId) {
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
            self.answered_sessions.push(id);
        }
        answer.state = session.state();
        let has_begin_waiting =
            session.transaction.as_ref().is_some_and(|t| t.phase == Phase::Waiting);
        if let Some(operation) = operation {
            if !has_begin_waiting && let Some(group) = self.groups.get_mut(&operation.route.service)
            {
                group.waiting_sessions.remove(id);
            }
            if answer.outcome.fault().is_none()
                && let Some(group) = self.groups.get_mut(&operation.route.service)
            {
                group.crowd.record_served(now);
            }
            self.record_outcome(id, &operation, &answer);
        }
        self.actions.push(Action::Reply(id, answer));
    }

    /// Ends the session's current statement without an answer of an endpoint, usually at its
    /// deadline. The error tells whether the statement may have run.
    pub(super) fn abandon_statement(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(operation) = session.current.clone() else { return };
        let has_written =
            session.transaction.as_ref().is_some_and(|transaction| transaction.has_written);
        let in_transaction = session.transaction.is_some();
        if let Stage::Sent { connection, .. } = operation.stage {
            self.record_unanswered(connection);
        }
        let is_commit = operation.statement == Statement::Commit;
        let (fault, code) = match operation.stage {
            Stage::Waiting => {
                let code = self.unplaced_code(&operation);
                (Fault::Busy, code)
            }
            Stage::Sent { .. } if is_commit && !has_written => {
                (Fault::Aborted, Code::TransactionLost)
            }
            Stage::Sent { .. } if in_transaction && !is_commit => {
                (Fault::Aborted, Code::TransactionLost)
            }
            Stage::Sent { .. } if operation.is_read() => (Fault::Timeout, Code::AnswerTimeout),
            Stage::Sent { .. } => (Fault::InDoubt, Code::ConfirmTimeout),
            Stage::Confirming if operation.is_read() || (is_commit && !has_written) => {
                (Fault::Busy, Code::NoPrimary)
            }
            Stage::Confirming => (Fault::InDoubt, Code::ConfirmTimeout),
        };
        let min_delay = match code {
            Code::NoPrimary => Some(RETRY_AFTER_NO_PRIMARY),
            Code::QueueTimeout | Code::NoFreshEndpoint => Some(RETRY_AFTER_BUSY),
            _ => None,
        };
        let service = &operation.route.service;
        let retry_after = min_delay
            .map(|min_delay| self.retry_delay(service, min_delay, MAX_SPREAD, &operation.id));
        if in_transaction {
            self.fail_transaction(id);
        }
        if is_commit && let Some(session) = self.sessions.get_mut(&id) {
            session.transaction = None;
        }
        self.refuse(id, fault, code, retry_after);
    }

    /// Returns the delay before the retry of a refused statement: at least `min_delay`, and spread over at
    /// most `max_spread`.
    pub(super) fn retry_delay(
        &mut self,
        service: &ServiceName,
        min_delay: Time,
        max_spread: Time,
        statement: &str,
    ) -> Time {
        let (now, is_spread) = (self.now, self.uses(Mechanism::RetrySpread));
        let Some(group) = self.groups.get_mut(service) else { return min_delay };
        let key = xxhash_rust::xxh3::xxh3_64(statement.as_bytes());
        let delay = group.crowd.refuse_within(now, min_delay, max_spread, key);
        if is_spread { delay } else { min_delay }
    }

    fn unplaced_code(&self, operation: &Operation) -> Code {
        let group = self.groups.get(&operation.route.service);
        let is_reachable = group
            .and_then(|group| group.primary_endpoint())
            .is_some_and(|primary| primary.suspected_since.is_none());
        let is_isolated = group.is_some_and(|group| self.is_isolated(group));
        match operation.need {
            Need::Position(_) => Code::NoFreshEndpoint,
            _ if !is_reachable || is_isolated => Code::NoPrimary,
            _ => Code::QueueTimeout,
        }
    }

    /// Marks the session's transaction as failed; the answer that follows tells the client.
    pub(super) fn fail_transaction(&mut self, id: SessionId) {
        self.abort_transaction(id, true);
    }

    /// Aborts the session's transaction at the endpoint. The client must still end it.
    /// `is_reported` is set if the client learns of the failure from the answer that follows.
    pub(super) fn abort_transaction(&mut self, id: SessionId, is_reported: bool) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let pinned_connection = session.transaction_connection();
        let Some(transaction) = &mut session.transaction else { return };
        transaction.phase = Phase::Failed { is_reported };
        if let Some(connection) = pinned_connection {
            self.release(connection);
        }
    }

    /// Rolls back the session's transaction.
    fn roll_back_transaction(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let pinned_connection = session.transaction_connection();
        session.transaction = None;
        if let Some(connection) = pinned_connection {
            self.release(connection);
        }
    }

    /// Rolls back the transaction on a connection and frees the connection, or closes it if
    /// commands are outstanding.
    pub(super) fn release(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.transaction_session = None;
        if connection.unanswered.is_empty() && connection.is_established {
            let rollback = Command::new(Order::Statement(Statement::Rollback));
            self.send(id, vec![(rollback, Purpose::Cleanup)]);
        } else {
            self.actions.push(Action::Disconnect(id));
            self.remove_connection(id);
        }
    }

    pub(super) fn close_session(&mut self, id: SessionId) {
        self.roll_back_transaction(id);
        self.sessions.remove(&id);
        for group in self.groups.values_mut() {
            group.waiting_sessions.remove(id);
            group.pending_answers.retain(|pending| pending.session != id);
        }
    }

    /// Ends statements that are past their deadline, and aborts transactions that are idle for too
    /// long.
    pub(super) fn check_sessions(&mut self) {
        let now = self.now;
        let idle_timeout =
            self.configuration.as_ref().map(|configuration| configuration.transaction_idle);
        let mut expired_sessions = Vec::new();
        let mut idle_sessions = Vec::new();
        for (id, session) in &self.sessions {
            match &session.current {
                Some(operation) if now >= operation.deadline => expired_sessions.push(*id),
                Some(_) => {}
                None => {
                    let is_idle = idle_timeout
                        .is_some_and(|idle_timeout| now >= session.last_active_at + idle_timeout);
                    if is_idle && session.state() == TransactionState::Transaction {
                        idle_sessions.push(*id);
                    }
                }
            }
        }
        for id in expired_sessions {
            self.abandon_statement(id);
        }
        for id in idle_sessions {
            debug!(session = id, "transaction was idle for too long; aborting it");
            self.abort_transaction(id, false);
        }
        self.resolve_starting_sessions(false);
    }
}

/// Returns the waiting work of a session: its statement, or else the begin of its transaction. A session
/// with neither waits to be opened.
fn waiting_work(id: SessionId, session: &Session) -> Work {
    let (route, since) = match (&session.current, &session.transaction) {
        (Some(operation), _) => (&operation.route, operation.waiting_since),
        (None, Some(transaction)) => (&transaction.route, transaction.waiting_since),
        (None, None) => return Work::last(id).with_customer(session.customer.clone()),
    };
    let staleness = staleness_bound(route.consistency);
    let kind = match (&session.transaction, &session.current) {
        (Some(transaction), _) if transaction.phase == Phase::Waiting => {
            match transaction.is_read_only {
                true => Kind::BeginReadOnly,
                false => Kind::Begin,
            }
        }
        (Some(_), _) => Kind::InTransaction,
        (None, Some(operation)) if operation.is_read() && staleness.is_some() => Kind::ReplicaRead,
        _ => Kind::PrimaryOnly,
    };
    let staleness = staleness.filter(|_| kind == Kind::ReplicaRead).unwrap_or_default();
    Work::new(id, kind, route.priority, since, route.objective, route.timeout)
        .with_staleness(staleness)
        .with_customer(session.customer.clone())
}

/// Returns the staleness bound of reads; none if replicas may not serve them.
pub(super) fn staleness_bound(consistency: Consistency) -> Option<Time> {
    match consistency {
        Consistency::Latest => None,
        Consistency::Bounded(age) | Consistency::Session(age) => Some(age),
    }
}
