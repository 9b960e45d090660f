//! Replays of demand above capacity, with refusal at the deadline and with refusal of hopeless work.

use std::time::Duration;

use tamarackbend_router::admission::wait::{Estimator, Kind};
use tamarackbend_router::message::EndpointId;

const START: Duration = Duration::from_secs(50);
const TIME_LIMIT: u64 = 3_000;
/// Waiting time after which a statement is late and goes after those on time.
const LATE_AFTER: u64 = 180;
const SERVICE_MS: u64 = 10;
/// Statements that the endpoints run at once, fewer than the connections that the node may have.
const SLOTS: usize = 8;
const CONNECTIONS: usize = 18;
const CHECK_INTERVAL: u64 = 100;

#[derive(Debug, Default, PartialEq)]
struct Outcome {
    served: usize,
    refused: usize,
    mean_ms_to_refusal: u64,
}

/// Replays `length` milliseconds, followed by three seconds without arrivals. `arrivals` returns the
/// number of statements that arrive in a millisecond, `slots` how many run at once.
fn replay(
    length: u64,
    arrivals: impl Fn(u64) -> usize,
    slots: impl Fn(u64) -> usize,
    estimates: bool,
) -> Outcome {
    let endpoint: EndpointId = "a".into();
    let mut estimator = Estimator::default();
    let mut queue: Vec<u64> = Vec::new();
    let mut running: Vec<u64> = Vec::new();
    let mut outcome = Outcome::default();
    let mut refused_ms = 0;
    for now in 0..length + TIME_LIMIT {
        let time = START + Duration::from_millis(now);
        let (ended, left): (Vec<u64>, Vec<u64>) =
            running.into_iter().partition(|ends_at| now >= *ends_at);
        running = left;
        for _ in ended {
            let service_time = Duration::from_millis(SERVICE_MS);
            estimator.record_answer(Kind::Any, &endpoint, service_time);
            outcome.served += 1;
        }
        let arriving = if now < length { arrivals(now) } else { 0 };
        queue.extend(std::iter::repeat_n(now, arriving));
        queue.sort_by_key(|arrived_at| (now >= arrived_at + LATE_AFTER, *arrived_at));
        while running.len() < slots(now) && !queue.is_empty() {
            queue.remove(0);
            running.push(now + SERVICE_MS);
        }
        estimator.observe(time, Kind::Any, !queue.is_empty());
        let pace = estimator.pace(time, Kind::Any, &[(endpoint.clone(), CONNECTIONS)]);
        let pace = pace.filter(|_| estimates && now.is_multiple_of(CHECK_INTERVAL));
        let mut ahead = 0;
        queue.retain(|arrived_at| {
            let time_left = Duration::from_millis((arrived_at + TIME_LIMIT).saturating_sub(now));
            let is_hopeless = pace.is_some_and(|pace| pace.wait(ahead, running.len()) > time_left);
            if is_hopeless || time_left.is_zero() {
                outcome.refused += 1;
                refused_ms += now - arrived_at;
                return false;
            }
            ahead += 1;
            true
        });
    }
    outcome.mean_ms_to_refusal = refused_ms / (outcome.refused as u64).max(1);
    outcome
}

/// Guards against clients that wait until the deadline for a refusal which was certain before.
#[test]
fn hopeless_work_is_refused_before_its_deadline() {
    // Six statements a millisecond for one second; 2.2 times the capacity for 12 s; and usual load
    // while the group runs a quarter of its statements for 6 s.
    let burst = |now: u64| {
        if (2_000..3_000).contains(&now) { 6 } else { usize::from(now.is_multiple_of(2)) }
    };
    let steady = |now: u64| 2 - usize::from(now % 4 == 3 && now > 0);
    let usual = |_| SLOTS;
    let fewer = |now| if (2_000..8_000).contains(&now) { SLOTS / 4 } else { SLOTS };
    let half = |now: u64| usize::from(now.is_multiple_of(2));
    let at_deadline = [
        replay(8_000, burst, usual, false),
        replay(12_000, steady, usual, false),
        replay(12_000, half, fewer, false),
    ];
    let at_once = [
        replay(8_000, burst, usual, true),
        replay(12_000, steady, usual, true),
        replay(12_000, half, fewer, true),
    ];
    for (naive, estimating) in at_deadline.iter().zip(&at_once) {
        assert!(estimating.served >= naive.served, "{naive:?} {estimating:?}");
    }
    insta::assert_debug_snapshot!((at_deadline, at_once), @r"
    (
        [
            Outcome {
                served: 5201,
                refused: 4299,
                mean_ms_to_refusal: 3000,
            },
            Outcome {
                served: 11992,
                refused: 9000,
                mean_ms_to_refusal: 3000,
            },
            Outcome {
                served: 5048,
                refused: 952,
                mean_ms_to_refusal: 3000,
            },
        ],
        [
            Outcome {
                served: 5201,
                refused: 4299,
                mean_ms_to_refusal: 1882,
            },
            Outcome {
                served: 11992,
                refused: 9000,
                mean_ms_to_refusal: 2855,
            },
            Outcome {
                served: 5048,
                refused: 952,
                mean_ms_to_refusal: 2858,
            },
        ],
    )
    ");
}
