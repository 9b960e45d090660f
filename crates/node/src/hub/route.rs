//! Way of a statement to its owner and of the answer back.

use std::time::Instant;

use tamarackbend_policy::code::{Class, Code};
use tamarackbend_policy::ownership::VmId;
use tamarackbend_wire::{Answer, Cancel, EndSession, Frame, Statement, frame::Body};

use super::{Hub, Outstanding, Reply};
use crate::owner;

/// Nodes that may pass a statement on.
const MAX_HOPS: u32 = 2;
/// Owners that are tried with one statement.
const ATTEMPTS: u32 = 4;

impl Hub {
    /// Passes a statement to the owner of its database.
    pub(super) fn route(&mut self, statement: Statement, reply: Reply, attempts: u32) {
        if attempts == 0 {
            self.retries.record_attempt();
        }
        let bound = self.sticky.get(&statement.session).filter(|_| statement.in_transaction);
        let Some(vm) = bound.cloned().or_else(|| self.owner_of(&statement.database)) else {
            return self.reply(&reply, refusal(&statement, Code::NoSuchDatabase));
        };
        let key = (statement.session, statement.number);
        let outstanding = Outstanding {
            statement: statement.clone(),
            reply,
            vm: vm.clone(),
            attempts,
            sent: Instant::now(),
        };
        self.outstanding.insert(key, outstanding);
        if vm == self.settings.vm {
            return self.submit_local(statement);
        }
        if !self.send(&vm, Body::Statement(statement)) {
            self.retry(key, Code::OwnerUnreachable);
        }
    }

    /// Takes a peer's statement, or passes it on if another node owns the database by now.
    ///
    /// Views differ for a while after a node has come or gone. The node that gives a database up
    /// sends its callers' statements after it, so that two owners do not contend for the slots.
    pub(super) fn receive(&mut self, from: VmId, statement: Statement) {
        let own = self.settings.vm.clone();
        let bound = self.sticky.get(&statement.session).is_some_and(|vm| *vm != own);
        let owner = self.owner_of(&statement.database);
        let elsewhere = owner.is_some_and(|vm| vm != own && vm != from);
        let passes_on = match statement.in_transaction {
            true => bound,
            false => elsewhere && statement.hops < MAX_HOPS,
        };
        if passes_on {
            metrics::counter!("tamarackbend_statements_passed_on_total").increment(1);
            let statement = Statement { hops: statement.hops + 1, ..statement };
            return self.route(statement, Reply::Peer(from), 0);
        }
        self.remote_sessions.insert(statement.session, from);
        self.submit_local(statement);
    }

    /// Gives a statement of any node to the local owner of its database.
    pub(super) fn submit_local(&mut self, statement: Statement) {
        if self.draining.is_some() && !statement.in_transaction {
            return self.answered(refusal(&statement, Code::Draining));
        }
        let database = statement.database.clone();
        match self.local_owner(&database) {
            Some(owner) => owner.send(owner::Message::Statement(statement)),
            None => self.answered(refusal(&statement, Code::NoSuchDatabase)),
        }
    }

    /// Passes an answer on to the session, which is here or on the peer that sent the statement.
    pub(super) fn answered(&mut self, answer: Answer) {
        let key = (answer.session, answer.number);
        if !self.outstanding.contains_key(&key) {
            let Some(vm) = self.remote_sessions.get(&answer.session).cloned() else {
                return;
            };
            if let Some(link) = self.links.get_mut(&vm) {
                link.send(Frame::new(Body::Answer(answer)));
            }
            return;
        }
        let elsewhere = [Code::Draining, Code::OwnerUnreachable];
        if elsewhere.iter().any(|code| u32::from(code.number()) == answer.code) {
            let code = Code::from_number(answer.code as u16).unwrap_or(Code::OwnerUnreachable);
            return self.retry(key, code);
        }
        let Some(outstanding) = self.outstanding.remove(&key) else {
            return;
        };
        if answer.in_transaction {
            self.sticky.insert(answer.session, outstanding.vm);
        } else {
            self.sticky.remove(&answer.session);
        }
        self.reply(&outstanding.reply, answer);
    }

