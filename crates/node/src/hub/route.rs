//! Routing of statements to the owners of databases, and of answers back to sessions.

use std::time::Instant;

use tamarackbend_policy::code::{Class, Code};
use tamarackbend_policy::ownership::VmId;
use tamarackbend_wire::{Answer, Cancel, EndSession, Frame, Statement, frame::Body};

use super::{Hub, Outstanding, Recipient};
use crate::owner;

/// Times that a statement may be forwarded because another node owns the database.
const MAX_HOPS: u32 = 2;
/// Times that a statement may be routed again because its owner did not run it.
const MAX_REROUTES: u32 = 4;

impl Hub {
    /// Sends a statement to the node that runs its transaction, or else owns its database.
    ///
    /// The answer goes to `recipient`.
    pub(super) fn route(&mut self, statement: Statement, recipient: Recipient, reroutes: u32) {
        if reroutes == 0 {
            self.retries.record_attempt();
        }
        let transaction_node =
            self.transaction_nodes.get(&statement.session).filter(|_| statement.in_transaction);
        let Some(target) = transaction_node.cloned().or_else(|| self.owner_of(&statement.database))
        else {
            return self.send_answer(&recipient, error_answer(&statement, Code::NoSuchDatabase));
        };
        let key = (statement.session, statement.number);
        let outstanding = Outstanding {
            statement: statement.clone(),
            recipient,
            target: target.clone(),
            reroutes,
            sent_at: Instant::now(),
        };
        self.outstanding.insert(key, outstanding);
        if target == self.settings.vm {
            return self.submit_local(statement);
        }
        if !self.send(&target, Body::Statement(statement)) {
            self.reroute(key, Code::OwnerUnreachable);
        }
    }

    /// Runs a peer's statement, or forwards it if another node owns the database now.
    ///
    /// After a node has joined or left, the views of nodes differ for a while. The previous owner
    /// of a database forwards statements to the new one, so that two owners do not compete for the
    /// slots of an endpoint.
    pub(super) fn receive_statement(&mut self, from: VmId, statement: Statement) {
        let own_vm = self.settings.vm.clone();
        let has_remote_transaction =
            self.transaction_nodes.get(&statement.session).is_some_and(|vm| *vm != own_vm);
        let owner = self.owner_of(&statement.database);
        let has_other_owner = owner.is_some_and(|vm| vm != own_vm && vm != from);
        let should_forward = match statement.in_transaction {
            true => has_remote_transaction,
            false => has_other_owner && statement.hops < MAX_HOPS,
        };
        if should_forward {
            metrics::counter!("tamarackbend_statements_passed_on_total").increment(1);
            let statement = Statement { hops: statement.hops + 1, ..statement };
            return self.route(statement, Recipient::Peer(from), 0);
        }
        self.remote_sessions.insert(statement.session, from);
        self.submit_local(statement);
    }

    /// Hands a statement to the local owner of its database.
    pub(super) fn submit_local(&mut self, statement: Statement) {
        if self.draining_since.is_some() && !statement.in_transaction {
            return self.handle_answer(error_answer(&statement, Code::Draining));
        }
        let database = statement.database.clone();
        match self.local_owner(&database) {
            Some(owner) => owner.send(owner::Message::Statement(statement)),
            None => self.handle_answer(error_answer(&statement, Code::NoSuchDatabase)),
        }
    }

    /// Sends an answer to the local session, or to the peer that sent the statement.
    ///
    /// If the owner refused to run the statement, the statement is routed again instead.
    pub(super) fn handle_answer(&mut self, answer: Answer) {
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
        let reroute_codes = [Code::Draining, Code::OwnerUnreachable];
        if reroute_codes.iter().any(|code| u32::from(code.number()) == answer.code) {
            let code = Code::from_number(answer.code as u16).unwrap_or(Code::OwnerUnreachable);
            return self.reroute(key, code);
        }
        let Some(outstanding) = self.outstanding.remove(&key) else {
            return;
        };
        if answer.in_transaction {
            self.transaction_nodes.insert(answer.session, outstanding.target);
        } else {
            self.transaction_nodes.remove(&answer.session);
        }
        self.send_answer(&outstanding.recipient, answer);
    }

