//! Run of a scenario on a fleet.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::Value;
use tamarackbend_node::Variant;
use tamarackbend_policy::owner::{self, Guards};
use tokio_postgres::{NoTls, SimpleQueryMessage};

use crate::client::{Client, Identity, Shared};
use crate::error::Code;
use crate::faults::Injector;
use crate::fleet::metrics;
use crate::history::{Access, Operation, Outcome};
use crate::report::{by_100_ms, gaps, latency, median, slowest};
use crate::{Error, Fleet, Gap, Layout, Report, Result, Scenario, check};

/// Time that the series of a report cover beyond the load, for operations that finish late.
const SERIES_TAIL: Duration = Duration::from_secs(20);
/// Pause between two attempts to read the rows of a database after the load.
const FINAL_READ_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of attempts to read the rows of a database after the load.
const MAX_FINAL_READ_ATTEMPTS: u32 = 100;

/// Policy of the nodes in a run: the product's, or an alternative for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Policy of the product.
    #[default]
    Product,
    /// All reads run on the primary.
    PrimaryOnly,
    /// Reads run on any replica, whatever its position.
    RandomReplica,
    /// Writes are acknowledged at the primary's commit.
    Asynchronous,
}

impl Policy {
    /// All policies with their names.
    pub const ALL: [(&'static str, Policy); 4] = [
        ("product", Policy::Product),
        ("primary-only", Policy::PrimaryOnly),
        ("random-replica", Policy::RandomReplica),
        ("asynchronous", Policy::Asynchronous),
    ];

    /// Returns the name of the policy.
    pub fn name(self) -> &'static str {
        let entry = Policy::ALL.iter().find(|(_, policy)| *policy == self);
        entry.map_or("", |(name, _)| name)
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
        let entry = Policy::ALL.iter().find(|(known_name, _)| *known_name == name);
        entry.map(|(_, policy)| *policy).ok_or_else(|| Error::new(Code::NoPolicy(name.to_owned())))
    }
}

/// Runs a scenario and returns its report.
///
/// # Errors
///
/// Fails when the fleet does not start, a node cannot be replaced, or the rows cannot be read after
/// the load.
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
        started_at: Instant::now(),
        should_stop: AtomicBool::new(false),
        groups: databases.iter().filter_map(|name| fleet.group(name).cloned()).collect(),
        addresses: std::sync::Mutex::new(
            fleet.nodes().iter().map(|node| Some(node.addresses().client)).collect(),
        ),
    });
    let before = Sample::take(&fleet)?;
    let identities = identities(scenario, &plan.clubs, &databases, seed);
    let client_thread = std::thread::spawn({
        let shared = shared.clone();
        move || run_clients(shared, identities)
    });
    let mut injector = Injector::new(&scenario.faults);
    loop {
        let now = shared.started_at.elapsed();
        let next_event =
            injector.next().filter(|time| *time < scenario.duration).unwrap_or(scenario.duration);
        if now >= scenario.duration {
            break;
        }
        std::thread::sleep(next_event.saturating_sub(now));
        injector.apply(&mut fleet, &shared)?;
    }
    let after = Sample::take(&fleet)?;
    shared.should_stop.store(true, Ordering::Relaxed);
    let operations = client_thread.join().expect("clients do not panic");
    clear_faults(&fleet, &shared);
    let rows = runtime.block_on(final_rows(&shared, &fleet, &databases))?;
    let mut report = summarize(scenario, policy, seed, &operations);
    for (club, (name, _, _)) in plan.clubs.iter().enumerate() {
        let club_operations: Vec<Operation> =
            operations.iter().filter(|o| o.club == club).cloned().collect();
        report.statements_by_club.insert(name.clone(), club_operations.len() as u64);
        report
            .read_latency_ms_by_club
            .insert(name.clone(), latency(&club_operations, Access::Read));
    }
    report.violations = check::violations(&operations, &rows);
    report.failover_gap_ms = summarize_gaps(&gaps(&operations, &injector.losses), &fleet)?;
    add_counters(&mut report, &before, &after, scenario);
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
    for (club_index, (club, password, _)) in clubs.iter().enumerate() {
        let count =
            scenario.clients_per_club + if club_index == 0 { scenario.extra_clients } else { 0 };
        for number in 0..count {
            let index = identities.len();
            let database_index = number % databases.len();
            identities.push(Identity {
                index,
                club: club.clone(),
                club_index,
                password: password.clone(),
                database_index,
                database_name: databases[database_index].clone(),
                seed: seed.wrapping_mul(1_000_003) ^ index as u64,
            });
        }
    }
    identities
}

