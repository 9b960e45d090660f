//! Confirmation of writes by a majority of endpoints.
//!
//! A write is confirmed when a majority holds its log position in the term of the write.

use super::endpoint::Endpoint;
use super::{Outcome, Owner};
use crate::code::Code;
use crate::position::{Floor, majority};

impl Owner {
    /// Answers the pending writes that are confirmed, that cannot be confirmed any more because the
    /// primary was replaced, or that have waited for too long.
    pub(super) fn resolve_pending_writes(&mut self) {
        let group_with_primary = self.group().filter(|group| group.primary.is_some());
        let current_term = group_with_primary.map_or(0, |group| group.term);
        for pending in std::mem::take(&mut self.pending) {
            let is_superseded =
                self.settings.guards.check_term && current_term > pending.written.term;
            if self.is_confirmed(&pending.written) {
                let waited = self.now.saturating_sub(pending.since);
                self.confirmation_lag = (self.confirmation_lag * 7 + waited) / 8;
                self.counters.writes += 1;
                let floor = Some(pending.written);
                self.answer(
                    pending.request_id,
                    Outcome::Completed { floor, in_transaction: false },
                );
            } else if is_superseded {
                self.answer_unknown(pending.request_id, Code::PrimaryReplaced);
            } else if self.now >= pending.since + self.settings.confirm_timeout {
                self.answer_unknown(pending.request_id, Code::ConfirmTimeout);
            } else {
                self.pending.push(pending);
            }
        }
    }

    /// Returns whether a majority of endpoints holds `written` in the term of the write.
    pub(super) fn is_confirmed(&self, written: &Floor) -> bool {
        let checks_term = self.settings.guards.check_term;
        let holds = |endpoint: &&Endpoint| {
            endpoint.status().is_some_and(|status| {
                let is_same_term = status.term == written.term && status.is_in_newest_term();
                (is_same_term || !checks_term) && status.position >= written.position
            })
        };
        self.endpoints.iter().filter(holds).count() >= majority(self.endpoints.len())
    }
}
