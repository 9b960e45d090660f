//! Messages from a client.

use tamarackbend_net::Reader;

use crate::error::Code;
use crate::message::{self, Frontend};
use crate::{Error, Result};

/// Reads a client's messages and limits their size.
pub struct ClientReader {
    reader: Reader,
    is_started: bool,
    max_message_bytes: usize,
}

impl ClientReader {
    /// Returns a reader for a new connection, which expects an SSL or startup message first.
    ///
    /// Messages are limited to `max_message_bytes`.
    pub fn new(reader: Reader, max_message_bytes: usize) -> ClientReader {
        ClientReader { reader, is_started: false, max_message_bytes }
    }

    /// Reads the next message.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost or closed by the client, or when a message is malformed or
    /// exceeds the size limit.
    pub async fn next(&mut self) -> Result<Frontend> {
        let take = match self.is_started {
            true => message::take_frontend,
            false => message::take_startup,
        };
        loop {
            if let Some(message) = take(&mut self.reader.input, self.max_message_bytes)? {
                self.is_started |= matches!(message, Frontend::Startup(_));
                return Ok(message);
            }
            if self.reader.fill().await? == 0 {
                return Err(Error::new(Code::Closed));
            }
        }
    }
}
