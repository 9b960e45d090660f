//! One run of a scenario.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::Value;
use tamarackbend_node::Variant;
use tamarackbend_policy::owner::{self, Guards};
use tokio_postgres::{NoTls, SimpleQueryMessage};

use crate::caller::{Caller, Identity, Shared};
use crate::error::Code;
use crate::faults::Injector;
use crate::fleet::metrics;
use crate::history::{Kind, Operation, Outcome};
use crate::report::{by_100_ms, gaps, latency, median, slowest};
use crate::{Error, Fleet, Gap, Layout, Report, Result, Scenario, check};

/// Time for callers to finish what they do.
const FINISH_TIME: Duration = Duration::from_secs(20);
/// Time between two attempts to read what the endpoints hold at the end.
const FINAL_RETRY: Duration = Duration::from_millis(200);
/// Attempts to read it.
const FINAL_ATTEMPTS: u32 = 100;

/// How the nodes of a run decide.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The product.
    #[default]
    Product,
    /// All reads on the primary.
    PrimaryOnly,
    /// Reads on any replica, whatever it holds.
    RandomReplica,
    /// Writes are acknowledged at the primary's commit.
    Asynchronous,
}

impl Policy {
    /// Every policy with its name.
    pub const ALL: [(&'static str, Policy); 4] = [
        ("product", Policy::Product),
        ("primary-only", Policy::PrimaryOnly),
        ("random-replica", Policy::RandomReplica),
        ("asynchronous", Policy::Asynchronous),
    ];

    /// Returns the name.
    pub fn name(self) -> &'static str {
        let found = Policy::ALL.iter().find(|(_, policy)| *policy == self);
        found.map_or("", |(name, _)| name)
    }

    fn variant(self) -> Variant {
        let variant = Variant::default();
        match self {
            Policy::Product => variant,
            Policy::PrimaryOnly => Variant { policy: owner::Policy::PrimaryOnly, ..variant },
            Policy::RandomReplica => Variant { policy: owner::Policy::RandomReplica, ..variant },
            Policy::Asynchronous => {
                Variant { guards: Guards { await_majority: false, ..Guards::default() }, ..variant }
            }
        }
    }
}

impl FromStr for Policy {
    type Err = Error;

    fn from_str(name: &str) -> Result<Policy> {
        let found = Policy::ALL.iter().find(|(other, _)| *other == name);
        found.map(|(_, policy)| *policy).ok_or_else(|| Error::new(Code::NoPolicy(name.to_owned())))
    }
}

/// Runs a scenario and returns its figures.
///
/// # Errors
///
/// Fails when the fleet does not start or cannot be read at the end.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Result<Report> {
    let plan = scenario.plan()?;
    let layout =
        Layout { plans: vec![plan.clone()], nodes: scenario.nodes, variant: policy.variant() };
    let mut fleet = Fleet::start(layout)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let databases = fleet.databases(0);
    runtime.block_on(create_tables(&fleet, &databases))?;
    let shared = Arc::new(Shared {
        scenario: scenario.clone(),
        started: Instant::now(),
        stop: AtomicBool::new(false),
        groups: databases.iter().filter_map(|name| fleet.group(name).cloned()).collect(),
        nodes: std::sync::Mutex::new(
            fleet.nodes().iter().map(|node| Some(node.addresses().client)).collect(),
        ),
    });
    let before = Snapshot::take(&fleet)?;
    let identities = identities(scenario, &plan.clubs, &databases, seed);
    let workers = std::thread::spawn({
        let shared = shared.clone();
        move || drive(shared, identities)
    });
    let mut injector = Injector::new(&scenario.faults);
    loop {
        let now = shared.started.elapsed();
        let next = injector.next().filter(|at| *at < scenario.time).unwrap_or(scenario.time);
        if now >= scenario.time {
            break;
        }
        std::thread::sleep(next.saturating_sub(now));
        injector.apply(&mut fleet, &shared)?;
    }
    let after = Snapshot::take(&fleet)?;
    shared.stop.store(true, Ordering::Relaxed);
    let operations = workers.join().expect("callers do not panic");
    heal(&fleet, &shared);
    let rows = runtime.block_on(final_rows(&shared, &fleet, &databases))?;
    let mut report = summarize(scenario, policy, seed, &operations);
    for (club, (name, _, _)) in plan.clubs.iter().enumerate() {
        let own: Vec<Operation> = operations.iter().filter(|o| o.club == club).cloned().collect();
        report.statements_by_club.insert(name.clone(), own.len() as u64);
        report.read_latency_ms_by_club.insert(name.clone(), latency(&own, Kind::Read));
    }
    report.violations = check::violations(&operations, &rows);
    report.failover_gap_ms = gap(&gaps(&operations, &injector.losses), &fleet)?;
    compare(&mut report, &before, &after, scenario);
    for node in fleet.nodes() {
        node.kill();
    }
    Ok(report)
}

