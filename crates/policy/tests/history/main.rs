//! Generated histories with faults, judged by a naive version of the system.
//!
//! The naive version is one copy of the data that never fails: it has every acknowledged write,
//! none that was not run, and each row once. Every result that a caller saw must be one that it
//! allows. Run more histories with `HISTORIES=2000 cargo test -p tamarackbend-policy --test history`.

mod callers;
mod fakes;
mod world;

use std::collections::BTreeSet;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use tamarackbend_policy::owner::Guards;
use world::{ENDPOINTS, Fault, OWNERS, World};

/// Histories that a test generates unless the environment says otherwise.
const HISTORIES: u64 = 60;
/// Further histories, each of which once broke a promise.
const KEPT: &[u64] = &[443, 825];
/// Bytes of choices for one history.
const SIZE: u64 = 4096;
/// Simulated time under load.
const LOAD: Duration = Duration::from_secs(20);

fn histories() -> u64 {
    std::env::var("HISTORIES").ok().and_then(|text| text.parse().ok()).unwrap_or(HISTORIES)
}

/// Returns the histories to judge: the one that `HISTORY` names, or all.
fn selected() -> Vec<u64> {
    let only = std::env::var("HISTORY").ok().and_then(|text| text.parse().ok());
    only.map_or_else(
        || (1..=histories()).chain(KEPT.iter().copied()).collect(),
        |history| vec![history],
    )
}

fn fault(u: &mut Unstructured<'_>) -> Result<Fault> {
    let endpoint = u.choose_index(ENDPOINTS)?;
    let owner = u.choose_index(OWNERS)?;
    Ok(match u.int_in_range(0..=9)? {
        0 | 1 => Fault::Crash(endpoint),
        2 | 3 => Fault::Isolate(endpoint),
        4 => Fault::Lag(endpoint, Duration::from_millis(u.int_in_range(50..=4000)?)),
        5 => Fault::Cut(owner, endpoint),
        6 => Fault::Pause(owner),
        7 => Fault::Outage,
        8 => Fault::LoseAnswers(u.int_in_range(1..=3)?),
        _ => Fault::Leave(endpoint),
    })
}

fn plan_faults(world: &mut World, u: &mut Unstructured<'_>) -> Result<()> {
    for _ in 0..u.int_in_range(1..=8)? {
        let at = Duration::from_millis(u.int_in_range(0..=15_000)?);
        let length = Duration::from_millis(u.int_in_range(200..=6000)?);
        let fault = fault(u)?;
        world.plan(at, length, fault);
    }
    Ok(())
}

/// Runs one history and returns the promises that it broke.
fn violations(u: &mut Unstructured<'_>, guards: Guards) -> Result<BTreeSet<String>> {
    let mut world = World::new(u.arbitrary()?, guards);
    plan_faults(&mut world, u)?;
    world.run(LOAD);
    world.settle();
    let rows = world.primary().map(|primary| primary.rows()).unwrap_or_default();
    let kept: BTreeSet<u64> = rows.iter().copied().collect();
    let record = &mut world.record;
    let mut judge = |holds: bool, promise: &str| {
        if !holds {
            record.violations.insert(promise.to_owned());
        }
    };
    judge(world.platform.group.primary.is_some(), "a primary is found again");
    judge(kept.len() == rows.len(), "written twice");
    judge(record.acknowledged.is_subset(&kept), "acknowledged write is lost");
    judge(record.not_run.is_disjoint(&kept), "not run but written");
    judge(record.reads > 0, "reads are answered");
    Ok(std::mem::take(&mut record.violations))
}

fn seed(history: u64) -> u64 {
    (history.wrapping_mul(0x9e37_79b9) << 32) | SIZE
}

fn find(guards: Guards, promise: &str) -> Option<u64> {
    (1..=histories() * 10).find(|history| {
        let mut found = false;
        arbtest(|u| {
            found = violations(u, guards)?.iter().any(|violation| violation == promise);
            Ok(())
        })
        .seed(seed(*history));
        found
    })
}

#[test]
fn every_history_is_one_that_the_naive_version_allows() {
    for history in selected() {
        arbtest(|u| {
            let violations = violations(u, Guards::default())?;
            assert!(violations.is_empty(), "history {history}: {violations:?}");
            Ok(())
        })
        .seed(seed(history));
    }
}

#[test]
fn histories_exercise_what_they_judge() {
    let mut totals = [0; 6];
    for history in 1..=10 {
        arbtest(|u| {
            let mut world = World::new(u.arbitrary()?, Guards::default());
            plan_faults(&mut world, u)?;
            world.run(LOAD);
            world.settle();
            let record = &world.record;
            totals[0] += record.acknowledged.len() as u64;
            totals[1] += record.not_run.len() as u64;
            totals[2] += record.unknown.len() as u64;
            totals[3] += record.reads;
            totals[4] += record.promotions;
            totals[5] += world.endpoints.iter().map(|e| e.status.incarnation - 1).sum::<u64>();
            Ok(())
        })
        .seed(seed(history));
    }
    let [acknowledged, not_run, unknown, reads, promotions, truncated] = totals;
    insta::assert_snapshot!(format!(
        "acknowledged {acknowledged}\nnot run {not_run}\nunknown {unknown}\nreads {reads}\n\
         promotions {promotions}\nrestarts and truncations {truncated}"
    ));
}

#[test]
fn checker_finds_reads_without_floors() {
    let guards = Guards { check_floors: false, ..Guards::default() };
    assert!(find(guards, "read misses own write").is_some());
}

#[test]
fn checker_finds_acknowledgement_at_commit() {
    let guards = Guards { await_majority: false, ..Guards::default() };
    assert!(find(guards, "acknowledged write is lost").is_some());
}

#[test]
fn checker_finds_confirmation_without_fence() {
    let guards = Guards { check_term: false, ..Guards::default() };
    assert!(find(guards, "acknowledged write is lost").is_some());
}

#[test]
fn checker_finds_retry_after_dispatch() {
    let guards = Guards { dispatch_writes_once: false, ..Guards::default() };
    assert!(find(guards, "written twice").is_some());
}

#[test]
fn checker_finds_repeated_statements() {
    let guards = Guards { reject_duplicates: false, ..Guards::default() };
    assert!(find(guards, "written twice").is_some());
}

#[test]
fn checker_finds_shared_transactions() {
    let guards = Guards { pin_transactions: false, ..Guards::default() };
    assert!(find(guards, "transactions mix").is_some());
}
