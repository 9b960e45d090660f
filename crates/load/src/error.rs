//! Error type of this crate.

use std::io;

use displaydoc::Display;

/// Result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

#[derive(Debug, Display)]
pub(crate) enum Code {
    /// L7001: input or output failed: {0}
    Io(io::Error),
    /// L7002: {0}
    Node(tamarackbend_node::Error),
    /// L7003: settings or configuration document are not valid: {0}
    Config(tamarackbend_config::Error),
    /// L7004: a node was not ready, or had not applied the configuration, in time
    NotReady,
    /// L7005: scenario is not valid: {0}
    Scenario(serde_saphyr::Error),
    /// L7006: deployment {0} does not exist
    NoDeployment(String),
    /// L7007: step of the experiment failed: {0}
    Step(String),
    /// L7008: plot cannot be written: {0}
    Plot(String),
    /// L7009: policy {0} does not exist
    NoPolicy(String),
}

/// Error of an experiment.
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
