//! Errors of this crate.

use displaydoc::Display;

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

#[derive(Debug, Display)]
pub(crate) enum Code {
    /// P5001: platform does not answer: {0}
    Unavailable(String),
    /// P5002: platform answered with HTTP status {0}
    HttpStatus(u16),
    /// P5003: object was updated since it was read
    Conflict,
    /// P5004: {0} is not valid: {1}
    Invalid(String, String),
}

/// Failure of a call to the platform.
#[derive(Debug)]
pub struct Error {
    code: Box<Code>,
}

impl Error {
    pub(crate) fn new(code: Code) -> Error {
        Error { code: Box::new(code) }
    }

    /// Returns whether the object has been updated since it was read.
    pub fn is_conflict(&self) -> bool {
        matches!(*self.code, Code::Conflict)
    }

    /// Returns whether a later attempt may succeed.
    pub fn is_unavailable(&self) -> bool {
        matches!(*self.code, Code::Unavailable(_) | Code::HttpStatus(500..))
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.code.fmt(formatter)
    }
}

impl std::error::Error for Error {}

impl From<cyper::Error> for Error {
    fn from(error: cyper::Error) -> Error {
        Error::new(Code::Unavailable(error.to_string()))
    }
}
