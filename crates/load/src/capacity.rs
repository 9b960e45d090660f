//! Cost of an idle fleet by its size.
//!
//! Many nodes run as threads of this process; the processor time of a node is that of its thread.

use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tamarackbend_objects::{Client, Publication, Store};
use tamarackbend_standin::deployment::Plan;

use crate::error::Code;
use crate::fleet::metrics;
use crate::{Error, Fleet, FullSize, Layout, Result, full_size};

/// Time for links and owners to settle before the measurement.
const SETTLE: Duration = Duration::from_secs(6);
/// Length of the measurement.
const WINDOW: Duration = Duration::from_secs(8);
/// Pause between two looks at whether a configuration is in force.
const SPREAD_POLL: Duration = Duration::from_millis(5);
/// Longest time that a configuration may take to be in force everywhere.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Clock ticks a second of the kernel's accounting.
const TICKS_PER_SECOND: f64 = 100.0;

/// Measured points.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Capacity {
    /// Points in the order of the sizes.
    pub points: Vec<Point>,
    /// Decisions and the document at the size to design for.
    pub full_size: FullSize,
}

/// Cost at one size.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Point {
    /// Nodes.
    pub nodes: usize,
    /// Databases.
    pub databases: usize,
    /// Share of a core that a node spends.
    pub core_share_per_node: f64,
    /// Bytes that a node sends to peers in a second.
    pub link_bytes_per_node_s: f64,
    /// Probes that a node sends in a second.
    pub probes_per_node_s: f64,
    /// Links that a node holds.
    pub links_per_node: f64,
    /// Reads and lists of the platform in a second.
    pub platform_reads_per_s: f64,
    /// Watches of the platform begun in a second.
    pub platform_watches_per_s: f64,
    /// Resident memory of the whole process, stand-ins included.
    pub resident_mb: f64,
    /// Time from a change of configuration until every node has it in force.
    pub config_spread_ms: f64,
}

impl fmt::Display for Point {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} nodes {} databases: {:.4} core, {:.0} B/s links, {:.1} probes/s, {:.1} links, \
             platform {:.1} reads/s {:.2} watches/s, {:.0} MB resident, config {:.0} ms",
            self.nodes,
            self.databases,
            self.core_share_per_node,
            self.link_bytes_per_node_s,
            self.probes_per_node_s,
            self.links_per_node,
            self.platform_reads_per_s,
            self.platform_watches_per_s,
            self.resident_mb,
            self.config_spread_ms
        )
    }
}

/// Measures an idle fleet at each size of nodes and databases.
///
/// # Errors
///
/// Fails when a fleet does not start or a change is not in force in time.
pub fn capacity(sizes: &[(usize, usize)]) -> Result<Capacity> {
    let mut measured = Capacity { full_size: full_size()?, ..Capacity::default() };
    for (nodes, databases) in sizes {
        measured.points.push(point(*nodes, *databases)?);
    }
    Ok(measured)
}

struct Sample {
    ticks: f64,
    link_bytes: f64,
    probes: f64,
    reads: f64,
    watches: f64,
}

fn point(nodes: usize, databases: usize) -> Result<Point> {
    let plan = Plan::amstelweide().with_databases(databases).with_delays(false);
    let fleet = Fleet::start(Layout { plans: vec![plan], nodes, ..Layout::default() })?;
    std::thread::sleep(SETTLE);
    let before = sample(&fleet)?;
    std::thread::sleep(WINDOW);
    let after = sample(&fleet)?;
    let rate = |before: f64, after: f64| (after - before) / WINDOW.as_secs_f64();
    let per_node = |before: f64, after: f64| rate(before, after) / nodes as f64;
    let links: usize = states(&fleet).iter().map(linked).sum();
    Ok(Point {
        nodes,
        databases,
        core_share_per_node: per_node(before.ticks, after.ticks) / TICKS_PER_SECOND,
        link_bytes_per_node_s: per_node(before.link_bytes, after.link_bytes),
        probes_per_node_s: per_node(before.probes, after.probes),
        links_per_node: links as f64 / nodes as f64,
        platform_reads_per_s: rate(before.reads, after.reads),
        platform_watches_per_s: rate(before.watches, after.watches),
        resident_mb: resident_mb(),
        config_spread_ms: spread(&fleet)?,
    })
}

fn sample(fleet: &Fleet) -> Result<Sample> {
    let calls = fleet.platform().calls();
    let text = metrics(fleet)?;
    let control = text.lines().filter(|line| line.contains("purpose=\"control\""));
    let link_bytes = control.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum();
    let probes = states(fleet)
        .iter()
        .filter_map(|state| state["owners"].as_object().cloned())
        .flat_map(|owners| owners.into_iter().map(|(_, owner)| owner))
        .filter_map(|owner| owner["probes"].as_f64())
        .sum();
    Ok(Sample {
        ticks: node_ticks(),
        link_bytes,
        probes,
        reads: (calls.reads + calls.lists) as f64,
        watches: calls.watches as f64,
    })
}

fn states(fleet: &Fleet) -> Vec<Value> {
    let state = |node| serde_json::from_str(&fleet.state(node).unwrap_or_default());
    (0..fleet.nodes().len()).filter_map(|node| state(node).ok()).collect()
}

fn linked(state: &Value) -> usize {
    let vms = state["vms"].as_array();
    vms.map_or(0, |vms| vms.iter().filter(|vm| vm["linked"] == Value::Bool(true)).count())
}

/// Returns the processor time of the threads of all nodes, in ticks.
fn node_ticks() -> f64 {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let ticks = tasks.flatten().filter_map(|task| {
        let stat = std::fs::read_to_string(task.path().join("stat")).ok()?;
        let (name, rest) = stat.split_once(") ")?;
        let fields: Vec<&str> = rest.split(' ').collect();
        let time = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        name.contains("(entry-").then_some(time)
    });
    ticks.sum()
}

fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kilobytes.unwrap_or_default() / 1024.0
}

/// Changes the configuration and waits until every node has it in force.
fn spread(fleet: &Fleet) -> Result<f64> {
    let failed = |error: tamarackbend_objects::Error| Error::new(Code::Caller(error.to_string()));
    let runtime = compio::runtime::Runtime::new()?;
    let started = Instant::now();
    let version = runtime.block_on(async {
        let mut store = Store::new(Client::new(fleet.platform().address()));
        let base = store.load().await.map_err(failed)?;
        let mut document = fleet.document().clone();
        document.services[0].slots += 1;
        let change = Publication {
            document: &document,
            base: &base,
            author: "capacity",
            update_id: "capacity",
        };
        store.publish(&change).await.map_err(failed)
    })?;
    while started.elapsed() < SPREAD_TIMEOUT {
        let late = |node| {
            let state = fleet.state(node).unwrap_or_default();
            let state: Value = serde_json::from_str(&state).unwrap_or_default();
            state["config_version"].as_u64() != Some(version)
        };
        if !(0..fleet.nodes().len()).any(late) {
            return Ok(started.elapsed().as_secs_f64() * 1000.0);
        }
        std::thread::sleep(SPREAD_POLL);
    }
    Err(Error::new(Code::NotReady))
}
