//! Monotonic clock that keeps counting while the VM is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the VM was booted, including time in which the VM was suspended.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
