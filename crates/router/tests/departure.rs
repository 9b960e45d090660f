//! Detection of nodes that have left, with the probes of a whole fleet played.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tamarackbend_router::departure::Detector;
use tamarackbend_router::membership::Peer;
use tamarackbend_router::message::EndpointId;

const START: Duration = Duration::from_secs(50);
const STEP: Duration = Duration::from_millis(500);

fn peer(name: &str, domain: &str) -> Peer {
    Peer {
        name: name.into(),
        failure_domain: domain.to_owned(),
        address: ([127, 0, 0, 1], 7440).into(),
        weight: 170,
    }
}

/// Fleet of six nodes in two failure domains.
fn fleet() -> Vec<Peer> {
    ["a-1", "a-2", "a-3", "b-1", "b-2", "b-3"].map(|name| peer(name, &name[..1])).to_vec()
}

/// Removals of records that each probing node asks for, with their times.
type Removals = Vec<(u64, String, EndpointId)>;

/// Plays the probes of `probing` nodes for `seconds`. `answers` returns whether a node answers a probe of
/// another one at a second. The list of nodes stays as it is, as if no record were removed.
fn play(
    peers: &[Peer],
    probing: &[&str],
    seconds: u64,
    answers: impl Fn(&str, &str, u64) -> bool,
) -> Removals {
    let mut detectors: BTreeMap<&str, Detector> =
        probing.iter().map(|node| (*node, Detector::default())).collect();
    let mut removals = Vec::new();
    let mut now = START;
    while now < START + Duration::from_secs(seconds) {
        let second = (now - START).as_secs();
        for (node, detector) in &mut detectors {
            for peer in detector.due_probes(now, node, peers) {
                let has_answered = answers(node, &peer.name, second);
                detector.record(now, &peer, has_answered);
            }
            let departed = detector.departed(now, node, peers);
            removals.extend(departed.into_iter().map(|name| (second, (*node).to_owned(), name)));
        }
        now += STEP;
    }
    removals
}

fn removed(removals: &Removals) -> BTreeSet<&str> {
    removals.iter().map(|(_, _, name)| &**name).collect()
}

#[test]
fn node_that_is_gone_is_removed() {
    let removals = play(&fleet(), &["a-1", "b-1"], 40, |_, peer, _| peer != "a-2");
    insta::assert_debug_snapshot!(removals, @r#"
    [
        (
            22,
            "b-1",
            "a-2",
        ),
        (
            23,
            "a-1",
            "a-2",
        ),
    ]
    "#);
}

/// Again and again a node does not answer for twelve seconds.
#[test]
fn node_that_restarts_or_is_cut_off_for_a_while_is_kept() {
    let removals =
        play(&fleet(), &["a-1", "b-1"], 120, |_, peer, second| peer != "a-2" || second % 16 >= 12);
    assert_eq!(removals, []);
}

/// Guards against a node that removes the records of all others because it is itself cut off.
#[test]
fn node_that_is_cut_off_removes_nobody() {
    let removals = play(&fleet(), &["a-1"], 120, |_, _, _| false);
    assert_eq!(removals, []);
}

/// Guards against two sides of a partition that remove the records of each other again and again.
#[test]
fn failure_domains_that_are_apart_remove_nobody() {
    let removals = play(&fleet(), &["a-1", "b-1"], 120, |node, peer, _| node[..1] == peer[..1]);
    assert_eq!(removals, []);
}

/// The only node of a failure domain is removed if any other node answers.
#[test]
fn last_node_of_a_failure_domain_is_removed() {
    let mut peers = fleet();
    peers.push(peer("c-1", "c"));
    let removals = play(&peers, &["a-1"], 60, |_, peer, _| peer != "c-1");
    assert_eq!(removed(&removals), BTreeSet::from(["c-1"]));
}

/// A node that is replaced under its name is missed anew at its new address.
#[test]
fn absence_ends_with_the_address() {
    let mut peers = fleet();
    let mut detector = Detector::default();
    let mut now = START;
    for second in 0..40 {
        if second == 18 {
            peers[1].address = ([127, 0, 0, 1], 7441).into();
        }
        for peer in detector.due_probes(now, "a-1", &peers) {
            detector.record(now, &peer, *peer.name != *"a-2");
        }
        let departed = detector.departed(now, "a-1", &peers);
        assert!(departed.is_empty() || second >= 38, "{departed:?} at {second}");
        now += Duration::from_secs(1);
    }
}

/// A fleet whose machines were all replaced once, and half of them twice, gets rid of their records.
#[test]
fn records_of_a_replaced_fleet_are_removed() {
    let running: Vec<String> = (0..20).map(|n| format!("new-{n}")).collect();
    let mut peers: Vec<Peer> = running.iter().map(|name| peer(name, &name[4..5])).collect();
    peers.extend((0..31).map(|n| format!("old-{n}")).map(|name| peer(&name, &name[4..5])));
    let probing: Vec<&str> = running.iter().map(String::as_str).collect();
    let removals = play(&peers, &probing, 60, |_, peer, _| peer.starts_with("new"));
    assert!(removed(&removals).iter().all(|name| name.starts_with("old")), "{removals:?}");
    assert_eq!(removed(&removals).len(), 31);
}
