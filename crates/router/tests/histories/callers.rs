//! Callers of the test world: each runs one operation after the other on its session.

use std::time::Duration;

use rand::{Rng, RngExt};
use tamarackbend_replica::{Freshness, guarantees_no_effect};
use tamarackbend_router::Event;
use tamarackbend_router::message::{Outcome, Request, SessionId, Statement, TransactionState};

use crate::world::World;

/// Pause of a caller between two statements.
const PAUSE_MS: std::ops::Range<u64> = 5..60;

pub struct Caller {
    node: usize,
    session: SessionId,
    next_at: Duration,
    plan: Vec<Step>,
    waits: Option<(String, Step)>,
    wrote: bool,
    /// Statement that began the transaction, whose reads are as recent as it.
    began: Option<String>,
    count: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Begin(bool),
    Read,
    Write,
    Commit,
    Rollback,
}

impl Caller {
    pub fn new(world: &mut World, node: usize, session: SessionId) -> Caller {
        world.give(node, Event::ClientConnected(session));
        world.request(node, session, Request::Start { database: "db".to_owned() });
        Caller {
            node,
            session,
            next_at: world.now,
            plan: Vec::new(),
            waits: None,
            wrote: false,
            began: None,
            count: 0,
        }
    }

    /// Sends the next statement if it is time.
    pub fn act(&mut self, world: &mut World, random: &mut impl Rng) {
        if self.waits.is_some() || world.now < self.next_at || world.is_paused(self.node) {
            return;
        }
        if self.plan.is_empty() {
            self.plan = plan(random);
            self.wrote = false;
            self.began = None;
        }
        let Some(step) = self.plan.pop() else { return };
        self.count += 1;
        let id = format!("{}-{}-{}", self.node, self.session, self.count);
        let statement = match step {
            Step::Begin(read_only) => Statement::Begin { read_only },
            Step::Read => Statement::Read { arguments: "item".to_owned() },
            Step::Write => Statement::Write { arguments: id.clone() },
            Step::Commit => Statement::Commit,
            Step::Rollback => Statement::Rollback,
        };
        if matches!(step, Step::Begin(_)) {
            self.began = Some(id.clone());
        }
        self.waits = Some((id.clone(), step));
        world.request(self.node, self.session, Request::Statement { id, statement, floor: None });
    }

    /// Takes the answer to the caller's statement.
    pub fn take(
        &mut self,
        world: &mut World,
        outcome: &Outcome,
        state: TransactionState,
        freshness: Freshness,
        random: &mut impl Rng,
    ) {
        let Some((id, step)) = self.waits.take() else { return };
        self.next_at = world.now + Duration::from_millis(random.random_range(PAUSE_MS));
        match (step, outcome) {
            (Step::Read, Outcome::Complete(_)) => {
                let asked = self.began.as_ref().unwrap_or(&id);
                world.check.record_read(&id, asked, freshness);
            }
            (Step::Write, Outcome::Complete(_)) if state == TransactionState::Idle => {
                world.check.record_write(&id, world.now);
            }
            (Step::Write, Outcome::Complete(_)) => self.wrote = true,
            (Step::Commit, Outcome::Complete(_)) if self.wrote => {
                world.check.record_write(&id, world.now);
            }
            (Step::Write | Step::Commit, Outcome::Error { fault, .. })
                if guarantees_no_effect(fault) =>
            {
                world.check.record_refused_write(&id);
            }
            _ => {}
        }
        if matches!(outcome, Outcome::Error { .. }) {
            self.plan =
                if state == TransactionState::Failed { vec![Step::Rollback] } else { Vec::new() };
        }
    }

    pub fn is(&self, node: usize, session: SessionId) -> bool {
        self.node == node && self.session == session
    }
}

/// Returns the steps of an operation, the last one first.
fn plan(random: &mut impl Rng) -> Vec<Step> {
    match random.random_range(0..10) {
        0..4 => vec![Step::Read],
        4..6 => vec![Step::Write],
        6 => vec![Step::Commit, Step::Read, Step::Read, Step::Begin(true)],
        7 => vec![Step::Rollback, Step::Write, Step::Begin(false)],
        8 => vec![Step::Commit, Step::Read, Step::Begin(false)],
        _ => vec![Step::Commit, Step::Write, Step::Read, Step::Begin(false)],
    }
}
