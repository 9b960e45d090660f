//! Measurement of the cost of an idle fleet by its size.
//!
//! The nodes run as threads of this process; the processor time of a node is that of its thread.

use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tamarackbend_objects::{Client, Publication, Store};
use tamarackbend_standin::deployment::Plan;

use crate::error::Code;
use crate::fleet::metrics;
use crate::{Error, Fleet, FullSize, Layout, Result, full_size};

/// Wait before the measurement, in which nodes link to each other and owners start.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Duration of the measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(8);
/// Interval at which nodes are asked for the version of their configuration.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time until every node must have applied a new configuration.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(20);
/// Clock ticks per second in the kernel's processor accounting.
const TICKS_PER_SECOND: f64 = 100.0;

/// Results of a capacity measurement.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Capacity {
    /// Points in the order of the sizes.
    pub points: Vec<Point>,
    /// Cost of the ownership table and of the document at the full size.
    pub full_size: FullSize,
}

/// Cost of an idle fleet of one size.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Point {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of databases.
    pub databases: usize,
    /// Share of a processor core that a node uses.
    pub core_share_per_node: f64,
    /// Bytes of control messages that a node sends to its peers per second.
    pub link_bytes_per_node_s: f64,
    /// Probes of endpoints that a node sends per second.
    pub probes_per_node_s: f64,
    /// Number of links of a node.
    pub links_per_node: f64,
    /// Reads of objects and lists of VMs on the platform per second, of all nodes together.
    pub platform_reads_per_s: f64,
    /// Watches started on the platform per second, of all nodes together.
    pub platform_watches_per_s: f64,
    /// Resident memory of the whole process with the stand-ins, in MiB.
    pub resident_mb: f64,
    /// Time from the publication of a configuration until every node has applied it.
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

/// Measures an idle fleet at each size, given as numbers of nodes and of databases.
///
/// # Errors
///
/// Fails when a fleet does not start or a node does not apply a configuration in time.
pub fn capacity(sizes: &[(usize, usize)]) -> Result<Capacity> {
    let mut capacity = Capacity { full_size: full_size()?, ..Capacity::default() };
    for (nodes, databases) in sizes {
        capacity.points.push(measure_point(*nodes, *databases)?);
    }
    Ok(capacity)
}

/// Counters of the fleet at one moment, summed over all nodes.
struct Sample {
    ticks: f64,
    control_bytes: f64,
    probes: f64,
    reads: f64,
    watches: f64,
}

fn measure_point(nodes: usize, databases: usize) -> Result<Point> {
    let plan = Plan::amstelweide().with_databases(databases).with_delays(false);
    let fleet = Fleet::start(Layout { plans: vec![plan], nodes, ..Layout::default() })?;
    std::thread::sleep(SETTLE_TIME);
    let before = take_sample(&fleet)?;
    std::thread::sleep(MEASUREMENT_TIME);
    let after = take_sample(&fleet)?;
    let rate = |before: f64, after: f64| (after - before) / MEASUREMENT_TIME.as_secs_f64();
    let per_node = |before: f64, after: f64| rate(before, after) / nodes as f64;
    let links: usize = states(&fleet).iter().map(link_count).sum();
    Ok(Point {
        nodes,
        databases,
        core_share_per_node: per_node(before.ticks, after.ticks) / TICKS_PER_SECOND,
        link_bytes_per_node_s: per_node(before.control_bytes, after.control_bytes),
        probes_per_node_s: per_node(before.probes, after.probes),
        links_per_node: links as f64 / nodes as f64,
        platform_reads_per_s: rate(before.reads, after.reads),
        platform_watches_per_s: rate(before.watches, after.watches),
        resident_mb: resident_mb(),
        config_spread_ms: measure_config_spread(&fleet)?,
    })
}

fn take_sample(fleet: &Fleet) -> Result<Sample> {
    let calls = fleet.platform().calls();
    let text = metrics(fleet)?;
    let control = text.lines().filter(|line| line.contains("purpose=\"control\""));
    let control_bytes =
        control.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum();
    let probes = states(fleet)
        .iter()
        .filter_map(|state| state["owners"].as_object().cloned())
        .flat_map(|owners| owners.into_iter().map(|(_, owner)| owner))
        .filter_map(|owner| owner["probes"].as_f64())
        .sum();
    Ok(Sample {
        ticks: node_ticks(),
        control_bytes,
        probes,
        reads: (calls.reads + calls.lists) as f64,
        watches: calls.watches as f64,
    })
}

/// Returns the state dumps of the nodes that answer.
fn states(fleet: &Fleet) -> Vec<Value> {
    let state = |node| serde_json::from_str(&fleet.state(node).unwrap_or_default());
    (0..fleet.nodes().len()).filter_map(|node| state(node).ok()).collect()
}

/// Returns the number of links of a node, from its state dump.
fn link_count(state: &Value) -> usize {
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

/// Publishes a changed configuration and waits until every node has applied it; returns the time
/// in milliseconds.
fn measure_config_spread(fleet: &Fleet) -> Result<f64> {
    let step_error = |error: tamarackbend_objects::Error| {
        Error::new(Code::Step(format!("configuration cannot be published: {error}")))
    };
    let runtime = compio::runtime::Runtime::new()?;
    let started_at = Instant::now();
    let version = runtime.block_on(async {
        let mut store = Store::new(Client::new(fleet.platform().address()));
        let base = store.load().await.map_err(step_error)?;
        let mut document = fleet.document().clone();
        document.services[0].slots += 1;
        let change = Publication {
            document: &document,
            base: &base,
            author: "capacity",
            update_id: "capacity",
        };
        store.publish(&change).await.map_err(step_error)
    })?;
    while started_at.elapsed() < CONFIG_TIMEOUT {
        let is_outdated = |node| {
            let state = fleet.state(node).unwrap_or_default();
            let state: Value = serde_json::from_str(&state).unwrap_or_default();
            state["config_version"].as_u64() != Some(version)
        };
        if !(0..fleet.nodes().len()).any(is_outdated) {
            return Ok(started_at.elapsed().as_secs_f64() * 1000.0);
        }
        std::thread::sleep(CONFIG_POLL_INTERVAL);
    }
    Err(Error::new(Code::NotReady))
}
