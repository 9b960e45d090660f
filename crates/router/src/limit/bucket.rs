//! Token bucket whose rate and capacity change over time.

use std::time::Duration;

use crate::message::Time;

/// Tokens of one customer at one holder; one token pays for one operation.
#[derive(Debug)]
pub(super) struct Bucket {
    level: f64,
    /// Tokens per second.
    rate: f64,
    capacity: f64,
    filled_at: Time,
}

impl Bucket {
    /// Returns an empty bucket that does not fill yet.
    pub(super) fn new(now: Time) -> Bucket {
        Bucket { level: 0.0, rate: 0.0, capacity: 0.0, filled_at: now }
    }

    /// Adds the tokens of the time until `now`.
    pub(super) fn fill(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.capacity);
        self.filled_at = self.filled_at.max(now);
    }

    /// Sets the rate and the capacity; tokens above the capacity are lost.
    pub(super) fn resize(&mut self, rate: f64, capacity: f64) {
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Takes a token; returns whether there was one.
    pub(super) fn take(&mut self) -> bool {
        let has_token = self.level >= 1.0;
        if has_token {
            self.level -= 1.0;
        }
        has_token
    }

    /// Returns the time until there is a token at the current rate, at most `max`.
    pub(super) fn wait(&self, max: Duration) -> Duration {
        let seconds = (1.0 - self.level).max(0.0) / self.rate;
        match seconds.is_finite() && self.capacity >= 1.0 {
            true => Duration::from_secs_f64(seconds.min(max.as_secs_f64())),
            false => max,
        }
    }

    pub(super) fn capacity(&self) -> f64 {
        self.capacity
    }

    pub(super) fn level(&self) -> f64 {
        self.level
    }

    /// Returns the filled part of the capacity.
    pub(super) fn filled_part(&self) -> f64 {
        if self.capacity > 0.0 { self.level / self.capacity } else { 0.0 }
    }

    pub(super) fn filled_at(&self) -> Time {
        self.filled_at
    }
}
