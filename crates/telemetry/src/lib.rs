//! Logs and metrics of a process, bounded under load.
//!
//! Log lines are JSON objects on standard output. Each place in the code that logs has a budget of
//! lines a second; what exceeds it is counted and reported once a second. A reader that does not
//! keep up loses lines and never delays the process.

mod budget;
mod explain;
mod output;

pub use budget::Budget;
pub use explain::{Line, explain, parse};
pub use output::Output;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, fmt};

/// Bounds of latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Starts to log lines of `level` and above to standard output.
pub fn start_log(level: tracing::Level) {
    let lines = fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(Output::new)
        .with_filter(Budget::new(level));
    tracing_subscriber::registry().with(lines).init();
}

/// Starts to collect metrics; the handle renders them.
///
/// Returns none if the process has a recorder already.
pub fn start_metrics() -> Option<PrometheusHandle> {
    let seconds = Matcher::Suffix("_seconds".to_owned());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(seconds, &LATENCY_BOUNDS).ok()?;
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).ok()?;
    Some(handle)
}
