//! Delays between places.

use std::collections::BTreeMap;
use std::time::Duration;

/// One-way delays of messages by where their ends are.
#[derive(Clone, Debug)]
pub struct Latency {
    /// Region of each failure domain.
    pub regions: BTreeMap<String, String>,
    /// Between failure domains of one region.
    pub between_domains: Duration,
    /// Between regions.
    pub between_regions: Duration,
    /// Time to set up a connection.
    pub connect: Duration,
    /// Time that an endpoint takes for a statement.
    pub service: Duration,
}

impl Latency {
    /// Returns the absence of all delays.
    pub fn none() -> Latency {
        Latency {
            regions: BTreeMap::new(),
            between_domains: Duration::ZERO,
            between_regions: Duration::ZERO,
            connect: Duration::ZERO,
            service: Duration::ZERO,
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
