//! Order and cost of the waiting work of a group.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackbend_router::admission::queue::{Kind, Queue, Work};
use tamarackbend_router::customer::CustomerName;

const START: Duration = Duration::from_secs(50);
const OBJECTIVE: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(3);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn work(session: u64, since: Duration) -> Work {
    Work::new(session, Kind::PrimaryOnly, 1, since, OBJECTIVE, TIMEOUT)
}

fn customer(name: &str) -> Option<CustomerName> {
    Some(name.into())
}

/// Takes and places work until the queue is empty.
fn drain(queue: &mut Queue, now: Duration) -> Vec<u64> {
    queue.start_dispatch(now);
    let order = std::iter::from_fn(|| {
        let candidate = queue.candidate()?;
        queue.record_sent(now, &candidate.work.customer);
        queue.finish(&candidate);
        Some(candidate.work.session)
    });
    let order = order.collect();
    queue.end_dispatch();
    order
}

/// Guards deployments without customers: their order is (late, priority, age), whichever entries are
/// added, replaced and removed.
#[test]
fn order_without_customers_is_late_then_priority_then_age() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..50 {
        let mut queue = Queue::default();
        let mut expected: BTreeMap<u64, (Work, usize)> = BTreeMap::new();
        for step in 0..300 {
            let session = random.random_range(0..100);
            let since = START + ms(random.random_range(0..600));
            let kind = match random.random_range(0..4) {
                0 => Kind::PrimaryOnly,
                1 => Kind::ReplicaRead,
                2 => Kind::InTransaction,
                _ => Kind::Begin,
            };
            let work =
                Work::new(session, kind, random.random_range(0..3), since, OBJECTIVE, TIMEOUT);
            if random.random_range(0..4) == 0 {
                queue.remove(session);
                expected.remove(&session);
            } else {
                queue.add(since, work.clone(), 1.0);
                let first = expected.get(&session).map_or(step, |(_, first)| *first);
                expected.insert(session, (work, first));
            }
        }
        let now = START + ms(600);
        let mut expected: Vec<(Work, usize)> = expected.into_values().collect();
        expected.sort_by_key(|(work, first)| {
            (now >= work.since + ms(300), work.priority, work.since, *first)
        });
        let expected: Vec<u64> = expected.into_iter().map(|(work, _)| work.session).collect();
        assert_eq!(drain(&mut queue, now), expected);
    }
}

/// Guards against overdue work that starves behind fresh work, and against overdue work that delays
/// another customer's fresh work.
#[test]
fn overdue_work_takes_some_of_its_customers_turns() {
    let mut queue = Queue::default();
    let now = START + TIMEOUT.mul_f64(0.8);
    queue.add(START, work(0, START).with_customer(customer("a")), 1.0);
    for session in 1..=16 {
        let name = if session <= 8 { "a" } else { "b" };
        queue.add(now, work(session, now).with_customer(customer(name)), 1.0);
    }
    // Customer a has used slot time, and its work waits for that of b.
    queue.record_sent(START, &customer("a"));
    (0..20).for_each(|_| queue.record_sent(now, &customer("a")));
    let order = drain(&mut queue, now);
    assert_eq!(order, [9, 10, 11, 12, 13, 14, 15, 16, 1, 2, 3, 4, 5, 6, 7, 0, 8]);
}

/// Guards against work that is not tried because the work of another customer found no connection.
#[test]
fn skipped_work_of_one_customer_does_not_stop_another() {
    let mut queue = Queue::default();
    for session in 0..40 {
        let name = if session < 20 { "a" } else { "b" };
        queue.add(START, work(session, START).with_customer(customer(name)), 1.0);
    }
    queue.start_dispatch(START);
    let mut placed = 0;
    while let Some(candidate) = queue.candidate() {
        if candidate.work.customer == customer("a") {
            queue.skip(&candidate);
        } else {
            placed += 1;
            queue.finish(&candidate);
        }
    }
    queue.end_dispatch();
    assert_eq!((placed, queue.len(), queue.count(&customer("a"))), (20, 20, 20));
    assert!(queue.candidate().is_some(), "skipped work is tried again in the next dispatch");
}

/// Returns the entries that the rule before this queue compares and visits at one event: it looks for
/// the new session in the list, sorts the list and goes through all of it.
fn visited_by_sorting(waiting: &[Work], now: Duration) -> u64 {
    let compared = Cell::new(0);
    let mut list: Vec<&Work> = waiting.iter().collect();
    let urgency = |work: &Work| (now >= work.late_at, work.priority, work.since);
    list.sort_by(|a, b| {
        compared.set(compared.get() + 1);
        urgency(a).cmp(&urgency(b))
    });
    compared.get() + 2 * waiting.len() as u64
}

/// Returns the entries that the queue visits in 100 events, each with one arrival and one connection
/// that becomes free. `limit` is the number of failures after which a customer's lane is skipped.
fn visited_by_queue(waiting: &[Work], now: Duration, limit: usize) -> u64 {
    let mut queue = Queue::default();
    waiting.iter().for_each(|work| queue.add(work.since, work.clone(), 1.0));
    queue.start_dispatch(now);
    let before = queue.visited();
    for event in 0..100 {
        let session = 20_000 + event;
        let customer = waiting[event as usize].customer.clone();
        queue.add(now, work(session, now).with_customer(customer), 1.0);
        queue.start_dispatch(now);
        let mut failures: BTreeMap<Option<CustomerName>, usize> = BTreeMap::new();
        let mut is_placed = false;
        while let Some(candidate) = queue.candidate() {
            let failed = failures.entry(candidate.work.customer.clone()).or_default();
            if !std::mem::replace(&mut is_placed, true) {
                queue.record_sent(now, &candidate.work.customer);
                queue.finish(&candidate);
            } else if *failed >= limit {
                queue.skip(&candidate);
            } else {
                *failed += 1;
                queue.hold(&candidate);
            }
        }
        queue.end_dispatch();
        assert_eq!(queue.len(), waiting.len());
    }
    queue.visited() - before
}

