//! Simulated clients: the operations that they submit and the answers that they check.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use tamarackbend_policy::owner::{Access, Event, Outcome, Request, RequestId};
use tamarackbend_policy::session::Session;

use crate::fakes::RowId;
use crate::simulation::{DATABASE, InFlight, OWNERS, Operation, Scheduled, Simulation};

impl Simulation {
    /// Submits the next operation of an idle client, chosen at random.
    pub(super) fn step_client(&mut self, index: usize) {
        if self.is_stopping || self.clients[index].awaited_request.is_some() {
            return;
        }
        let roll = self.random.random_range(0..100);
        let next_owner = self.random.random_range(0..OWNERS);
        let row = self.next_row;
        let client = &mut self.clients[index];
        let operation = match &mut client.transaction {
            Some((_, rows)) if rows.len() < 2 => {
                self.next_row += 1;
                rows.push(row);
                Operation::InTransaction(row)
            }
            Some((_, rows)) => Operation::Commit(rows.clone()),
            None if roll < 40 => {
                self.next_row += 1;
                Operation::Write(vec![row])
            }
            None if roll < 50 => Operation::Begin,
            None => Operation::Read,
        };
        if client.transaction.is_none() {
            client.owner = next_owner;
            if roll % 7 == 0 {
                // The client reconnects without a session token.
                let (owner, ended_session) = (client.owner, client.session_id);
                client.session = Session::new();
                self.clients[index].session_id = self.new_session();
                self.schedule(
                    Duration::ZERO,
                    Scheduled::OwnerEvent(owner, Event::EndSession(ended_session)),
                );
            }
        }
        self.submit(index, operation);
    }

    fn submit(&mut self, index: usize, operation: Operation) {
        let request_id = self.next_request_id;
        self.next_request_id += 2;
        let client = &mut self.clients[index];
        client.last_statement_number += 1;
        let owner = client.owner;
        client.awaited_request = Some((owner, request_id));
        let access =
            if matches!(operation, Operation::Read) { Access::Read } else { Access::Write };
        let request = Request {
            id: request_id,
            session: client.session_id,
            statement_number: client.last_statement_number,
            club: format!("club-{}", index % 2),
            access,
            freshness: client.session.freshness(DATABASE),
            max_age: None,
            in_transaction: client.transaction.is_some(),
            begins_transaction: matches!(operation, Operation::Begin),
            deadline: self.now + Duration::from_secs(8),
        };
        let session = request.session;
        let is_repeated = self.random.random_bool(0.05);
        self.in_flight.insert(
            (owner, request_id),
            InFlight { client: index, session, operation: operation.clone(), result: vec![] },
        );
        let delay = self.random_latency();
        self.schedule(delay, Scheduled::OwnerEvent(owner, Event::Submit(request.clone())));
        if is_repeated {
            // The network delivers the request twice; the client ignores the second answer.
            let repeated = Request { id: request_id + 1, ..request };
            self.in_flight.insert(
                (owner, request_id + 1),
                InFlight { client: index, session, operation, result: vec![] },
            );
            let delay = delay + self.random_latency();
            self.schedule(delay, Scheduled::OwnerEvent(owner, Event::Submit(repeated)));
        }
    }

    pub(super) fn on_answer(&mut self, owner: usize, request_id: RequestId, outcome: Outcome) {
        let Some(request) = self.in_flight.remove(&(owner, request_id)) else {
            return self.record_violation("request is answered twice");
        };
        let index = request.client;
        if self.clients[index].awaited_request != Some((owner, request_id)) {
            return;
        }
        self.clients[index].awaited_request = None;
        match outcome {
            Outcome::Completed { floor, in_transaction } => {
                if let Some(floor) = floor {
                    self.clients[index].session.raise_floor(DATABASE, floor);
                }
                self.on_completed(index, &request, in_transaction);
            }
            Outcome::NotRun { .. } => {
                self.outcomes.not_run.extend(written_rows(&request.operation));
                self.abandon_transaction(index, true);
            }
            Outcome::Unknown { .. } => {
                self.outcomes.unknown.extend(written_rows(&request.operation));
                self.abandon_transaction(index, false);
            }
        }
        let pause = Duration::from_millis(self.random.random_range(1..60));
        self.schedule(pause, Scheduled::ClientStep(index));
    }

    fn on_completed(&mut self, index: usize, request: &InFlight, in_transaction: bool) {
        let client = &mut self.clients[index];
        match &request.operation {
            Operation::Write(rows) | Operation::Commit(rows) => {
                client.acknowledged.extend(rows);
                client.transaction = None;
                self.outcomes.acknowledged.extend(rows);
            }
            Operation::Begin => client.transaction = Some((client.owner, Vec::new())),
            Operation::InTransaction(_) => {
                if !in_transaction {
                    client.transaction = None;
                }
            }
            Operation::Read => {
                self.outcomes.reads += 1;
                let seen_rows: BTreeSet<RowId> = request.result.iter().copied().collect();
                if !client.acknowledged.is_subset(&seen_rows) {
                    self.record_violation("read misses own write");
                }
                if !seen_rows.is_disjoint(&self.outcomes.not_run) {
                    self.record_violation("read shows a row whose write was reported as not run");
                }
            }
        }
    }

    fn abandon_transaction(&mut self, index: usize, is_not_run: bool) {
        let client = &mut self.clients[index];
        let Some((owner, rows)) = client.transaction.take() else {
            return;
        };
        let ended_session = client.session_id;
        let rows_by_outcome =
            if is_not_run { &mut self.outcomes.not_run } else { &mut self.outcomes.unknown };
        rows_by_outcome.extend(rows);
        let session_id = self.new_session();
        self.clients[index].session_id = session_id;
        self.schedule(
            Duration::ZERO,
            Scheduled::OwnerEvent(owner, Event::EndSession(ended_session)),
        );
    }
}

/// Returns the rows that the operation writes.
fn written_rows(operation: &Operation) -> Vec<RowId> {
    match operation {
        Operation::Write(rows) | Operation::Commit(rows) => rows.clone(),
        Operation::InTransaction(row) => vec![*row],
        Operation::Read | Operation::Begin => Vec::new(),
    }
}
