//! What a node knows of one endpoint.

use std::collections::VecDeque;
use std::time::Duration;

use crate::connection::Purpose;
use crate::directory::Entry;
use crate::message::{Command, ConnectionId, Position, Status, Time};
use crate::settings::{BUSY_PAUSE, MAX_BUSY_PAUSE, RECONNECT_PAUSE};

/// Weight of a new response time in the average.
const RESPONSE_WEIGHT: f64 = 0.1;

/// Times that the pause between two attempts doubles: up to two seconds.
const PAUSES_MOST: u32 = 3;

/// Endpoint of a service.
#[derive(Debug)]
pub struct Endpoint {
    /// Its entry in the directory.
    pub entry: Entry,
    /// Connections to it, established or not.
    pub connections: Vec<ConnectionId>,
    /// Last status, and when it was asked for.
    pub status: Option<(Time, Status)>,
    /// Since when its replication is known to be closed for a term that nobody leads.
    pub fenced_since: Option<Time>,
    /// End of its applied log, and when it was heard.
    pub applied: Option<(Time, Position)>,
    /// Since when it does not answer.
    pub suspected_since: Option<Time>,
    /// Attempts to reach it in a row that failed.
    pub failed_attempts: u32,
    /// When it was last heard.
    pub last_heard_at: Time,
    /// When a connection may be tried again.
    pub connect_after: Time,
    /// Since when it has been leaving.
    pub draining_since: Option<Time>,
    /// Commands of the router that wait for a connection.
    pub queued_commands: VecDeque<(Command, Purpose)>,
    /// Average time of a read, with the way to it.
    pub average_read_time: Duration,
    /// Whether a status is on its way.
    pub status_requested_at: Option<Time>,
    /// Whether a probe is on its way.
    pub probe_requested_at: Option<Time>,
    /// Until when it gets no work because it turned some away, and for how long that was.
    pub backoff: Option<(Time, Duration)>,
    /// Reads below these positions were refused until the time.
    pub lag_refusal: Option<(Position, Time)>,
}

impl Endpoint {
    /// Returns an endpoint of which only its entry is known; `distance` is the usual time of a
    /// read there.
    pub fn new(entry: Entry, distance: Duration, now: Time) -> Endpoint {
        let leaving_since = entry.leaving.then_some(now);
        Endpoint {
            entry,
            connections: Vec::new(),
            status: None,
            fenced_since: None,
            applied: None,
            suspected_since: None,
            failed_attempts: 0,
            last_heard_at: now,
            connect_after: now,
            draining_since: leaving_since,
            queued_commands: VecDeque::new(),
            average_read_time: distance,
            status_requested_at: None,
            probe_requested_at: None,
            backoff: None,
            lag_refusal: None,
        }
    }

    /// Notes an answer at `now`.
    pub fn record_contact(&mut self, now: Time) {
        self.last_heard_at = now;
        self.suspected_since = None;
        self.failed_attempts = 0;
    }

    /// Notes that an attempt to reach it failed.
    pub fn record_failure(&mut self, now: Time) {
        // Several connections may be lost at once.
        self.failed_attempts += u32::from(self.suspected_since != Some(now));
        self.suspected_since = Some(now);
    }

    /// Returns whether it is time to try to reach it again: each time later, up to a limit.
    pub fn is_retry_due(&self, now: Time) -> bool {
        let doubled = self.failed_attempts.saturating_sub(1).min(PAUSES_MOST);
        let pause = RECONNECT_PAUSE * (1 << doubled);
        self.suspected_since.is_some_and(|since| now >= since + pause)
    }

    /// Notes that it turned work away: each time in a row it gets a longer pause.
    pub fn back_off(&mut self, now: Time) {
        let pause = match self.backoff {
            Some((until, _)) if now < until => return,
            Some((_, pause)) => (pause * 2).min(MAX_BUSY_PAUSE),
            None => BUSY_PAUSE,
        };
        self.backoff = Some((now + pause, pause));
    }

    /// Returns whether it has a pause.
    pub fn is_backing_off(&self, now: Time) -> bool {
        self.backoff.is_some_and(|(until, _)| now < until)
    }

    /// Notes how long a read took.
    pub fn record_read_time(&mut self, took: Duration) {
        let average = self.average_read_time.as_secs_f64();
        let change = (took.as_secs_f64() - average) * RESPONSE_WEIGHT;
        self.average_read_time = Duration::from_secs_f64((average + change).max(0.0));
    }

    /// Returns whether it is likely to hold `position` at `now`.
    pub fn may_have_applied(&self, position: Position, now: Time) -> bool {
        if self.applied.is_some_and(|(_, applied)| applied >= position) {
            return true;
        }
        !self.lag_refusal.is_some_and(|(refused, until)| position >= refused && now < until)
    }
}
