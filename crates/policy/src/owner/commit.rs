//! Confirmation of writes by a majority of endpoints.

use super::endpoint::Endpoint;
use super::{Outcome, Owner};
use crate::code::Code;
use crate::position::{Floor, majority};

impl Owner {
    pub(super) fn resolve_pending(&mut self) {
        let led = self.group().filter(|group| group.primary.is_some());
        let newest = led.map_or(0, |group| group.term);
        for pending in std::mem::take(&mut self.pending) {
            let deposed = self.settings.guards.check_term && newest > pending.written.term;
            if self.is_held(&pending.written) {
                let waited = self.now.saturating_sub(pending.since);
                self.lag = (self.lag * 7 + waited) / 8;
                self.counters.writes += 1;
                let floor = Some(pending.written);
                self.answer(
                    pending.request_id,
                    Outcome::Completed { floor, in_transaction: false },
                );
            } else if deposed {
                self.answer_unknown(pending.request_id, Code::PrimaryReplaced);
            } else if self.now >= pending.since + self.settings.confirm_timeout {
                self.answer_unknown(pending.request_id, Code::ConfirmTimeout);
            } else {
                self.pending.push(pending);
            }
        }
    }

    /// Returns whether a majority holds `written` in the term it was written in.
    pub(super) fn is_held(&self, written: &Floor) -> bool {
        let fence = self.settings.guards.check_term;
        let holds = |endpoint: &&Endpoint| {
            endpoint.status().is_some_and(|status| {
                let same_term = status.term == written.term && status.is_in_newest_term();
                (same_term || !fence) && status.position >= written.position
            })
        };
        self.endpoints.iter().filter(holds).count() >= majority(self.endpoints.len())
    }
}