    fn send_answer(&mut self, recipient: &Recipient, answer: Answer) {
        match recipient {
            Recipient::Session(answers) => {
                // The session may have ended.
                let _ = answers.unbounded_send(answer);
            }
            Recipient::Peer(vm) => {
                if let Some(link) = self.links.get_mut(vm) {
                    link.send(Frame::new(Body::Answer(answer)));
                }
            }
        }
    }

    /// Sends a statement that may safely run again to the current owner of its database.
    ///
    /// A statement in a transaction, or one beyond the limit of reroutes or the retry budget, is
    /// answered with an error instead.
    fn reroute(&mut self, key: (u64, u64), code: Code) {
        let Some(outstanding) = self.outstanding.remove(&key) else {
            return;
        };
        let Outstanding { statement, recipient, target, reroutes, .. } = outstanding;
        let is_target_draining = code == Code::Draining;
        if target != self.settings.vm && !is_target_draining {
            self.suspect(&target);
        }
        let is_transaction_lost = statement.in_transaction;
        let may_reroute = !is_transaction_lost
            && reroutes < MAX_REROUTES
            && (is_target_draining || self.retries.try_retry());
        if may_reroute {
            metrics::counter!("tamarackbend_statement_reroutes_total").increment(1);
            return self.route(statement, recipient, reroutes + 1);
        }
        let code = if is_transaction_lost { Code::TransactionLost } else { code };
        self.send_answer(&recipient, error_answer(&statement, code));
    }

    /// Reroutes or answers the statements that were sent to `vm` after the link to it broke.
    ///
    /// `was_connected` tells whether the link was ever open, so that a statement may have run.
    pub(super) fn resolve_lost_statements(&mut self, vm: &VmId, was_connected: bool) {
        let keys: Vec<(u64, u64)> = self
            .outstanding
            .iter()
            .filter(|(_, outstanding)| outstanding.target == *vm)
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            let statement = &self.outstanding[&key].statement;
            let is_repeatable = !statement.write && !statement.in_transaction;
            if !was_connected || is_repeatable {
                self.reroute(key, Code::OwnerUnreachable);
            } else if let Some(outstanding) = self.outstanding.remove(&key) {
                let answer = error_answer(&outstanding.statement, Code::OwnerLost);
                self.send_answer(&outstanding.recipient, answer);
            }
        }
        self.transaction_nodes.retain(|_, transaction_node| transaction_node != vm);
    }

    pub(super) fn handle_cancel_request(&mut self, pid: i32, secret: i32) {
        let client_session = self
            .client_sessions
            .iter()
            .find(|(_, client)| client.pid == pid && client.secret == secret);
        let Some((&session, _)) = client_session else {
            return;
        };
        let running = self.outstanding.range((session, 0)..=(session, u64::MAX)).next();
        let Some((&(_, number), outstanding)) = running else {
            return;
        };
        let (target, database) =
            (outstanding.target.clone(), outstanding.statement.database.clone());
        let cancel = Cancel { session, number, database };
        if target == self.settings.vm {
            self.cancel_local(&cancel);
        } else {
            self.send(&target, Body::Cancel(cancel));
        }
    }

    pub(super) fn on_session_ended(&mut self, session: u64) {
        let Some(client_session) = self.client_sessions.remove(&session) else {
            return;
        };
        let outstanding_keys: Vec<(u64, u64)> = self
            .outstanding
            .range((session, 0)..=(session, u64::MAX))
            .map(|(key, _)| *key)
            .collect();
        for key in outstanding_keys {
            self.outstanding.remove(&key);
        }
        let database = client_session.database;
        let transaction_node = self.transaction_nodes.remove(&session);
        let Some(target) = transaction_node.or_else(|| self.owner_of(&database)) else {
            return;
        };
        let end_session = EndSession { session, database };
        if target == self.settings.vm {
            self.end_local_session(&end_session);
        } else if self.links.contains_key(&target) {
            self.send(&target, Body::EndSession(end_session));
        }
    }
}

/// Returns the answer to a statement that fails with `code`.
pub(crate) fn error_answer(statement: &Statement, code: Code) -> Answer {
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
