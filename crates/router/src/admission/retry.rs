//! Delay that a refused client is told to wait before it retries.
//!
//! Load pattern: a failover, an outage or a restart turns a crowd of clients away within a moment.
//! With one delay for all, the crowd returns within the same few milliseconds, and most of it is
//! refused again. The delays are therefore spread over the time in which the crowd can be served at
//! the rate of the last seconds.

use crate::message::Time;

/// Length of the windows in which refusals and served statements are counted.
const WINDOW: Time = Time::from_secs(1);
/// Longest time over which delays are spread; clients give up after a few seconds.
pub const MAX_SPREAD: Time = Time::from_secs(2);
/// Share of its former value that the known rate keeps from one window to the next without as many
/// served statements; an outage of some seconds leaves most of it.
const RATE_DECAY: f64 = 0.9;

/// Clients of one group that were refused lately, and the rate at which the group serves.
#[derive(Debug, Default)]
pub struct Crowd {
    window_started_at: Time,
    served_in_window: u32,
    refused_in_window: u32,
    refused_before: u32,
    /// Statements served per window.
    rate: f64,
}

impl Crowd {
    /// Records a statement that was served at `now`.
    pub fn record_served(&mut self, now: Time) {
        self.advance(now);
        self.served_in_window += 1;
    }

    /// Records a statement that is refused at `now`, and returns the delay before its retry: at least
    /// `min_delay`. `key` spreads the delays and differs between statements.
    pub fn refuse(&mut self, now: Time, min_delay: Time, key: u64) -> Time {
        self.refuse_within(now, min_delay, MAX_SPREAD, key)
    }

    /// Like [`refuse`](Crowd::refuse), with delays spread over at most `max_spread`.
    pub fn refuse_within(
        &mut self,
        now: Time,
        min_delay: Time,
        max_spread: Time,
        key: u64,
    ) -> Time {
        self.advance(now);
        self.refused_in_window += 1;
        let refused = f64::from(self.refused_in_window + self.refused_before);
        let rate = self.rate.max(f64::from(self.served_in_window)).max(1.0);
        let spread = WINDOW.mul_f64(refused / rate).min(max_spread);
        min_delay + spread.mul_f64(key as f64 / u64::MAX as f64)
    }

    fn advance(&mut self, now: Time) {
        let windows = now.saturating_sub(self.window_started_at).as_secs() / WINDOW.as_secs();
        if windows == 0 {
            return;
        }
        let decay = RATE_DECAY.powi(i32::try_from(windows).unwrap_or(i32::MAX));
        self.rate = (self.rate * decay).max(f64::from(self.served_in_window));
        self.refused_before = if windows == 1 { self.refused_in_window } else { 0 };
        self.served_in_window = 0;
        self.refused_in_window = 0;
        self.window_started_at = now;
    }
}
