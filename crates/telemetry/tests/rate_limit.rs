//! Rate limit of log lines per call site.

use std::io::Write;
use std::sync::{Arc, Mutex};

use tamarackbend_telemetry::RateLimit;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::{Layer, fmt};

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no writer has panicked").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a flood of lines from one call site, and against a limit that such a flood uses
/// up for other call sites too.
#[test]
fn each_callsite_has_its_own_limit() {
    let buffer = SharedBuffer::default();
    let writer = buffer.clone();
    let lines = fmt::layer().json().with_writer(move || writer.clone()).with_filter(
        RateLimit::new(tracing::Level::INFO)
            .with_max_lines(5)
            .with_window(std::time::Duration::from_secs(3600)),
    );
    tracing::subscriber::with_default(tracing_subscriber::registry().with(lines), || {
        for _ in 0..1000 {
            tracing::info!("often");
        }
        tracing::info!("once");
        tracing::debug!("never");
    });
    let written = String::from_utf8(buffer.0.lock().expect("no writer has panicked").clone());
    let written = written.expect("log lines are UTF-8");
    assert_eq!(written.matches("often").count(), 5);
    assert_eq!(written.matches("once").count(), 1);
    assert_eq!(written.matches("never").count(), 0);
}
