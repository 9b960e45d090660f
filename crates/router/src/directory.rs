//! Directory of endpoints.
//!
//! Entries lag, vanish while the store is away and come back, and may be written by strangers.
//! An entry that vanishes is therefore kept for a while, unless the endpoint fails as well.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::message::{EndpointId, Role, ServiceName, Time};
use crate::settings::MISSING_ENTRY_GRACE;

/// What an endpoint says of itself in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name.
    pub id: EndpointId,
    /// Group that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Part it believes to play.
    pub role: Role,
    /// Start of its process, in milliseconds of the time of day; zero if it is not told.
    pub incarnation: u64,
}

/// Change of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An entry was made or replaced.
    Present(Entry),
    /// An entry is gone.
    Absent(EndpointId),
    /// The whole list; what is not in it is gone.
    Snapshot(Vec<Entry>),
}

/// Effect of a change on one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The endpoint is new or its entry changed.
    Updated(Entry),
    /// The endpoint is gone.
    Removed(Entry),
}

/// Entries as last seen.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<EndpointId, Known>,
}

#[derive(Debug)]
struct Known {
    entry: Entry,
    vanished: Option<Time>,
}

impl Directory {
    /// Takes over a change at `now`.
    pub fn apply(&mut self, now: Time, change: Change) -> Vec<Effect> {
        let mut effects = Vec::new();
        match change {
            Change::Present(entry) => effects.extend(self.put(entry)),
            Change::Absent(id) => self.vanish(now, &id),
            Change::Snapshot(entries) => {
                let gone: Vec<EndpointId> = self
                    .entries
                    .keys()
                    .filter(|id| !entries.iter().any(|entry| entry.id == **id))
                    .cloned()
                    .collect();
                for id in gone {
                    self.vanish(now, &id);
                }
                effects.extend(entries.into_iter().filter_map(|entry| self.put(entry)));
            }
        }
        effects
    }

    /// Removes the entries that have been missing for too long.
    pub fn expire(&mut self, now: Time) -> Vec<Effect> {
        let gone: Vec<EndpointId> = self
            .entries
            .iter()
            .filter(|(_, known)| known.vanished.is_some_and(|at| now >= at + MISSING_ENTRY_GRACE))
            .map(|(id, _)| id.clone())
            .collect();
        let removed = gone.iter().filter_map(|id| self.entries.remove(id));
        removed.map(|known| Effect::Removed(known.entry)).collect()
    }

    /// Starts the grace of all missing entries again, after the store was away.
    pub fn restart_grace_periods(&mut self, now: Time) {
        for known in self.entries.values_mut() {
            if known.vanished.is_some() {
                known.vanished = Some(now);
            }
        }
    }

    fn put(&mut self, entry: Entry) -> Option<Effect> {
        let known = Known { entry: entry.clone(), vanished: None };
        let before = self.entries.insert(entry.id.clone(), known);
        let same = before.is_some_and(|known| known.entry == entry);
        (!same).then_some(Effect::Updated(entry))
    }

    fn vanish(&mut self, now: Time, id: &EndpointId) {
        if let Some(known) = self.entries.get_mut(id) {
            known.vanished.get_or_insert(now);
        }
    }
}
