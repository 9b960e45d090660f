//! Limit of the statements that a node runs at one endpoint at once.
//!
//! Load pattern: an endpoint serves the work of many nodes, whose connections together are a multiple of
//! its slots and of its queue, and refuses most arrivals as busy. A node that pauses after each refusal
//! wastes its share while the pause lasts, for urgent work too.
//!
//! The limit follows additive increase and multiplicative decrease, as congestion windows do. A refusal
//! lowers it, and answers raise it again, so that the nodes share the endpoint evenly. The work that
//! exceeds the limit waits at the node, in the order of its urgency.

use crate::message::Time;

/// Factor of a decrease.
const DECREASE: f64 = 0.7;
/// Rise of the limit over as many answers as the limit allows statements.
const INCREASE: f64 = 0.5;
/// Interval of decreases: statements that were sent before a decrease are refused for a while.
const DECREASE_INTERVAL: Time = Time::from_millis(100);
/// Limit from which on the endpoint counts as not limited: more than a node's connections.
const MAX_LIMIT: f64 = 24.0;

/// Limit for one endpoint; none until it has refused work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    limit: Option<f64>,
    decreased_at: Time,
    /// Whether the last outcome was a refusal.
    is_refusing: bool,
}

impl Window {
    /// Records that the endpoint refused a statement as busy while `in_flight` others were unanswered.
    /// Returns whether it has answered none since its last refusal, so that only time can show when it
    /// accepts work again.
    pub fn record_refusal(&mut self, now: Time, in_flight: usize) -> bool {
        self.decrease(now, in_flight);
        std::mem::replace(&mut self.is_refusing, true) || in_flight == 0
    }

    fn decrease(&mut self, now: Time, in_flight: usize) {
        if self.limit.is_some() && now < self.decreased_at + DECREASE_INTERVAL {
            return;
        }
        let used = (in_flight as f64).min(self.limit.unwrap_or(MAX_LIMIT));
        self.limit = Some((used * DECREASE).max(1.0));
        self.decreased_at = now;
    }

    /// Records that the endpoint answered a statement.
    pub fn record_answer(&mut self) {
        self.is_refusing = false;
        self.limit =
            self.limit.map(|limit| limit + INCREASE / limit).filter(|limit| *limit < MAX_LIMIT);
    }

    /// Returns whether another statement may be sent while `in_flight` are unanswered.
    pub fn admits(&self, in_flight: usize) -> bool {
        self.limit.is_none_or(|limit| ((in_flight + 1) as f64) <= limit)
    }

    /// Returns the limit, if there is one.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }
}
