//! Errors of this crate.

use displaydoc::Display;

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// A file could not be read.
    Io,
    /// The text is not valid YAML or JSON, or has unknown or missing keys.
    Syntax,
    /// A value is out of range, missing or inconsistent with other values.
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

/// Error of reading or validating a document or settings.
#[derive(Debug)]
pub struct Error {
    code: Box<Code>,
}

impl Error {
    pub(crate) fn new(code: Code) -> Error {
        Error { code: Box::new(code) }
    }

    /// Returns the category of the error.
    pub fn classify(&self) -> Category {
        match *self.code {
            Code::Read(..) => Category::Io,
            Code::Yaml(_) | Code::Json(_) => Category::Syntax,
            Code::Invalid(_) => Category::Data,
        }
    }

    /// Returns the line of the error in the input, counted from one, if it is known.
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
