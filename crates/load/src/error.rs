//! Errors of this crate.

use std::io;

use displaydoc::Display;

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

#[derive(Debug, Display)]
pub(crate) enum Code {
    /// L7001: cannot start: {0}
    Io(io::Error),
    /// L7002: {0}
    Node(tamarackbend_node::Error),
    /// L7003: settings are not valid: {0}
    Config(tamarackbend_config::Error),
    /// L7004: node did not become ready
    NotReady,
    /// L7005: scenario is not valid: {0}
    Scenario(serde_saphyr::Error),
    /// L7006: there is no deployment {0}
    NoDeployment(String),
    /// L7007: caller cannot do what the experiment needs: {0}
    Caller(String),
    /// L7008: cannot plot: {0}
    Plot(String),
    /// L7009: there is no policy {0}
    NoPolicy(String),
}

/// Why an experiment failed.
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

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::new(Code::Io(error))
    }
}

impl From<tamarackbend_node::Error> for Error {
    fn from(error: tamarackbend_node::Error) -> Error {
        Error::new(Code::Node(error))
    }
}

impl From<tamarackbend_config::Error> for Error {
    fn from(error: tamarackbend_config::Error) -> Error {
        Error::new(Code::Config(error))
    }
}
