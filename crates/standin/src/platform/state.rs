//! Objects, watches and VMs of the platform stand-in.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tamarackbend_objects::api::{Object, Vm};

use crate::endpoint::Group;

/// Faults of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call fails.
    pub outage: bool,
    /// Every call takes this much longer.
    pub delay_ms: u64,
    /// Updates that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// Age of the list of VMs.
    pub vm_lag_ms: u64,
}

/// Calls that the platform has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Objects read.
    pub reads: u64,
    /// Updates.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Lists of VMs.
    pub lists: u64,
}

struct Watch {
    key: Key,
    until: Instant,
    /// Dropped when the wait is over.
    _changed: oneshot::Sender<()>,
}

type Key = (String, String);

#[derive(Default)]
pub(super) struct Objects {
    objects: BTreeMap<Key, Object>,
    watches: Vec<Watch>,
    vms: BTreeMap<String, Vm>,
    vm_history: VecDeque<(Instant, Vec<Vm>)>,
    pub(super) faults: Faults,
    pub(super) calls: Calls,
    pub(super) groups: Vec<Group>,
}

impl Objects {
    pub(super) fn get(&self, kind: &str, name: &str) -> Option<Object> {
        self.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    pub(super) fn set(&mut self, kind: &str, name: &str, value: Value) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        let version = self.objects.get(&key).map_or(0, |object| object.version) + 1;
        self.watches.retain(|watch| watch.key != key);
        self.objects.insert(key, Object { version, value });
        version
    }

    pub(super) fn watch(
        &mut self,
        kind: &str,
        name: &str,
        version: u64,
        wait: Duration,
    ) -> Option<oneshot::Receiver<()>> {
        if self.get(kind, name).map_or(0, |object| object.version) != version {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        let key = (kind.to_owned(), name.to_owned());
        self.watches.push(Watch { key, until: Instant::now() + wait, _changed: sender });
        Some(receiver)
    }

    pub(super) fn expire_watches(&mut self) {
        let now = Instant::now();
        self.watches.retain(|watch| watch.until > now);
    }

    pub(super) fn set_vm(&mut self, vm: Vm) {
        self.vms.insert(vm.name.clone(), vm);
        self.record_vms();
    }

    pub(super) fn remove_vm(&mut self, name: &str) {
        self.vms.remove(name);
        self.record_vms();
    }

    pub(super) fn vms(&mut self) -> Vec<Vm> {
        let lag = Duration::from_millis(self.faults.vm_lag_ms);
        let shown = |(since, _): &&(Instant, Vec<Vm>)| since.elapsed() >= lag;
        self.vm_history.iter().rev().find(shown).map(|(_, vms)| vms.clone()).unwrap_or_default()
    }

    fn record_vms(&mut self) {
        let vms = self.vms.values().cloned().collect();
        self.vm_history.push_back((Instant::now(), vms));
        if self.vm_history.len() > 1000 {
            self.vm_history.pop_front();
        }
    }
}
