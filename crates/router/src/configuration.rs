//! The operator's configuration: routes from databases to services, and limits.

use std::collections::HashMap;
use std::time::Duration;

use crate::customer::Table;
use crate::message::ServiceName;

/// Data that the reads of a route may see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// All commits acknowledged before the read.
    Latest,
    /// All commits acknowledged at least this long before the read.
    Bounded(Duration),
    /// The commits of a bounded read, and all commits of the session.
    Session(Duration),
}

/// How the statements of one database are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Service whose endpoints hold the database.
    pub service: ServiceName,
    /// Data that reads may see.
    pub consistency: Consistency,
    /// Time limit for one statement.
    pub timeout: Duration,
    /// Latency target for a client's whole operation.
    pub objective: Duration,
    /// Scheduling priority; zero is the most urgent.
    pub priority: u32,
    /// Whether clients need no key.
    pub is_public: bool,
}

/// Group of endpoints that hold one database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Connections that one endpoint accepts from all nodes together.
    pub connections: u32,
}

/// One version of the operator's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Grows with every change.
    pub version: u64,
    /// Routes by the name of the database.
    pub routes: HashMap<String, Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Longest time that a transaction may be idle between two statements.
    pub transaction_idle: Duration,
    /// Customers; none if clients are not identified.
    pub customers: Option<Table>,
}
