//! Statements from their arrival to their answer.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{
    Access, Action, ConnectionId, Execution, Outcome, Owner, Pending, Policy, Request, RequestId,
    Running, SessionId, Use, Waiting,
};
use crate::code::{Class, Code};
use crate::position::{EndpointIndex, Floor, Role, Status};
use crate::session::Freshness;

/// Times a read is started again after its endpoint failed.
const READ_ATTEMPTS: u32 = 3;
/// When a statement is worth another attempt that found no endpoint to run on.
const RECOVERY_RETRY: Duration = Duration::from_secs(1);

impl Owner {
    pub(super) fn submit(&mut self, request: Request) {
        let last = self.statements.insert(request.session, request.statement_number);
        if self.settings.guards.reject_duplicates
            && last.is_some_and(|last| request.statement_number <= last)
        {
            self.statements.insert(request.session, last.unwrap_or_default());
            return self.answer_unknown(request.id, Code::Duplicate);
        }
        let pinned = self.pinned.remove(&request.session);
        if let Some(connection) = pinned.filter(|_| !request.in_transaction) {
            // The session does not know of the transaction: the answer to its start was lost.
            self.close(connection);
        } else if let Some(connection) = pinned {
            let waiting = Waiting { request, arrived: self.now, attempts: 0, ran: false };
            return self.start(waiting, connection);
        }
        if request.in_transaction {
            return self.answer_not_run(request.id, Code::TransactionLost);
        }
        self.retries.record_attempt();
        let (club, deadline) = (request.club.clone(), request.deadline);
        let waiting = Waiting { request, arrived: self.now, attempts: 0, ran: false };
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
        self.statements.remove(&session);
        self.queue.remove_matching(|waiting| waiting.request.session == session);
        for running in self.running.values_mut() {
            running.abandoned |= running.waiting.request.session == session;
        }
        if let Some(connection) = self.pinned.remove(&session) {
            self.close(connection);
        }
    }

    /// Gives waiting statements back when another node owns the database: they go there.
    pub(super) fn retire(&mut self, retired: bool) {
        self.retired = retired;
        if retired {
            for waiting in self.queue.remove_matching(|waiting| !waiting.ran) {
                self.answer_not_run(waiting.request.id, Code::Draining);
            }
        }
    }

    pub(super) fn finished(&mut self, request_id: RequestId, finish: Execution) {
        let Some(running) = self.running.remove(&request_id) else {
            return;
        };
        let club = running.waiting.request.club.clone();
        self.queue.charge(&club, running.estimate, self.now.saturating_sub(running.started));
        match finish {
            Execution::Completed { status, in_transaction } => {
                self.done(running, status, in_transaction)
            }
            Execution::NotPrimary => {
                self.release(running.connection);
                self.endpoints[running.endpoint].probe_now();
                self.requeue_or(running, Code::NoPrimary, true);
            }
            Execution::NotSent => {
                self.broken(running.connection);
                let lost = running.waiting.request.in_transaction;
                self.requeue_or(running, Code::TransactionLost, !lost);
            }
            Execution::NoAnswer => {
                self.broken(running.connection);
                self.lost(running);
            }
        }
    }

    pub(super) fn done(&mut self, running: Running, status: Option<Status>, in_transaction: bool) {
        if let Some(status) = status {
            self.endpoints[running.endpoint].observe(self.now, status);
        }
        if running.abandoned {
            if in_transaction {
                return self.close(running.connection);
            }
            return self.release(running.connection);
        }
        let request = &running.waiting.request;
        let (request_id, session) = (request.id, request.session);
        if in_transaction {
            let opened = !request.in_transaction;
            if opened && !status.is_some_and(|status| self.transaction_holds(&running, &status)) {
                self.close(running.connection);
                return self.requeue_or(running, Code::AnswerUnusable, true);
            }
            self.pin(running.connection, session);
            let verdict = Outcome::Completed { floor: None, in_transaction: true };
            return self.answer(request_id, verdict);
        }
        self.release(running.connection);
        match (request.access, status) {
            (Access::Read, Some(status)) if self.read_holds(&running, &status) => {
                self.count_read(status.role);
                let floor = Some(Floor::new(status.term, status.position));
                self.answer(request_id, Outcome::Completed { floor, in_transaction: false });
            }
            (Access::Read, _) => self.requeue_or(running, Code::AnswerUnusable, true),
            (Access::Write, Some(status)) => self.written(request_id, status),
            (Access::Write, None) => self.answer_unknown(request_id, Code::ConnectionLost),
        }
    }

    pub(super) fn read_holds(&self, running: &Running, status: &Status) -> bool {
        if !self.settings.guards.check_floors || self.settings.policy == Policy::RandomReplica {
            return true;
        }
        let Freshness::Floor(floor) = running.waiting.request.freshness else {
            return running.waiting.request.in_transaction;
        };
        running.incarnation == status.incarnation && floor.is_met_by(status)
    }

    pub(super) fn transaction_holds(&self, running: &Running, status: &Status) -> bool {
        let reads = running.waiting.request.access == Access::Read;
        let leads = status.role == Role::Primary && status.is_in_newest_term();
        self.read_holds(running, status) && (reads || leads)
    }

