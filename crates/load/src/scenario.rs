//! What an experiment does.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tamarackbend_standin::deployment::Plan;

use crate::error::Code;
use crate::{Error, Result};

/// Load and faults of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name.
    pub name: String,
    /// Deployment: `amstelweide` or `vukovic`.
    pub deployment: String,
    /// Number of nodes.
    pub nodes: usize,
    /// Length of the load.
    #[serde(with = "humantime_serde")]
    pub time: Duration,
    /// Callers of each club.
    pub callers: usize,
    /// Further callers of the first club.
    #[serde(default)]
    pub flood: usize,
    /// Mean pause of a caller between two statements.
    #[serde(with = "humantime_serde")]
    pub think: Duration,
    /// Share of writes.
    pub writes: f64,
    /// Share of transactions.
    #[serde(default)]
    pub transactions: f64,
    /// Share of statements before which a caller connects to another node.
    #[serde(default)]
    pub roam: f64,
    /// Share of callers that carry their token along.
    #[serde(default)]
    pub token: f64,
    /// Time in which the callers pause less.
    #[serde(default)]
    pub rush: Option<Rush>,
    /// Faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Time in which the callers pause less.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rush {
    /// Begin.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Length.
    #[serde(rename = "for", with = "humantime_serde")]
    pub time: Duration,
    /// Divisor of the pause.
    pub factor: u32,
}

/// Fault at a set time.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Begin.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Length.
    #[serde(rename = "for", with = "humantime_serde")]
    pub time: Duration,
    /// What fails.
    pub kind: FaultKind,
    /// Index of the database, or of the node.
    #[serde(default)]
    pub target: usize,
}

/// What fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The primary's process is gone.
    CrashPrimary,
    /// The primary's process stands still.
    PausePrimary,
    /// The primary is cut off from its replicas, not from nodes.
    IsolatePrimary,
    /// A replica's process is gone.
    CrashReplica,
    /// A replica applies the log two seconds late.
    LagReplica,
    /// The platform answers nothing.
    Outage,
    /// The platform takes 300 ms for each answer.
    SlowPlatform,
    /// The answers of the platform's next three updates are lost.
    LoseAnswers,
    /// A node is gone.
    KillNode,
    /// A node drains and is replaced.
    DrainNode,
}

impl FaultKind {
    /// Returns whether the fault takes a primary away.
    pub fn loses_primary(self) -> bool {
        matches!(
            self,
            FaultKind::CrashPrimary | FaultKind::PausePrimary | FaultKind::IsolatePrimary
        )
    }
}

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    ///
    /// Fails when the text is no scenario or names no deployment.
    pub fn from_yaml(text: &str) -> Result<Scenario> {
        let scenario: Scenario =
            serde_saphyr::from_str(text).map_err(|error| Error::new(Code::Scenario(error)))?;
        scenario.plan()?;
        Ok(scenario)
    }

    /// Returns the deployment.
    ///
    /// # Errors
    ///
    /// Fails when there is none of the scenario's name.
    pub fn plan(&self) -> Result<Plan> {
        match self.deployment.as_str() {
            "amstelweide" => Ok(Plan::amstelweide()),
            "vukovic" => Ok(Plan::vukovic()),
            other => Err(Error::new(Code::NoDeployment(other.to_owned()))),
        }
    }
}
