//! Spread of the configuration between nodes.

use std::sync::Arc;

use rand::seq::IndexedRandom;
use tamarackbend_config::{Document, Section};
use tamarackbend_policy::ownership::VmId;
use tamarackbend_policy::spread;
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
        self.sync_owners();
        if from > 0 {
            self.pass_on(Body::ConfigChange(change));
        }
    }

    /// Sends a change to the nodes that this one serves in its failure domain's tree.
    pub(super) fn pass_on(&mut self, change: Body) {
        let candidates = self.candidates();
        let order = spread::order(&candidates, &self.settings.failure_domain);
        let children: Vec<VmId> =
            spread::children(&order, &self.settings.vm).into_iter().cloned().collect();
        for vm in children {
            self.send(&vm, change.clone());
        }
    }

    /// Tells a random neighbour the version in force, so that differences are found.
    pub(super) fn gossip(&mut self) {
        let peers = self.neighbours();
        if let Some(peer) = peers.choose(&mut rand::rng()) {
            let heartbeat = self.own_heartbeat();
            self.send(peer, Body::Heartbeat(heartbeat));
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
    let changed = new.sections.iter().filter(|section| !old.sections.contains(section));
    let section = |section: &Section| wire::Section {
        name: section.name.clone(),
        json: section.json.clone().into_bytes().into(),
    };
    let mut sections: Vec<wire::Section> = changed.map(section).collect();
    let kept = |name: &str| new.sections.iter().any(|section| section.name == name);
    let removed = old.sections.iter().filter(|section| !kept(&section.name));
    sections.extend(
        removed
            .map(|section| wire::Section { name: section.name.clone(), json: Default::default() }),
    );
    ConfigChange { from_version: old.version, to_version: new.version, sections }
}

fn apply(old: &Config, change: ConfigChange) -> Option<Config> {
    let mut sections = if change.from_version == 0 { Vec::new() } else { old.sections.clone() };
    for changed in change.sections {
        sections.retain(|section| section.name != changed.name);
        if !changed.json.is_empty() {
            let json = String::from_utf8(changed.json.to_vec()).ok()?;
            sections.push(Section { name: changed.name, json });
        }
    }
    let document = Document::from_sections(&sections).ok()?;
    document.check().is_empty().then_some(Config { version: change.to_version, document, sections })
}
