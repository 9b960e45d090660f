//! Assignment of databases to owners.
//!
//! The owner of a database is the node that runs the database's statements. The owner is chosen
//! by weighted rendezvous hashing (Thaler and Ravishankar, 1998) over the nodes that are believed
//! to be live. Nodes in the failure domain of the primary weigh more, so that most statements
//! reach the primary without crossing failure domains. The loss of a node moves only the
//! databases that the node owned.
//!
//! Safety does not depend on ownership: if nodes disagree and a database has two owners, the
//! owners only compete for the slots of the endpoints.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Name of a VM.
pub type VmId = String;

/// Weight of a node in the preferred failure domain; other nodes have a weight of one.
const PREFERRED_DOMAIN_WEIGHT: f64 = 64.0;

/// A node that may own databases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// VM on which the node runs.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub failure_domain: String,
}

/// Returns the score of `candidate` for `database`; the candidate with the highest score is the
/// owner.
pub fn score(database: &str, candidate: &Candidate, preferred_domain: Option<&str>) -> f64 {
    let seed = xxh3_64_with_seed(database.as_bytes(), 0);
    let hash = xxh3_64_with_seed(candidate.vm.as_bytes(), seed);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    let is_preferred = preferred_domain == Some(candidate.failure_domain.as_str());
    let weight = if is_preferred { PREFERRED_DOMAIN_WEIGHT } else { 1.0 };
    -weight / uniform.ln()
}

/// Returns the owner of `database` among `candidates`, or none if there are no candidates.
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
struct Assignment {
    preferred_domain: Option<String>,
    owner: Option<VmId>,
    score: f64,
}

/// Owners of all databases, updated as nodes and databases are added and removed.
///
/// An added node is compared with each database's owner; a removed node is replaced only for the
/// databases that the node owned. An update therefore costs about one score per database, not one
/// per pair of node and database.
#[derive(Clone, Debug, Default)]
pub struct Table {
    candidates: BTreeMap<VmId, Candidate>,
    databases: BTreeMap<String, Assignment>,
}

impl Table {
    /// Returns a table without nodes or databases.
    pub fn new() -> Table {
        Table::default()
    }

    /// Returns the owner of `database`; none if the table lacks the database or has no nodes.
    pub fn owner(&self, database: &str) -> Option<&VmId> {
        self.databases.get(database)?.owner.as_ref()
    }

    /// Returns the databases with their owners.
    pub fn owners(&self) -> impl Iterator<Item = (&str, Option<&VmId>)> {
        self.databases.iter().map(|(name, assignment)| (name.as_str(), assignment.owner.as_ref()))
    }

    /// Returns the nodes.
    pub fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates.values()
    }

    /// Replaces the databases, each given with its preferred failure domain.
    pub fn set_databases(&mut self, databases: impl Iterator<Item = (String, Option<String>)>) {
        let mut previous = std::mem::take(&mut self.databases);
        for (name, preferred_domain) in databases {
            let current = previous.remove(&name);
            let assignment = match current.filter(|c| c.preferred_domain == preferred_domain) {
                Some(current) => current,
                None => self.assign(&name, preferred_domain),
            };
            self.databases.insert(name, assignment);
        }
    }

    /// Replaces the nodes; returns whether any node was added, changed or removed.
    pub fn set_candidates(&mut self, candidates: Vec<Candidate>) -> bool {
        let mut removed = std::mem::take(&mut self.candidates);
        let mut added = Vec::new();
        for candidate in candidates {
            if removed.remove(&candidate.vm).as_ref() != Some(&candidate) {
                added.push(candidate.clone());
            }
            self.candidates.insert(candidate.vm.clone(), candidate);
        }
        self.reassign_removed(&removed);
        for candidate in &added {
            self.offer(candidate);
        }
        !removed.is_empty() || !added.is_empty()
    }

    /// Assigns new owners to the databases whose owner is in `removed`.
    fn reassign_removed(&mut self, removed: &BTreeMap<VmId, Candidate>) {
        let is_orphaned = |assignment: &Assignment| {
            assignment.owner.as_ref().is_some_and(|vm| removed.contains_key(vm))
        };
        let names: Vec<(String, Option<String>)> = self
            .databases
            .iter()
            .filter(|(_, assignment)| is_orphaned(assignment))
            .map(|(name, assignment)| (name.clone(), assignment.preferred_domain.clone()))
            .collect();
        for (name, preferred_domain) in names {
            let assignment = self.assign(&name, preferred_domain);
            self.databases.insert(name, assignment);
        }
    }

    /// Makes `candidate` the owner of every database for which its score is the highest.
    fn offer(&mut self, candidate: &Candidate) {
        for (name, assignment) in &mut self.databases {
            let score = score(name, candidate, assignment.preferred_domain.as_deref());
            let current = assignment.owner.as_ref().map(|owner| (assignment.score, owner));
            if current.is_none_or(|current| (score, &candidate.vm) > current) {
                assignment.owner = Some(candidate.vm.clone());
                assignment.score = score;
            }
        }
    }

    fn assign(&self, database: &str, preferred_domain: Option<String>) -> Assignment {
        let preferred = preferred_domain.as_deref();
        let chosen = choose_owner(database, self.candidates.values(), preferred);
        let score = chosen.map_or(0.0, |candidate| score(database, candidate, preferred));
        let owner = chosen.map(|candidate| candidate.vm.clone());
        Assignment { preferred_domain, owner, score }
    }
}
