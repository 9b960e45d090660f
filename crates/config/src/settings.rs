//! Settings of one node, read from a YAML file.

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
    /// Name of the node's VM in the platform's list.
    pub vm: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Listen address for clients.
    #[serde(rename = "caller_address")]
    pub client_address: SocketAddr,
    /// Listen address for other nodes.
    pub peer_address: SocketAddr,
    /// Listen address of the admin interface, used by operators and the load balancer.
    pub admin_address: SocketAddr,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    /// Bearer token that operators present to the admin interface.
    pub admin_token: String,
    /// Format of the log lines.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Resource limits for clients.
    #[serde(default)]
    pub limits: Limits,
}

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

/// Resource limits for clients.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of client connections to the node.
    #[serde(rename = "callers")]
    pub max_clients: usize,
    /// Maximum size of a request, in bytes.
    pub request_bytes: usize,
    /// Maximum size of an answer, in bytes.
    pub answer_bytes: usize,
    /// Time limit for a client's login.
    #[serde(with = "humantime_serde")]
    pub login_timeout: Duration,
    /// Time limit for the execution of a statement.
    #[serde(with = "humantime_serde")]
    pub statement_timeout: Duration,
    /// Maximum time for which a draining node waits for open transactions.
    #[serde(with = "humantime_serde")]
    pub drain_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_clients: 20_000,
            request_bytes: 4 << 20,
            answer_bytes: 16 << 20,
            login_timeout: Duration::from_secs(10),
            statement_timeout: Duration::from_secs(60),
            drain_timeout: Duration::from_secs(30),
        }
    }
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, has a syntax error or holds an invalid value; only the
    /// first problem is returned.
    pub fn load(path: &Path) -> Result<Settings> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::new(Code::Read(path.display().to_string(), error)))?;
        Settings::from_yaml(&text)
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Fails on a syntax error or an invalid value; only the first problem is returned.
    pub fn from_yaml(text: &str) -> Result<Settings> {
        let settings: Settings =
            serde_saphyr::from_str(text).map_err(|error| Error::new(Code::Yaml(error)))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        let limits = &self.limits;
        let has_control = |name: &str| name.contains(char::is_control);
        let checks = [
            (self.vm.is_empty(), "vm is empty"),
            (self.failure_domain.is_empty(), "failure_domain is empty"),
            (has_control(&self.vm), "vm has a control character"),
            (has_control(&self.failure_domain), "failure_domain has a control character"),
            (self.admin_token.len() < 8, "admin_token is shorter than 8 characters"),
            (limits.max_clients == 0, "limits.callers is zero"),
            (limits.request_bytes < 1024, "limits.request_bytes is below 1024"),
            (limits.answer_bytes < 1024, "limits.answer_bytes is below 1024"),
            (limits.answer_bytes > 48 << 20, "limits.answer_bytes is above 50331648"),
            (limits.login_timeout.is_zero(), "limits.login_timeout is zero"),
            (limits.statement_timeout.is_zero(), "limits.statement_timeout is zero"),
        ];
        match checks.iter().find(|(is_invalid, _)| *is_invalid) {
            Some((_, text)) => Err(Error::new(Code::Invalid((*text).to_owned()))),
            None => Ok(()),
        }
    }
}