fn identities(
    scenario: &Scenario,
    clubs: &[(String, String, u32)],
    databases: &[String],
    seed: u64,
) -> Vec<Identity> {
    let mut identities = Vec::new();
    for (position, (club, password, _)) in clubs.iter().enumerate() {
        let count = scenario.callers + if position == 0 { scenario.flood } else { 0 };
        for number in 0..count {
            let index = identities.len();
            let database = number % databases.len();
            identities.push(Identity {
                index,
                club: club.clone(),
                club_index: position,
                password: password.clone(),
                database,
                database_name: databases[database].clone(),
                seed: seed.wrapping_mul(1_000_003) ^ index as u64,
            });
        }
    }
    identities
}

fn drive(shared: Arc<Shared>, identities: Vec<Identity>) -> Vec<Operation> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime can be created");
    runtime.block_on(async {
        let callers: Vec<_> = identities
            .into_iter()
            .map(|identity| tokio::spawn(Caller::new(shared.clone(), identity).run()))
            .collect();
        let mut operations = Vec::new();
        for caller in callers {
            operations.extend(caller.await.expect("callers do not panic"));
        }
        operations
    })
}

async fn create_tables(fleet: &Fleet, databases: &[String]) -> Result<()> {
    for database in databases {
        let dsn = fleet.dsn(0, 0, database, 0);
        let sql = "CREATE TABLE entry (caller INTEGER, number INTEGER); \
                   CREATE INDEX entry_caller ON entry (caller, number)";
        ask(&dsn, sql).await.ok_or_else(|| Error::new(Code::Caller(sql.to_owned())))?;
    }
    Ok(())
}

async fn ask(dsn: &str, sql: &str) -> Option<Vec<SimpleQueryMessage>> {
    let (client, connection) = tokio_postgres::connect(dsn, NoTls).await.ok()?;
    tokio::spawn(connection);
    client.simple_query(sql).await.ok()
}

fn heal(fleet: &Fleet, shared: &Shared) {
    fleet.platform().set_faults(Default::default());
    for group in &shared.groups {
        for index in 0..group.addresses().len() {
            group.set_faults(index, Default::default());
        }
    }
}

async fn final_rows(shared: &Shared, fleet: &Fleet, databases: &[String]) -> Result<check::Rows> {
    let live = shared.nodes.lock().expect("no holder panics").iter().position(Option::is_some);
    let node = live.unwrap_or(0);
    let mut rows = Vec::new();
    for database in databases {
        let dsn = fleet.dsn(0, 0, database, node);
        let mut found = None;
        for _ in 0..FINAL_ATTEMPTS {
            // A write confirms that the database has one primary again.
            if ask(&dsn, "INSERT INTO entry VALUES (-1, 0)").await.is_some() {
                found = ask(&dsn, "SELECT caller, number FROM entry WHERE caller >= 0").await;
            }
            if found.is_some() {
                break;
            }
            tokio::time::sleep(FINAL_RETRY).await;
        }
        let messages = found.ok_or_else(|| Error::new(Code::Caller(database.clone())))?;
        rows.push(messages.iter().filter_map(row).collect());
    }
    Ok(rows)
}

fn row(message: &SimpleQueryMessage) -> Option<(usize, i64)> {
    match message {
        SimpleQueryMessage::Row(row) => {
            Some((row.get(0)?.parse().ok()?, row.get(1)?.parse().ok()?))
        }
        _ => None,
    }
}

fn summarize(scenario: &Scenario, policy: Policy, seed: u64, operations: &[Operation]) -> Report {
    let count = |outcome| operations.iter().filter(|o| o.outcome == outcome).count() as u64;
    let reads = operations.iter().filter(|o| o.kind == Kind::Read && o.outcome == Outcome::Done);
    let reads: Vec<&Operation> = reads.collect();
    let possible = reads.iter().filter(|read| read.replica_possible).count();
    let total = scenario.time + FINISH_TIME;
    Report {
        scenario: scenario.name.clone(),
        policy: policy.name().to_owned(),
        seed,
        seconds: scenario.time.as_secs_f64(),
        replica_read_share: 0.0,
        replica_read_share_possible: possible as f64 / reads.len().max(1) as f64,
        failover_gap_ms: Gap::default(),
        violations: BTreeMap::new(),
        statements: operations.len() as u64,
        refused_not_run: count(Outcome::NotRun),
        outcome_unknown: count(Outcome::Unknown),
        errors: errors(operations),
        slot_time_share: BTreeMap::new(),
        slot_seconds: BTreeMap::new(),
        statements_by_club: BTreeMap::new(),
        read_latency_ms_by_club: BTreeMap::new(),
        slowest: slowest(operations),
        read_latency_ms: latency(operations, Kind::Read),
        write_latency_ms: latency(operations, Kind::Write),
        platform_calls_per_s: 0.0,
        control_bytes_per_s: 0.0,
        probes_per_s: 0.0,
        promotions: 0,
        writes_by_100_ms: by_100_ms(operations, Kind::Write, total),
        reads_by_100_ms: by_100_ms(operations, Kind::Read, total),
    }
}

