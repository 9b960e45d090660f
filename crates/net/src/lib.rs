//! Buffered reading and writing on a TCP stream, framing by lines, and signals.
//!
//! The size of a read starts at [`MIN_READ_BYTES`], doubles while reads fill the buffer and returns
//! to the minimum when they do not. An idle connection therefore holds a small buffer only.

pub mod line;
pub mod signal;

use std::io;

use bytes::BytesMut;
use compio::buf::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;

/// Result of this crate.
pub type Result<T> = io::Result<T>;

/// Size of a read on an idle connection.
pub const MIN_READ_BYTES: usize = 512;
/// Maximum size of a read.
const MAX_READ_BYTES: usize = 64 << 10;

/// Reading half of a connection.
pub struct Reader {
    stream: TcpStream,
    /// Size of the next read, in bytes.
    read_bytes: usize,
    /// Bytes that have been received and not yet consumed.
    pub input: BytesMut,
}

/// Writing half of a connection.
pub struct Writer {
    stream: TcpStream,
}

/// Disables Nagle's algorithm on `stream` and returns its halves.
pub fn split(stream: TcpStream) -> (Reader, Writer) {
    // Without the option the connection works, with a higher latency.
    let _ = stream.set_nodelay(true);
    let (read_half, write_half) = stream.into_split();
    let reader = Reader { stream: read_half, read_bytes: MIN_READ_BYTES, input: BytesMut::new() };
    (reader, Writer { stream: write_half })
}

impl Reader {
    /// Reads available bytes, waiting for the first, and appends them to `input`.
    ///
    /// Returns the number of bytes; zero means that the peer has closed the connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn fill(&mut self) -> Result<usize> {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        let BufResult(result, chunk) = self.stream.read(Vec::with_capacity(self.read_bytes)).await;
        let count = result?;
        self.input.extend_from_slice(&chunk[..count]);
        let is_full = count == self.read_bytes;
        self.read_bytes =
            if is_full { (self.read_bytes * 2).min(MAX_READ_BYTES) } else { MIN_READ_BYTES };
        Ok(count)
    }
}

impl Writer {
    /// Writes all of `output` and leaves it empty.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn send(&mut self, output: &mut BytesMut) -> Result<()> {
        let bytes = std::mem::take(output).freeze();
        let BufResult(result, _) = self.stream.write_all(bytes.to_vec()).await;
        result
    }

    /// Shuts down the write side of the connection, after all bytes written before.
    pub fn close(self) {
        // Fails only if the peer has already closed the connection.
        let _ = rustix::net::shutdown(&self.stream, rustix::net::Shutdown::Write);
    }
}
