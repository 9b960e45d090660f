//! Relay tree that distributes configuration changes.
//!
//! A few nodes of each failure domain, the watchers, watch the platform. They relay changes to the
//! other nodes of the domain through a tree of fixed fan-out over the nodes in hash order. Nodes
//! with the same view of the domain compute the same tree. Differing views and lost relays are
//! repaired by the configuration versions that nodes exchange with random peers.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ownership::{Candidate, VmId};

/// Number of nodes per failure domain that watch the platform.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Number of nodes to which one node relays a change.
pub const FAN_OUT: usize = 8;

/// Returns the nodes of `failure_domain` in tree order; the first [`WATCHERS_PER_DOMAIN`] are the
/// watchers.
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

/// Returns the nodes to which `vm` relays a change.
///
/// The watchers are the roots of the tree; every node has up to [`FAN_OUT`] children.
pub fn children<'a>(order: &[&'a VmId], vm: &str) -> Vec<&'a VmId> {
    let Some(index) = order.iter().position(|member| *member == vm) else {
        return Vec::new();
    };
    let first_child = WATCHERS_PER_DOMAIN + index * FAN_OUT;
    order.iter().skip(first_child).take(FAN_OUT).copied().collect()
}

/// Returns the largest number of hops from a watcher to a node in a domain of `members` nodes.
pub fn depth(members: usize) -> usize {
    let (mut reached, mut level_size, mut hops) = (WATCHERS_PER_DOMAIN, WATCHERS_PER_DOMAIN, 0);
    while reached < members {
        level_size *= FAN_OUT;
        reached += level_size;
        hops += 1;
    }
    hops
}
