//! Nodes of the fleet, and which of them hold connections to endpoints.
//!
//! Endpoints take few connections. In a small fleet every node holds some; in a larger one the
//! strongest nodes of each failure domain do, and the others pass their callers' statements to
//! them. Two nodes may see different fleets for a while: holders are then a few more or fewer,
//! which costs connections and breaks no promise.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::message::EndpointId;

/// Nodes up to which every node holds connections: 76 of an endpoint give each of them two.
pub const MAX_DIRECT_FLEET_NODES: usize = 28;
/// Holders of a failure domain at least, if it has so many nodes: one may be lost.
const MIN_POOLERS_PER_DOMAIN: usize = 2;
/// Holders of a failure domain at most, so that each has several connections to an endpoint.
const MAX_POOLERS_PER_DOMAIN: usize = 3;

/// Node as it announces itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name.
    pub name: EndpointId,
    /// Its failure domain.
    pub failure_domain: String,
    /// Where it accepts channels.
    pub address: SocketAddr,
    /// Its share of a core, in thousandths.
    pub weight: u32,
    /// Tells its runs apart.
    pub incarnation: u64,
}

/// Returns the nodes that hold connections, in order of their names.
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
    let mut holders: Vec<&Peer> = domains.into_values().flat_map(strongest).collect();
    holders.sort_by(|a, b| a.name.cmp(&b.name));
    holders
}

fn strongest(mut peers: Vec<&Peer>) -> Vec<&Peer> {
    // The sort is stable: peers of the same weight stay in order of their names.
    peers.sort_by_key(|peer| std::cmp::Reverse(peer.weight));
    let most = peers.first().map_or(0, |peer| peer.weight);
    let strong = peers.iter().filter(|peer| peer.weight * 2 >= most).count();
    peers.truncate(strong.clamp(MIN_POOLERS_PER_DOMAIN, MAX_POOLERS_PER_DOMAIN));
    peers
}

/// Returns how `peer` ranks for `database` at a node in `failure_domain`; less is better.
pub fn rank(peer: &Peer, database: &str, distance: u64) -> (u64, u64) {
    let key = format!("{database}/{}", peer.name);
    (distance, xxhash_rust::xxh3::xxh3_64(key.as_bytes()))
}
