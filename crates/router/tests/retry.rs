//! Return of a crowd that was refused at once, replayed against a model of a group that serves a
//! fixed number of statements in each interval.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackbend_router::admission::retry::Crowd;

const START: Duration = Duration::from_secs(50);
const INTERVAL_MS: u64 = 20;
/// Statements that the group serves in an interval: 200 a second.
const CAPACITY: usize = 4;
/// Statements that arrive in each interval besides the crowd.
const USUAL_LOAD: usize = 2;
const MIN_DELAY: Duration = Duration::from_millis(100);

/// Result of a replay.
#[derive(Debug, PartialEq, Eq)]
struct Outcome {
    /// Refusals after the outage.
    refused_again: usize,
    /// Most statements that arrived in one interval.
    peak: usize,
    /// Time until the last of the crowd was served.
    served_after_ms: u64,
}

/// Replays an outage of half a second, in which all statements are refused, and the time after it.
/// `delay` returns the delay of a refused statement.
fn replay(mut delay: impl FnMut(&mut Crowd, Duration, u64) -> Duration) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut crowd = Crowd::default();
    let mut arrivals: BTreeMap<u64, usize> = BTreeMap::new();
    let mut outcome = Outcome { refused_again: 0, peak: 0, served_after_ms: 0 };
    for interval in 0..500_u64 {
        let now = START + Duration::from_millis(interval * INTERVAL_MS);
        let is_out = (150..175).contains(&interval);
        let returned = arrivals.remove(&interval).unwrap_or_default();
        let arrived = returned + USUAL_LOAD * if is_out { 8 } else { 1 };
        let served = if is_out { 0 } else { arrived.min(CAPACITY) };
        (0..served).for_each(|_| crowd.record_served(now));
        for _ in served..arrived {
            let delay = delay(&mut crowd, now, random.random());
            let return_at = interval + (delay.as_millis() as u64 / INTERVAL_MS).max(1);
            *arrivals.entry(return_at).or_default() += 1;
        }
        if interval >= 175 {
            outcome.peak = outcome.peak.max(arrived);
            outcome.refused_again += arrived - served;
            if returned > 0 {
                outcome.served_after_ms = (interval - 175) * INTERVAL_MS;
            }
        }
    }
    outcome
}

/// Guards against a crowd that returns all at once: with one delay for all, it is refused many times.
#[test]
fn refused_crowd_returns_at_the_rate_of_service() {
    let constant = replay(|_, _, _| MIN_DELAY);
    let spread = replay(|crowd, now, key| crowd.refuse(now, MIN_DELAY, key));
    insta::assert_debug_snapshot!((&constant, &spread), @r"
    (
        Outcome {
            refused_again: 7800,
            peak: 82,
            served_after_ms: 3980,
        },
        Outcome {
            refused_again: 554,
            peak: 16,
            served_after_ms: 4720,
        },
    )
    ");
    assert!(spread.refused_again * 2 <= constant.refused_again);
    assert!(spread.peak * 2 <= constant.peak);
}

#[test]
fn single_refusal_is_not_delayed_much() {
    let mut crowd = Crowd::default();
    for step in 0..400 {
        crowd.record_served(START + Duration::from_millis(step * 5));
    }
    let delay = crowd.refuse(START + Duration::from_secs(2), MIN_DELAY, u64::MAX);
    assert!(delay <= MIN_DELAY + Duration::from_millis(10), "{delay:?}");
}
