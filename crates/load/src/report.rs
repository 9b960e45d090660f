//! Figures of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::faults::Loss;
use crate::history::{Kind, Operation, Outcome};

/// Slow operations that are listed.
const SLOWEST: usize = 8;
/// Longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 120_000_000;
/// Longest time that a stand-in takes to notice a fault.
const FAULT_DELAY: Duration = Duration::from_millis(5);

/// Figures of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// Seed.
    pub seed: u64,
    /// Length in seconds.
    pub seconds: f64,
    /// Share of reads that replicas answered.
    pub replica_read_share: f64,
    /// Share of reads that a router with exact knowledge could have sent to a replica.
    pub replica_read_share_possible: f64,
    /// Time without acknowledged writes after the loss of a primary.
    pub failover_gap_ms: Gap,
    /// Broken promises.
    pub violations: BTreeMap<String, u64>,
    /// Statements answered.
    pub statements: u64,
    /// Statements refused as not run.
    pub refused_not_run: u64,
    /// Statements with an unknown outcome.
    pub outcome_unknown: u64,
    /// Refusals and unknown outcomes by result code or SQLSTATE.
    pub errors: BTreeMap<String, u64>,
    /// Share of the slot time by club.
    pub slot_time_share: BTreeMap<String, f64>,
    /// Slot time by club, in seconds.
    pub slot_seconds: BTreeMap<String, f64>,
    /// Statements answered by club.
    pub statements_by_club: BTreeMap<String, u64>,
    /// Latency of reads by club.
    pub read_latency_ms_by_club: BTreeMap<String, Latency>,
    /// Slowest operations.
    pub slowest: Vec<Slow>,
    /// Latency of reads.
    pub read_latency_ms: Latency,
    /// Latency of writes.
    pub write_latency_ms: Latency,
    /// Calls of the platform.
    pub platform_calls_per_s: f64,
    /// Bytes that a node sends to peers for control.
    pub control_bytes_per_s: f64,
    /// Probes of endpoints by a node.
    pub probes_per_s: f64,
    /// Promotions.
    pub promotions: u64,
    /// Acknowledged writes in each 100 ms.
    pub writes_by_100_ms: Vec<u32>,
    /// Answered reads in each 100 ms.
    pub reads_by_100_ms: Vec<u32>,
}

/// Operation that took long.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Slow {
    /// Begin in seconds.
    pub start: f64,
    /// Length in milliseconds.
    pub ms: f64,
    /// What it was and how it ended.
    pub what: String,
}

/// Gaps of a run and their parts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Gap {
    /// Each gap, in the order of the losses.
    pub all: Vec<f64>,
    /// Median.
    pub median: f64,
    /// Longest.
    pub max: f64,
    /// Mean time of each part of the last change of primary of each database.
    pub split: BTreeMap<String, f64>,
}

/// Percentiles of a latency.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Longest.
    pub max: f64,
}

/// Returns the latency of the operations of one kind that were answered.
pub(crate) fn latency(operations: &[Operation], kind: Kind) -> Latency {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are valid");
    let done =
        |operation: &&Operation| operation.kind == kind && operation.outcome == Outcome::Done;
    for operation in operations.iter().filter(done) {
        let micros = operation.end.saturating_sub(operation.start).as_micros();
        histogram.saturating_record(u64::try_from(micros).unwrap_or(LONGEST_US).max(1));
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
pub(crate) fn slowest(operations: &[Operation]) -> Vec<Slow> {
    let mut sorted: Vec<&Operation> = operations.iter().collect();
    sorted
        .sort_by_key(|operation| std::cmp::Reverse(operation.end.saturating_sub(operation.start)));
    let slow = |operation: &&Operation| Slow {
        start: operation.start.as_secs_f64(),
        ms: operation.end.saturating_sub(operation.start).as_secs_f64() * 1000.0,
        what: format!(
            "{:?} of database {}: {:?} {}",
            operation.kind,
            operation.database,
            operation.outcome,
            operation.error.as_deref().unwrap_or_default()
        ),
    };
    sorted.iter().take(SLOWEST).map(slow).collect()
}

/// Returns the gaps after the losses of primaries.
///
/// A gap runs from the loss to the first acknowledgement of a write that began after it: the old
/// primary can no longer have that write confirmed.
pub(crate) fn gaps(operations: &[Operation], losses: &[Loss]) -> Vec<f64> {
    losses.iter().filter_map(|loss| gap(operations, loss)).collect()
}

fn gap(operations: &[Operation], loss: &Loss) -> Option<f64> {
    let first = operations
        .iter()
        .filter(|operation| operation.kind == Kind::Write && operation.outcome == Outcome::Done)
        .filter(|operation| operation.database == loss.database)
        .filter(|operation| operation.start >= loss.at + FAULT_DELAY)
        .map(|operation| operation.end)
        .min()?;
    Some((first - loss.at).as_secs_f64() * 1000.0)
}

/// Returns the middle value.
pub(crate) fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}

/// Returns the number of operations of a kind that ended in each 100 ms.
pub(crate) fn by_100_ms(operations: &[Operation], kind: Kind, total: Duration) -> Vec<u32> {
    let mut counts = vec![0; (total.as_millis() / 100) as usize + 1];
    for operation in operations {
        if operation.kind == kind
            && operation.outcome == Outcome::Done
            && let Some(count) = counts.get_mut((operation.end.as_millis() / 100) as usize)
        {
            *count += 1;
        }
    }
    counts
}
