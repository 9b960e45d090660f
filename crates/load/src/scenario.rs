//! Scenarios: load and faults of a run, as read from a YAML file.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tamarackbend_standin::deployment::Plan;

use crate::error::Code;
use crate::{Error, Result};

/// Load and faults of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name, for reports.
    pub name: String,
    /// Deployment: `amstelweide` or `vukovic`.
    pub deployment: String,
    /// Number of nodes.
    pub nodes: usize,
    /// Duration of the load.
    #[serde(rename = "time", with = "humantime_serde")]
    pub duration: Duration,
    /// Number of clients of each club.
    #[serde(rename = "callers")]
    pub clients_per_club: usize,
    /// Number of additional clients of the first club.
    #[serde(rename = "flood", default)]
    pub extra_clients: usize,
    /// Mean think time: pause of a client before each statement.
    #[serde(rename = "think", with = "humantime_serde")]
    pub think_time: Duration,
    /// Share of single-statement writes, between 0 and 1.
    #[serde(rename = "writes")]
    pub write_share: f64,
    /// Share of transactions, between 0 and 1.
    #[serde(rename = "transactions", default)]
    pub transaction_share: f64,
    /// Share of statements before which a client reconnects to a random node, between 0 and 1.
    #[serde(rename = "roam", default)]
    pub reconnect_share: f64,
    /// Probability that a client passes its session token on when it reconnects.
    #[serde(rename = "token", default)]
    pub token_share: f64,
    /// Peak of the load.
    #[serde(rename = "rush", default)]
    pub peak: Option<Peak>,
    /// Faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Period in which the think time is shorter.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peak {
    /// Start, since the start of the run.
    #[serde(rename = "at", with = "humantime_serde")]
    pub start: Duration,
    /// Duration.
    #[serde(rename = "for", with = "humantime_serde")]
    pub duration: Duration,
    /// Divisor of the think time.
    pub factor: u32,
}

/// Fault that starts and ends at set times.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start, since the start of the run.
    #[serde(rename = "at", with = "humantime_serde")]
    pub start: Duration,
    /// Duration.
    #[serde(rename = "for", with = "humantime_serde")]
    pub duration: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Index of the affected database or node; not used for faults of the platform.
    #[serde(default)]
    pub target: usize,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process of the primary exits and restarts at the end of the fault.
    CrashPrimary,
    /// The process of the primary is suspended and keeps its connections open.
    PausePrimary,
    /// The primary is disconnected from its replicas but still reachable from nodes.
    IsolatePrimary,
    /// The process of a replica exits and restarts at the end of the fault.
    CrashReplica,
    /// A replica applies log entries two seconds late.
    LagReplica,
    /// The platform rejects every call.
    Outage,
    /// The platform delays each call by 300 ms.
    SlowPlatform,
    /// The next three updates on the platform take effect, and their answers are lost.
    LoseAnswers,
    /// A node is killed; at the end of the fault a new node replaces it.
    KillNode,
    /// A node drains; at the end of the fault a new node replaces it.
    DrainNode,
}

impl FaultKind {
    /// Returns whether the fault makes a database lose its primary.
    pub fn loses_primary(self) -> bool {
        matches!(
            self,
            FaultKind::CrashPrimary | FaultKind::PausePrimary | FaultKind::IsolatePrimary
        )
    }
}

impl Scenario {
    /// Parses a scenario from YAML.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a scenario or names an unknown deployment.
    pub fn from_yaml(text: &str) -> Result<Scenario> {
        let scenario: Scenario =
            serde_saphyr::from_str(text).map_err(|error| Error::new(Code::Scenario(error)))?;
        scenario.plan()?;
        Ok(scenario)
    }

    /// Returns the plan of the deployment.
    ///
    /// # Errors
    ///
    /// Fails when the deployment is unknown.
    pub fn plan(&self) -> Result<Plan> {
        match self.deployment.as_str() {
            "amstelweide" => Ok(Plan::amstelweide()),
            "vukovic" => Ok(Plan::vukovic()),
            name => Err(Error::new(Code::NoDeployment(name.to_owned()))),
        }
    }
}
