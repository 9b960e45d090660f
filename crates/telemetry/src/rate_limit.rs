//! Rate limit of log lines per call site.
//!
//! A call site is a place in the code that logs. Within each window of time it may write a limited
//! number of lines; further lines are suppressed and counted.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use tracing::callsite::Identifier;
use tracing::{Event, Level, Metadata};
use tracing_subscriber::layer::{Context, Filter};

/// Lines that a call site may write within a window.
const DEFAULT_MAX_LINES: u32 = 40;
const DEFAULT_WINDOW: Duration = Duration::from_secs(1);

/// Log filter that limits the lines of each call site per window and counts suppressed lines.
#[derive(Debug)]
pub struct RateLimit {
    level: Level,
    max_lines: u32,
    window: Duration,
    callsites: Mutex<HashMap<Identifier, Window>>,
}

#[derive(Debug)]
struct Window {
    start: Instant,
    lines: u32,
    suppressed: u64,
}

impl RateLimit {
    /// Returns a filter for lines of `level` and above.
    pub fn new(level: Level) -> RateLimit {
        RateLimit {
            level,
            max_lines: DEFAULT_MAX_LINES,
            window: DEFAULT_WINDOW,
            callsites: Mutex::new(HashMap::new()),
        }
    }

    /// Sets the number of lines that a call site may write within a window.
    pub fn with_max_lines(mut self, max_lines: u32) -> RateLimit {
        self.max_lines = max_lines;
        self
    }

    /// Sets the length of a window.
    pub fn with_window(mut self, window: Duration) -> RateLimit {
        self.window = window;
        self
    }

    /// Counts a line of `callsite`; returns whether the line may be written, and how many lines
    /// were suppressed in the previous window if this line starts a new one.
    fn admit_line(&self, callsite: Identifier) -> (bool, u64) {
        let now = Instant::now();
        // The counters remain usable after a thread panicked while it held the lock.
        let mut callsites = match self.callsites.lock() {
            Ok(callsites) => callsites,
            Err(poisoned) => poisoned.into_inner(),
        };
        let new_window = || Window { start: now, lines: 0, suppressed: 0 };
        let current = callsites.entry(callsite).or_insert_with(new_window);
        let mut previously_suppressed = 0;
        if now.duration_since(current.start) >= self.window {
            previously_suppressed = current.suppressed;
            *current = new_window();
        }
        if current.lines >= self.max_lines {
            current.suppressed += 1;
            return (false, previously_suppressed);
        }
        current.lines += 1;
        (true, previously_suppressed)
    }
}

impl<S> Filter<S> for RateLimit {
    fn enabled(&self, metadata: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        *metadata.level() <= self.level
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let metadata = event.metadata();
        let (is_allowed, suppressed) = self.admit_line(metadata.callsite());
        if suppressed > 0 {
            let (file, line) = (metadata.file().unwrap_or_default(), metadata.line());
            tracing::warn!(
                suppressed,
                file,
                line,
                "call site exceeded its rate limit; log lines were suppressed"
            );
        }
        if !is_allowed {
            metrics::counter!("log_lines_suppressed_total").increment(1);
        }
        is_allowed
    }

    fn max_level_hint(&self) -> Option<tracing::level_filters::LevelFilter> {
        Some(self.level.into())
    }
}
