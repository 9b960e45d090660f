//! One customer that sends several times its usual load, replayed against a model of a group with
//! twelve slots.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackbend_router::admission::queue::{Kind, Queue, Work};
use tamarackbend_router::customer::CustomerName;

const START: Duration = Duration::from_secs(50);
const SLOTS: usize = 12;
const CUSTOMERS: usize = 77;
/// Share of the slots that all customers usually need.
const USUAL_LOAD: f64 = 0.9;
/// Share of all operations, slot time, objective and time limit of each kind of operation, in
/// milliseconds.
const OPERATIONS: [(f64, u64, u64, u64); 3] =
    [(0.134, 3, 250, 3000), (0.234, 15, 500, 5000), (0.632, 9, 1000, 3000)];
/// Time in milliseconds in which the customer sends more.
const SURGE: std::ops::Range<u64> = 5_000..25_000;

/// Operations that arrived in the surge and met their objective, in percent.
#[derive(Debug)]
struct Outcome {
    others: f64,
    surging: f64,
}

/// Replays thirty seconds in which the customer with the size rank `surging` sends five times its
/// usual load.
fn replay(surging: usize, is_fair: bool) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let sizes: Vec<f64> = (1..=CUSTOMERS).map(|rank| (rank as f64).powf(-1.2)).collect();
    let names: Vec<CustomerName> = (0..CUSTOMERS).map(|rank| format!("c{rank}").into()).collect();
    let total: f64 = sizes.iter().sum();
    let slot_ms: f64 = OPERATIONS.iter().map(|(share, slot_ms, ..)| share * *slot_ms as f64).sum();
    let usual_rate = USUAL_LOAD * SLOTS as f64 / slot_ms;
    let mut queue = Queue::default();
    let mut operations: Vec<(u64, usize, usize)> = Vec::new();
    let mut running: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    let mut free_slots = SLOTS;
    let mut arrived = [0_u32; 2];
    let mut in_time = [0_u32; 2];
    let mut next_arrival = 0.0;
    for ms in 0..30_000 {
        let now = START + Duration::from_millis(ms);
        for id in running.remove(&ms).unwrap_or_default() {
            let (arrived_ms, rank, kind) = operations[id];
            free_slots += 1;
            let (_, slot_ms, objective_ms, _) = OPERATIONS[kind];
            let customer = is_fair.then(|| names[rank].clone());
            queue.record_answered(now, &customer, Duration::from_millis(slot_ms));
            let is_met = ms - arrived_ms <= objective_ms && SURGE.contains(&arrived_ms);
            in_time[usize::from(rank == surging)] += u32::from(is_met);
        }
        let factor = if SURGE.contains(&ms) { 5.0 } else { 1.0 };
        let size = |rank: usize| if rank == surging { sizes[rank] * factor } else { sizes[rank] };
        let sum: f64 = (0..CUSTOMERS).map(size).sum();
        while next_arrival <= ms as f64 {
            next_arrival -= (1.0 - random.random::<f64>()).ln() / (usual_rate * sum / total);
            let mut drawn = random.random::<f64>() * sum;
            let rank = (0..CUSTOMERS - 1).find(|rank| {
                drawn -= size(*rank);
                drawn <= 0.0
            });
            let rank = rank.unwrap_or(CUSTOMERS - 1);
            let drawn = random.random::<f64>();
            let kind = if drawn < 0.134 {
                0
            } else if drawn < 0.368 {
                1
            } else {
                2
            };
            let (_, _, objective_ms, timeout_ms) = OPERATIONS[kind];
            let id = operations.len();
            operations.push((ms, rank, kind));
            arrived[usize::from(rank == surging)] += u32::from(SURGE.contains(&ms));
            let (objective, timeout) =
                (Duration::from_millis(objective_ms), Duration::from_millis(timeout_ms));
            let work = Work::new(id as u64, Kind::ReplicaRead, 1, now, objective, timeout)
                .with_customer(is_fair.then(|| names[rank].clone()));
            queue.add(now, work, sizes[rank]);
        }
        queue.start_dispatch(now);
        while free_slots > 0
            && let Some(candidate) = queue.candidate()
        {
            queue.finish(&candidate);
            let id = candidate.work.session as usize;
            let (arrived_ms, _, kind) = operations[id];
            let (_, slot_ms, _, timeout_ms) = OPERATIONS[kind];
            if ms < arrived_ms + timeout_ms {
                queue.record_sent(now, &candidate.work.customer);
                running.entry(ms + slot_ms).or_default().push(id);
                free_slots -= 1;
            }
        }
        queue.end_dispatch();
    }
    let percent = |group: usize| {
        (f64::from(in_time[group]) * 1000.0 / f64::from(arrived[group])).round() / 10.0
    };
    Outcome { others: percent(0), surging: percent(1) }
}

/// Guards against a customer that makes the operations of all others late: the largest one, whose surge
/// needs twice the slots of the group, and one that is a small part of the load.
#[test]
fn surge_of_one_customer_does_not_delay_the_others() {
    let outcomes = [0, 4].map(|rank| {
        let [by_age, fair] = [false, true].map(|is_fair| replay(rank, is_fair));
        assert!(fair.others >= 99.0 && fair.others > by_age.others, "{fair:?}");
        assert!(fair.surging >= 25.0, "the rest of the slots serves the surge: {fair:?}");
        format!("{by_age:?}; {fair:?}")
    });
    insta::assert_snapshot!(outcomes.join("\n"), @r"
    Outcome { others: 56.9, surging: 56.9 }; Outcome { others: 99.5, surging: 30.2 }
    Outcome { others: 91.0, surging: 91.7 }; Outcome { others: 100.0, surging: 75.5 }
    ");
}