    fn reply(&mut self, reply: &Reply, answer: Answer) {
        match reply {
            Reply::Session(answers) => {
                // The session may have ended.
                let _ = answers.unbounded_send(answer);
            }
            Reply::Peer(vm) => {
                if let Some(link) = self.links.get_mut(vm) {
                    link.send(Frame::new(Body::Answer(answer)));
                }
            }
        }
    }

    /// Sends a statement that has not run to the owner as it is seen now.
    fn retry(&mut self, key: (u64, u64), code: Code) {
        let Some(outstanding) = self.outstanding.remove(&key) else {
            return;
        };
        let Outstanding { statement, reply, vm, attempts, .. } = outstanding;
        let handed_over = code == Code::Draining;
        if vm != self.settings.vm && !handed_over {
            self.suspect(&vm);
        }
        let lost = statement.in_transaction;
        let allowed = !lost && attempts < ATTEMPTS && (handed_over || self.retries.try_retry());
        if allowed {
            metrics::counter!("tamarackbend_statement_reroutes_total").increment(1);
            return self.route(statement, reply, attempts + 1);
        }
        let code = if lost { Code::TransactionLost } else { code };
        self.reply(&reply, refusal(&statement, code));
    }

    /// Settles the statements that were on their way to or at `vm`.
    pub(super) fn settle_lost(&mut self, vm: &VmId, connected: bool) {
        let keys: Vec<(u64, u64)> = self
            .outstanding
            .iter()
            .filter(|(_, outstanding)| outstanding.vm == *vm)
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            let statement = &self.outstanding[&key].statement;
            let repeatable = !statement.write && !statement.in_transaction;
            if !connected || repeatable {
                self.retry(key, Code::OwnerUnreachable);
            } else if let Some(outstanding) = self.outstanding.remove(&key) {
                let answer = refusal(&outstanding.statement, Code::OwnerLost);
                self.reply(&outstanding.reply, answer);
            }
        }
        self.sticky.retain(|_, bound| bound != vm);
    }

    pub(super) fn cancel(&mut self, pid: i32, secret: i32) {
        let found = self.callers.iter().find(|(_, c)| c.pid == pid && c.secret == secret);
        let Some((&session, _)) = found else {
            return;
        };
        let running = self.outstanding.range((session, 0)..=(session, u64::MAX)).next();
        let Some((&(_, number), outstanding)) = running else {
            return;
        };
        let (vm, database) = (outstanding.vm.clone(), outstanding.statement.database.clone());
        let cancel = Cancel { session, number, database };
        if vm == self.settings.vm {
            self.cancel_local(&cancel);
        } else {
            self.send(&vm, Body::Cancel(cancel));
        }
    }

    pub(super) fn session_ended(&mut self, session: u64) {
        let Some(caller) = self.callers.remove(&session) else {
            return;
        };
        let gone: Vec<(u64, u64)> = self
            .outstanding
            .range((session, 0)..=(session, u64::MAX))
            .map(|(key, _)| *key)
            .collect();
        for key in gone {
            self.outstanding.remove(&key);
        }
        let database = caller.database;
        let bound = self.sticky.remove(&session);
        let Some(vm) = bound.or_else(|| self.owner_of(&database)) else {
            return;
        };
        let ended = EndSession { session, database };
        if vm == self.settings.vm {
            self.end_local(&ended);
        } else if self.links.contains_key(&vm) {
            self.send(&vm, Body::EndSession(ended));
        }
    }
}

/// Returns the answer that refuses a statement with `code`.
pub(crate) fn refusal(statement: &Statement, code: Code) -> Answer {
    let retry_after_ms = match code.class() {
        Class::NotRun => 100,
        _ => 0,
    };
    Answer {
        session: statement.session,
        number: statement.number,
        code: code.number().into(),
        retry_after_ms,
        ..Answer::default()
    }
}
