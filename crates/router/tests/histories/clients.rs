//! Clients of the test world: each runs one operation after another on its own session.

use std::time::Duration;

use rand::{Rng, RngExt};
use tamarackbend_replica::{Freshness, guarantees_no_effect};
use tamarackbend_router::Event;
use tamarackbend_router::message::{Outcome, Request, SessionId, Statement, TransactionState};

use crate::world::World;

/// Pause of a client between two statements, in milliseconds.
const THINK_TIME_MS: std::ops::Range<u64> = 5..60;
/// Pause of a client within every other long transaction, in milliseconds: such a transaction stays open
/// while the primary is replaced.
const TRANSACTION_PAUSE_MS: std::ops::Range<u64> = 100..900;

pub struct Client {
    node: usize,
    session: SessionId,
    next_at: Duration,
    plan: Vec<Step>,
    in_flight: Option<(String, Step)>,
    has_written: bool,
    /// Identifier of the begin of the current transaction, whose reads must be as recent as the
    /// begin.
    begin_id: Option<String>,
    count: u64,
    has_long_transactions: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Begin(bool),
    Read,
    Write,
    Commit,
    Rollback,
}

impl Client {
    pub fn new(world: &mut World, node: usize, session: SessionId) -> Client {
        world.handle_event(node, Event::ClientConnected(session));
        world.request(node, session, Request::Start { database: "db".to_owned(), key: None });
        Client {
            node,
            session,
            next_at: world.now,
            plan: Vec::new(),
            in_flight: None,
            has_written: false,
            begin_id: None,
            count: 0,
            has_long_transactions: false,
        }
    }

    /// Makes the client pause within transactions that write.
    pub fn with_long_transactions(mut self) -> Client {
        self.has_long_transactions = true;
        self
    }

    /// Sends the next statement if the pause after the last answer is over.
    pub fn act(&mut self, world: &mut World, random: &mut impl Rng) {
        if self.in_flight.is_some() || world.now < self.next_at || world.is_paused(self.node) {
            return;
        }
        if self.plan.is_empty() {
            self.plan = random_plan(random);
            self.has_written = false;
            self.begin_id = None;
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
            self.begin_id = Some(id.clone());
        }
        self.in_flight = Some((id.clone(), step));
        world.request(self.node, self.session, Request::Statement { id, statement, floor: None });
    }

    /// Handles the answer to the client's statement and records it in the world's checker.
    pub fn handle_answer(
        &mut self,
        world: &mut World,
        outcome: &Outcome,
        state: TransactionState,
        freshness: Freshness,
        random: &mut impl Rng,
    ) {
        let Some((id, step)) = self.in_flight.take() else { return };
        let may_pause = self.has_long_transactions && step == Step::Write;
        let is_long = may_pause && state == TransactionState::Transaction && random.random();
        let pause = if is_long { TRANSACTION_PAUSE_MS } else { THINK_TIME_MS };
        self.next_at = world.now + Duration::from_millis(random.random_range(pause));
        match (step, outcome) {
            (Step::Read, Outcome::Complete(_)) => {
                let reference_id = self.begin_id.as_ref().unwrap_or(&id);
                world.checker.record_read(&id, reference_id, freshness);
            }
            (Step::Write, Outcome::Complete(_)) if state == TransactionState::Idle => {
                world.checker.record_write(&id, world.now);
            }
            (Step::Write, Outcome::Complete(_)) => self.has_written = true,
            (Step::Commit, Outcome::Complete(_)) if self.has_written => {
                world.checker.record_write(&id, world.now);
            }
            (Step::Write | Step::Commit, Outcome::Error { fault, .. })
                if guarantees_no_effect(fault) =>
            {
                world.checker.record_refused_write(&id);
            }
            _ => {}
        }
        if matches!(outcome, Outcome::Error { .. }) {
            self.plan =
                if state == TransactionState::Failed { vec![Step::Rollback] } else { Vec::new() };
        }
    }

    pub fn has_session(&self, node: usize, session: SessionId) -> bool {
        self.node == node && self.session == session
    }
}

/// Returns the steps of a random operation in reverse order.
fn random_plan(random: &mut impl Rng) -> Vec<Step> {
    match random.random_range(0..10) {
        0..4 => vec![Step::Read],
        4..6 => vec![Step::Write],
        6 => vec![Step::Commit, Step::Read, Step::Read, Step::Begin(true)],
        7 => vec![Step::Rollback, Step::Write, Step::Begin(false)],
        8 => vec![Step::Commit, Step::Read, Step::Begin(false)],
        _ => vec![Step::Commit, Step::Write, Step::Read, Step::Begin(false)],
    }
}
