//! State of a node as the admin interface dumps it.

use std::collections::BTreeMap;

use serde::Serialize;
use tamarackbend_policy::position::Status;

use super::Hub;

/// State of a node.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct State {
    vm: String,
    failure_domain: String,
    uptime_ms: u64,
    pub(crate) config_version: u64,
    draining: bool,
    watcher: bool,
    /// Number of client sessions.
    #[serde(rename = "callers")]
    pub(crate) clients: usize,
    #[serde(rename = "callers_by_database")]
    clients_by_database: BTreeMap<String, usize>,
    /// Number of statements that wait for an answer.
    outstanding: usize,
    /// Number of sessions with an open transaction.
    transactions: usize,
    vms: Vec<VmState>,
    pub(crate) owners: BTreeMap<String, OwnerState>,
}

#[derive(Clone, Debug, Serialize)]
struct VmState {
    name: String,
    failure_domain: String,
    #[serde(rename = "leaving")]
    draining: bool,
    suspected: bool,
    /// Whether a link to the node is connected.
    linked: bool,
}

/// State of the owner of one database.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct OwnerState {
    pub(crate) term: u64,
    pub(crate) primary: Option<usize>,
    /// Current step of the failover.
    pub(crate) phase: String,
    /// Number of queued statements.
    pub(crate) waiting: usize,
    /// Number of statements that run on an endpoint.
    pub(crate) running: usize,
    /// Number of connections to each endpoint.
    pub(crate) connections: Vec<usize>,
    /// Last status of each endpoint, none if the endpoint does not answer.
    pub(crate) statuses: Vec<Option<Status>>,
    pub(crate) replica_reads: u64,
    pub(crate) primary_reads: u64,
    pub(crate) writes: u64,
    /// Statements that were refused before they ran.
    pub(crate) not_run: u64,
    /// Statements whose outcome is unknown.
    pub(crate) unknown: u64,
    pub(crate) retries: u64,
    pub(crate) probes: u64,
    /// Estimated time until a majority of endpoints holds a commit.
    pub(crate) confirm_lag_us: u64,
    /// Slot time that each club has used.
    pub(crate) slot_time_us: BTreeMap<String, u64>,
    pub(crate) promotions: u64,
    /// Duration of each step of the last failover.
    pub(crate) last_failover_ms: BTreeMap<String, u64>,
    /// Whether another node owns the database now.
    pub(crate) retired: bool,
}

impl State {
    /// Returns whether the node accepts new clients.
    pub(crate) fn is_ready(&self) -> bool {
        self.config_version > 0 && !self.draining
    }
}

impl Hub {
    pub(super) fn dump_state(&self) -> State {
        let mut clients_by_database = BTreeMap::new();
        for session in self.client_sessions.values() {
            *clients_by_database.entry(session.database.clone()).or_default() += 1;
        }
        let vm_state = |vm: &tamarackbend_objects::api::Vm| VmState {
            name: vm.name.clone(),
            failure_domain: vm.failure_domain.clone(),
            draining: vm.draining || self.draining_peers.contains_key(&vm.name),
            suspected: self.suspected_peers.contains_key(&vm.name),
            linked: self.links.get(&vm.name).is_some_and(|link| link.is_connected),
        };
        State {
            vm: self.settings.vm.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            uptime_ms: u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX),
            config_version: self.config.version,
            draining: self.draining_since.is_some(),
            watcher: self.is_watcher(),
            clients: self.client_sessions.len(),
            clients_by_database,
            outstanding: self.outstanding.len(),
            transactions: self.transaction_nodes.len(),
            vms: self.vms.values().map(vm_state).collect(),
            owners: self.owner_states.clone(),
        }
    }
}
