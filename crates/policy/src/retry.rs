//! Retry delays and retry budgets.
//!
//! Delays grow exponentially with jitter over the upper half. A budget bounds retries to a
//! fraction of the first attempts, so that a slow database isn't loaded further by retries.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Exponential delays with jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    max: Duration,
    seed: u64,
    attempt: u32,
}

impl Backoff {
    /// Returns a backoff whose delays lie between half of `base * 2^attempt` and all of it, with
    /// `base * 2^attempt` limited to `max`.
    pub fn new(base: Duration, max: Duration, seed: u64) -> Backoff {
        Backoff { base, max, seed, attempt: 0 }
    }

    /// Returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let upper_bound = self.base.saturating_mul(1 << self.attempt.min(16)).min(self.max);
        let hash = xxh3_64_with_seed(&self.attempt.to_le_bytes(), self.seed);
        self.attempt += 1;
        let fraction = (hash >> 11) as f64 / (1u64 << 53) as f64;
        upper_bound.mul_f64(0.5 + fraction / 2.0)
    }

    /// Restarts from the base delay, after a success.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }
}

/// Token bucket: first attempts add to the budget, retries take from the budget.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    limit: f64,
    tokens: f64,
}

impl Budget {
    /// Returns a full budget of `limit` retries; each first attempt adds `ratio` retries.
    pub fn new(ratio: f64, limit: f64) -> Budget {
        Budget { ratio, limit, tokens: limit }
    }

    /// Adds to the budget for a first attempt.
    pub fn record_attempt(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.limit);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_retry(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
