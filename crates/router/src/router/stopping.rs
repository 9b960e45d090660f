//! Shutdown of the process.
//!
//! The node reports that it is not ready, so that the balancer stops sending clients. Then it
//! closes idle sessions, aborts idle transactions in the second half of the time to stop, and ends
//! once no session is left or the time is over.

use tracing::info;

use super::{Action, Router};
use crate::message::{SessionId, Time, TransactionState};
use crate::settings::BALANCER_DRAIN_TIME;

/// Time reserved at the end of the shutdown for the process to exit.
const STOP_RESERVE: Time = Time::from_millis(700);

impl Router {
    pub(super) fn stop(&mut self) {
        info!(sessions = self.sessions.len(), "node is stopping");
        self.stopping.get_or_insert(self.now);
        self.ready = false;
        self.actions.push(Action::SetReady(false));
    }

    /// Closes sessions while the process is stopping, and ends the process.
    pub(super) fn check_stop(&mut self) {
        let now = self.now;
        let Some(since) = self.stopping else { return };
        let within = self.settings.stop_timeout;
        if now >= since + within.saturating_sub(STOP_RESERVE) {
            let late: Vec<SessionId> = self
                .sessions
                .iter()
                .filter(|(_, s)| s.current.is_some())
                .map(|(id, _)| *id)
                .collect();
            for id in late {
                self.give_up(id);
            }
            info!(
                sessions = self.sessions.len(),
                "time to stop is over; ending the process with open sessions"
            );
            self.actions.push(Action::Exit);
            return;
        }
        if now < since + BALANCER_DRAIN_TIME {
            return;
        }
        if now >= since + within / 2 {
            self.abort_resting();
        }
        let idle: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.current.is_none() && session.transaction.is_none())
            .map(|(id, _)| *id)
            .collect();
        for id in idle {
            self.leave(id);
            self.actions.push(Action::CloseSession(id));
        }
        if self.sessions.is_empty() {
            info!("all sessions are closed; ending the process");
            self.actions.push(Action::Exit);
        }
    }

    fn abort_resting(&mut self) {
        let resting: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, s)| s.current.is_none() && s.state() == TransactionState::Transaction)
            .map(|(id, _)| *id)
            .collect();
        for id in resting {
            self.abort_transaction(id, false);
        }
    }
}
