//! Endpoints of a store that was restored from an older copy.

use std::time::Duration;

use tamarackbend_router::directory::{Change, Directory, Effect, Entry};
use tamarackbend_router::message::Role;
use tamarackbend_router::settings::MISSING_ENTRY_GRACE;

const START: Duration = Duration::from_secs(50);

fn entry(is_draining: bool, incarnation: u64) -> Entry {
    Entry {
        id: "endpoint-a".into(),
        service: "leases".into(),
        address: ([127, 0, 0, 1], 5432).into(),
        failure_domain: "a".to_owned(),
        leaving: is_draining,
        role: Role::Replica,
        incarnation,
    }
}

fn with_entry(is_draining: bool) -> Directory {
    let mut directory = Directory::default();
    directory.apply(START, Change::Present(entry(is_draining, 1)));
    directory
}

/// Guards against new work for an endpoint that is about to stop: the restored store shows its entry
/// from before it reported that it was draining.
#[test]
fn draining_endpoint_stays_draining_after_a_restoration() {
    let mut directory = with_entry(true);
    directory.on_store_restored(START);
    assert_eq!(directory.apply(START, Change::Snapshot(vec![entry(false, 1)])), []);
    // The endpoint reports again.
    let later = START + MISSING_ENTRY_GRACE / 2;
    assert_eq!(directory.apply(later, Change::Present(entry(true, 1))), []);
    assert_eq!(directory.expire(START + MISSING_ENTRY_GRACE), []);
}

#[test]
fn endpoint_that_does_not_report_its_drain_again_is_ready() {
    let mut directory = with_entry(true);
    directory.on_store_restored(START);
    directory.apply(START, Change::Present(entry(false, 1)));
    assert_eq!(directory.expire(START + MISSING_ENTRY_GRACE / 2), []);
    let effects = directory.expire(START + MISSING_ENTRY_GRACE);
    assert_eq!(effects, [Effect::Updated(entry(false, 1))]);
}

/// Guards against an endpoint that left: the restored store lists it as ready again.
#[test]
fn endpoint_that_left_does_not_come_back() {
    let mut directory = with_entry(true);
    directory.apply(START, Change::Absent("endpoint-a".into()));
    let gone_at = START + MISSING_ENTRY_GRACE;
    assert_eq!(directory.expire(gone_at), [Effect::Removed(entry(true, 1))]);
    directory.on_store_restored(gone_at);
    assert_eq!(directory.apply(gone_at, Change::Snapshot(vec![entry(false, 1)])), []);
    // The same endpoint in a new process is another matter.
    let effects = directory.apply(gone_at, Change::Present(entry(false, 2)));
    assert_eq!(effects, [Effect::Updated(entry(false, 2))]);
}

/// Guards against the removal of an endpoint whose entry is among the changes that were lost.
#[test]
fn entries_that_the_store_lost_get_a_new_grace_period() {
    let mut directory = with_entry(false);
    directory.apply(START, Change::Snapshot(Vec::new()));
    let restored_at = START + MISSING_ENTRY_GRACE * 3 / 4;
    directory.on_store_restored(restored_at);
    assert_eq!(directory.expire(START + MISSING_ENTRY_GRACE), []);
    let effects = directory.expire(restored_at + MISSING_ENTRY_GRACE);
    assert_eq!(effects, [Effect::Removed(entry(false, 1))]);
}
