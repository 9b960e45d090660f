//! Errors of this crate.

use std::io;

use displaydoc::Display;
use pgwire::error::PgWireError;

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

#[derive(Debug, Display)]
pub(crate) enum Code {
    /// connection failed: {0}
    Io(io::Error),
    /// connection closed by the peer
    Closed,
    /// message cannot be encoded or decoded: {0}
    Message(PgWireError),
    /// message is malformed: {0}
    Malformed(&'static str),
    /// message is larger than {0} bytes
    TooLarge(usize),
    /// endpoint rejected the login with SQLSTATE {0}: {1}
    LoginRejected(String, String),
    /// endpoint returned no valid status
    NoStatus,
    /// password authentication failed or is not supported
    Authentication,
}

/// Error of a connection or a message.
#[derive(Debug)]
pub struct Error {
    code: Box<Code>,
}

impl Error {
    pub(crate) fn new(code: Code) -> Error {
        Error { code: Box::new(code) }
    }

    /// Returns whether the connection was closed or failed.
    pub fn is_closed(&self) -> bool {
        matches!(*self.code, Code::Closed | Code::Io(_))
    }

    /// Returns the SQLSTATE with which the endpoint rejected the login, if it did.
    pub fn sqlstate(&self) -> Option<&str> {
        match &*self.code {
            Code::LoginRejected(sqlstate, _) => Some(sqlstate),
            _ => None,
        }
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.code.fmt(formatter)
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::new(Code::Io(error))
    }
}

impl From<PgWireError> for Error {
    fn from(error: PgWireError) -> Error {
        Error::new(Code::Message(error))
    }
}
