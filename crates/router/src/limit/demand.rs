//! Rate of operations that were requested, over sliding time.

use std::time::Duration;

use crate::message::Time;

/// Length of the intervals in which operations are counted.
const SLOT: Duration = Duration::from_millis(250);
/// Intervals that are kept: the current one and the sixteen before it.
const SLOTS: usize = 17;
/// Whole intervals of the recent rate.
const RECENT_SLOTS: usize = 4;

/// Operations that were requested in the last four seconds, admitted or not.
#[derive(Debug, Default)]
pub(super) struct Demand {
    counts: [u32; SLOTS],
    /// Number of the current interval since the clock's start.
    current: u64,
}

impl Demand {
    pub(super) fn record(&mut self, now: Time) {
        self.advance(now);
        let index = self.index(0);
        self.counts[index] = self.counts[index].saturating_add(1);
    }

    /// Returns the operations per second of the last second.
    pub(super) fn recent(&mut self, now: Time) -> f64 {
        self.rate(now, RECENT_SLOTS)
    }

    /// Returns the operations per x.
    pub(super) fn usual(&mut self, now: Time) -> f64 {
        self.rate(now, SLOTS - 1)
    }

    fn rate(&mut self, now: Time, whole_slots: usize) -> f64 {
        self.advance(now);
        let operations: u32 = (0..=whole_slots).map(|age| self.counts[self.index(age)]).sum();
        let started = now.saturating_sub(SLOT * u32::try_from(self.current).unwrap_or(u32::MAX));
        let length = SLOT * whole_slots as u32 + started;
        f64::from(operations) / length.as_secs_f64()
    }

    fn advance(&mut self, now: Time) {
        let slot = (now.as_millis() / SLOT.as_millis()) as u64;
        let passed = slot.saturating_sub(self.current);
        for _ in 0..passed.min(SLOTS as u64) {
            self.current += 1;
            let index = self.index(0);
            self.counts[index] = 0;
        }
        self.current = self.current.max(slot);
    }

    /// Returns the place of the interval that is `age` intervals old.
    fn index(&self, age: usize) -> usize {
        ((self.current + (SLOTS - age) as u64) % SLOTS as u64) as usize
    }
}
