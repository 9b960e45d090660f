//! Errors of the command line.

use displaydoc::Display;

/// Result of a command.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Exit status for any other failure.
const EXIT_FAILED: u8 = 1;
/// Exit status for invalid input.
const EXIT_INVALID: u8 = 2;
/// Exit status for a conflict with a concurrent change.
const EXIT_CONFLICT: u8 = 3;

#[derive(Debug, Display)]
pub(crate) enum Code {
    /// {0}
    Io(std::io::Error),
    /// {0}: {1}
    File(String, std::io::Error),
    /// {0}
    Config(tamarackbend_config::Error),
    /// C4005: document has {0} problems
    Problems(usize),
    /// {0}
    Platform(tamarackbend_objects::Error),
    /// C4006: version {0} was edited but version {1} is in force; nothing was changed
    Conflict(u64, u64),
    /// C4007: file does not state the version that was edited; pass the version with --base
    NoBase,
    /// C4008: there is no endpoint {1} of database {0}
    NoEndpoint(String, usize),
    /// A8001: node does not answer: {0}
    Node(cyper::Error),
    /// A8002: node answered with HTTP status {0}
    HttpStatus(u16),
    /// C4009: no log line names the request {0}
    NoRequest(String),
    /// {0}
    Demo(tamarackbend_load::Error),
}

/// Error of a command.
#[derive(Debug)]
pub(crate) struct Error {
    code: Box<Code>,
}

impl Error {
    pub(crate) fn new(code: Code) -> Error {
        Error { code: Box::new(code) }
    }

    /// Returns the exit status for the error.
    pub(crate) fn exit_status(&self) -> u8 {
        match &*self.code {
            Code::Config(_)
            | Code::Problems(_)
            | Code::NoBase
            | Code::NoEndpoint(..)
            | Code::NoRequest(_) => EXIT_INVALID,
            Code::Conflict(..) => EXIT_CONFLICT,
            Code::Platform(error) if error.is_conflict() => EXIT_CONFLICT,
            _ => EXIT_FAILED,
        }
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.code.fmt(formatter)
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Error {
        Error::new(Code::Io(error))
    }
}

impl From<tamarackbend_config::Error> for Error {
    fn from(error: tamarackbend_config::Error) -> Error {
        Error::new(Code::Config(error))
    }
}

impl From<tamarackbend_objects::Error> for Error {
    fn from(error: tamarackbend_objects::Error) -> Error {
        Error::new(Code::Platform(error))
    }
}

impl From<cyper::Error> for Error {
    fn from(error: cyper::Error) -> Error {
        Error::new(Code::Node(error))
    }
}

impl From<tamarackbend_load::Error> for Error {
    fn from(error: tamarackbend_load::Error) -> Error {
        Error::new(Code::Demo(error))
    }
}