    pub(super) fn written(&mut self, request_id: RequestId, status: Status) {
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

    pub(super) fn lost(&mut self, running: Running) {
        if running.abandoned {
            return;
        }
        let reads = running.waiting.request.access == Access::Read;
        let repeatable = reads && !running.waiting.request.in_transaction;
        if repeatable || !self.settings.guards.dispatch_writes_once {
            return self.requeue_or(running, Code::ConnectionLost, true);
        }
        self.answer_unknown(running.waiting.request.id, Code::ConnectionLost);
    }

    /// Starts a statement again if it may and the budget allows, else answers with `code`.
    pub(super) fn requeue_or(&mut self, running: Running, code: Code, allowed: bool) {
        let mut waiting = running.waiting;
        if running.abandoned {
            return;
        }
        waiting.attempts += 1;
        waiting.ran |= code.class() == Class::Unknown;
        let may_retry = allowed && waiting.attempts < READ_ATTEMPTS && self.retries.try_retry();
        if may_retry && !waiting.request.in_transaction {
            self.counters.retries += 1;
            let (club, deadline) = (waiting.request.club.clone(), waiting.request.deadline);
            return self.queue.push_front(&club, deadline, waiting);
        }
        self.give_up(&waiting, code);
    }

    pub(super) fn give_up(&mut self, waiting: &Waiting, code: Code) {
        let request_id = waiting.request.id;
        match code.class() {
            Class::Unknown => self.answer_unknown(request_id, code),
            _ if waiting.ran => self.answer_unknown(request_id, Code::AnswerUnusable),
            _ => self.answer_not_run(request_id, code),
        }
    }

    /// Answers what still runs on an endpoint that is no longer primary.
    pub(super) fn settle_deposed(&mut self, primary: EndpointIndex) {
        let deposed = |running: &Running| {
            running.endpoint != primary && running.waiting.request.access == Access::Write
        };
        for running in self.take_running(deposed) {
            self.answer_unknown(running.waiting.request.id, Code::PrimaryReplaced);
        }
    }

    /// Starts the reads on an endpoint that has stopped to answer elsewhere.
    pub(super) fn settle_silent(&mut self, endpoint: EndpointIndex) {
        let stuck = |running: &Running| {
            let request = &running.waiting.request;
            let repeatable = request.access == Access::Read && !request.in_transaction;
            running.endpoint == endpoint && repeatable
        };
        for running in self.take_running(stuck) {
            self.requeue_or(running, Code::ConnectionLost, true);
        }
    }

    /// Takes the running statements that match off their connections, which are closed.
    fn take_running(&mut self, matches: impl Fn(&Running) -> bool) -> Vec<Running> {
        let running = std::mem::take(&mut self.running);
        let (taken, kept) = running.into_iter().partition(|(_, running)| matches(running));
        self.running = kept;
        let taken: BTreeMap<RequestId, Running> = taken;
        taken.values().for_each(|running| self.close(running.connection));
        taken.into_values().collect()
    }

    pub(super) fn expire(&mut self) {
        for waiting in self.queue.remove_expired(self.now) {
            let code = match waiting.request.access {
                Access::Write if !self.can_write() => Code::NoPrimary,
                Access::Read if self.read_targets(&waiting).is_empty() => Code::NoFreshEndpoint,
                _ => Code::QueueTimeout,
            };
            self.give_up(&waiting, code);
        }
        let overdue: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| match connection.used {
                Use::Idle { since } => {
                    self.retired || self.now >= since + self.settings.idle_connection_timeout
                }
                Use::Pinned { since, .. } => self.now >= since + self.settings.idle_in_transaction,
                Use::Opening | Use::Busy => false,
            })
            .map(|(id, _)| *id)
            .collect();
        for connection in overdue {
            self.close(connection);
        }
    }

    pub(super) fn start(&mut self, waiting: Waiting, connection: ConnectionId) {
        let cost = self.queue.estimated_cost();
        self.start_with_cost(waiting, connection, cost);
    }

    pub(super) fn start_with_cost(
        &mut self,
        waiting: Waiting,
        connection: ConnectionId,
        cost: Duration,
    ) {
        let Some(used) = self.connections.get_mut(&connection) else {
            return self.answer_not_run(waiting.request.id, Code::TransactionLost);
        };
        used.used = Use::Busy;
        if waiting.request.begins_transaction {
            used.holder = Some(waiting.request.club.clone());
        }
        let endpoint = used.endpoint;
        let incarnation = self.endpoints[endpoint].status().map_or(0, |status| status.incarnation);
        let request_id = waiting.request.id;
        let running = Running {
            waiting,
            connection,
            endpoint,
            incarnation,
            started: self.now,
            estimate: cost,
            abandoned: false,
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

    pub(super) fn answer(&mut self, request_id: RequestId, verdict: Outcome) {
        self.actions.push(Action::Answer(request_id, verdict));
    }

    pub(super) fn answer_not_run(&mut self, request_id: RequestId, code: Code) {
        self.counters.not_run += 1;
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.settings.slots.max(1)).unwrap_or(1);
        let retry_after = match code {
            Code::NoPrimary | Code::NoFreshEndpoint => RECOVERY_RETRY,
            _ => {
                self.queue.estimated_cost().saturating_mul(waiting) / slots
                    + self.queue.estimated_cost()
            }
        };
        let verdict = Outcome::NotRun { code, retry_after };
        self.answer(request_id, verdict);
    }

    pub(super) fn answer_unknown(&mut self, request_id: RequestId, code: Code) {
        self.counters.unknown += 1;
        self.answer(request_id, Outcome::Unknown { code });
    }
}
