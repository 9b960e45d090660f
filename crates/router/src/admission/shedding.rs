//! Load shedding: refusal of work at its arrival while a standing queue makes all work late.
//!
//! Load pattern: demand exceeds capacity for seconds, for instance because both replicas of a group lag
//! and the primary has a third of the group's slots. The queue then grows until its work turns late. The
//! group serves as many statements as before, but most of them after their latency objective or after
//! their clients' limits, and the refused clients come back with their objective already missed.
//!
//! As in controlled delay queue management, the sign of overload is not the length of the queue, which
//! any burst raises, but a queue that does not drain for [`OVERLOADED_AFTER`]. Work is then admitted
//! only if it can be placed within [`TARGET_SHARE`] of its objective, at the pace at which waiting work
//! was placed lately. The rest is refused at once, early enough for the client to come back within its
//! objective.

use crate::message::Time;

/// Length of the windows in which the queue is observed.
const WINDOW: Time = Time::from_millis(500);
/// Time without a pause in the waiting from which on a group counts as overloaded. Clients try for a few
/// seconds; work that waits is served late, but served, if the overload is shorter.
const OVERLOADED_AFTER: Time = Time::from_secs(6);
/// Share of the observations in a window that must find waiting work for an overload to last. Shedding
/// keeps the queue short, so that it is empty at times.
const MIN_WAITING_SHARE: f64 = 0.5;
/// Share of the latency objective up to which admitted work waits; the rest is for service, and for the
/// further statements of a transaction.
const TARGET_SHARE: f64 = 0.4;
/// Weight of a new interval between placements in the moving average.
const INTERVAL_WEIGHT: f64 = 0.1;

/// Overload of one group by one kind of work.
#[derive(Debug, Default)]
pub struct Shedder {
    window_started_at: Time,
    observations: u32,
    waiting_observations: u32,
    /// Since when work has waited at every observation.
    waiting_since: Option<Time>,
    is_overloaded: bool,
    last_placed_at: Time,
    /// Moving average of the time between two placements while work waits, in seconds.
    placement_interval: Option<f64>,
}

impl Shedder {
    /// Records whether work waits at `now` for a connection to become free; called at each tick.
    pub fn observe(&mut self, now: Time, is_waiting: bool) {
        self.observations += 1;
        self.waiting_observations += u32::from(is_waiting);
        match is_waiting {
            true => {
                let since = *self.waiting_since.get_or_insert(now);
                self.is_overloaded |= now >= since + OVERLOADED_AFTER;
            }
            false => self.waiting_since = None,
        }
        if now < self.window_started_at + WINDOW {
            return;
        }
        let share = f64::from(self.waiting_observations) / f64::from(self.observations);
        self.is_overloaded &= share >= MIN_WAITING_SHARE;
        self.window_started_at = now;
        self.observations = 0;
        self.waiting_observations = 0;
    }

    /// Records that work that had waited since `waiting_since` was placed at `now`.
    pub fn record_placed(&mut self, now: Time, waiting_since: Time) {
        if now > waiting_since {
            let since = self.last_placed_at.max(waiting_since);
            let interval = now.saturating_sub(since).as_secs_f64();
            let average = self.placement_interval.get_or_insert(interval);
            *average += (interval - *average) * INTERVAL_WEIGHT;
        }
        self.last_placed_at = now;
    }

    /// Ends an overload, for example because the primary is being replaced.
    pub fn reset(&mut self) {
        *self = Shedder::default();
    }

    /// Returns whether the queue has not drained for long.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Returns whether arriving work with this latency objective is admitted if `ahead` others are placed
    /// before it.
    pub fn admits(&self, ahead: usize, objective: Time) -> bool {
        let wait = self.placement_interval.unwrap_or_default() * ahead as f64;
        !self.is_overloaded || wait < objective.as_secs_f64() * TARGET_SHARE
    }
}
