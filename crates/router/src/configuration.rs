//! The operator's configuration.

use std::collections::HashMap;
use std::time::Duration;

use crate::message::ServiceName;

/// Which data a route's reads may see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// All commits acknowledged before the read.
    Latest,
    /// Commits acknowledged longer ago than this.
    Bounded(Duration),
    /// As bounded, and all commits of the session.
    Session(Duration),
}

/// How the statements of one database are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Group of endpoints that holds the database.
    pub service: ServiceName,
    /// Which data reads may see.
    pub consistency: Consistency,
    /// Limit for one statement.
    pub timeout: Duration,
    /// Time in which callers expect a whole operation.
    pub objective: Duration,
    /// Zero goes first.
    pub priority: u32,
}

/// Endpoints that hold one database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Connections that one endpoint takes from all nodes together.
    pub connections: u32,
}

/// One version of the operator's configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Configuration {
    /// Grows with every change.
    pub version: u64,
    /// Routes by the name of the database.
    pub routes: HashMap<String, Route>,
    /// Services.
    pub services: Vec<Service>,
    /// How long a transaction may rest between statements.
    pub transaction_idle: Duration,
}
