//! Directory of endpoints.
//!
//! Entries lag, go missing while the store is unreachable and reappear, and may be written by other
//! programs. An endpoint whose entry is missing is therefore kept for [`MISSING_ENTRY_GRACE`]; a
//! failure of the endpoint itself is detected on its connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::message::{EndpointId, Role, ServiceName, Time};
use crate::settings::MISSING_ENTRY_GRACE;

/// Entry of an endpoint in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name.
    pub id: EndpointId,
    /// Service that the endpoint belongs to.
    pub service: ServiceName,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub failure_domain: String,
    /// Whether the endpoint is draining: about to be taken out of service.
    pub leaving: bool,
    /// Role that the endpoint claims.
    pub role: Role,
    /// Start of the endpoint's process in milliseconds of wall-clock time; zero if unknown.
    pub incarnation: u64,
}

/// Change of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An entry was created or replaced.
    Present(Entry),
    /// An entry was deleted.
    Absent(EndpointId),
    /// All entries; any other entry was deleted.
    Snapshot(Vec<Entry>),
}

/// Effect of a change on one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The endpoint is new, or its entry has changed.
    Updated(Entry),
    /// The endpoint's entry has been missing for too long.
    Removed(Entry),
}

/// Entries of all endpoints, as last read.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<EndpointId, TrackedEntry>,
}

#[derive(Debug)]
struct TrackedEntry {
    entry: Entry,
    missing_since: Option<Time>,
}

impl Directory {
    /// Applies a change that was read at `now`.
    pub fn apply(&mut self, now: Time, change: Change) -> Vec<Effect> {
        let mut effects = Vec::new();
        match change {
            Change::Present(entry) => effects.extend(self.upsert(entry)),
            Change::Absent(id) => self.mark_missing(now, &id),
            Change::Snapshot(entries) => {
                let missing: Vec<EndpointId> = self
                    .entries
                    .keys()
                    .filter(|id| !entries.iter().any(|entry| entry.id == **id))
                    .cloned()
                    .collect();
                for id in missing {
                    self.mark_missing(now, &id);
                }
                effects.extend(entries.into_iter().filter_map(|entry| self.upsert(entry)));
            }
        }
        effects
    }

    /// Removes the entries that have been missing for longer than [`MISSING_ENTRY_GRACE`].
    pub fn expire(&mut self, now: Time) -> Vec<Effect> {
        let expired: Vec<EndpointId> = self
            .entries
            .iter()
            .filter(|(_, tracked)| {
                tracked.missing_since.is_some_and(|at| now >= at + MISSING_ENTRY_GRACE)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let removed = expired.iter().filter_map(|id| self.entries.remove(id));
        removed.map(|tracked| Effect::Removed(tracked.entry)).collect()
    }

    /// Restarts the grace period of all missing entries, after the store was unreachable.
    pub fn restart_grace_periods(&mut self, now: Time) {
        for tracked in self.entries.values_mut() {
            if tracked.missing_since.is_some() {
                tracked.missing_since = Some(now);
            }
        }
    }

    fn upsert(&mut self, entry: Entry) -> Option<Effect> {
        let tracked = TrackedEntry { entry: entry.clone(), missing_since: None };
        let previous = self.entries.insert(entry.id.clone(), tracked);
        let is_unchanged = previous.is_some_and(|tracked| tracked.entry == entry);
        (!is_unchanged).then_some(Effect::Updated(entry))
    }

    fn mark_missing(&mut self, now: Time, id: &EndpointId) {
        if let Some(tracked) = self.entries.get_mut(id) {
            tracked.missing_since.get_or_insert(now);
        }
    }
}
