//! Expected wait of a statement, and refusal of work that cannot be answered in time.
//!
//! Load pattern: demand exceeds what the endpoints serve for longer than the time limit. Work that
//! the queue can no longer reach waits until its deadline, and its client learns only then that the
//! statement has not run.
//!
//! The estimate is a lower bound of the wait. It takes the statements that certainly go first, and
//! the larger of the two times in which they are served at best:
//!
//! - by the connections that this node may use, each at the fastest usual service time of its endpoint;
//! - at [`SAFETY_FACTOR`] times the best throughput of the last seconds in which work always waited and
//!   no connection was free.
//!   This bound learns how many statements the endpoints run at once, and what other nodes use.
//!
//! Work is refused if it would be late even so. Work that can be answered in time is therefore never
//! refused unless the throughput rises to more than [`SAFETY_FACTOR`] times its recent best while the
//! work waits.

use std::collections::{BTreeMap, VecDeque};

use crate::message::{EndpointId, Time};

/// Factor by which the throughput may exceed the best of the last seconds: other nodes, which share
/// the endpoints, may get less work.
pub const SAFETY_FACTOR: f64 = 2.0;
/// Length of the windows in which throughput is counted: many times the usual service time.
const WINDOW: Time = Time::from_millis(500);
/// Number of past windows with waiting work that are kept, four seconds.
const MAX_WINDOWS: usize = 8;
/// Number of such windows from which on the throughput is known. The first windows after an outage
/// are slow.
const MIN_WINDOWS: usize = 3;
/// Age from which on a window no longer shows the throughput.
const MAX_WINDOW_AGE: Time = Time::from_secs(6);
/// Answers in a window below which it shows an outage rather than the throughput.
const MIN_ANSWERS: u32 = 5;
/// Share of its distance to a slower answer by which the fastest usual service time rises: one answer
/// in a hundred may be exceptionally fast.
const SERVICE_TIME_RISE: f64 = 0.01;

/// Shortest service time that is distinguished, which bounds rates.
const MIN_SERVICE_TIME: Time = Time::from_micros(100);

/// Kind of work, by the endpoints that can serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Only the primary.
    Primary,
    /// Any endpoint whose log is recent enough.
    Any,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 2] = [Kind::Primary, Kind::Any];
}

/// Fastest pace at which a group serves the waiting work of one kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Statements per second.
    pub rate: f64,
    /// Statements that run at once without waiting.
    pub slots: usize,
    /// Fastest usual service time.
    pub service_time: Time,
}

impl Pace {
    /// Returns the least time after which a statement is answered before which `ahead` others wait,
    /// while `in_flight` statements occupy slots.
    pub fn wait(&self, ahead: usize, in_flight: usize) -> Time {
        let served_before = (ahead + in_flight).saturating_sub(self.slots);
        Time::from_secs_f64(served_before as f64 / self.rate) + self.service_time
    }
}

/// Service times and throughput of one group.
#[derive(Debug, Default)]
pub struct Estimator {
    kinds: [Load; Kind::ALL.len()],
}

/// Measured load of one kind.
#[derive(Debug, Default)]
struct Load {
    /// Fastest usual service time by endpoint.
    service_times: BTreeMap<EndpointId, Time>,
    window_started_at: Time,
    answers: u32,
    /// Whether work of the kind waited during all of the current window.
    is_saturated: bool,
    /// Throughput, per second, of windows in which work always waited, and the end of each.
    windows: VecDeque<(Time, f64)>,
}

impl Estimator {
    /// Records an answer of `endpoint` after `service_time`.
    pub fn record_answer(&mut self, kind: Kind, endpoint: &EndpointId, service_time: Time) {
        let load = &mut self.kinds[kind as usize];
        load.answers += 1;
        let fastest = load.service_times.entry(endpoint.clone()).or_insert(service_time);
        *fastest = match service_time.checked_sub(*fastest) {
            Some(excess) => *fastest + excess.min(*fastest).mul_f64(SERVICE_TIME_RISE),
            None => service_time,
        };
    }

    /// Records whether work of the kind waits at `now` for a connection to become free; called at each
    /// tick.
    pub fn observe(&mut self, now: Time, kind: Kind, is_waiting: bool) {
        let load = &mut self.kinds[kind as usize];
        load.is_saturated &= is_waiting;
        let elapsed = now.saturating_sub(load.window_started_at);
        if elapsed < WINDOW {
            return;
        }
        // A longer window lacks ticks: the process did not run for a part of it.
        if load.is_saturated && elapsed < WINDOW * 2 && load.answers >= MIN_ANSWERS {
            if load.windows.len() == MAX_WINDOWS {
                load.windows.pop_front();
            }
            load.windows.push_back((now, f64::from(load.answers) / elapsed.as_secs_f64()));
        }
        load.window_started_at = now;
        load.answers = 0;
        load.is_saturated = is_waiting;
    }

    /// Forgets the endpoints for which `exists` returns false.
    pub fn retain(&mut self, exists: impl Fn(&EndpointId) -> bool) {
        for load in &mut self.kinds {
            load.service_times.retain(|id, _| exists(id));
        }
    }

    /// Returns whether the service time of `endpoint` is known.
    pub fn knows(&self, kind: Kind, endpoint: &EndpointId) -> bool {
        self.kinds[kind as usize].service_times.contains_key(endpoint)
    }

    /// Returns the best throughput of the last seconds with waiting work, per second; none if it is
    /// not known.
    pub fn throughput(&self, now: Time, kind: Kind) -> Option<f64> {
        let windows = &self.kinds[kind as usize].windows;
        let recent = windows.iter().filter(|(ended_at, _)| now < *ended_at + MAX_WINDOW_AGE);
        let rates: Vec<f64> = recent.map(|(_, rate)| *rate).collect();
        (rates.len() >= MIN_WINDOWS).then(|| rates.into_iter().fold(0.0, f64::max))
    }

    /// Returns the pace at which the endpoints serve the kind at best, if each gets at most this many
    /// connections of this node; none while the service time of an endpoint is not known.
    pub fn pace(&self, now: Time, kind: Kind, endpoints: &[(EndpointId, usize)]) -> Option<Pace> {
        let service_times = &self.kinds[kind as usize].service_times;
        let mut service_time = Time::MAX;
        let (mut rate, mut slots) = (0.0, 0);
        for (id, connections) in endpoints {
            let fastest = *service_times.get(id)?;
            service_time = service_time.min(fastest);
            rate += *connections as f64 / fastest.max(MIN_SERVICE_TIME).as_secs_f64();
            slots += connections;
        }
        if let Some(throughput) = self.throughput(now, kind) {
            rate = rate.min(throughput * SAFETY_FACTOR);
        }
        (slots > 0).then_some(Pace { rate, slots, service_time })
    }
}