fn run_clients(shared: Arc<Shared>, identities: Vec<Identity>) -> Vec<Operation> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime can be created");
    runtime.block_on(async {
        let clients: Vec<_> = identities
            .into_iter()
            .map(|identity| tokio::spawn(Client::new(shared.clone(), identity).run()))
            .collect();
        let mut operations = Vec::new();
        for client in clients {
            operations.extend(client.await.expect("clients do not panic"));
        }
        operations
    })
}

async fn create_tables(fleet: &Fleet, databases: &[String]) -> Result<()> {
    for database in databases {
        let dsn = fleet.dsn(0, 0, database, 0);
        let sql = "CREATE TABLE entry (caller INTEGER, number INTEGER); \
                   CREATE INDEX entry_caller ON entry (caller, number)";
        query(&dsn, sql).await.ok_or_else(|| {
            Error::new(Code::Step(format!("table entry of database {database} cannot be created")))
        })?;
    }
    Ok(())
}

/// Executes an SQL text on a connection of its own; returns `None` if that fails.
async fn query(dsn: &str, sql: &str) -> Option<Vec<SimpleQueryMessage>> {
    let (client, connection) = tokio_postgres::connect(dsn, NoTls).await.ok()?;
    tokio::spawn(connection);
    client.simple_query(sql).await.ok()
}

fn clear_faults(fleet: &Fleet, shared: &Shared) {
    fleet.platform().set_faults(Default::default());
    for group in &shared.groups {
        for index in 0..group.addresses().len() {
            group.set_faults(index, Default::default());
        }
    }
}

/// Reads the rows of every database after the load, when all faults are over.
async fn final_rows(shared: &Shared, fleet: &Fleet, databases: &[String]) -> Result<check::Rows> {
    let live_node =
        shared.addresses.lock().expect("the lock is not poisoned").iter().position(Option::is_some);
    let node = live_node.unwrap_or(0);
    let mut rows = Vec::new();
    for database in databases {
        let dsn = fleet.dsn(0, 0, database, node);
        let mut messages = None;
        for _ in 0..MAX_FINAL_READ_ATTEMPTS {
            // An acknowledged write shows that the database has a primary again.
            if query(&dsn, "INSERT INTO entry VALUES (-1, 0)").await.is_some() {
                messages = query(&dsn, "SELECT caller, number FROM entry WHERE caller >= 0").await;
            }
            if messages.is_some() {
                break;
            }
            tokio::time::sleep(FINAL_READ_RETRY_DELAY).await;
        }
        let messages = messages.ok_or_else(|| {
            let step = format!("rows of database {database} cannot be read after the load");
            Error::new(Code::Step(step))
        })?;
        rows.push(messages.iter().filter_map(parse_row).collect());
    }
    Ok(rows)
}

/// Returns the client and the number of a row.
fn parse_row(message: &SimpleQueryMessage) -> Option<(usize, i64)> {
    match message {
        SimpleQueryMessage::Row(row) => {
            Some((row.get(0)?.parse().ok()?, row.get(1)?.parse().ok()?))
        }
        _ => None,
    }
}

/// Returns a report with the figures that the history gives.
fn summarize(scenario: &Scenario, policy: Policy, seed: u64, operations: &[Operation]) -> Report {
    let count_of = |outcome| operations.iter().filter(|o| o.outcome == outcome).count() as u64;
    let reads =
        operations.iter().filter(|o| o.access == Access::Read && o.outcome == Outcome::Done);
    let reads: Vec<&Operation> = reads.collect();
    let replica_possible = reads.iter().filter(|read| read.is_replica_possible).count();
    let series_time = scenario.duration + SERIES_TAIL;
    Report {
        scenario: scenario.name.clone(),
        policy: policy.name().to_owned(),
        seed,
        seconds: scenario.duration.as_secs_f64(),
        replica_read_share: 0.0,
        replica_read_share_possible: replica_possible as f64 / reads.len().max(1) as f64,
        failover_gap_ms: Gap::default(),
        violations: BTreeMap::new(),
        statements: operations.len() as u64,
        refused_not_run: count_of(Outcome::NotRun),
        outcome_unknown: count_of(Outcome::Unknown),
        errors: error_counts(operations),
        slot_time_share: BTreeMap::new(),
        slot_seconds: BTreeMap::new(),
        statements_by_club: BTreeMap::new(),
        read_latency_ms_by_club: BTreeMap::new(),
        slowest: slowest(operations),
        read_latency_ms: latency(operations, Access::Read),
        write_latency_ms: latency(operations, Access::Write),
        platform_calls_per_s: 0.0,
        control_bytes_per_s: 0.0,
        probes_per_s: 0.0,
        promotions: 0,
        writes_by_100_ms: by_100_ms(operations, Access::Write, series_time),
        reads_by_100_ms: by_100_ms(operations, Access::Read, series_time),
    }
}

