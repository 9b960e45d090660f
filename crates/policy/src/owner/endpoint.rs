//! State of one endpoint as the owner observes it.

use std::time::Duration;

use crate::position::Status;

/// Delay added before the next probe for each consecutive missed probe after the first.
const PROBE_RETRY_STEP: Duration = Duration::from_millis(50);
/// Maximum delay before an endpoint that does not answer is probed again.
const MAX_PROBE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Observed state of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    status: Option<Status>,
    /// Time at which the last answered probe was sent.
    last_probe_sent_at: Duration,
    /// Time at which the probe in flight was sent.
    probe_sent_at: Option<Duration>,
    /// Due time of a probe outside the regular interval.
    next_probe_at: Option<Duration>,
    /// Number of consecutive probes without an answer.
    pub(super) missed_probes: u32,
    /// Time of the last answer.
    pub(super) last_seen_at: Duration,
    /// Time at which the reported log position last changed.
    pub(super) log_advanced_at: Duration,
    /// Time before which no connection to the endpoint is opened.
    pub(super) open_after: Duration,
    /// Time before which no role order is sent to the endpoint.
    pub(super) order_after: Duration,
    /// Time at which the endpoint started draining: it gets no new statements.
    pub(super) draining_since: Option<Duration>,
}

impl Endpoint {
    pub(super) fn new() -> Endpoint {
        Endpoint {
            status: None,
            last_probe_sent_at: Duration::ZERO,
            probe_sent_at: None,
            next_probe_at: Some(Duration::ZERO),
            missed_probes: 0,
            last_seen_at: Duration::ZERO,
            log_advanced_at: Duration::ZERO,
            open_after: Duration::ZERO,
            order_after: Duration::ZERO,
            draining_since: None,
        }
    }

    /// Returns the last status, regardless of its age.
    pub(super) fn status(&self) -> Option<Status> {
        self.status
    }

    /// Returns the last status if the endpoint answered its last probe.
    pub(super) fn live_status(&self) -> Option<Status> {
        self.status.filter(|_| self.is_live())
    }

    /// Returns whether the endpoint answered its last probe.
    pub(super) fn is_live(&self) -> bool {
        self.missed_probes == 0 && self.status.is_some()
    }

    /// Returns the time at which the last answered probe was sent.
    pub(super) fn last_probe_sent_at(&self) -> Duration {
        self.last_probe_sent_at
    }

    /// Stores a status that an answer reported, unless the stored one is newer.
    pub(super) fn update_status(&mut self, now: Duration, status: Status) {
        let is_older = self.status.is_some_and(|current| {
            current.incarnation == status.incarnation
                && (current.fenced_term, current.position) > (status.fenced_term, status.position)
        });
        if !is_older {
            if self.status.is_none_or(|current| current.position != status.position) {
                self.log_advanced_at = now;
            }
            self.status = Some(status);
            self.last_seen_at = now;
        }
    }

    /// Handles the answer to a probe; `status` is none if the probe failed or timed out.
    pub(super) fn on_probe_answered(&mut self, now: Duration, status: Option<Status>) {
        let sent_at = self.probe_sent_at.take().unwrap_or(self.last_probe_sent_at);
        let Some(status) = status else {
            self.missed_probes += 1;
            let delay =
                PROBE_RETRY_STEP.saturating_mul(self.missed_probes - 1).min(MAX_PROBE_RETRY_DELAY);
            self.next_probe_at = Some(now + delay);
            return;
        };
        self.missed_probes = 0;
        self.last_probe_sent_at = sent_at;
        self.update_status(now, status);
    }

    /// Returns whether a probe is due, and if so marks the probe as sent at `now`.
    pub(super) fn start_probe_if_due(&mut self, now: Duration, interval: Duration) -> bool {
        let due_at = self.next_probe_at.unwrap_or_else(|| self.last_contact() + interval);
        if self.probe_sent_at.is_some() || now < due_at {
            return false;
        }
        self.probe_sent_at = Some(now);
        self.next_probe_at = None;
        true
    }

    /// Makes the next probe due immediately.
    pub(super) fn request_probe(&mut self) {
        self.next_probe_at = Some(Duration::ZERO);
    }

    fn last_contact(&self) -> Duration {
        self.last_probe_sent_at.max(self.last_seen_at)
    }
}
