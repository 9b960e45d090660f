//! State of an owner for the node's state dump.

use std::collections::BTreeMap;
use std::time::Duration;

use tamarackbend_policy::failover::Timeline;
use tamarackbend_policy::owner::Owner;

use crate::hub::OwnerState;

/// Returns the state of an owner.
pub(super) fn owner_state(owner: &Owner, is_retired: bool) -> OwnerState {
    let counters = owner.counters();
    let (waiting, running) = owner.statement_counts();
    let (promotions, timeline) = owner.last_failover();
    OwnerState {
        term: owner.group().map_or(0, |group| group.term),
        primary: owner.group().and_then(|group| group.primary),
        phase: owner.failover_phase().to_owned(),
        waiting,
        running,
        connections: owner.connection_counts(),
        statuses: owner.statuses(),
        replica_reads: counters.replica_reads,
        primary_reads: counters.primary_reads,
        writes: counters.writes,
        not_run: counters.not_run,
        unknown: counters.unknown,
        retries: counters.retries,
        probes: counters.probes,
        confirm_lag_us: micros(owner.confirmation_lag()),
        slot_time_us: owner
            .slot_times()
            .into_iter()
            .map(|(club, time)| (club, micros(time)))
            .collect(),
        promotions,
        last_failover_ms: failover_step_times(promotions, &timeline),
        retired: is_retired,
    }
}

/// Returns the duration of each step of the last failover, in milliseconds.
fn failover_step_times(promotions: u64, timeline: &Timeline) -> BTreeMap<String, u64> {
    if promotions == 0 {
        return BTreeMap::new();
    }
    let ms = |from: Duration, to: Duration| micros(to.saturating_sub(from)) / 1000;
    [
        ("detect", ms(timeline.last_seen, timeline.suspected)),
        ("agree", ms(timeline.suspected, timeline.agreed)),
        ("claim", ms(timeline.agreed, timeline.claimed)),
        ("close", ms(timeline.claimed, timeline.fenced)),
        ("record", ms(timeline.fenced, timeline.recorded)),
        ("promote", ms(timeline.recorded, timeline.promoted)),
    ]
    .into_iter()
    .map(|(step, time)| (step.to_owned(), time))
    .collect()
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
