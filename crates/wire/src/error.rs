//! Errors of this crate.

use std::io;

use displaydoc::Display;

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

#[derive(Debug, Display)]
enum Code {
    /// frame cannot be read or written: {0}
    Framing(io::Error),
    /// frame does not contain a valid message: {0}
    Message(prost::DecodeError),
}

/// Error of encoding or decoding a frame.
#[derive(Debug)]
pub struct Error {
    code: Box<Code>,
}

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.code.fmt(formatter)
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error { code: Box::new(Code::Framing(error)) }
    }
}

impl From<prost::DecodeError> for Error {
    fn from(error: prost::DecodeError) -> Error {
        Error { code: Box::new(Code::Message(error)) }
    }
}
