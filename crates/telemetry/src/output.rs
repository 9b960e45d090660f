//! Standard output that never blocks the process.

use std::io::{self, Write};
use std::sync::Once;

/// Writer of whole lines to standard output; a line that does not fit at once is dropped.
#[derive(Debug)]
pub struct Output;

impl Output {
    /// Returns the writer; the first call makes standard output non-blocking.
    pub fn new() -> Output {
        static NON_BLOCKING: Once = Once::new();
        NON_BLOCKING.call_once(|| {
            // Where it cannot be set (a file), writes do not block either.
            let _ = rustix::io::ioctl_fionbio(io::stdout(), true);
        });
        Output
    }
}

impl Default for Output {
    fn default() -> Output {
        Output::new()
    }
}

impl Write for Output {
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
