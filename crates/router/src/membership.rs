//! Nodes of the fleet, and the choice of poolers: the nodes that hold connections to endpoints.
//!
//! Endpoints accept few connections. In a small fleet every node is a pooler. In a larger fleet the
//! strongest nodes of each failure domain are, as many as have a set share of the domain's CPU, and
//! the others pass their clients' statements on to them. The number of poolers so grows with the
//! fleet. Each database is served by a few of the poolers only, so the connections of one endpoint do
//! not grow with it.
//!
//! Two nodes may see different fleets for a while; there are then a few more or fewer poolers, which
//! affects the number of connections but not consistency.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::message::EndpointId;

/// Largest fleet in which every node is a pooler: the 76 connections of an endpoint then give each
/// node two.
pub const MAX_DIRECT_FLEET_NODES: usize = 28;
/// Poolers of a failure domain that has enough nodes, so that one of them may be lost.
const MIN_POOLERS_PER_DOMAIN: usize = 2;
/// Poolers of a failure domain with at least as many strong nodes, whose CPU the others do not have.
const STRONG_POOLERS_PER_DOMAIN: usize = 3;
/// Share of the CPU of a failure domain that its poolers have together. A statement takes about half
/// as much CPU of its pooler as of the node of its client, and poolers need a reserve for failures.
const POOLER_CPU_SHARE: f64 = 0.25;
/// Poolers of a failure domain that hold connections for one database: the one that the domain's
/// nodes use, and the one that takes its place.
pub const POOLERS_PER_DATABASE: usize = 2;

/// Poolers of a region that serve one customer: the one that the region's nodes use, and the one that
/// takes its place.
pub const POOLERS_PER_CUSTOMER: usize = 2;

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
    let total_weight: u64 = peers.iter().map(|peer| u64::from(peer.weight)).sum();
    let needed_weight = total_weight as f64 * POOLER_CPU_SHARE;
    let mut weight_before = 0;
    let sufficient_count = peers
        .iter()
        .take_while(|peer| {
            let is_needed = (weight_before as f64) < needed_weight;
            weight_before += u64::from(peer.weight);
            is_needed
        })
        .count();
    let count = strong_count.clamp(MIN_POOLERS_PER_DOMAIN, STRONG_POOLERS_PER_DOMAIN);
    peers.truncate(count.max(sufficient_count));
    peers
}

/// Returns the rank of `peer`, which is `distance` away, for `database`; less is better.
///
/// Peers at equal distance are ranked by a hash, which spreads the databases over them in proportion
/// to their weights.
pub fn rank(peer: &Peer, database: &str, distance: u64) -> (u64, u64) {
    /// Scales the logarithm of the hash to an integer.
    const SCALE: f64 = 1e12;
    let key = format!("{database}/{}", peer.name);
    let hash = xxhash_rust::xxh3::xxh3_64(key.as_bytes());
    // Exponentially distributed with the weight as rate: the smallest of several values is that of a
    // peer with a probability in proportion to its weight.
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    (distance, (-uniform.ln() / f64::from(peer.weight.max(1)) * SCALE) as u64)
}

/// Returns the number of poolers that hold connections for one database.
pub fn poolers_of_database(poolers: &[Peer]) -> usize {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for peer in poolers {
        *counts.entry(&peer.failure_domain).or_default() += 1;
    }
    counts.into_values().map(|count| count.min(POOLERS_PER_DATABASE)).sum()
}

/// Returns the poolers that hold connections for `database`: the first ranks of each failure domain.
pub fn responsible_poolers<'a>(poolers: &'a [Peer], database: &str) -> Vec<&'a Peer> {
    let mut domains: BTreeMap<&str, Vec<&Peer>> = BTreeMap::new();
    for peer in poolers {
        domains.entry(&peer.failure_domain).or_default().push(peer);
    }
    let first_ranks = domains.into_values().flat_map(|mut domain| {
        domain.sort_by_cached_key(|peer| (rank(peer, database, 0), &peer.name));
        domain.truncate(POOLERS_PER_DATABASE);
        domain
    });
    first_ranks.collect()
}

/// Returns the poolers that serve `customer`: in each region the first ranks, in the order in which they
/// are used.
///
/// The connections of a customer, and the account of what it may ask, are so kept in few places.
pub fn customer_poolers<'a>(
    poolers: &'a [Peer],
    regions: &HashMap<String, String>,
    customer: &str,
) -> Vec<&'a Peer> {
    let mut by_region: BTreeMap<&str, Vec<&Peer>> = BTreeMap::new();
    for peer in poolers {
        let domain = peer.failure_domain.as_str();
        let region = regions.get(domain).map_or(domain, String::as_str);
        by_region.entry(region).or_default().push(peer);
    }
    let first_ranks = by_region.into_values().flat_map(|mut region| {
        region.sort_by_cached_key(|peer| (rank(peer, customer, 0), &peer.name));
        region.truncate(POOLERS_PER_CUSTOMER);
        region
    });
    first_ranks.collect()
}

/// Returns whether `node` is one of the poolers that hold connections for `database`.
pub fn is_responsible(poolers: &[Peer], node: &str, database: &str) -> bool {
    let Some(own) = poolers.iter().find(|peer| *peer.name == *node) else { return false };
    let own_rank = (rank(own, database, 0), &own.name);
    let domain = poolers.iter().filter(|peer| peer.failure_domain == own.failure_domain);
    let better = domain.filter(|peer| (rank(peer, database, 0), &peer.name) < own_rank).count();
    better < POOLERS_PER_DATABASE
}
