//! What callers ask for and what they are told.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use tamarackbend_policy::owner::{Access, Event, Outcome, Request, RequestId};
use tamarackbend_policy::session::Session;

use crate::fakes::RowId;
use crate::world::{Asked, DATABASE, Item, OWNERS, Work, World};

impl World {
    pub(super) fn step_caller(&mut self, index: usize) {
        if self.stopping || self.callers[index].busy.is_some() {
            return;
        }
        let roll = self.random.random_range(0..100);
        let roam = self.random.random_range(0..OWNERS);
        let row = self.next_row;
        let caller = &mut self.callers[index];
        let work = match &mut caller.transaction {
            Some((_, rows)) if rows.len() < 2 => {
                self.next_row += 1;
                rows.push(row);
                Work::InTransaction(row)
            }
            Some((_, rows)) => Work::Commit(rows.clone()),
            None if roll < 40 => {
                self.next_row += 1;
                Work::Write(vec![row])
            }
            None if roll < 50 => Work::Begin,
            None => Work::Read,
        };
        if caller.transaction.is_none() {
            caller.owner = roam;
            if roll % 7 == 0 {
                // A new connection that shows no token.
                let (owner, old) = (caller.owner, caller.id);
                caller.session = Session::new();
                self.callers[index].id = self.new_session();
                self.after(Duration::ZERO, Item::Owner(owner, Event::EndSession(old)));
            }
        }
        self.ask(index, work);
    }

    fn ask(&mut self, index: usize, work: Work) {
        let request_id = self.next_ticket;
        self.next_ticket += 2;
        let caller = &mut self.callers[index];
        caller.number += 1;
        let owner = caller.owner;
        caller.busy = Some((owner, request_id));
        let access = if matches!(work, Work::Read) { Access::Read } else { Access::Write };
        let request = Request {
            id: request_id,
            session: caller.id,
            statement_number: caller.number,
            club: format!("club-{}", index % 2),
            access,
            freshness: caller.session.freshness(DATABASE),
            max_age: None,
            in_transaction: caller.transaction.is_some(),
            begins_transaction: matches!(work, Work::Begin),
            deadline: self.now + Duration::from_secs(8),
        };
        let session = request.session;
        let twice = self.random.random_bool(0.05);
        self.asked.insert(
            (owner, request_id),
            Asked { caller: index, session, work: work.clone(), result: vec![] },
        );
        let delay = self.hop();
        self.after(delay, Item::Owner(owner, Event::Submit(request.clone())));
        if twice {
            // A network that repeats a frame; nobody waits for the second answer.
            let repeated = Request { id: request_id + 1, ..request };
            self.asked.insert(
                (owner, request_id + 1),
                Asked { caller: index, session, work, result: vec![] },
            );
            let delay = delay + self.hop();
            self.after(delay, Item::Owner(owner, Event::Submit(repeated)));
        }
    }

    pub(super) fn answered(&mut self, owner: usize, request_id: RequestId, verdict: Outcome) {
        let Some(asked) = self.asked.remove(&(owner, request_id)) else {
            return self.violate("two answers");
        };
        let index = asked.caller;
        if self.callers[index].busy != Some((owner, request_id)) {
            return;
        }
        self.callers[index].busy = None;
        match verdict {
            Outcome::Completed { floor, in_transaction } => {
                if let Some(floor) = floor {
                    self.callers[index].session.raise_floor(DATABASE, floor);
                }
                self.delivered(index, &asked, in_transaction);
            }
            Outcome::NotRun { .. } => {
                self.record.not_run.extend(rows_of(&asked.work));
                self.drop_transaction(index, true);
            }
            Outcome::Unknown { .. } => {
                self.record.unknown.extend(rows_of(&asked.work));
                self.drop_transaction(index, false);
            }
        }
        let pause = Duration::from_millis(self.random.random_range(1..60));
        self.after(pause, Item::Step(index));
    }

    fn delivered(&mut self, index: usize, asked: &Asked, in_transaction: bool) {
        let caller = &mut self.callers[index];
        match &asked.work {
            Work::Write(rows) | Work::Commit(rows) => {
                caller.acknowledged.extend(rows);
                caller.transaction = None;
                self.record.acknowledged.extend(rows);
            }
            Work::Begin => caller.transaction = Some((caller.owner, Vec::new())),
            Work::InTransaction(_) => {
                if !in_transaction {
                    caller.transaction = None;
                }
            }
            Work::Read => {
                self.record.reads += 1;
                let seen: BTreeSet<RowId> = asked.result.iter().copied().collect();
                if !caller.acknowledged.is_subset(&seen) {
                    self.violate("read misses own write");
                }
                if !seen.is_disjoint(&self.record.not_run) {
                    self.violate("read shows what was not run");
                }
            }
        }
    }

    fn drop_transaction(&mut self, index: usize, not_run: bool) {
        let caller = &mut self.callers[index];
        let Some((owner, rows)) = caller.transaction.take() else {
            return;
        };
        let old = caller.id;
        let outcome = if not_run { &mut self.record.not_run } else { &mut self.record.unknown };
        outcome.extend(rows);
        let id = self.new_session();
        self.callers[index].id = id;
        self.after(Duration::ZERO, Item::Owner(owner, Event::EndSession(old)));
    }
}

fn rows_of(work: &Work) -> Vec<RowId> {
    match work {
        Work::Write(rows) | Work::Commit(rows) => rows.clone(),
        Work::InTransaction(row) => vec![*row],
        Work::Read | Work::Begin => Vec::new(),
    }
}
