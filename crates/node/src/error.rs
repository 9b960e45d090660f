//! Errors of starting a node.

use std::io;

use displaydoc::Display;

/// Result of starting a node.
pub type Result<T> = std::result::Result<T, Error>;

#[derive(Debug, Display)]
pub(crate) enum Code {
    /// N6001: cannot listen on {0}: {1}
    Listen(&'static str, io::Error),
    /// N6002: cannot start a thread: {0}
    Thread(io::Error),
}

/// Reason why a node could not start.
#[derive(Debug)]
pub struct Error {
    code: Box<Code>,
}

impl Error {
    pub(crate) fn new(code: Code) -> Error {
        Error { code: Box::new(code) }
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.code.fmt(formatter)
    }
}

impl std::error::Error for Error {}