/// Guards against a cost of an event that grows with the queue.
#[test]
fn event_does_not_visit_all_waiting_work() {
    let visits = |count: u64, customers: u64, limit| {
        let list: Vec<Work> = (0..count)
            .map(|session| {
                let name = (customers > 0).then(|| format!("c{}", session % customers).into());
                work(session, START + ms(session / 10)).with_customer(name)
            })
            .collect();
        let now = START + ms(1000);
        (visited_by_sorting(&list, now), visited_by_queue(&list, now, limit) / 100)
    };
    let found = [(1_000, 0, 12), (10_000, 0, 12), (1_000, 77, 2), (10_000, 77, 2)]
        .map(|(count, customers, limit)| visits(count, customers, limit));
    assert_eq!(found, [(2999, 14), (37009, 15), (2999, 232), (37009, 309)]);
}

/// Result of a replay of transactions that rest while they are open.
#[derive(Debug)]
struct Outcome {
    committed: u32,
    /// Share of the statements of transactions, and of the statements outside of transactions, that were
    /// answered within their objective, in percent.
    in_time: [u32; 2],
}

/// Replays twenty seconds of 120 clients that begin a transaction of three statements and rest for
/// `rest_ms` on average between the statements, and of `others` statements a second outside of
/// transactions. The group has 46
/// connections, of which transactions hold 45 at most, and 4 slots; each statement takes 9 ms.
fn replay_transactions(open_first: bool, others: u64, rest_ms: u64) -> Outcome {
    const SLOT_MS: u64 = 9;
    const STATEMENTS: u32 = 4;
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let mut queue = Queue::default();
    // Statement of each client's transaction, from 0 for the begin to 4 for the commit.
    let mut steps = [0; 120];
    let mut due: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    (0..120).for_each(|id| due.entry(id * 2).or_default().push(id));
    let mut running: BTreeMap<u64, Vec<(u64, u64)>> = BTreeMap::new();
    let (mut free_slots, mut pinned, mut next_other) = (4, 0, 1000);
    let (mut committed, mut sent, mut in_time) = (0, [0_u32; 2], [0_u32; 2]);
    for at in 0..20_000 {
        let now = START + ms(at);
        for (id, since) in running.remove(&at).unwrap_or_default() {
            free_slots += 1;
            let group = usize::from(id >= 120);
            in_time[group] += u32::from(at - since <= 500);
            let Some(step) = steps.get_mut(id as usize) else { continue };
            *step = if *step == STATEMENTS { 0 } else { *step + 1 };
            if *step == 0 {
                pinned -= 1;
                committed += 1;
            }
            due.entry(at + random.random_range(0..2 * rest_ms) + 1).or_default().push(id);
        }
        for id in due.remove(&at).unwrap_or_default() {
            let kind = match steps[id as usize] {
                0 => Kind::Begin,
                _ if open_first => Kind::InTransaction,
                _ => Kind::PrimaryOnly,
            };
            let work = Work::new(id, kind, 1, now, OBJECTIVE, TIMEOUT);
            queue.add(now, work.with_customer(customer("a")), 1.0);
            sent[0] += 1;
        }
        if random.random_range(0..1000) < others {
            queue.add(now, work(next_other, now).with_customer(customer("a")), 1.0);
            next_other += 1;
            sent[1] += 1;
        }
        queue.start_dispatch(now);
        while free_slots > 0
            && let Some(candidate) = queue.candidate()
        {
            let id = candidate.work.session;
            let is_begin = candidate.work.kind == Kind::Begin;
            if is_begin && pinned >= 45 {
                queue.skip(&candidate);
                continue;
            }
            queue.finish(&candidate);
            pinned += u32::from(is_begin);
            free_slots -= 1;
            let since = (candidate.work.since - START).as_millis() as u64;
            running.entry(at + SLOT_MS).or_default().push((id, since));
        }
        queue.end_dispatch();
    }
    let percent = |group: usize| in_time[group] * 100 / sent[group].max(1);
    Outcome { committed, in_time: [percent(0), percent(1)] }
}

/// Guards against transactions that hold connections while their statements wait behind statements that
/// arrived earlier. In return, some of the other statements are late.
#[test]
fn open_transactions_first_frees_connections() {
    let loads = [(200, 250), (300, 250), (300, 50), (500, 250)];
    let outcomes = loads.map(|(others, rest_ms)| {
        let [by_age, open_first] =
            [false, true].map(|open_first| replay_transactions(open_first, others, rest_ms));
        assert!(open_first.committed + 10 >= by_age.committed, "{by_age:?} {open_first:?}");
        assert!(open_first.in_time[0] >= by_age.in_time[0], "{by_age:?} {open_first:?}");
        format!("{others}/s, {rest_ms} ms: {by_age:?}; {open_first:?}")
    });
    insta::assert_snapshot!(outcomes.join("\n"), @r"
    200/s, 250 ms: Outcome { committed: 810, in_time: [90, 99] }; Outcome { committed: 808, in_time: [93, 99] }
    300/s, 250 ms: Outcome { committed: 583, in_time: [88, 99] }; Outcome { committed: 687, in_time: [94, 86] }
    300/s, 50 ms: Outcome { committed: 587, in_time: [86, 97] }; Outcome { committed: 778, in_time: [94, 80] }
    500/s, 250 ms: Outcome { committed: 82, in_time: [65, 80] }; Outcome { committed: 351, in_time: [89, 67] }
    ");
}
