//! Distribution of the configuration between nodes.
//!
//! Watchers read a change from the platform and send it down the relay tree of their failure domain.
//! A node that missed a change finds out by comparing versions with a peer.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::seq::IndexedRandom;
use tamarackbend_config::{Document, Section};
use tamarackbend_policy::ownership::VmId;
use tamarackbend_policy::relay_tree;
use tamarackbend_wire::{self as wire, ConfigChange, ConfigRequest, frame::Body};
use tracing::{info, warn};

use super::{Config, Hub};
use crate::owner;

impl Hub {
    /// Puts a configuration into force if it is newer, and sends the change down the relay tree.
    pub(super) fn apply_config(&mut self, config: Arc<Config>) {
        if config.version <= self.config.version {
            return;
        }
        let change = diff_configs(&self.config, &config);
        let previous_version = self.config.version;
        self.config = config;
        info!(
            vm = self.settings.vm,
            version = self.config.version,
            "new configuration is in force"
        );
        metrics::gauge!("tamarackbend_config_version").set(self.config.version as f64);
        for (name, owner) in &self.owners {
            if let Some((service, _)) = self.config.document.database(name) {
                owner.send(owner::Message::Service(service.clone()));
            }
        }
        self.on_databases_changed();
        if previous_version > 0 {
            self.send_to_children(Body::ConfigChange(change));
        }
    }

    /// Sends a change to this node's children in the relay tree of its failure domain.
    pub(super) fn send_to_children(&mut self, change: Body) {
        let order: Vec<&VmId> = self.domain_order.iter().collect();
        let children: Vec<VmId> =
            relay_tree::children(&order, &self.settings.vm).into_iter().cloned().collect();
        for vm in children {
            self.send(&vm, change.clone());
        }
    }

    /// Sends a random neighbour a heartbeat, so that the two compare configuration versions.
    pub(super) fn send_heartbeat_to_neighbour(&mut self) {
        if let Some(peer) = self.neighbours.choose(&mut rand::rng()).cloned() {
            let heartbeat = self.own_heartbeat();
            self.send(&peer, Body::Heartbeat(heartbeat));
        }
    }

    /// Requests the whole configuration from two neighbours.
    pub(super) fn request_config(&mut self) {
        let peers: Vec<VmId> = self.neighbours.iter().take(2).cloned().collect();
        for peer in peers {
            self.send(&peer, Body::ConfigRequest(ConfigRequest { version: 0 }));
        }
    }

    pub(super) fn compare_versions(&mut self, vm: &VmId, version: u64) {
        if version > self.config.version {
            let request = ConfigRequest { version: self.config.version };
            self.send(vm, Body::ConfigRequest(request));
        } else if version < self.config.version {
            self.handle_config_request(vm, version);
        }
    }

    pub(super) fn handle_config_request(&mut self, vm: &VmId, version: u64) {
        if version >= self.config.version {
            return;
        }
        let change = diff_configs(&Config::default(), &self.config);
        self.send(vm, Body::ConfigChange(change));
    }

    pub(super) fn handle_config_change(&mut self, vm: &VmId, change: ConfigChange) {
        if change.to_version <= self.config.version {
            return;
        }
        if change.from_version != 0 && change.from_version != self.config.version {
            let request = ConfigRequest { version: self.config.version };
            self.send(vm, Body::ConfigRequest(request));
            return;
        }
        match apply_change(&self.config, change) {
            Some(config) => self.apply_config(Arc::new(config)),
            None => warn!(
                vm = self.settings.vm,
                peer = vm,
                "peer sent a configuration that is not valid; the previous one stays in force"
            ),
        }
    }
}

/// Returns the sections that differ between two configurations.
fn diff_configs(old: &Config, new: &Config) -> ConfigChange {
    let sections_by_name = |config: &'_ Config| -> BTreeMap<String, String> {
        let sections = config.sections.iter();
        sections.map(|section| (section.name.clone(), section.json.clone())).collect()
    };
    let (old_sections, new_sections) = (sections_by_name(old), sections_by_name(new));
    let changed = new_sections.iter().filter(|(name, json)| old_sections.get(*name) != Some(*json));
    let mut sections: Vec<wire::Section> = changed
        .map(|(name, json)| wire::Section {
            name: name.clone(),
            json: json.clone().into_bytes().into(),
        })
        .collect();
    let removed = old_sections.keys().filter(|name| !new_sections.contains_key(*name));
    sections.extend(
        removed.map(|name| wire::Section { name: name.clone(), ..wire::Section::default() }),
    );
    ConfigChange { from_version: old.version, to_version: new.version, sections }
}

/// Returns the configuration after a change, none if the change is not valid.
fn apply_change(old: &Config, change: ConfigChange) -> Option<Config> {
    let is_whole = change.from_version == 0;
    let mut changed = Vec::new();
    for section in change.sections {
        let json = String::from_utf8(section.json.to_vec()).ok()?;
        changed.push(Section { name: section.name, json });
    }
    if is_whole {
        let document = Document::from_sections(&changed).ok()?;
        let is_valid = document.check().is_empty();
        let config = Config { version: change.to_version, document, sections: changed };
        return is_valid.then_some(config);
    }
    let mut document = old.document.clone();
    document.apply_sections(&changed).ok()?;
    let is_replaced = |section: &&Section| changed.iter().any(|new| new.name == section.name);
    let mut sections: Vec<Section> =
        old.sections.iter().filter(|section| !is_replaced(section)).cloned().collect();
    sections.extend(changed.into_iter().filter(|section| !section.json.is_empty()));
    Some(Config { version: change.to_version, document, sections })
}
