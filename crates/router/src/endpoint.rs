//! State that a node keeps for one endpoint.

use std::collections::VecDeque;
use std::time::Duration;

use crate::admission::concurrency::Window;
use crate::admission::freshness::Freshness;
use crate::connection::Purpose;
use crate::directory::Entry;
use crate::message::{Command, ConnectionId, Status, Time};
use crate::settings::{BUSY_PAUSE, MAX_BUSY_PAUSE, RECONNECT_PAUSE};

/// Weight of a new read time in the moving average.
const READ_TIME_WEIGHT: f64 = 0.1;

/// Number of times that the pause between two attempts doubles: up to two seconds.
const MAX_PAUSE_DOUBLINGS: u32 = 3;

/// Endpoint of a service.
#[derive(Debug)]
pub struct Endpoint {
    /// Entry in the directory.
    pub entry: Entry,
    /// Connections to the endpoint, established or not.
    pub connections: Vec<ConnectionId>,
    /// Last status, and when that status was requested.
    pub status: Option<(Time, Status)>,
    /// Since when the endpoint has reported a fenced term above its own, which has no primary yet.
    pub fenced_since: Option<Time>,
    /// When the newest command was requested whose answer showed that the endpoint was not the primary
    /// of the group's newest term.
    pub not_primary_at: Option<Time>,
    /// Applied log, and refusals of reads that need more of it.
    pub freshness: Freshness,
    /// Since when the endpoint has been suspected of having failed.
    pub suspected_since: Option<Time>,
    /// Consecutive attempts to reach the endpoint that failed.
    pub failed_attempts: u32,
    /// When the endpoint last answered.
    pub last_heard_at: Time,
    /// Number of connections beyond which the endpoint refused another, and until when that counts.
    pub connection_ceiling: Option<(usize, Time)>,
    /// Earliest time of the next connection attempt.
    pub connect_after: Time,
    /// Since when the endpoint has been draining.
    pub draining_since: Option<Time>,
    /// Commands of the router itself that wait for a free connection.
    pub queued_commands: VecDeque<(Command, Purpose)>,
    /// Moving average of the time of a read, network round trip included.
    pub average_read_time: Duration,
    /// When the status request that is still unanswered was made.
    pub status_requested_at: Option<Time>,
    /// When the probe that is still unanswered was made.
    pub probe_requested_at: Option<Time>,
    /// Limit of the statements that this node runs at the endpoint at once.
    pub window: Window,
    /// End and length of the pause in which the endpoint gets no work, after a refusal as busy.
    pub backoff: Option<(Time, Duration)>,
    /// Rank of a pooler among those of its database; less is better. Zero for database endpoints.
    pub rank: (u64, u64),
}

impl Endpoint {
    /// Returns an endpoint of which only the directory entry is known; `expected_read_time` is the
    /// usual time of a read there.
    pub fn new(entry: Entry, expected_read_time: Duration, now: Time) -> Endpoint {
        let draining_since = entry.leaving.then_some(now);
        Endpoint {
            entry,
            connections: Vec::new(),
            status: None,
            fenced_since: None,
            not_primary_at: None,
            freshness: Freshness::default(),
            suspected_since: None,
            failed_attempts: 0,
            last_heard_at: now,
            connection_ceiling: None,
            connect_after: now,
            draining_since,
            queued_commands: VecDeque::new(),
            average_read_time: expected_read_time,
            status_requested_at: None,
            probe_requested_at: None,
            window: Window::default(),
            backoff: None,
            rank: (0, 0),
        }
    }

    /// Records that the endpoint answered at `now`.
    pub fn record_contact(&mut self, now: Time) {
        self.last_heard_at = now;
        self.suspected_since = None;
        self.failed_attempts = 0;
    }

    /// Records that an answer to a command of `requested_at` showed that the endpoint was not the
    /// primary.
    pub fn record_not_primary(&mut self, requested_at: Time) {
        self.not_primary_at = self.not_primary_at.max(Some(requested_at));
    }

    /// Records that an attempt to reach the endpoint failed at `now`.
    pub fn record_failure(&mut self, now: Time) {
        // Several connections lost at the same time count as one failure.
        self.failed_attempts += u32::from(self.suspected_since != Some(now));
        self.suspected_since = Some(now);
    }

    /// Returns whether a suspected endpoint is due for another attempt; the pause between attempts
    /// grows exponentially up to a limit.
    pub fn is_retry_due(&self, now: Time) -> bool {
        let doublings = self.failed_attempts.saturating_sub(1).min(MAX_PAUSE_DOUBLINGS);
        let pause = RECONNECT_PAUSE * (1 << doublings);
        self.suspected_since.is_some_and(|since| now >= since + pause)
    }

    /// Pauses an endpoint that refused work as busy; consecutive refusals lengthen the pause.
    pub fn back_off(&mut self, now: Time) {
        let pause = match self.backoff {
            Some((until, _)) if now < until => return,
            Some((_, pause)) => (pause * 2).min(MAX_BUSY_PAUSE),
            None => BUSY_PAUSE,
        };
        self.backoff = Some((now + pause, pause));
    }

    /// Returns whether the endpoint is paused after it refused work as busy.
    pub fn is_backing_off(&self, now: Time) -> bool {
        self.backoff.is_some_and(|(until, _)| now < until)
    }

    /// Adds the time of a read to the moving average.
    pub fn record_read_time(&mut self, elapsed: Duration) {
        let average = self.average_read_time.as_secs_f64();
        let correction = (elapsed.as_secs_f64() - average) * READ_TIME_WEIGHT;
        self.average_read_time = Duration::from_secs_f64((average + correction).max(0.0));
    }
}
