//! Generated histories with faults, checked against a reference model of the system.
//!
//! The model is one copy of the data that never fails: it contains every acknowledged write, no
//! write that was reported as not run, and each row once. Every result that a client sees must be
//! one that the model allows. Run more histories with
//! `HISTORIES=2000 cargo test -p tamarackbend-policy --test history`.

mod clients;
mod fakes;
mod simulation;

use std::collections::BTreeSet;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use simulation::{ENDPOINTS, Fault, OWNERS, Simulation};
use tamarackbend_policy::owner::Guards;

/// Number of generated histories, unless the environment variable `HISTORIES` sets another.
const HISTORIES: u64 = 60;
/// Numbers of further histories that each exposed a violation of a guarantee in an earlier version.
const REGRESSIONS: &[u64] = &[443, 825];
/// Number of random bytes that one history is generated from.
const BYTES_PER_HISTORY: u64 = 4096;
/// Simulated time for which the clients submit operations.
const LOAD_DURATION: Duration = Duration::from_secs(20);

fn history_count() -> u64 {
    std::env::var("HISTORIES").ok().and_then(|text| text.parse().ok()).unwrap_or(HISTORIES)
}

/// Returns the numbers of the histories to check: the one in the environment variable `HISTORY`, or
/// all.
fn selected_histories() -> Vec<u64> {
    let only = std::env::var("HISTORY").ok().and_then(|text| text.parse().ok());
    only.map_or_else(
        || (1..=history_count()).chain(REGRESSIONS.iter().copied()).collect(),
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
        5 => Fault::BlockLink(owner, endpoint),
        6 => Fault::Pause(owner),
        7 => Fault::Outage,
        8 => Fault::LoseAnswers(u.int_in_range(1..=3)?),
        _ => Fault::Drain(endpoint),
    })
}

fn schedule_faults(simulation: &mut Simulation, u: &mut Unstructured<'_>) -> Result<()> {
    for _ in 0..u.int_in_range(1..=8)? {
        let at = Duration::from_millis(u.int_in_range(0..=15_000)?);
        let length = Duration::from_millis(u.int_in_range(200..=6000)?);
        let fault = fault(u)?;
        simulation.schedule_fault(at, length, fault);
    }
    Ok(())
}

/// Runs one history and returns the guarantees that were violated.
fn violations(u: &mut Unstructured<'_>, guards: Guards) -> Result<BTreeSet<String>> {
    let mut simulation = Simulation::new(u.arbitrary()?, guards);
    schedule_faults(&mut simulation, u)?;
    simulation.run(LOAD_DURATION);
    simulation.settle();
    let rows = simulation.primary().map(|primary| primary.rows()).unwrap_or_default();
    let distinct_rows: BTreeSet<u64> = rows.iter().copied().collect();
    let outcomes = &mut simulation.outcomes;
    let mut check = |holds: bool, violation: &str| {
        if !holds {
            outcomes.violations.insert(violation.to_owned());
        }
    };
    check(simulation.platform.group.primary.is_some(), "no primary after the faults");
    check(distinct_rows.len() == rows.len(), "row is written twice");
    check(outcomes.acknowledged.is_subset(&distinct_rows), "acknowledged write is lost");
    check(outcomes.not_run.is_disjoint(&distinct_rows), "write reported as not run is stored");
    check(outcomes.reads > 0, "no read is answered");
    Ok(std::mem::take(&mut outcomes.violations))
}

fn seed(history: u64) -> u64 {
    (history.wrapping_mul(0x9e37_79b9) << 32) | BYTES_PER_HISTORY
}

/// Returns the number of the first history with the violation when run with `guards`.
fn find_violation(guards: Guards, expected: &str) -> Option<u64> {
    (1..=history_count() * 10).find(|history| {
        let mut is_violated = false;
        arbtest(|u| {
            is_violated = violations(u, guards)?.iter().any(|violation| violation == expected);
            Ok(())
        })
        .seed(seed(*history));
        is_violated
    })
}

#[test]
fn every_history_matches_the_reference_model() {
    for history in selected_histories() {
        arbtest(|u| {
            let violations = violations(u, Guards::default())?;
            assert!(violations.is_empty(), "history {history}: {violations:?}");
            Ok(())
        })
        .seed(seed(history));
    }
}

/// Guards against a change after which the histories no longer write, fail over or truncate logs.
#[test]
fn histories_exercise_every_judged_behavior() {
    let mut totals = [0; 6];
    for history in 1..=10 {
        arbtest(|u| {
            let mut simulation = Simulation::new(u.arbitrary()?, Guards::default());
            schedule_faults(&mut simulation, u)?;
            simulation.run(LOAD_DURATION);
            simulation.settle();
            let outcomes = &simulation.outcomes;
            totals[0] += outcomes.acknowledged.len() as u64;
            totals[1] += outcomes.not_run.len() as u64;
            totals[2] += outcomes.unknown.len() as u64;
            totals[3] += outcomes.reads;
            totals[4] += outcomes.promotions;
            totals[5] += simulation.endpoints.iter().map(|e| e.status.incarnation - 1).sum::<u64>();
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
    assert!(find_violation(guards, "read misses own write").is_some());
}

#[test]
fn checker_finds_acknowledgement_at_commit() {
    let guards = Guards { await_majority: false, ..Guards::default() };
    assert!(find_violation(guards, "acknowledged write is lost").is_some());
}

#[test]
fn checker_finds_confirmation_without_fence() {
    let guards = Guards { check_term: false, ..Guards::default() };
    assert!(find_violation(guards, "acknowledged write is lost").is_some());
}

#[test]
fn checker_finds_retry_after_dispatch() {
    let guards = Guards { dispatch_writes_once: false, ..Guards::default() };
    assert!(find_violation(guards, "row is written twice").is_some());
}

#[test]
fn checker_finds_repeated_statements() {
    let guards = Guards { reject_duplicates: false, ..Guards::default() };
    assert!(find_violation(guards, "row is written twice").is_some());
}

#[test]
fn checker_finds_shared_transactions() {
    let guards = Guards { pin_transactions: false, ..Guards::default() };
    assert!(find_violation(guards, "sessions share a transaction").is_some());
}
