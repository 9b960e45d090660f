//! Messages from a client.

use tamarackbend_net::Reader;

use crate::error::Code;
use crate::message::{DecodeContext, Frontend, ProtocolVersion, SslNegotiationMetaMessage};
use crate::{Error, Result};

/// Reads a client's messages and limits their size.
pub struct ClientReader {
    reader: Reader,
    context: DecodeContext,
    max_message_bytes: usize,
}

impl ClientReader {
    /// Returns a reader for a new connection, which expects an SSL or startup message first.
    ///
    /// Messages are limited to `max_message_bytes`.
    pub fn new(reader: Reader, max_message_bytes: usize) -> ClientReader {
        let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        ClientReader { reader, context, max_message_bytes }
    }

    /// Reads the next message.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost or closed by the client, or when a message is malformed or
    /// exceeds the size limit.
    pub async fn next(&mut self) -> Result<Frontend> {
        loop {
            if let Some(message) = Frontend::decode(&mut self.reader.input, &self.context)? {
                match message {
                    Frontend::SslNegotiation(SslNegotiationMetaMessage::None) => {
                        self.context.awaiting_frontend_ssl = false;
                        continue;
                    }
                    Frontend::Startup(_) => self.context.awaiting_frontend_startup = false,
                    _ => {}
                }
                return Ok(message);
            }
            if self.reader.input.len() > self.max_message_bytes {
                return Err(Error::new(Code::TooLarge(self.max_message_bytes)));
            }
            if self.reader.fill().await? == 0 {
                return Err(Error::new(Code::Closed));
            }
        }
    }
}
