//! Logs and metrics of a process, bounded under load.
//!
//! Log lines are JSON objects on standard output. Each call site may write a limited number of
//! lines per second; lines beyond the limit are suppressed, counted, and reported when the call
//! site next logs in a later second. If the reader of standard output does not keep up, lines are
//! dropped and the process is never blocked.

mod explain;
mod rate_limit;
mod stdout;

pub use explain::{Line, explain, parse_line};
pub use rate_limit::RateLimit;
pub use stdout::Stdout;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, fmt};

/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Starts logging of events of `level` and above to standard output.
///
/// # Panics
///
/// Panics if the process has a logger already.
pub fn start_log(level: tracing::Level) {
    let lines = fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(Stdout::new)
        .with_filter(RateLimit::new(level));
    tracing_subscriber::registry().with(lines).init();
}

/// Installs the metrics recorder of the process and returns the handle that renders its metrics.
///
/// Returns none if the process has a recorder already.
pub fn start_metrics() -> Option<PrometheusHandle> {
    let durations = Matcher::Suffix("_seconds".to_owned());
    let builder =
        PrometheusBuilder::new().set_buckets_for_metric(durations, &LATENCY_BUCKETS).ok()?;
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).ok()?;
    Some(handle)
}
