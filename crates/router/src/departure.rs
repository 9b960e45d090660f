//! Detection of nodes that have left the fleet for good.
//!
//! A node's record stays in the store when its process ends, so that a restart changes no list. Nothing
//! else would end the record of a machine that is removed. Each node therefore probes the others in turn,
//! and removes the record of a node that it has missed for [`ABSENCE_TIMEOUT`].
//!
//! A node that is itself cut off misses all others. An absence so counts only while another node of the
//! same failure domain answers, or any node if the domain has no other. A node whose record was removed
//! although it runs announces itself again, so an error costs two writes and no consistency.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::membership::Peer;
use crate::message::{EndpointId, Time};

/// Time without an answer after which a node has left. Longer than most partitions and restarts, since each
/// removed record may change the poolers of the fleet.
pub const ABSENCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of the probes of one absent node, and of the probes of the others in turn.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Time over which the nodes spread the removal of a record, so that mostly one of them removes it.
const REMOVAL_SPREAD: Duration = Duration::from_secs(4);
/// Unanswered probes that an absence consists of at least.
const MIN_MISSES: u32 = 4;
/// Absences that a node follows at the same time.
const MAX_ABSENCES: usize = 8;

/// Absence of a node, as seen by this node.
#[derive(Clone, Copy, Debug)]
struct Absence {
    address: SocketAddr,
    /// When the first unanswered probe was sent.
    since: Time,
    misses: u32,
}

/// Detector of nodes that have left.
#[derive(Debug, Default)]
pub struct Detector {
    absences: BTreeMap<EndpointId, Absence>,
    /// When a node of each failure domain last answered, and that node.
    last_answers: BTreeMap<String, (Time, EndpointId)>,
    next_probe_at: Time,
    /// Node that was last probed in turn.
    last_probed: Option<EndpointId>,
}

impl Detector {
    /// Returns the nodes to probe at `now`: those that are absent, and another one in turn.
    pub fn due_probes(&mut self, now: Time, node: &str, peers: &[Peer]) -> Vec<Peer> {
        if now < self.next_probe_at {
            return Vec::new();
        }
        self.next_probe_at = now + PROBE_INTERVAL;
        self.absences.retain(|name, absence| {
            peers.iter().any(|peer| peer.name == *name && peer.address == absence.address)
        });
        let is_absent = |peer: &&Peer| self.absences.contains_key(&peer.name);
        let mut due: Vec<Peer> = peers.iter().filter(is_absent).cloned().collect();
        due.extend(self.next_in_turn(node, peers).cloned());
        due
    }

    /// Returns the node after the last one in the order of a hash that differs between the probing nodes.
    fn next_in_turn<'a>(&mut self, node: &str, peers: &'a [Peer]) -> Option<&'a Peer> {
        let rank = |name: &EndpointId| (hash(node, name), name.clone());
        let last_rank = self.last_probed.as_ref().map(rank);
        let others = || {
            peers
                .iter()
                .filter(|peer| *peer.name != *node && !self.absences.contains_key(&peer.name))
        };
        let next = others()
            .filter(|peer| Some(rank(&peer.name)) > last_rank)
            .min_by_key(|peer| rank(&peer.name))
            .or_else(|| others().min_by_key(|peer| rank(&peer.name)))?;
        self.last_probed = Some(next.name.clone());
        Some(next)
    }

    /// Records the outcome of a probe that was sent at `sent_at`.
    pub fn record(&mut self, sent_at: Time, peer: &Peer, has_answered: bool) {
        if has_answered {
            self.absences.remove(&peer.name);
            let answer = (sent_at, peer.name.clone());
            self.last_answers.insert(peer.failure_domain.clone(), answer);
            return;
        }
        if let Some(absence) = self.absences.get_mut(&peer.name) {
            absence.misses += 1;
        } else if self.absences.len() < MAX_ABSENCES {
            let absence = Absence { address: peer.address, since: sent_at, misses: 1 };
            self.absences.insert(peer.name.clone(), absence);
        }
    }

    /// Returns the nodes that have left by `now`, and forgets their absence.
    pub fn departed(&mut self, now: Time, node: &str, peers: &[Peer]) -> Vec<EndpointId> {
        let has_left = |name: &EndpointId, absence: &Absence| {
            let spread_ms = hash(node, name) % REMOVAL_SPREAD.as_millis() as u64;
            let timeout = ABSENCE_TIMEOUT + Duration::from_millis(spread_ms);
            now >= absence.since + timeout
                && absence.misses >= MIN_MISSES
                && self.is_confirmed(name, absence.since, peers)
        };
        let departed: Vec<EndpointId> = self
            .absences
            .iter()
            .filter(|(name, absence)| has_left(name, absence))
            .map(|(name, _)| name.clone())
            .collect();
        self.absences.retain(|name, _| !departed.contains(name));
        departed
    }

    /// Returns whether answers of other nodes show that this node is not the one that is cut off.
    fn is_confirmed(&self, name: &EndpointId, since: Time, peers: &[Peer]) -> bool {
        let Some(peer) = peers.iter().find(|peer| peer.name == *name) else { return false };
        let has_neighbor = peers
            .iter()
            .any(|other| other.name != *name && other.failure_domain == peer.failure_domain);
        let is_answer = |(at, other): &(Time, EndpointId)| *at >= since && other != name;
        match has_neighbor {
            true => self.last_answers.get(&peer.failure_domain).is_some_and(is_answer),
            false => self.last_answers.values().any(is_answer),
        }
    }

    /// Forgets all absences, after this process was suspended.
    pub fn restart(&mut self) {
        self.absences.clear();
    }
}

fn hash(node: &str, peer: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{node}/{peer}").as_bytes())
}
