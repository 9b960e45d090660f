//! Messages from a caller.

use tamarackbend_net::Reader;

use crate::error::Code;
use crate::message::{DecodeContext, Frontend, ProtocolVersion, SslNegotiationMetaMessage};
use crate::{Error, Result};

/// Reads a caller's messages within a bound on their size.
pub struct CallerReader {
    reader: Reader,
    context: DecodeContext,
    limit: usize,
}

impl CallerReader {
    /// Returns a reader of messages of at most `limit` bytes, which begins before the startup.
    pub fn new(reader: Reader, limit: usize) -> CallerReader {
        let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        CallerReader { reader, context, limit }
    }

    /// Returns the next message.
    ///
    /// # Errors
    ///
    /// Fails when the caller closes, sends something that is no message or exceeds the limit.
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
            if self.reader.input.len() > self.limit {
                return Err(Error::new(Code::TooLarge(self.limit)));
            }
            if self.reader.fill().await? == 0 {
                return Err(Error::new(Code::Closed));
            }
        }
    }
}
