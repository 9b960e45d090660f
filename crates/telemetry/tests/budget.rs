//! Volume of lines under load.

use std::io::Write;
use std::sync::{Arc, Mutex};

use tamarackbend_telemetry::Budget;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::{Layer, fmt};

#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no writer has panicked").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn each_place_has_a_budget_of_its_own() {
    let sink = Sink::default();
    let writer = sink.clone();
    let lines = fmt::layer().json().with_writer(move || writer.clone()).with_filter(
        Budget::new(tracing::Level::INFO)
            .with_lines(5)
            .with_period(std::time::Duration::from_secs(3600)),
    );
    tracing::subscriber::with_default(tracing_subscriber::registry().with(lines), || {
        for _ in 0..1000 {
            tracing::info!("often");
        }
        tracing::info!("once");
        tracing::debug!("never");
    });
    let written = String::from_utf8(sink.0.lock().expect("no writer has panicked").clone());
    let written = written.expect("lines are text");
    assert_eq!(written.matches("often").count(), 5);
    assert_eq!(written.matches("once").count(), 1);
    assert_eq!(written.matches("never").count(), 0);
}
