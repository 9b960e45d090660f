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
    #[serde(rename = "callers")]
    pub(crate) clients: usize,
    #[serde(rename = "callers_by_database")]
    clients_by_database: BTreeMap<String, usize>,
    outstanding: usize,
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
    linked: bool,
}

/// State of the owner of one database.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct OwnerState {
    pub(crate) term: u64,
    pub(crate) primary: Option<usize>,
    pub(crate) phase: String,
    pub(crate) waiting: usize,
    pub(crate) running: usize,
    pub(crate) connections: Vec<usize>,
    pub(crate) statuses: Vec<Option<Status>>,
    pub(crate) replica_reads: u64,
    pub(crate) primary_reads: u64,
    pub(crate) writes: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) retries: u64,
    pub(crate) probes: u64,
    pub(crate) confirm_lag_us: u64,
    pub(crate) slot_time_us: BTreeMap<String, u64>,
    pub(crate) promotions: u64,
    pub(crate) last_failover_ms: BTreeMap<String, u64>,
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
            draining: vm.leaving || self.draining_peers.contains_key(&vm.name),
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
