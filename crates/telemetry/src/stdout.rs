//! Standard output that never blocks the process.

use std::io::{self, Write};
use std::sync::Once;

/// Writer of log lines to standard output.
///
/// A line that cannot be written without blocking is dropped and counted in
/// `log_lines_dropped_total`.
#[derive(Debug)]
pub struct Stdout;

impl Stdout {
    /// Returns the writer; the first call sets standard output to non-blocking mode.
    pub fn new() -> Stdout {
        static SET_NON_BLOCKING: Once = Once::new();
        SET_NON_BLOCKING.call_once(|| {
            // Descriptors that reject the flag, such as files, do not block on writes.
            let _ = rustix::io::ioctl_fionbio(io::stdout(), true);
        });
        Stdout
    }
}

impl Default for Stdout {
    fn default() -> Stdout {
        Stdout::new()
    }
}

impl Write for Stdout {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match rustix::io::write(io::stdout(), line) {
            Ok(count) => Ok(count),
            Err(error) if error == rustix::io::Errno::AGAIN => {
                metrics::counter!("log_lines_dropped_total").increment(1);
                Ok(line.len())
            }
            Err(error) => Err(error.into()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
