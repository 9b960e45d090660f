//! Directory of endpoints.
//!
//! Entries lag, go missing while the store is unreachable and reappear, and may be written by other
//! programs. An endpoint whose entry is missing is therefore kept for [`MISSING_ENTRY_GRACE`]; a
//! failure of the endpoint itself is detected on its connections.
//!
//! A store that was restored from an older copy shows endpoints as they were: draining ones as ready,
//! and some that have left. Endpoints report again within [`MISSING_ENTRY_GRACE`]; until then, a
//! draining endpoint stays draining. One that left after it had drained does not come back without a
//! new start of its process.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;

use crate::message::{EndpointId, Role, ServiceName, Time};
use crate::settings::MISSING_ENTRY_GRACE;

/// Number of endpoints that have left which a node remembers.
const MAX_DEPARTED: usize = 256;

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
    /// Names and incarnations of the endpoints that left after they had drained, oldest first.
    departed: VecDeque<(EndpointId, u64)>,
    /// When the node last learned that the store had been restored.
    restored_at: Option<Time>,
}

#[derive(Debug)]
struct TrackedEntry {
    entry: Entry,
    /// Whether the endpoint only counts as draining because it was before the store was restored.
    is_leaving_assumed: bool,
    missing_since: Option<Time>,
}

impl Directory {
    /// Applies a change that was read at `now`.
    pub fn apply(&mut self, now: Time, change: Change) -> Vec<Effect> {
        let mut effects = Vec::new();
        match change {
            Change::Present(entry) => effects.extend(self.upsert(now, entry)),
            Change::Absent(id) => self.mark_missing(now, &id),
            Change::Snapshot(entries) => {
                let present: HashSet<&EndpointId> = entries.iter().map(|entry| &entry.id).collect();
                let known = self.entries.keys();
                let missing: Vec<EndpointId> =
                    known.filter(|id| !present.contains(id)).cloned().collect();
                for id in missing {
                    self.mark_missing(now, &id);
                }
                effects.extend(entries.into_iter().filter_map(|entry| self.upsert(now, entry)));
            }
        }
        effects
    }

    /// Removes the entries that have been missing for longer than [`MISSING_ENTRY_GRACE`], and takes
    /// endpoints for ready that have not reported again that they are draining.
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
        let removed: Vec<Entry> = removed.map(|tracked| tracked.entry).collect();
        for entry in removed.iter().filter(|entry| entry.leaving && entry.incarnation > 0) {
            if self.departed.len() == MAX_DEPARTED {
                self.departed.pop_front();
            }
            self.departed.push_back((entry.id.clone(), entry.incarnation));
        }
        let mut effects: Vec<Effect> = removed.into_iter().map(Effect::Removed).collect();
        if self.restored_at.is_some_and(|at| now >= at + MISSING_ENTRY_GRACE) {
            self.restored_at = None;
            for tracked in self.entries.values_mut().filter(|tracked| tracked.is_leaving_assumed) {
                tracked.is_leaving_assumed = false;
                tracked.entry.leaving = false;
                effects.push(Effect::Updated(tracked.entry.clone()));
            }
        }
        effects
    }

    /// Restarts the grace period of all missing entries, after the store was unreachable.
    pub fn restart_grace_periods(&mut self, now: Time) {
        for tracked in self.entries.values_mut() {
            if tracked.missing_since.is_some() {
                tracked.missing_since = Some(now);
            }
        }
    }

    /// Records that the store was restored from an older copy: entries that it lacks get a new grace
    /// period, and endpoints that were draining stay so until they have reported again.
    pub fn on_store_restored(&mut self, now: Time) {
        self.restored_at = Some(now);
        self.restart_grace_periods(now);
    }

    fn upsert(&mut self, now: Time, mut entry: Entry) -> Option<Effect> {
        let has_departed =
            self.departed.iter().any(|(id, run)| *id == entry.id && *run == entry.incarnation);
        if has_departed && !entry.leaving {
            return None;
        }
        let is_settling = self.restored_at.is_some_and(|at| now < at + MISSING_ENTRY_GRACE);
        let known = self.entries.get(&entry.id).map(|tracked| &tracked.entry);
        let is_leaving_assumed = is_settling
            && !entry.leaving
            && known.is_some_and(|known| known.leaving && known.incarnation == entry.incarnation);
        entry.leaving |= is_leaving_assumed;
        let tracked =
            TrackedEntry { entry: entry.clone(), is_leaving_assumed, missing_since: None };
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
