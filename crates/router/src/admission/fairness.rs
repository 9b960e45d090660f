//! Order of customers by the slot time that they have used recently.
//!
//! Load pattern: one customer sends several times its usual load. In an order by age its statements
//! fill the queue, and the statements of all other customers wait behind them.
//!
//! The customer that has used the least slot time for its weight goes first. Usage decays
//! exponentially, so a customer is neither rewarded nor punished for more than a few seconds. A
//! statement is charged the mean slot time when it is sent and the difference when it is answered:
//! without the charge at the start, one customer would take all connections that are free at once.
//!
//! All usage decays at the same rate, so the order of two customers changes only when one of them is
//! charged. An account holds the logarithm of its usage at a fixed reference time, which grows by one
//! each `DECAY_TIME` and cannot overflow.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};

use crate::customer::{CustomerName, Table};
use crate::message::Time;

/// Time in which usage decays to 1/e. It covers a burst of some seconds; a shorter time forgets a
/// customer's statements before the slowest of them has ended.
const DECAY_TIME: Time = Time::from_secs(4);
/// Slot time that a statement is charged before any has been answered: a short read.
const FIRST_MEAN: Time = Time::from_millis(10);
/// Weight of a new slot time in the mean.
const MEAN_GAIN: f64 = 1.0 / 16.0;
/// Weight of work without a customer, and of all customers of a configuration without limits.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Position of a customer in the order; the lowest goes first.
#[derive(Clone, Copy, Debug)]
pub struct Rank(f64);

impl Ord for Rank {
    fn cmp(&self, other: &Rank) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Rank) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Rank {
    fn eq(&self, other: &Rank) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Rank {}

/// Weights of the customers of a configuration: a customer may use slot time in proportion to its
/// limit.
#[derive(Clone, Debug, Default)]
pub struct Weights {
    by_customer: HashMap<CustomerName, f64>,
    /// Mean of the limits, for customers without one.
    mean: Option<f64>,
}

impl Weights {
    /// Returns the weights of the customers of `table`.
    pub fn new(table: &Table) -> Weights {
        let limited = table.customers().iter().filter_map(|customer| {
            customer.limit.map(|limit| (CustomerName::clone(&customer.name), limit.rate))
        });
        let by_customer: HashMap<CustomerName, f64> = limited.collect();
        let sum: f64 = table.customers().iter().filter_map(|c| c.limit).map(|l| l.rate).sum();
        let mean = (!by_customer.is_empty()).then(|| sum / by_customer.len() as f64);
        Weights { by_customer, mean }
    }

    /// Returns the weight of a customer, in operations per second if there are limits.
    pub fn weight(&self, customer: Option<&CustomerName>) -> f64 {
        let weight = customer.and_then(|customer| self.by_customer.get(customer)).copied();
        weight.or(self.mean).unwrap_or(DEFAULT_WEIGHT)
    }
}

/// Slot time of one group's endpoints that each customer has used recently. Holds one account for each
/// customer that has used any.
#[derive(Debug)]
pub struct Usage {
    accounts: BTreeMap<Option<CustomerName>, Account>,
    /// Mean slot time of a statement.
    mean: Time,
}

#[derive(Debug)]
struct Account {
    /// Natural logarithm of the usage in seconds, scaled to time zero.
    level: f64,
    weight: f64,
}

impl Default for Usage {
    fn default() -> Usage {
        Usage { accounts: BTreeMap::new(), mean: FIRST_MEAN }
    }
}

impl Usage {
    /// Charges a customer the mean slot time for a statement that is sent at `now`.
    pub fn start(&mut self, now: Time, customer: &Option<CustomerName>) {
        let mean = self.mean;
        self.account(customer).add(now, mean);
    }

    /// Replaces the charge of [`start`](Usage::start) by the slot time of a statement that was answered
    /// at `now`.
    pub fn finish(&mut self, now: Time, customer: &Option<CustomerName>, slot_time: Time) {
        let mean = self.mean;
        let account = self.account(customer);
        account.subtract(now.saturating_sub(slot_time), mean);
        account.add(now, slot_time);
        self.mean = mean.mul_f64(1.0 - MEAN_GAIN) + slot_time.mul_f64(MEAN_GAIN);
    }

    /// Sets the weight of a customer; returns whether it has changed.
    pub fn set_weight(&mut self, customer: &Option<CustomerName>, weight: f64) -> bool {
        let account = self.account(customer);
        std::mem::replace(&mut account.weight, weight) != weight
    }

    /// Returns the position of a customer.
    pub fn rank(&self, customer: &Option<CustomerName>) -> Rank {
        let account = self.accounts.get(customer);
        Rank(account.map_or(f64::NEG_INFINITY, |account| account.level - account.weight.ln()))
    }

    fn account(&mut self, customer: &Option<CustomerName>) -> &mut Account {
        self.accounts
            .entry(customer.clone())
            .or_insert(Account { level: f64::NEG_INFINITY, weight: DEFAULT_WEIGHT })
    }
}

impl Account {
    fn add(&mut self, at: Time, slot_time: Time) {
        let added = level(at, slot_time);
        let (low, high) = (self.level.min(added), self.level.max(added));
        if high > f64::NEG_INFINITY {
            self.level = high + (low - high).exp().ln_1p();
        }
    }

    fn subtract(&mut self, at: Time, slot_time: Time) {
        let subtracted = level(at, slot_time);
        self.level = match subtracted < self.level {
            true => self.level + (-(subtracted - self.level).exp()).ln_1p(),
            false => f64::NEG_INFINITY,
        };
    }
}

/// Returns the logarithm of slot time used at `at`, scaled to time zero.
fn level(at: Time, slot_time: Time) -> f64 {
    slot_time.as_secs_f64().ln() + at.as_secs_f64() / DECAY_TIME.as_secs_f64()
}
