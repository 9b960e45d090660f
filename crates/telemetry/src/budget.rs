//! Budget of log lines for each place that logs.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use tracing::callsite::Identifier;
use tracing::{Event, Level, Metadata};
use tracing_subscriber::layer::{Context, Filter};

/// Lines that one place may log in a second.
const LINES_PER_SECOND: u32 = 40;
/// Time to which the budget applies.
const PERIOD: Duration = Duration::from_secs(1);

/// Filter that lets each place log so many lines a second and counts the others.
#[derive(Debug)]
pub struct Budget {
    level: Level,
    lines: u32,
    period: Duration,
    places: Mutex<HashMap<Identifier, Place>>,
}

#[derive(Debug)]
struct Place {
    since: Instant,
    used: u32,
    suppressed: u64,
}

impl Budget {
    /// Returns a filter for lines of `level` and above.
    pub fn new(level: Level) -> Budget {
        Budget {
            level,
            lines: LINES_PER_SECOND,
            period: PERIOD,
            places: Mutex::new(HashMap::new()),
        }
    }

    /// Returns the filter with another number of lines a second.
    pub fn with_lines(mut self, lines: u32) -> Budget {
        self.lines = lines;
        self
    }

    /// Returns the filter with another time to which the number of lines applies.
    pub fn with_period(mut self, period: Duration) -> Budget {
        self.period = period;
        self
    }

    /// Takes a line from the budget of `place`; returns whether there was one, and how many were
    /// suppressed before a new period.
    fn take(&self, place: Identifier) -> (bool, u64) {
        let now = Instant::now();
        // A thread that panicked while it held the lock left a usable count.
        let mut places = match self.places.lock() {
            Ok(places) => places,
            Err(poisoned) => poisoned.into_inner(),
        };
        let new = || Place { since: now, used: 0, suppressed: 0 };
        let place = places.entry(place).or_insert_with(new);
        let mut reported = 0;
        if now.duration_since(place.since) >= self.period {
            reported = place.suppressed;
            *place = new();
        }
        if place.used >= self.lines {
            place.suppressed += 1;
            return (false, reported);
        }
        place.used += 1;
        (true, reported)
    }
}

impl<S> Filter<S> for Budget {
    fn enabled(&self, metadata: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        *metadata.level() <= self.level
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let metadata = event.metadata();
        let (allowed, suppressed) = self.take(metadata.callsite());
        if suppressed > 0 {
            let (file, line) = (metadata.file().unwrap_or_default(), metadata.line());
            tracing::warn!(suppressed, file, line, "lines were suppressed");
        }
        if !allowed {
            metrics::counter!("log_lines_suppressed_total").increment(1);
        }
        allowed
    }

    fn max_level_hint(&self) -> Option<tracing::level_filters::LevelFilter> {
        Some(self.level.into())
    }
}
