//! Buffered reads and whole writes on a socket.
//!
//! An idle connection holds a read buffer of [`IDLE_BYTES`] only: the buffer grows while reads
//! fill it and shrinks when they no longer do.

use std::io;

use bytes::BytesMut;
use compio::buf::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;

/// Result of this crate.
pub type Result<T> = io::Result<T>;

/// Read buffer of an idle connection.
pub const IDLE_BYTES: usize = 512;
/// Largest read buffer.
const BUSY_BYTES: usize = 64 << 10;

/// Reading half of a connection.
pub struct Reader {
    stream: TcpStream,
    chunk: usize,
    /// Bytes that were received and not yet consumed.
    pub input: BytesMut,
}

/// Writing half of a connection.
pub struct Writer {
    stream: TcpStream,
}

/// Returns the halves of `stream`, with small packets sent at once.
pub fn split(stream: TcpStream) -> (Reader, Writer) {
    // A socket without the option works too, only slower.
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let reader = Reader { stream: read, chunk: IDLE_BYTES, input: BytesMut::new() };
    (reader, Writer { stream: write })
}

impl Reader {
    /// Waits for further bytes and appends them to `input`; zero means the peer has closed.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn fill(&mut self) -> Result<usize> {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        let BufResult(result, chunk) = self.stream.read(Vec::with_capacity(self.chunk)).await;
        let count = result?;
        self.input.extend_from_slice(&chunk[..count]);
        let full = count == self.chunk;
        self.chunk = if full { (self.chunk * 2).min(BUSY_BYTES) } else { IDLE_BYTES };
        Ok(count)
    }
}

impl Writer {
    /// Sends all of `output` and leaves it empty.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn send(&mut self, output: &mut BytesMut) -> Result<()> {
        let bytes = std::mem::take(output).freeze();
        let BufResult(result, _) = self.stream.write_all(bytes.to_vec()).await;
        result
    }

    /// Sends all that was written and then the end of the stream.
    pub fn close(self) {
        // Fails only where the peer has closed first.
        let _ = rustix::net::shutdown(&self.stream, rustix::net::Shutdown::Write);
    }
}
