//! Guards against a lease that a node believes to hold although another node has acquired it: a slow store
//! answered the write that released the lease only after the node had written again to acquire it, and the
//! node took the answer for that of the acquisition.

mod common;

use std::time::Duration;

use common::Node;
use tamarackbend_router::failover::{Ballot, Lease, Record, RecordName};
use tamarackbend_router::message::Role;
use tamarackbend_router::revision::Revision;
use tamarackbend_router::{Action, Event, FetchResult, WriteResult};

/// Time after which the store answers the release, shorter than the time limit of a write.
const RELEASE_ANSWER_DELAY: Duration = Duration::from_millis(480);

/// Store that is slow to answer the release of the lease, after which another node acquires it.
struct Store {
    revision: u64,
    lease: Option<(u64, Lease)>,
    /// Answer to the release, and when it is due.
    release_answer: Option<(Duration, u64)>,
    was_released: bool,
    /// Fencing tokens in the writes of the lease after its release; zero in an acquisition.
    tokens_after_release: Vec<u64>,
}

impl Store {
    fn done(&self) -> WriteResult {
        WriteResult::Done(Revision { era: 0, number: self.revision })
    }

    fn write_lease(&mut self, node: &mut Node, lease: Lease) {
        if self.was_released {
            self.tokens_after_release.push(lease.token);
            node.step(Event::RecordWritten(RecordName::Lease, WriteResult::Conflict));
            return;
        }
        self.revision += 1;
        let is_release = lease.holder.is_empty();
        self.lease = Some((self.revision, lease));
        if is_release {
            self.was_released = true;
            self.release_answer = Some((node.now + RELEASE_ANSWER_DELAY, self.revision));
            node.lose(Some(Role::Primary));
        } else {
            node.step(Event::RecordWritten(RecordName::Lease, self.done()));
            // The primary is back, so the failover ends.
            node.lose(None);
        }
    }

    fn handle(&mut self, node: &mut Node, action: Action) {
        match action {
            Action::FetchRecord(name @ RecordName::Lease) => {
                let result = match &self.lease {
                    Some((number, lease)) => {
                        let revision = Revision { era: 0, number: *number };
                        FetchResult::Found(revision, Record::Lease(lease.clone()))
                    }
                    None => FetchResult::Missing,
                };
                node.step(Event::RecordFetched(name, result));
            }
            Action::FetchRecord(name) => {
                node.step(Event::RecordFetched(name, FetchResult::Missing));
            }
            Action::WriteRecord(name, _, Record::Ballot(ballot)) => {
                self.revision += 1;
                node.step(Event::RecordWritten(name.clone(), self.done()));
                // A further node votes.
                let voters = [&ballot.voters[..], &["node-1".to_owned()]].concat();
                let revision = Revision { era: 0, number: self.revision };
                let ballot = Record::Ballot(Ballot { voters, ..ballot });
                node.step(Event::RecordFetched(name, FetchResult::Found(revision, ballot)));
            }
            Action::WriteRecord(_, _, Record::Lease(lease)) => self.write_lease(node, lease),
            _ => {}
        }
    }
}

#[test]
fn answer_to_a_release_does_not_acquire_the_lease() {
    let mut node = Node::new(3, 1);
    node.run_for(Duration::from_secs(1));
    node.lose(Some(Role::Primary));
    let mut store = Store {
        revision: 10,
        lease: None,
        release_answer: None,
        was_released: false,
        tokens_after_release: Vec::new(),
    };
    let end = node.now + Duration::from_secs(8);
    while node.now < end {
        node.tick();
        if let Some((_, number)) = store.release_answer.take_if(|(at, _)| node.now >= *at) {
            let done = WriteResult::Done(Revision { era: 0, number });
            node.step(Event::RecordWritten(RecordName::Lease, done));
        }
        for action in std::mem::take(&mut node.actions) {
            store.handle(&mut node, action);
        }
    }
    assert!(!store.tokens_after_release.is_empty(), "the lease was not needed again");
    assert!(
        store.tokens_after_release.iter().all(|token| *token == 0),
        "{:?}",
        store.tokens_after_release
    );
}
