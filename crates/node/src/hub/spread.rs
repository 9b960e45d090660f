//! Spread of the configuration between nodes.

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
    /// Takes a configuration over if it is newer, and passes it on.
    pub(super) fn configure(&mut self, config: Arc<Config>) {
        if config.version <= self.config.version {
            return;
        }
        let change = change_between(&self.config, &config);
        let from = self.config.version;
        self.config = config;
        info!(vm = self.settings.vm, version = self.config.version, "configuration is in force");
        metrics::gauge!("tamarackbend_config_version").set(self.config.version as f64);
        for (name, owner) in &self.owners {
            if let Some((service, _)) = self.config.document.database(name) {
                owner.send(owner::Message::Service(service.clone()));
            }
        }
        self.databases_changed();
        if from > 0 {
            self.pass_on(Body::ConfigChange(change));
        }
    }

    /// Sends a change to the nodes that this one serves in its failure domain's tree.
    pub(super) fn pass_on(&mut self, change: Body) {
        let order: Vec<&VmId> = self.domain_order.iter().collect();
        let children: Vec<VmId> =
            relay_tree::children(&order, &self.settings.vm).into_iter().cloned().collect();
        for vm in children {
            self.send(&vm, change.clone());
        }
    }

    /// Tells a random neighbour the version in force, so that differences are found.
    pub(super) fn gossip(&mut self) {
        if let Some(peer) = self.neighbours.choose(&mut rand::rng()).cloned() {
            let heartbeat = self.own_heartbeat();
            self.send(&peer, Body::Heartbeat(heartbeat));
        }
    }

    /// Asks two neighbours for the configuration, when this node has none.
    pub(super) fn ask_for_config(&mut self) {
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
            self.config_request(vm, version);
        }
    }

    pub(super) fn config_request(&mut self, vm: &VmId, version: u64) {
        if version >= self.config.version {
            return;
        }
        let change = change_between(&Config::default(), &self.config);
        self.send(vm, Body::ConfigChange(change));
    }

    pub(super) fn config_change(&mut self, vm: &VmId, change: ConfigChange) {
        if change.to_version <= self.config.version {
            return;
        }
        if change.from_version != 0 && change.from_version != self.config.version {
            let request = ConfigRequest { version: self.config.version };
            self.send(vm, Body::ConfigRequest(request));
            return;
        }
        match apply(&self.config, change) {
            Some(config) => self.configure(Arc::new(config)),
            None => warn!(vm = self.settings.vm, peer = vm, "peer sent no valid configuration"),
        }
    }
}

fn change_between(old: &Config, new: &Config) -> ConfigChange {
    let by_name = |config: &'_ Config| -> BTreeMap<String, String> {
        let sections = config.sections.iter();
        sections.map(|section| (section.name.clone(), section.json.clone())).collect()
    };
    let (before, after) = (by_name(old), by_name(new));
    let changed = after.iter().filter(|(name, json)| before.get(*name) != Some(*json));
    let mut sections: Vec<wire::Section> = changed
        .map(|(name, json)| wire::Section {
            name: name.clone(),
            json: json.clone().into_bytes().into(),
        })
        .collect();
    let removed = before.keys().filter(|name| !after.contains_key(*name));
    sections.extend(
        removed.map(|name| wire::Section { name: name.clone(), ..wire::Section::default() }),
    );
    ConfigChange { from_version: old.version, to_version: new.version, sections }
}

fn apply(old: &Config, change: ConfigChange) -> Option<Config> {
    let whole = change.from_version == 0;
    let mut changed = Vec::new();
    for section in change.sections {
        let json = String::from_utf8(section.json.to_vec()).ok()?;
        changed.push(Section { name: section.name, json });
    }
    if whole {
        let document = Document::from_sections(&changed).ok()?;
        let valid = document.check().is_empty();
        let config = Config { version: change.to_version, document, sections: changed };
        return valid.then_some(config);
    }
    let mut document = old.document.clone();
    document.apply_sections(&changed).ok()?;
    let replaced = |section: &&Section| changed.iter().any(|new| new.name == section.name);
    let mut sections: Vec<Section> =
        old.sections.iter().filter(|section| !replaced(section)).cloned().collect();
    sections.extend(changed.into_iter().filter(|section| !section.json.is_empty()));
    Some(Config { version: change.to_version, document, sections })
}
