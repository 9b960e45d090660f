//! Network and execution delays.

use std::collections::BTreeMap;
use std::time::Duration;

/// Delays of messages, by the distance between their ends, of connecting and of execution.
#[derive(Clone, Debug)]
pub struct Latency {
    /// Region of each failure domain.
    pub regions: BTreeMap<String, String>,
    /// One-way delay between failure domains of one region.
    pub between_domains: Duration,
    /// One-way delay between regions.
    pub between_regions: Duration,
    /// Time to open a connection, in addition to the round trip.
    pub connect: Duration,
    /// Time that an endpoint takes to execute a statement.
    pub execution: Duration,
}

impl Latency {
    /// Returns zero for every delay.
    pub fn none() -> Latency {
        Latency {
            regions: BTreeMap::new(),
            between_domains: Duration::ZERO,
            between_regions: Duration::ZERO,
            connect: Duration::ZERO,
            execution: Duration::ZERO,
        }
    }

    /// Returns the one-way delay between two failure domains.
    pub fn between(&self, a: &str, b: &str) -> Duration {
        if a == b {
            return Duration::ZERO;
        }
        match (self.regions.get(a), self.regions.get(b)) {
            (Some(a), Some(b)) if a != b => self.between_regions,
            _ => self.between_domains,
        }
    }
}
