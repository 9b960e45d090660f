//! Experiments: decisions that a node leaves out, to measure what each of them is worth.
//!
//! An experiment file is YAML with one list, `off`, of names of [`Mechanism`]s:
//!
//! ```yaml
//! off:
//!   - overdue-retry
//!   - retry-spread
//! ```
//!
//! Only decisions on load and placement can be left out. What a promise to clients rests on (evidence,
//! fencing, positions, at most one run of a write, the wait of commits for a replica, limits of
//! customers) is no mechanism here and is always in force.

use std::collections::BTreeSet;
use std::str::FromStr;

use displaydoc::Display;
use serde::Deserialize;

/// Result of reading an experiment.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason for which an experiment is not valid.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// experiment is not valid: {0}
    Syntax(String),
    /// mechanism {0} does not exist; the mechanisms are {1}
    Unknown(String, String),
    /// mechanism {0} is listed twice
    Repeated(Mechanism),
}

impl std::error::Error for Error {}

/// Decision that can be left out. Its `Display` is the name in experiment files.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// replica-reads
    ReplicaReads,
    /// evidence-refresh
    EvidenceRefresh,
    /// outlier-ejection
    OutlierEjection,
    /// overdue-retry
    OverdueRetry,
    /// late-order
    LateOrder,
    /// priority-order
    PriorityOrder,
    /// fair-order
    FairOrder,
    /// expected-wait
    ExpectedWait,
    /// load-shedding
    LoadShedding,
    /// concurrency-window
    ConcurrencyWindow,
    /// lag-trials
    LagTrials,
    /// busy-pause
    BusyPause,
    /// retry-spread
    RetrySpread,
    /// session-age
    SessionAge,
    /// restart-connections
    RestartConnections,
    /// connection-reuse
    ConnectionReuse,
    /// primary-penalty
    PrimaryPenalty,
    /// isolation-refusal
    IsolationRefusal,
    /// slow-peers
    SlowPeers,
    /// store-rank
    StoreRank,
    /// limit-loans
    LimitLoans,
}

impl Mechanism {
    /// All mechanisms, in the order of the design notes.
    pub const ALL: [Mechanism; 21] = [
        Mechanism::ReplicaReads,
        Mechanism::EvidenceRefresh,
        Mechanism::OutlierEjection,
        Mechanism::OverdueRetry,
        Mechanism::LateOrder,
        Mechanism::PriorityOrder,
        Mechanism::FairOrder,
        Mechanism::ExpectedWait,
        Mechanism::LoadShedding,
        Mechanism::ConcurrencyWindow,
        Mechanism::LagTrials,
        Mechanism::BusyPause,
        Mechanism::RetrySpread,
        Mechanism::SessionAge,
        Mechanism::RestartConnections,
        Mechanism::ConnectionReuse,
        Mechanism::PrimaryPenalty,
        Mechanism::IsolationRefusal,
        Mechanism::SlowPeers,
        Mechanism::StoreRank,
        Mechanism::LimitLoans,
    ];
}

/// Mechanisms that a node leaves out; by default none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Experiment {
    off: BTreeSet<Mechanism>,
}

impl Experiment {
    /// Returns whether the node uses `mechanism`.
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }

    /// Returns the mechanisms that are left out.
    pub fn off(&self) -> impl Iterator<Item = Mechanism> {
        self.off.iter().copied()
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    off: Vec<String>,
}

impl FromStr for Experiment {
    type Err = Error;

    fn from_str(text: &str) -> Result<Experiment> {
        let file: File =
            serde_saphyr::from_str(text).map_err(|error| Error::Syntax(error.to_string()))?;
        let mut experiment = Experiment::default();
        for name in file.off {
            let mechanism = Mechanism::ALL.into_iter().find(|known| known.to_string() == name);
            let Some(mechanism) = mechanism else {
                let known = Mechanism::ALL.map(|known| known.to_string()).join(", ");
                return Err(Error::Unknown(name, known));
            };
            if !experiment.off.insert(mechanism) {
                return Err(Error::Repeated(mechanism));
            }
        }
        Ok(experiment)
    }
}
