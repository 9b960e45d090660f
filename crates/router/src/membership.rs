//! Nodes of the fleet, and the choice of poolers: the nodes that hold connections to endpoints.
//!
//! Endpoints accept few connections. In a small fleet every node is a pooler. In a larger fleet the
//! strongest nodes of each failure domain are, and the others pass their clients' statements on to
//! them. Two nodes may see different fleets for a while; there are then a few more or fewer
//! poolers, which affects the number of connections but not consistency.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::message::EndpointId;

/// Largest fleet in which every node is a pooler: the 76 connections of an endpoint then give each
/// node two.
pub const MAX_DIRECT_FLEET_NODES: usize = 28;
/// Poolers of a failure domain that has enough nodes, so that one of them may be lost.
const MIN_POOLERS_PER_DOMAIN: usize = 2;
/// Limit of poolers per failure domain, so that each has several connections to an endpoint.
const MAX_POOLERS_PER_DOMAIN: usize = 3;

/// Node of the fleet, as announced by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name.
    pub name: EndpointId,
    /// Failure domain of the node.
    pub failure_domain: String,
    /// Address on which the node accepts links from other nodes.
    pub address: SocketAddr,
    /// CPU share of the node, in thousandths of a core.
    pub weight: u32,
}

/// Returns the poolers among `peers`, ordered by name.
pub fn poolers(peers: &[Peer]) -> Vec<&Peer> {
    let mut all: Vec<&Peer> = peers.iter().collect();
    all.sort_by(|a, b| a.name.cmp(&b.name));
    if all.len() <= MAX_DIRECT_FLEET_NODES {
        return all;
    }
    let mut domains: BTreeMap<&str, Vec<&Peer>> = BTreeMap::new();
    for peer in all {
        domains.entry(&peer.failure_domain).or_default().push(peer);
    }
    let mut poolers: Vec<&Peer> = domains.into_values().flat_map(strongest_peers).collect();
    poolers.sort_by(|a, b| a.name.cmp(&b.name));
    poolers
}

fn strongest_peers(mut peers: Vec<&Peer>) -> Vec<&Peer> {
    // The sort is stable: peers of equal weight stay ordered by name.
    peers.sort_by_key(|peer| std::cmp::Reverse(peer.weight));
    let max_weight = peers.first().map_or(0, |peer| peer.weight);
    let strong_count = peers.iter().filter(|peer| peer.weight * 2 >= max_weight).count();
    peers.truncate(strong_count.clamp(MIN_POOLERS_PER_DOMAIN, MAX_POOLERS_PER_DOMAIN));
    peers
}

/// Returns the rank of `peer`, which is `distance` away, for `database`; less is better.
///
/// Peers at equal distance are ranked by a hash, which spreads the databases over them.
pub fn rank(peer: &Peer, database: &str, distance: u64) -> (u64, u64) {
    let key = format!("{database}/{}", peer.name);
    (distance, xxhash_rust::xxh3::xxh3_64(key.as_bytes()))
}
