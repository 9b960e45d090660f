//! Retry delays and budgets.
//!
//! Delays grow exponentially, the upper half of each at random; a budget bounds retries to a fraction of the first
//! attempts, so a database that slows down is not asked more often for it.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Exponential delays with jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    seed: u64,
    attempt: u32,
}

impl Backoff {
    /// Returns delays from half of `base * 2^attempt` to all of it, at most `cap`.
    pub fn new(base: Duration, cap: Duration, seed: u64) -> Backoff {
        Backoff { base, cap, seed, attempt: 0 }
    }

    /// Returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let ceiling = self.base.saturating_mul(1 << self.attempt.min(16)).min(self.cap);
        let hash = xxh3_64_with_seed(&self.attempt.to_le_bytes(), self.seed);
        self.attempt += 1;
        let fraction = (hash >> 11) as f64 / (1u64 << 53) as f64;
        ceiling.mul_f64(0.5 + fraction / 2.0)
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }
}

/// Token bucket that first attempts fill and retries empty.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    limit: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Returns a full budget of `limit` retries that each attempt refills by `ratio`.
    pub fn new(ratio: f64, limit: f64) -> RetryBudget {
        RetryBudget { ratio, limit, tokens: limit }
    }

    /// Counts a first attempt.
    pub fn record_attempt(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.limit);
    }

    /// Returns whether a retry may be made, and counts it.
    pub fn try_retry(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