fn errors(operations: &[Operation]) -> BTreeMap<String, u64> {
    let mut errors = BTreeMap::new();
    for error in operations.iter().filter_map(|operation| operation.error.clone()) {
        *errors.entry(error).or_default() += 1;
    }
    errors
}

/// Counters of the whole fleet at one moment.
#[derive(Default)]
struct Snapshot {
    replica_reads: u64,
    primary_reads: u64,
    probes: u64,
    promotions: u64,
    slot_time: BTreeMap<String, u64>,
    calls: u64,
    control_bytes: f64,
}

impl Snapshot {
    fn take(fleet: &Fleet) -> Result<Snapshot> {
        let calls = fleet.platform().calls();
        let mut snapshot = Snapshot {
            calls: calls.reads + calls.writes + calls.watches + calls.lists,
            control_bytes: control_bytes(&metrics(fleet).unwrap_or_default()),
            ..Snapshot::default()
        };
        for owner in owners(fleet) {
            let number = |name: &str| owner[name].as_u64().unwrap_or_default();
            snapshot.replica_reads += number("replica_reads");
            snapshot.primary_reads += number("primary_reads");
            snapshot.probes += number("probes");
            snapshot.promotions += number("promotions");
            if let Some(times) = owner["slot_time_us"].as_object() {
                for (club, time) in times {
                    let total = snapshot.slot_time.entry(club.clone()).or_default();
                    *total += time.as_u64().unwrap_or_default();
                }
            }
        }
        Ok(snapshot)
    }
}

/// Returns the state of every owner; nodes that are gone have none.
fn owners(fleet: &Fleet) -> Vec<Value> {
    let mut owners = Vec::new();
    for node in 0..fleet.nodes().len() {
        let state = fleet.state(node).unwrap_or_default();
        let state: Value = serde_json::from_str(&state).unwrap_or_default();
        owners.extend(state["owners"].as_object().into_iter().flat_map(|o| o.values().cloned()));
    }
    owners
}

fn control_bytes(metrics: &str) -> f64 {
    let lines = metrics.lines().filter(|line| line.contains("purpose=\"control\""));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

fn gap(all: &[f64], fleet: &Fleet) -> Result<Gap> {
    let mut parts: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for owner in owners(fleet) {
        for (part, time) in owner["last_failover_ms"].as_object().into_iter().flatten() {
            parts.entry(part.clone()).or_default().push(time.as_f64().unwrap_or_default());
        }
    }
    let mean = |times: &Vec<f64>| times.iter().sum::<f64>() / times.len() as f64;
    let mut split: BTreeMap<String, f64> =
        parts.iter().map(|(part, times)| (part.clone(), mean(times))).collect();
    let known: f64 = split.values().sum();
    let mean_gap = all.iter().sum::<f64>() / all.len().max(1) as f64;
    if !split.is_empty() {
        split.insert("first_write".to_owned(), (mean_gap - known).max(0.0));
    }
    let max = all.iter().copied().fold(0.0, f64::max);
    Ok(Gap { all: all.to_vec(), median: median(all), max, split })
}

fn compare(report: &mut Report, before: &Snapshot, after: &Snapshot, scenario: &Scenario) {
    let seconds = scenario.time.as_secs_f64();
    let replica = after.replica_reads.saturating_sub(before.replica_reads) as f64;
    let primary = after.primary_reads.saturating_sub(before.primary_reads) as f64;
    report.replica_read_share = replica / (replica + primary).max(1.0);
    let nodes = scenario.nodes as f64;
    report.platform_calls_per_s = after.calls.saturating_sub(before.calls) as f64 / seconds;
    report.control_bytes_per_s = (after.control_bytes - before.control_bytes) / seconds / nodes;
    report.probes_per_s = after.probes.saturating_sub(before.probes) as f64 / seconds / nodes;
    report.promotions = after.promotions.saturating_sub(before.promotions);
    for (club, time) in &after.slot_time {
        let used = time.saturating_sub(before.slot_time.get(club).copied().unwrap_or_default());
        report.slot_seconds.insert(club.clone(), used as f64 / 1e6);
    }
    let total: f64 = report.slot_seconds.values().sum();
    let share = |(club, time): (&String, &f64)| (club.clone(), time / total.max(f64::EPSILON));
    report.slot_time_share = report.slot_seconds.iter().map(share).collect();
}
