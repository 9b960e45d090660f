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

    /// Takes a token, if it is there within `max_delay` at the current rate; returns the time until then.
    /// Tokens that are taken before they are there make the level negative.
    pub(super) fn take_within(&mut self, max_delay: Duration) -> Option<Duration> {
        let delay = match self.level >= 1.0 {
            true => Duration::ZERO,
            false if max_delay.is_zero() || self.capacity < 1.0 => return None,
            false => Duration::try_from_secs_f64((1.0 - self.level) / self.rate).ok()?,
        };
        if delay > max_delay {
            return None;
        }
        self.level -= 1.0;
        Some(delay)
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
        if self.capacity > 0.0 { (self.level / self.capacity).max(0.0) } else { 0.0 }
    }

    pub(super) fn filled_at(&self) -> Time {
        self.filled_at
    }
}
