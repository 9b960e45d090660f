//! Guards against a lease that expires for other nodes although its holder renews it: renewals had equal
//! contents, for which the store keeps the revision, so another node took the lease over during a failover
//! that lasted longer than the expiry, and the former holder promoted with a lower fencing token.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::Node;
use tamarackbend_router::failover::{Ballot, LEASE_EXPIRY, PromotionAnswer, Record, RecordName};
use tamarackbend_router::message::Role;
use tamarackbend_router::revision::Revision;
use tamarackbend_router::{Action, Event, FetchResult, WriteResult};

/// Store that keeps the revision of a record when a write changes nothing.
#[derive(Debug, Default)]
struct Store {
    records: BTreeMap<RecordName, (u64, Record)>,
    revision: u64,
    /// When the lease was written, and whether its revision rose.
    lease_writes: Vec<(Duration, bool)>,
}

impl Store {
    fn fetch(&self, name: &RecordName) -> FetchResult {
        match self.records.get(name) {
            Some((number, record)) => {
                FetchResult::Found(Revision { era: 0, number: *number }, record.clone())
            }
            None => FetchResult::Missing,
        }
    }

    fn write(&mut self, now: Duration, name: &RecordName, mut record: Record) -> WriteResult {
        // Further nodes vote as this one does.
        if let Record::Ballot(Ballot { voters, .. }) = &mut record {
            voters.extend(["node-1".to_owned(), "node-2".to_owned()]);
        }
        let is_changed = self.records.get(name).is_none_or(|(_, stored)| *stored != record);
        if is_changed {
            self.revision += 1;
            self.records.insert(name.clone(), (self.revision, record));
        }
        if *name == RecordName::Lease {
            self.lease_writes.push((now, is_changed));
        }
        WriteResult::Done(Revision { era: 0, number: self.records[name].0 })
    }

    /// Serves `node` for `time`. Promotions get no answer, so the failover goes on.
    fn serve(&mut self, node: &mut Node, time: Duration) {
        let end = node.now + time;
        while node.now < end {
            node.tick();
            for action in std::mem::take(&mut node.actions) {
                let event = match action {
                    Action::FetchRecord(name) => {
                        let result = self.fetch(&name);
                        Event::RecordFetched(name, result)
                    }
                    Action::WriteRecord(name, _, record) => {
                        let result = self.write(node.now, &name, record);
                        Event::RecordWritten(name, result)
                    }
                    Action::Promote { service, .. } => {
                        Event::PromotionAnswered(service, PromotionAnswer::Unknown)
                    }
                    _ => continue,
                };
                node.step(event);
            }
        }
    }
}

#[test]
fn every_renewal_changes_the_record() {
    let mut node = Node::new(3, 1);
    node.run_for(Duration::from_secs(1));
    node.lose(Some(Role::Primary));
    let mut store = Store::default();
    store.serve(&mut node, LEASE_EXPIRY * 2);
    let [(first, _), .., (last, _)] = store.lease_writes[..] else {
        panic!("the lease was written {} times", store.lease_writes.len());
    };
    assert!(last > first + LEASE_EXPIRY, "the lease was held for {:?} only", last - first);
    assert!(store.lease_writes.iter().all(|(_, is_changed)| *is_changed), "{store:?}");
}
