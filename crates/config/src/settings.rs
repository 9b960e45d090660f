//! Settings of one process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::Code;
use crate::{Error, Result};

/// Settings of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM in the platform's list.
    pub vm: String,
    /// Place of the VM.
    pub failure_domain: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Address for operators and the balancer.
    pub admin_address: SocketAddr,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    /// Credential that operators present.
    pub admin_token: String,
    /// Form of the log lines.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Bounds on what callers may use.
    #[serde(default)]
    pub limits: Limits,
}

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One line of text an event.
    #[default]
    Text,
    /// One JSON object an event.
    Json,
}

/// Bounds on what callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Caller connections of the node.
    pub callers: usize,
    /// Bytes of one request.
    pub request_bytes: usize,
    /// Bytes of one answer.
    pub answer_bytes: usize,
    /// Time to log in.
    #[serde(with = "humantime_serde")]
    pub login_timeout: Duration,
    /// Time a statement may run.
    #[serde(with = "humantime_serde")]
    pub statement_timeout: Duration,
    /// Time that a drain waits for open transactions.
    #[serde(with = "humantime_serde")]
    pub drain_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            callers: 20_000,
            request_bytes: 4 << 20,
            answer_bytes: 16 << 20,
            login_timeout: Duration::from_secs(10),
            statement_timeout: Duration::from_secs(60),
            drain_timeout: Duration::from_secs(30),
        }
    }
}

impl Settings {
    /// Reads and checks the settings in a file.
    ///
    /// # Errors
    ///
    /// Returns the first fault: the file, its syntax with the line, or a value.
    pub fn load(path: &Path) -> Result<Settings> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::new(Code::Read(path.display().to_string(), error)))?;
        Settings::from_yaml(&text)
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Returns the first fault: the syntax with the line, or a value.
    pub fn from_yaml(text: &str) -> Result<Settings> {
        let settings: Settings =
            serde_saphyr::from_str(text).map_err(|error| Error::new(Code::Yaml(error)))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        let limits = &self.limits;
        let faults = [
            (self.vm.is_empty(), "vm is empty"),
            (self.failure_domain.is_empty(), "failure_domain is empty"),
            (self.admin_token.len() < 8, "admin_token is shorter than 8 characters"),
            (limits.callers == 0, "limits.callers is zero"),
            (limits.request_bytes < 1024, "limits.request_bytes is below 1024"),
            (limits.answer_bytes < 1024, "limits.answer_bytes is below 1024"),
            (limits.answer_bytes > 48 << 20, "limits.answer_bytes is above 50331648"),
            (limits.login_timeout.is_zero(), "limits.login_timeout is zero"),
            (limits.statement_timeout.is_zero(), "limits.statement_timeout is zero"),
        ];
        match faults.iter().find(|(faulty, _)| *faulty) {
            Some((_, text)) => Err(Error::new(Code::Invalid((*text).to_owned()))),
            None => Ok(()),
        }
    }
}
