//! Votes on many primaries that are lost at once.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::Node;
use tamarackbend_router::failover::RecordName;
use tamarackbend_router::message::Role;
use tamarackbend_router::{Action, Event, FetchResult};

const SERVICES: usize = 20;

/// Store that answers the reads of a node late.
#[derive(Default)]
struct Store {
    /// Reads of ballots that are not answered, with the time of each.
    pending: Vec<(Duration, RecordName)>,
    services: BTreeSet<String>,
    most_pending: usize,
    reads: usize,
}

impl Store {
    /// Serves `node` for `time`: each read ends with `result` after `delay`.
    fn serve(&mut self, node: &mut Node, time: Duration, delay: Duration, result: &FetchResult) {
        let end = node.now + time;
        while node.now < end {
            node.tick();
            for action in std::mem::take(&mut node.actions) {
                let Action::FetchRecord(name @ RecordName::Ballot(_)) = action else { continue };
                if let RecordName::Ballot(service) = &name {
                    self.services.insert(service.to_string());
                }
                self.reads += 1;
                self.pending.push((node.now, name));
            }
            self.most_pending = self.most_pending.max(self.pending.len());
            let answered = self.pending.extract_if(.., |(at, _)| node.now >= *at + delay);
            for (_, name) in answered.collect::<Vec<_>>() {
                node.step(Event::RecordFetched(name, result.clone()));
            }
        }
    }
}

fn node_without_primaries() -> Node {
    let mut node = Node::new(1, SERVICES);
    node.run_for(Duration::from_secs(1));
    node.lose(Some(Role::Primary));
    node
}

/// Guards against reads without bound: each of twenty failovers read its ballot every 80 ms, whether
/// or not the store answered, and hundreds of reads held sockets and memory for a second each.
#[test]
fn reads_of_a_silent_store_are_bounded() {
    let mut node = node_without_primaries();
    let mut store = Store::default();
    let second = Duration::from_secs(1);
    store.serve(&mut node, second * 10, second, &FetchResult::Failed);
    assert!(store.most_pending <= 4, "{} reads were unanswered at once", store.most_pending);
    assert!(store.reads <= 45, "{} reads in ten seconds", store.reads);
}

/// All failovers still make progress within the time that a failover of one group takes.
#[test]
fn every_ballot_is_read_soon_when_the_store_answers() {
    let mut node = node_without_primaries();
    let mut store = Store::default();
    let delay = Duration::from_millis(10);
    store.serve(&mut node, Duration::from_millis(300), delay, &FetchResult::Missing);
    assert_eq!(store.services.len(), SERVICES);
}
