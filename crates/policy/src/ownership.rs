//! Which node owns a database.
//!
//! Weighted rendezvous hashing (Thaler and Ravishankar, 1998) over the nodes that are thought to
//! be live. Nodes in the primary's failure domain weigh more, so that most statements reach the
//! primary without crossing domains. A node that goes moves only the databases it owned.
//!
//! Safety never rests on ownership: two owners share an endpoint's slots and nothing else.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Name of a VM.
pub type VmId = String;

/// Weight of a node in the primary's failure domain, relative to one elsewhere.
const LOCAL_WEIGHT: f64 = 64.0;

/// A node that may own databases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: String,
}

/// Returns the score of `vm` for `database`; the highest score owns.
pub fn score(database: &str, candidate: &Candidate, preferred_domain: Option<&str>) -> f64 {
    let seed = xxh3_64_with_seed(database.as_bytes(), 0);
    let hash = xxh3_64_with_seed(candidate.vm.as_bytes(), seed);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    let local = preferred_domain == Some(candidate.failure_domain.as_str());
    let weight = if local { LOCAL_WEIGHT } else { 1.0 };
    -weight / uniform.ln()
}

/// Returns the owner of `database` among `candidates`.
pub fn choose_owner<'a>(
    database: &str,
    candidates: impl Iterator<Item = &'a Candidate>,
    preferred_domain: Option<&str>,
) -> Option<&'a Candidate> {
    candidates
        .map(|candidate| (score(database, candidate, preferred_domain), candidate))
        .max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.vm.cmp(&b.1.vm)))
        .map(|(_, candidate)| candidate)
}

#[derive(Clone, Debug)]
struct Owned {
    preferred_domain: Option<String>,
    owner: Option<VmId>,
    score: f64,
}

/// Owners of all databases, kept up to date as nodes and databases come and go.
///
/// A node that comes is compared with each database's owner, and a node that goes is replaced for
/// the databases it owned, so a change costs one score a database and not one a pair.
#[derive(Clone, Debug, Default)]
pub struct OwnershipTable {
    candidates: BTreeMap<VmId, Candidate>,
    databases: BTreeMap<String, Owned>,
}

impl OwnershipTable {
    /// Returns a table without nodes and databases.
    pub fn new() -> OwnershipTable {
        OwnershipTable::default()
    }

    /// Returns the owner of `database`, none if it is not in the table or no node is.
    pub fn owner(&self, database: &str) -> Option<&VmId> {
        self.databases.get(database)?.owner.as_ref()
    }

    /// Returns the databases with their owners.
    pub fn owners(&self) -> impl Iterator<Item = (&str, Option<&VmId>)> {
        self.databases.iter().map(|(name, owned)| (name.as_str(), owned.owner.as_ref()))
    }

    /// Returns the nodes.
    pub fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates.values()
    }

    /// Replaces the databases; each comes with the failure domain that it prefers.
    pub fn set_databases(&mut self, databases: impl Iterator<Item = (String, Option<String>)>) {
        let mut known = std::mem::take(&mut self.databases);
        for (name, preferred_domain) in databases {
            let kept = known.remove(&name);
            let owned = match kept.filter(|kept| kept.preferred_domain == preferred_domain) {
                Some(kept) => kept,
                None => self.choose(&name, preferred_domain),
            };
            self.databases.insert(name, owned);
        }
    }

    /// Replaces the nodes; returns whether any has come or gone.
    pub fn set_candidates(&mut self, candidates: Vec<Candidate>) -> bool {
        let mut gone = std::mem::take(&mut self.candidates);
        let mut come = Vec::new();
        for candidate in candidates {
            if gone.remove(&candidate.vm).as_ref() != Some(&candidate) {
                come.push(candidate.clone());
            }
            self.candidates.insert(candidate.vm.clone(), candidate);
        }
        self.replace_gone(&gone);
        for candidate in &come {
            self.compare(candidate);
        }
        !gone.is_empty() || !come.is_empty()
    }

    fn replace_gone(&mut self, gone: &BTreeMap<VmId, Candidate>) {
        let orphaned = |owned: &Owned| owned.owner.as_ref().is_some_and(|vm| gone.contains_key(vm));
        let names: Vec<(String, Option<String>)> = self
            .databases
            .iter()
            .filter(|(_, owned)| orphaned(owned))
            .map(|(name, owned)| (name.clone(), owned.preferred_domain.clone()))
            .collect();
        for (name, preferred_domain) in names {
            let owned = self.choose(&name, preferred_domain);
            self.databases.insert(name, owned);
        }
    }

    fn compare(&mut self, candidate: &Candidate) {
        for (name, owned) in &mut self.databases {
            let score = score(name, candidate, owned.preferred_domain.as_deref());
            let known = owned.owner.as_ref().map(|owner| (owned.score, owner));
            if known.is_none_or(|known| (score, &candidate.vm) > known) {
                owned.owner = Some(candidate.vm.clone());
                owned.score = score;
            }
        }
    }

    fn choose(&self, database: &str, preferred_domain: Option<String>) -> Owned {
        let preferred = preferred_domain.as_deref();
        let chosen = choose_owner(database, self.candidates.values(), preferred);
        let score = chosen.map_or(0.0, |candidate| score(database, candidate, preferred));
        let owner = chosen.map(|candidate| candidate.vm.clone());
        Owned { preferred_domain, owner, score }
    }
}
