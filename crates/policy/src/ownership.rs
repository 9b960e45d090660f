//! Which node owns a database.
//!
//! Weighted rendezvous hashing (Thaler and Ravishankar, 1998) over the nodes that are thought to
//! be live. Nodes in the primary's failure domain weigh more, so that most statements reach the
//! primary without crossing domains. A node that goes moves only the databases it owned.
//!
//! Safety never rests on ownership: two owners share an endpoint's slots and nothing else.

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
pub fn owner<'a>(
    database: &str,
    candidates: impl Iterator<Item = &'a Candidate>,
    preferred_domain: Option<&str>,
) -> Option<&'a Candidate> {
    candidates
        .map(|candidate| (score(database, candidate, preferred_domain), candidate))
        .max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.vm.cmp(&b.1.vm)))
        .map(|(_, candidate)| candidate)
}
