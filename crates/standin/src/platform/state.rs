//! State of the platform stand-in: objects, watches, VMs, faults and call counts.

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
    /// Every call fails with status 503.
    pub outage: bool,
    /// Added delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming updates that take effect but are answered with status 504.
    pub lose_answers: u32,
    /// Age of the list of VMs that calls return, in milliseconds.
    pub vm_lag_ms: u64,
}

/// Numbers of calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads of objects.
    pub reads: u64,
    /// Updates of objects.
    pub writes: u64,
    /// Watches started.
    pub watches: u64,
    /// Lists of VMs.
    pub lists: u64,
}

/// Watch that waits for a change of an object.
struct Watch {
    key: Key,
    deadline: Instant,
    /// Closes the channel when dropped, on a change or at the deadline.
    _on_end: oneshot::Sender<()>,
}

/// Kind and name of an object.
type Key = (String, String);

#[derive(Default)]
pub(super) struct Objects {
    objects: BTreeMap<Key, Object>,
    watches: Vec<Watch>,
    vms: BTreeMap<String, Vm>,
    /// Past lists of VMs, each with the time from which it was in force.
    vm_history: VecDeque<(Instant, Vec<Vm>)>,
    pub(super) faults: Faults,
    pub(super) calls: Calls,
    pub(super) groups: Vec<Group>,
}

impl Objects {
    pub(super) fn object(&self, kind: &str, name: &str) -> Option<Object> {
        self.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    /// Creates or replaces an object; returns its new version.
    pub(super) fn set_object(&mut self, kind: &str, name: &str, value: Value) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        let version = self.objects.get(&key).map_or(0, |object| object.version) + 1;
        self.watches.retain(|watch| watch.key != key);
        self.objects.insert(key, Object { version, value });
        version
    }

    /// Returns a channel that closes on a change or after `wait`; none if `version` is outdated.
    pub(super) fn watch(
        &mut self,
        kind: &str,
        name: &str,
        version: u64,
        wait: Duration,
    ) -> Option<oneshot::Receiver<()>> {
        if self.object(kind, name).map_or(0, |object| object.version) != version {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        let key = (kind.to_owned(), name.to_owned());
        self.watches.push(Watch { key, deadline: Instant::now() + wait, _on_end: sender });
        Some(receiver)
    }

    pub(super) fn expire_watches(&mut self) {
        let now = Instant::now();
        self.watches.retain(|watch| watch.deadline > now);
    }

    pub(super) fn set_vm(&mut self, vm: Vm) {
        self.vms.insert(vm.name.clone(), vm);
        self.record_vms();
    }

    pub(super) fn remove_vm(&mut self, name: &str) {
        self.vms.remove(name);
        self.record_vms();
    }

    /// Returns the list of VMs as of `vm_lag_ms` ago.
    pub(super) fn vms(&mut self) -> Vec<Vm> {
        let lag = Duration::from_millis(self.faults.vm_lag_ms);
        let is_old_enough = |(since, _): &&(Instant, Vec<Vm>)| since.elapsed() >= lag;
        self.vm_history
            .iter()
            .rev()
            .find(is_old_enough)
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default()
    }

    fn record_vms(&mut self) {
        let vms = self.vms.values().cloned().collect();
        self.vm_history.push_back((Instant::now(), vms));
        if self.vm_history.len() > 1000 {
            self.vm_history.pop_front();
        }
    }
}