fn error_counts(operations: &[Operation]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for error in operations.iter().filter_map(|operation| operation.error.clone()) {
        *counts.entry(error).or_default() += 1;
    }
    counts
}

/// Counters of the fleet at one moment, summed over all nodes.
#[derive(Default)]
struct Sample {
    replica_reads: u64,
    primary_reads: u64,
    probes: u64,
    promotions: u64,
    /// Slot time by club, in microseconds.
    slot_time_us: BTreeMap<String, u64>,
    platform_calls: u64,
    control_bytes: f64,
}

impl Sample {
    fn take(fleet: &Fleet) -> Result<Sample> {
        let calls = fleet.platform().calls();
        let mut sample = Sample {
            platform_calls: calls.reads + calls.writes + calls.watches + calls.lists,
            control_bytes: control_bytes(&metrics(fleet).unwrap_or_default()),
            ..Sample::default()
        };
        for owner in owners(fleet) {
            let counter = |name: &str| owner[name].as_u64().unwrap_or_default();
            sample.replica_reads += counter("replica_reads");
            sample.primary_reads += counter("primary_reads");
            sample.probes += counter("probes");
            sample.promotions += counter("promotions");
            if let Some(times) = owner["slot_time_us"].as_object() {
                for (club, time_us) in times {
                    let total = sample.slot_time_us.entry(club.clone()).or_default();
                    *total += time_us.as_u64().unwrap_or_default();
                }
            }
        }
        Ok(sample)
    }
}

/// Returns the dumped state of the owner of each database; a node that is gone contributes none.
fn owners(fleet: &Fleet) -> Vec<Value> {
    let mut owners = Vec::new();
    for node in 0..fleet.nodes().len() {
        let state = fleet.state(node).unwrap_or_default();
        let state: Value = serde_json::from_str(&state).unwrap_or_default();
        owners.extend(state["owners"].as_object().into_iter().flat_map(|o| o.values().cloned()));
    }
    owners
}

/// Returns the bytes of control messages that the nodes have sent to their peers.
fn control_bytes(metrics: &str) -> f64 {
    let lines = metrics.lines().filter(|line| line.contains("purpose=\"control\""));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Returns the gaps with their statistics and the mean times of their parts.
///
/// The part `first_write` is the mean of the remaining time of the gaps.
fn summarize_gaps(all: &[f64], fleet: &Fleet) -> Result<Gap> {
    let mut parts: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for owner in owners(fleet) {
        for (part, time) in owner["last_failover_ms"].as_object().into_iter().flatten() {
            parts.entry(part.clone()).or_default().push(time.as_f64().unwrap_or_default());
        }
    }
    let mean = |times: &Vec<f64>| times.iter().sum::<f64>() / times.len() as f64;
    let mut part_means: BTreeMap<String, f64> =
        parts.iter().map(|(part, times)| (part.clone(), mean(times))).collect();
    let sum_of_parts: f64 = part_means.values().sum();
    let mean_gap = all.iter().sum::<f64>() / all.len().max(1) as f64;
    if !part_means.is_empty() {
        part_means.insert("first_write".to_owned(), (mean_gap - sum_of_parts).max(0.0));
    }
    let max = all.iter().copied().fold(0.0, f64::max);
    Ok(Gap { all: all.to_vec(), median: median(all), max, part_means })
}

/// Adds the figures that the counters before and after the load give.
fn add_counters(report: &mut Report, before: &Sample, after: &Sample, scenario: &Scenario) {
    let seconds = scenario.duration.as_secs_f64();
    let replica_reads = after.replica_reads.saturating_sub(before.replica_reads) as f64;
    let primary_reads = after.primary_reads.saturating_sub(before.primary_reads) as f64;
    report.replica_read_share = replica_reads / (replica_reads + primary_reads).max(1.0);
    let nodes = scenario.nodes as f64;
    report.platform_calls_per_s =
        after.platform_calls.saturating_sub(before.platform_calls) as f64 / seconds;
    report.control_bytes_per_s = (after.control_bytes - before.control_bytes) / seconds / nodes;
    report.probes_per_s = after.probes.saturating_sub(before.probes) as f64 / seconds / nodes;
    report.promotions = after.promotions.saturating_sub(before.promotions);
    for (club, time_us) in &after.slot_time_us {
        let used_us =
            time_us.saturating_sub(before.slot_time_us.get(club).copied().unwrap_or_default());
        report.slot_seconds.insert(club.clone(), used_us as f64 / 1e6);
    }
    let total: f64 = report.slot_seconds.values().sum();
    let share = |(club, time): (&String, &f64)| (club.clone(), time / total.max(f64::EPSILON));
    report.slot_time_share = report.slot_seconds.iter().map(share).collect();
}
