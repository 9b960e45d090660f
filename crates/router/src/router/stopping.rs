//! Shutdown of the process.
//!
//! The node reports that it is not ready, so that the load balancer stops sending clients. Then it
//! closes idle sessions, aborts idle transactions once half of the stop timeout is over, and exits
//! when no session is left or the timeout ends.

use tamarackbend_policy::code::Code;
use tracing::info;

use super::{Action, Router};
use crate::message::{Fault, SessionId, Time, TransactionState};
use crate::settings::BALANCER_DRAIN_TIME;

/// Time reserved at the end of the stop timeout for the process to exit before it is killed.
const STOP_RESERVE: Time = Time::from_millis(700);

impl Router {
    pub(super) fn start_shutdown(&mut self) {
        info!(
            sessions = self.sessions.len(),
            "node is stopping; telling the load balancer that the node is not ready"
        );
        self.stopping_since.get_or_insert(self.now);
        self.is_ready = false;
        self.actions.push(Action::SetReady(false));
    }

    /// Closes sessions while the process is stopping, and then ends the process.
    pub(super) fn advance_shutdown(&mut self) {
        let now = self.now;
        let Some(since) = self.stopping_since else { return };
        let timeout = self.settings.stop_timeout;
        if now >= since + timeout.saturating_sub(STOP_RESERVE) {
            let unanswered: Vec<SessionId> = self
                .sessions
                .iter()
                .filter(|(_, s)| s.current.is_some())
                .map(|(id, _)| *id)
                .collect();
            for id in unanswered {
                self.abandon_statement(id);
            }
            info!(
                sessions = self.sessions.len(),
                "stop timeout is nearly over; failing open statements and ending the process"
            );
            self.actions.push(Action::Exit);
            return;
        }
        if now < since + BALANCER_DRAIN_TIME {
            return;
        }
        if now >= since + timeout / 2 {
            self.abort_idle_transactions();
        }
        let idle: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.current.is_none() && session.transaction.is_none())
            .map(|(id, _)| *id)
            .collect();
        for id in idle {
            self.close_idle_session(id);
        }
        if self.sessions.is_empty() {
            info!("all sessions are closed; ending the process");
            self.actions.push(Action::Exit);
        }
    }

    /// Closes an idle session. A client whose next statement is already on its way takes the error for
    /// the answer to it, and knows that the statement has not run.
    pub(super) fn close_idle_session(&mut self, id: SessionId) {
        let is_channel = self.sessions.get(&id).is_some_and(|session| session.is_channel);
        match is_channel {
            true => {
                self.close_session(id);
                self.actions.push(Action::CloseSession(id));
            }
            false => self.reject_session(id, Fault::Busy, Code::Draining),
        }
    }

    fn abort_idle_transactions(&mut self) {
        let idle: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, s)| s.current.is_none() && s.state() == TransactionState::Transaction)
            .map(|(id, _)| *id)
            .collect();
        for id in idle {
            self.abort_transaction(id, false);
        }
    }
}
