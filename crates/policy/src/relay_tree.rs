//! Who passes a change of configuration to whom.
//!
//! A few nodes of each failure domain watch the platform; the others are reached through a tree
//! of fixed fan-out over the domain's nodes in rendezvous order. Every member of a domain computes
//! the same tree from the same view; differing views and lost relays are repaired by the version
//! that peers exchange with a random partner.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ownership::{Candidate, VmId};

/// Nodes of a failure domain that watch the platform.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Nodes that one node passes a change on to.
pub const RELAY_FAN_OUT: usize = 8;

/// Returns the nodes of `failure_domain` in tree order; the first [`WATCHERS_PER_DOMAIN`] watch.
pub fn order<'a>(candidates: &'a [Candidate], failure_domain: &str) -> Vec<&'a VmId> {
    let mut members: Vec<&VmId> = candidates
        .iter()
        .filter(|candidate| candidate.failure_domain == failure_domain)
        .map(|candidate| &candidate.vm)
        .collect();
    members.sort_by_key(|vm| (xxh3_64_with_seed(vm.as_bytes(), 1), (*vm).clone()));
    members
}

/// Returns whether `vm` watches the platform on behalf of its failure domain.
pub fn is_watcher(order: &[&VmId], vm: &str) -> bool {
    order.iter().take(WATCHERS_PER_DOMAIN).any(|member| *member == vm)
}

/// Returns the nodes to which `vm` passes a change on.
///
/// The watchers share the first level; below it every node serves [`RELAY_FAN_OUT`] others.
pub fn children<'a>(order: &[&'a VmId], vm: &str) -> Vec<&'a VmId> {
    let Some(index) = order.iter().position(|member| *member == vm) else {
        return Vec::new();
    };
    let first = WATCHERS_PER_DOMAIN + index * RELAY_FAN_OUT;
    order.iter().skip(first).take(RELAY_FAN_OUT).copied().collect()
}

/// Returns the number of hops from a watcher to the farthest of `members` nodes.
pub fn depth(members: usize) -> usize {
    let (mut reached, mut level, mut hops) = (WATCHERS_PER_DOMAIN, WATCHERS_PER_DOMAIN, 0);
    while reached < members {
        level *= RELAY_FAN_OUT;
        reached += level;
        hops += 1;
    }
    hops
}
