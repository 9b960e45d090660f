//! Report of a run: the figures computed from its history and from counters of the fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::faults::Loss;
use crate::history::{Access, Operation, Outcome};

/// Number of slowest operations that a report lists.
const OUTLIER_COUNT: usize = 8;
/// Highest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Longest time until a stand-in applies a fault.
const MAX_FAULT_DELAY: Duration = Duration::from_millis(5);

/// Figures of a run, as written to a JSON file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// Seed of the clients' random choices.
    pub seed: u64,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Share of reads that replicas answered.
    pub replica_read_share: f64,
    /// Share of reads that some replica could have answered, as a router with exact knowledge of
    /// the replicas' positions would find.
    pub replica_read_share_possible: f64,
    /// Time without acknowledged writes after each loss of a primary, in milliseconds.
    pub failover_gap_ms: Gap,
    /// Number of violations of each guarantee.
    pub violations: BTreeMap<String, u64>,
    /// Number of statements and transactions, whatever their outcome.
    pub statements: u64,
    /// Number of statements refused as not run.
    pub refused_not_run: u64,
    /// Number of statements with an unknown outcome.
    pub outcome_unknown: u64,
    /// Number of refusals and unknown outcomes by result code or SQLSTATE.
    pub errors: BTreeMap<String, u64>,
    /// Share of the total slot time by club.
    pub slot_time_share: BTreeMap<String, f64>,
    /// Slot time by club, in seconds.
    pub slot_seconds: BTreeMap<String, f64>,
    /// Number of statements and transactions by club, whatever their outcome.
    pub statements_by_club: BTreeMap<String, u64>,
    /// Latency of answered reads by club, in milliseconds.
    pub read_latency_ms_by_club: BTreeMap<String, Latency>,
    /// Slowest operations, slowest first.
    pub slowest: Vec<Outlier>,
    /// Latency of answered reads, in milliseconds.
    pub read_latency_ms: Latency,
    /// Latency of acknowledged writes, in milliseconds.
    pub write_latency_ms: Latency,
    /// Calls to the platform per second, of all nodes together.
    pub platform_calls_per_s: f64,
    /// Bytes of control messages that a node sends to its peers per second, mean of all nodes.
    pub control_bytes_per_s: f64,
    /// Probes of endpoints that a node sends per second, mean of all nodes.
    pub probes_per_s: f64,
    /// Number of promotions.
    pub promotions: u64,
    /// Number of acknowledged writes in each 100 ms.
    pub writes_by_100_ms: Vec<u32>,
    /// Number of answered reads in each 100 ms.
    pub reads_by_100_ms: Vec<u32>,
}

/// Operation with an exceptionally long latency.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outlier {
    /// Start in seconds, since the start of the run.
    pub start: f64,
    /// Latency in milliseconds.
    #[serde(rename = "ms")]
    pub latency_ms: f64,
    /// Access, database, outcome and error.
    #[serde(rename = "what")]
    pub description: String,
}

/// Failover gaps of a run, in milliseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Gap {
    /// Every gap, in the order of the losses.
    pub all: Vec<f64>,
    /// Median.
    pub median: f64,
    /// Longest gap.
    pub max: f64,
    /// Mean time of each part of the last failover of each database.
    #[serde(rename = "split")]
    pub part_means: BTreeMap<String, f64>,
}

/// Percentiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

/// Returns the latency of the answered reads or of the acknowledged writes.
pub(crate) fn latency(operations: &[Operation], access: Access) -> Latency {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid");
    let is_answered =
        |operation: &&Operation| operation.access == access && operation.outcome == Outcome::Done;
    for operation in operations.iter().filter(is_answered) {
        let micros = operation.end.saturating_sub(operation.start).as_micros();
        histogram.saturating_record(u64::try_from(micros).unwrap_or(MAX_LATENCY_US).max(1));
    }
    let ms = |micros: u64| micros as f64 / 1000.0;
    Latency {
        p50: ms(histogram.value_at_quantile(0.5)),
        p90: ms(histogram.value_at_quantile(0.9)),
        p99: ms(histogram.value_at_quantile(0.99)),
        max: ms(histogram.max()),
    }
}

/// Returns the slowest operations, slowest first.
pub(crate) fn slowest(operations: &[Operation]) -> Vec<Outlier> {
    let mut sorted: Vec<&Operation> = operations.iter().collect();
    sorted
        .sort_by_key(|operation| std::cmp::Reverse(operation.end.saturating_sub(operation.start)));
    let outlier = |operation: &&Operation| Outlier {
        start: operation.start.as_secs_f64(),
        latency_ms: operation.end.saturating_sub(operation.start).as_secs_f64() * 1000.0,
        description: format!(
            "{:?} of database {}: {:?} {}",
            operation.access,
            operation.database,
            operation.outcome,
            operation.error.as_deref().unwrap_or_default()
        ),
    };
    sorted.iter().take(OUTLIER_COUNT).map(outlier).collect()
}

/// Returns the failover gaps, in milliseconds; a loss without a later acknowledged write has none.
///
/// A gap lasts from the loss of a primary to the first acknowledgement of a write that started
/// after the loss, which the lost primary can no longer confirm.
pub(crate) fn gaps(operations: &[Operation], losses: &[Loss]) -> Vec<f64> {
    losses.iter().filter_map(|loss| gap(operations, loss)).collect()
}

fn gap(operations: &[Operation], loss: &Loss) -> Option<f64> {
    let first_acknowledgement = operations
        .iter()
        .filter(|operation| operation.access == Access::Write && operation.outcome == Outcome::Done)
        .filter(|operation| operation.database == loss.database)
        .filter(|operation| operation.start >= loss.at + MAX_FAULT_DELAY)
        .map(|operation| operation.end)
        .min()?;
    Some((first_acknowledgement - loss.at).as_secs_f64() * 1000.0)
}

/// Returns the median; the upper one of two middle values, and 0 without values.
pub(crate) fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}

/// Returns the number of answered reads or acknowledged writes that ended in each 100 ms of `total`.
pub(crate) fn by_100_ms(operations: &[Operation], access: Access, total: Duration) -> Vec<u32> {
    let mut counts = vec![0; (total.as_millis() / 100) as usize + 1];
    for operation in operations {
        if operation.access == access
            && operation.outcome == Outcome::Done
            && let Some(count) = counts.get_mut((operation.end.as_millis() / 100) as usize)
        {
            *count += 1;
        }
    }
    counts
}
