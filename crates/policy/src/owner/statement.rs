//! Life cycle of statements: arrival, dispatch, retry and answer.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{
    Access, Action, ConnectionId, Execution, Outcome, Owner, Pending, Policy, Request, RequestId,
    Running, SessionId, State, Waiting,
};
use crate::code::{Class, Code};
use crate::position::{EndpointIndex, Floor, Role, Status};
use crate::session::Freshness;

/// Maximum number of dispatches of one statement.
const MAX_ATTEMPTS: u32 = 3;
/// Retry delay suggested to a client whose statement found no primary or no fresh endpoint.
const RECOVERY_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Owner {
    pub(super) fn submit(&mut self, request: Request) {
        let last_number =
            self.last_statement_numbers.insert(request.session, request.statement_number);
        if self.settings.guards.reject_duplicates
            && last_number.is_some_and(|last| request.statement_number <= last)
        {
            self.last_statement_numbers.insert(request.session, last_number.unwrap_or_default());
            return self.answer_unknown(request.id, Code::Duplicate);
        }
        let pinned_connection = self.pinned.remove(&request.session);
        if let Some(connection) = pinned_connection.filter(|_| !request.in_transaction) {
            // The answer to the transaction's begin was lost, so the session doesn't know that the
            // transaction is open.
            self.close_connection(connection);
        } else if let Some(connection) = pinned_connection {
            let waiting =
                Waiting { request, arrived_at: self.now, attempts: 0, may_have_run: false };
            return self.start(waiting, connection);
        }
        if request.in_transaction {
            return self.answer_not_run(request.id, Code::TransactionLost);
        }
        self.retry_budget.record_attempt();
        let (club, deadline) = (request.club.clone(), request.deadline);
        let waiting = Waiting { request, arrived_at: self.now, attempts: 0, may_have_run: false };
        if let Err((_, waiting)) = self.queue.push(&club, deadline, waiting) {
            self.answer_not_run(waiting.request.id, Code::QueueFull);
        }
    }

    pub(super) fn cancel(&mut self, request_id: RequestId) {
        for waiting in self.queue.remove_matching(|waiting| waiting.request.id == request_id) {
            self.answer_not_run(waiting.request.id, Code::Canceled);
        }
    }

    pub(super) fn end_session(&mut self, session: SessionId) {
        self.last_statement_numbers.remove(&session);
        self.queue.remove_matching(|waiting| waiting.request.session == session);
        for running in self.running.values_mut() {
            running.is_abandoned |= running.waiting.request.session == session;
        }
        if let Some(connection) = self.pinned.remove(&session) {
            self.close_connection(connection);
        }
    }

    /// Sets whether another node owns the database. A retired owner returns its waiting statements
    /// as not run, so that they are sent to the new owner.
    pub(super) fn set_retired(&mut self, is_retired: bool) {
        self.is_retired = is_retired;
        if is_retired {
            for waiting in self.queue.remove_matching(|waiting| !waiting.may_have_run) {
                self.answer_not_run(waiting.request.id, Code::Draining);
            }
        }
    }

    pub(super) fn on_statement_finished(&mut self, request_id: RequestId, execution: Execution) {
        let Some(running) = self.running.remove(&request_id) else {
            return;
        };
        let club = running.waiting.request.club.clone();
        self.queue.charge(
            &club,
            running.estimated_cost,
            self.now.saturating_sub(running.started_at),
        );
        match execution {
            Execution::Completed { status, in_transaction } => {
                self.on_execution_completed(running, status, in_transaction)
            }
            Execution::NotPrimary => {
                self.release(running.connection);
                self.endpoints[running.endpoint].request_probe();
                self.retry_or_answer(running, Code::NoPrimary, true);
            }
            Execution::NotSent => {
                self.on_connection_lost(running.connection);
                let in_transaction = running.waiting.request.in_transaction;
                self.retry_or_answer(running, Code::TransactionLost, !in_transaction);
            }
            Execution::NoAnswer => {
                self.on_connection_lost(running.connection);
                self.on_no_answer(running);
            }
        }
    }

    pub(super) fn on_execution_completed(
        &mut self,
        running: Running,
        status: Option<Status>,
        in_transaction: bool,
    ) {
        if let Some(status) = status {
            self.endpoints[running.endpoint].update_status(self.now, status);
        }
        if running.is_abandoned {
            if in_transaction {
                return self.close_connection(running.connection);
            }
            return self.release(running.connection);
        }
        let request = &running.waiting.request;
        let (request_id, session) = (request.id, request.session);
        if in_transaction {
            let is_new_transaction = !request.in_transaction;
            if is_new_transaction
                && !status.is_some_and(|status| self.is_transaction_valid(&running, &status))
            {
                self.close_connection(running.connection);
                return self.retry_or_answer(running, Code::AnswerUnusable, true);
            }
            self.pin(running.connection, session);
            let outcome = Outcome::Completed { floor: None, in_transaction: true };
            return self.answer(request_id, outcome);
        }
        self.release(running.connection);
        match (request.access, status) {
            (Access::Read, Some(status)) if self.is_read_valid(&running, &status) => {
                self.count_read(status.role);
                let floor = Some(Floor::new(status.term, status.position));
                self.answer(request_id, Outcome::Completed { floor, in_transaction: false });
            }
            (Access::Read, _) => self.retry_or_answer(running, Code::AnswerUnusable, true),
            (Access::Write, Some(status)) => self.await_confirmation(request_id, status),
            (Access::Write, None) => self.answer_unknown(request_id, Code::ConnectionLost),
        }
    }

    /// Returns whether `status`, which came with the answer to a read, proves that the endpoint
    /// held the session's floor when the read ran.
    pub(super) fn is_read_valid(&self, running: &Running, status: &Status) -> bool {
        if !self.settings.guards.check_floors || self.settings.policy == Policy::RandomReplica {
            return true;
        }
        let Freshness::Floor(floor) = running.waiting.request.freshness else {
            return running.waiting.request.in_transaction;
        };
        running.incarnation == status.incarnation && floor.is_met_by(status)
    }

    /// Returns whether a transaction that has just begun may continue on the endpoint.
    pub(super) fn is_transaction_valid(&self, running: &Running, status: &Status) -> bool {
        let is_read = running.waiting.request.access == Access::Read;
        let is_primary = status.role == Role::Primary && status.is_in_newest_term();
        self.is_read_valid(running, status) && (is_read || is_primary)
    }

    /// Keeps a write whose status came with the answer pending until a majority confirms the write.
    pub(super) fn await_confirmation(&mut self, request_id: RequestId, status: Status) {
        let written = Floor::new(status.term, status.position);
        if !self.settings.guards.await_majority {
            self.counters.writes += 1;
            let floor = Some(written);
            return self.answer(request_id, Outcome::Completed { floor, in_transaction: false });
        }
        if self.settings.guards.check_term
            && (status.role != Role::Primary || !status.is_in_newest_term())
        {
            return self.answer_unknown(request_id, Code::PrimaryReplaced);
        }
        self.pending.push(Pending { request_id, written, since: self.now });
    }

    pub(super) fn on_no_answer(&mut self, running: Running) {
        if running.is_abandoned {
            return;
        }
        let is_read = running.waiting.request.access == Access::Read;
        let is_repeatable = is_read && !running.waiting.request.in_transaction;
        if is_repeatable || !self.settings.guards.dispatch_writes_once {
            return self.retry_or_answer(running, Code::ConnectionLost, true);
        }
        self.answer_unknown(running.waiting.request.id, Code::ConnectionLost);
    }

    /// Queues a statement again if `is_retry_allowed`, its attempts and the retry budget permit;
    /// otherwise answers with `code`.
    pub(super) fn retry_or_answer(&mut self, running: Running, code: Code, is_retry_allowed: bool) {
        let mut waiting = running.waiting;
        if running.is_abandoned {
            return;
        }
        waiting.attempts += 1;
        waiting.may_have_run |= code.class() == Class::Unknown;
        let may_retry =
            is_retry_allowed && waiting.attempts < MAX_ATTEMPTS && self.retry_budget.try_retry();
        if may_retry && !waiting.request.in_transaction {
            self.counters.retries += 1;
            let (club, deadline) = (waiting.request.club.clone(), waiting.request.deadline);
            return self.queue.push_front(&club, deadline, waiting);
        }
        self.answer_failure(&waiting, code);
    }

    /// Answers a statement that is not retried, with an unknown outcome if an earlier attempt may
    /// have run the statement.
    pub(super) fn answer_failure(&mut self, waiting: &Waiting, code: Code) {
        let request_id = waiting.request.id;
        match code.class() {
            Class::Unknown => self.answer_unknown(request_id, code),
            _ if waiting.may_have_run => self.answer_unknown(request_id, Code::AnswerUnusable),
            _ => self.answer_not_run(request_id, code),
        }
    }

    /// Answers the writes that still run on endpoints other than `primary`; their outcome is
    /// unknown.
    pub(super) fn answer_writes_on_old_primary(&mut self, primary: EndpointIndex) {
        let is_on_old_primary = |running: &Running| {
            running.endpoint != primary && running.waiting.request.access == Access::Write
        };
        for running in self.abort_running(is_on_old_primary) {
            self.answer_unknown(running.waiting.request.id, Code::PrimaryReplaced);
        }
    }

    /// Retries the reads that run on an endpoint which has stopped answering.
    pub(super) fn retry_reads_elsewhere(&mut self, endpoint: EndpointIndex) {
        let is_stuck_read = |running: &Running| {
            let request = &running.waiting.request;
            let is_repeatable = request.access == Access::Read && !request.in_transaction;
            running.endpoint == endpoint && is_repeatable
        };
        for running in self.abort_running(is_stuck_read) {
            self.retry_or_answer(running, Code::ConnectionLost, true);
        }
    }

    /// Removes and returns the running statements that match, and closes their connections.
    fn abort_running(&mut self, matches: impl Fn(&Running) -> bool) -> Vec<Running> {
        let running = std::mem::take(&mut self.running);
        let (aborted, kept) = running.into_iter().partition(|(_, running)| matches(running));
        self.running = kept;
        let aborted: BTreeMap<RequestId, Running> = aborted;
        aborted.values().for_each(|running| self.close_connection(running.connection));
        aborted.into_values().collect()
    }

    /// Answers the waiting statements whose deadline has passed and closes connections that have
    /// been idle for too long.
    pub(super) fn expire_deadlines(&mut self) {
        for waiting in self.queue.remove_expired(self.now) {
            let code = match waiting.request.access {
                Access::Write if !self.is_primary_writable() => Code::NoPrimary,
                Access::Read if self.read_targets(&waiting).is_empty() => Code::NoFreshEndpoint,
                _ => Code::QueueTimeout,
            };
            self.answer_failure(&waiting, code);
        }
        let expired: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| match connection.state {
                State::Idle { since } => {
                    self.is_retired || self.now >= since + self.settings.idle_connection_timeout
                }
                State::Pinned { since, .. } => {
                    self.now >= since + self.settings.idle_in_transaction
                }
                State::Opening | State::Busy => false,
            })
            .map(|(id, _)| *id)
            .collect();
        for connection in expired {
            self.close_connection(connection);
        }
    }

    /// Dispatches a statement of a pinned session, which did not pass through the queue.
    pub(super) fn start(&mut self, waiting: Waiting, connection: ConnectionId) {
        let cost = self.queue.estimated_cost();
        self.start_with_cost(waiting, connection, cost);
    }

    /// Dispatches a statement; `estimated_cost` is corrected to the actual slot time at the end.
    pub(super) fn start_with_cost(
        &mut self,
        waiting: Waiting,
        connection: ConnectionId,
        estimated_cost: Duration,
    ) {
        let Some(target) = self.connections.get_mut(&connection) else {
            return self.answer_not_run(waiting.request.id, Code::TransactionLost);
        };
        target.state = State::Busy;
        if waiting.request.begins_transaction {
            target.transaction_club = Some(waiting.request.club.clone());
        }
        let endpoint = target.endpoint;
        let incarnation = self.endpoints[endpoint].status().map_or(0, |status| status.incarnation);
        let request_id = waiting.request.id;
        let running = Running {
            waiting,
            connection,
            endpoint,
            incarnation,
            started_at: self.now,
            estimated_cost,
            is_abandoned: false,
        };
        self.running.insert(request_id, running);
        self.actions.push(Action::Dispatch(request_id, connection));
    }

    pub(super) fn count_read(&mut self, role: Role) {
        match role {
            Role::Primary => self.counters.primary_reads += 1,
            Role::Replica => self.counters.replica_reads += 1,
        }
    }

    pub(super) fn answer(&mut self, request_id: RequestId, outcome: Outcome) {
        self.actions.push(Action::Answer(request_id, outcome));
    }

    pub(super) fn answer_not_run(&mut self, request_id: RequestId, code: Code) {
        self.counters.not_run += 1;
        let waiting_count = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.settings.slots.max(1)).unwrap_or(1);
        let retry_after = match code {
            Code::NoPrimary | Code::NoFreshEndpoint => RECOVERY_RETRY_DELAY,
            _ => {
                self.queue.estimated_cost().saturating_mul(waiting_count) / slots
                    + self.queue.estimated_cost()
            }
        };
        let outcome = Outcome::NotRun { code, retry_after };
        self.answer(request_id, outcome);
    }

    pub(super) fn answer_unknown(&mut self, request_id: RequestId, code: Code) {
        self.counters.unknown += 1;
        self.answer(request_id, Outcome::Unknown { code });
    }
}
