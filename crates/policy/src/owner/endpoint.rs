//! What an owner knows of one endpoint.

use std::time::Duration;

use crate::position::Status;

/// Added wait before the next probe for each miss after the first.
const MISS_RETRY: Duration = Duration::from_millis(50);
/// Longest wait before an endpoint that does not answer is probed again.
const MISS_RETRY_CAP: Duration = Duration::from_secs(1);

/// Observed state of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    status: Option<Status>,
    asked: Duration,
    outstanding: Option<Duration>,
    next_probe: Option<Duration>,
    /// Probes without an answer in a row.
    pub(super) misses: u32,
    /// Time of the last answer.
    pub(super) last_seen: Duration,
    /// Time at which its log was last seen to grow.
    pub(super) advanced: Duration,
    /// Time before which no connection is opened.
    pub(super) open_after: Duration,
    /// Time before which it is not ordered to take up its part.
    pub(super) order_after: Duration,
    /// Time since which it gets no new work.
    pub(super) leaving: Option<Duration>,
}

impl Endpoint {
    pub(super) fn new() -> Endpoint {
        Endpoint {
            status: None,
            asked: Duration::ZERO,
            outstanding: None,
            next_probe: Some(Duration::ZERO),
            misses: 0,
            last_seen: Duration::ZERO,
            advanced: Duration::ZERO,
            open_after: Duration::ZERO,
            order_after: Duration::ZERO,
            leaving: None,
        }
    }

    /// Returns the last status, however old.
    pub(super) fn status(&self) -> Option<Status> {
        self.status
    }

    /// Returns the last status if the endpoint answers probes.
    pub(super) fn live_status(&self) -> Option<Status> {
        self.status.filter(|_| self.is_live())
    }

    /// Returns whether the endpoint answered its last probe.
    pub(super) fn is_live(&self) -> bool {
        self.misses == 0 && self.status.is_some()
    }

    /// Returns when the last answered probe was sent.
    pub(super) fn asked(&self) -> Duration {
        self.asked
    }

    /// Takes in a status that came with something other than a probe.
    pub(super) fn observe(&mut self, now: Duration, status: Status) {
        let older = self.status.is_some_and(|known| {
            known.incarnation == status.incarnation
                && (known.fenced_term, known.position) > (status.fenced_term, status.position)
        });
        if !older {
            if self.status.is_none_or(|known| known.position != status.position) {
                self.advanced = now;
            }
            self.status = Some(status);
            self.last_seen = now;
        }
    }

    /// Takes in the answer to a probe.
    pub(super) fn probed(&mut self, now: Duration, status: Option<Status>) {
        let asked = self.outstanding.take().unwrap_or(self.asked);
        let Some(status) = status else {
            self.misses += 1;
            let repeat = MISS_RETRY.saturating_mul(self.misses - 1).min(MISS_RETRY_CAP);
            self.next_probe = Some(now + repeat);
            return;
        };
        self.misses = 0;
        self.asked = asked;
        self.observe(now, status);
    }

    /// Returns whether a probe is to be sent, and counts it as sent.
    pub(super) fn probe_due(&mut self, now: Duration, interval: Duration) -> bool {
        let due = self.next_probe.unwrap_or_else(|| self.last_probe() + interval);
        if self.outstanding.is_some() || now < due {
            return false;
        }
        self.outstanding = Some(now);
        self.next_probe = None;
        true
    }

    /// Asks for a probe as soon as possible.
    pub(super) fn probe_now(&mut self) {
        self.next_probe = Some(Duration::ZERO);
    }

    fn last_probe(&self) -> Duration {
        self.asked.max(self.last_seen)
    }
}
