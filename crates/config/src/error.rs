//! Errors of this crate.

use displaydoc::Display;

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// What kind of input was at fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A file could not be read.
    Io,
    /// Text that is not YAML or JSON, or has unknown or missing keys.
    Syntax,
    /// Values that cannot be used together.
    Data,
}

#[derive(Debug, Display)]
pub(crate) enum Code {
    /// C4001: cannot read {0}: {1}
    Read(String, std::io::Error),
    /// C4002: {0}
    Yaml(serde_saphyr::Error),
    /// C4003: {0}
    Json(serde_json::Error),
    /// C4004: {0}
    Invalid(String),
}

/// Why a document or settings were not accepted.
#[derive(Debug)]
pub struct Error {
    code: Box<Code>,
}

impl Error {
    pub(crate) fn new(code: Code) -> Error {
        Error { code: Box::new(code) }
    }

    /// Returns what kind of input was at fault.
    pub fn classify(&self) -> Class {
        match *self.code {
            Code::Read(..) => Class::Io,
            Code::Yaml(_) | Code::Json(_) => Class::Syntax,
            Code::Invalid(_) => Class::Data,
        }
    }

    /// Returns the line of the fault, counted from one, if it is known.
    pub fn line(&self) -> Option<u64> {
        match &*self.code {
            Code::Yaml(error) => error.location().map(|location| location.line()),
            Code::Json(error) => Some(error.line() as u64),
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
