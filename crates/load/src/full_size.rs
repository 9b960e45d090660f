//! Measurement of the ownership table and the configuration document at the full size, without a
//! running fleet.
//!
//! The full size is the number of nodes and databases that the system is designed for.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tamarackbend_config::{Database, Document, Endpoint, FailureDomain, Head, Service};
use tamarackbend_policy::ownership::{Candidate, Table};
use tamarackbend_policy::relay_tree;

use crate::Result;

/// Number of nodes.
const NODES: usize = 4100;
/// Number of databases.
const DATABASES: usize = 7000;
/// Number of databases of each service.
const DATABASES_PER_SERVICE: usize = 3;
/// Number of failure domains.
const FAILURE_DOMAINS: usize = 11;

/// Figures at the full size.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FullSize {
    /// Time to choose the owners of all databases, as at the start of a node.
    pub table_build_ms: f64,
    /// Time to update the ownership table when a node joins.
    pub node_joins_ms: f64,
    /// Time to update the ownership table when a node leaves.
    pub node_leaves_ms: f64,
    /// Highest number of databases that one node owns.
    #[serde(rename = "most_databases")]
    pub max_databases: usize,
    /// Size of the document as JSON, in bytes.
    pub document_bytes: usize,
    /// Size of the largest section, in bytes.
    pub section_bytes: usize,
    /// Size of the head, in bytes.
    pub head_bytes: usize,
    /// Time to parse and check the document.
    pub parse_and_check_ms: f64,
    /// Time to apply a change of one service to a copy of the document.
    pub apply_ms: f64,
    /// Time to split the document into sections and a head.
    pub split_ms: f64,
    /// Number of hops in the relay tree below the watchers.
    #[serde(rename = "spread_hops")]
    pub relay_hops: usize,
}

impl fmt::Display for FullSize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{NODES} nodes {DATABASES} databases: table {:.0} ms, join {:.2} ms, leave {:.2} ms, \
             at most {} databases a node",
            self.table_build_ms, self.node_joins_ms, self.node_leaves_ms, self.max_databases
        )?;
        writeln!(
            formatter,
            "document {} bytes, largest section {}, head {}; parse and check {:.1} ms, \
             apply {:.1} ms, split {:.1} ms; {} hops",
            self.document_bytes,
            self.section_bytes,
            self.head_bytes,
            self.parse_and_check_ms,
            self.apply_ms,
            self.split_ms,
            self.relay_hops
        )
    }
}

/// Measures the ownership table and the configuration document at the full size.
///
/// # Errors
///
/// Fails only if the document cannot be serialized as JSON.
pub fn full_size() -> Result<FullSize> {
    let mut figures = FullSize::default();
    measure_table(&mut figures);
    measure_document(&mut figures)?;
    figures.relay_hops = relay_tree::depth(NODES / FAILURE_DOMAINS + 1);
    Ok(figures)
}

fn measure_table(figures: &mut FullSize) {
    let mut nodes: Vec<Candidate> = (0..NODES).map(candidate).collect();
    let mut table = Table::new();
    table.set_databases((0..DATABASES).map(|n| (format!("database-{n}"), Some(domain(n)))));
    figures.table_build_ms = timed(|| table.set_candidates(nodes.clone())).1;
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for (_, owner) in table.owners() {
        *counts.entry(owner.map_or("", String::as_str)).or_default() += 1;
    }
    figures.max_databases = counts.values().copied().max().unwrap_or_default();
    nodes.push(candidate(NODES));
    figures.node_joins_ms = timed(|| table.set_candidates(nodes.clone())).1;
    nodes.remove(0);
    figures.node_leaves_ms = timed(|| table.set_candidates(nodes.clone())).1;
}

fn measure_document(figures: &mut FullSize) -> Result<()> {
    let document = document();
    let (sections, split_ms) = timed(|| document.to_sections());
    let sections = sections?;
    let (head, hash_ms) = timed(|| Head::default().next(&sections, "capacity", "capacity"));
    figures.split_ms = split_ms + hash_ms;
    figures.document_bytes = sections.iter().map(|section| section.json.len()).sum();
    figures.section_bytes = sections.iter().map(|s| s.json.len()).max().unwrap_or_default();
    figures.head_bytes = serde_json::to_string(&head).map_or(0, |json| json.len());
    let (checked, check_ms) = timed(|| Document::from_sections(&sections).map(|d| d.check().len()));
    checked?;
    figures.parse_and_check_ms = check_ms;
    let changed = &sections[sections.len() - 1..];
    let (applied, apply_ms) = timed(|| document.clone().apply_sections(changed));
    applied?;
    figures.apply_ms = apply_ms;
    Ok(())
}

/// Returns the result of `work` and the time that it took, in milliseconds.
fn timed<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let started_at = Instant::now();
    let result = work();
    (result, started_at.elapsed().as_secs_f64() * 1000.0)
}

fn candidate(index: usize) -> Candidate {
    Candidate { vm: format!("entry-{index}"), failure_domain: domain(index) }
}

fn domain(index: usize) -> String {
    format!("domain-{}", index % FAILURE_DOMAINS)
}

fn document() -> Document {
    let failure_domain = |n| FailureDomain { name: domain(n), region: format!("region-{}", n % 3) };
    let services = DATABASES.div_ceil(DATABASES_PER_SERVICE);
    Document {
        federation: "fleet".to_owned(),
        failure_domains: (0..FAILURE_DOMAINS).map(failure_domain).collect(),
        clubs: Vec::new(),
        services: (0..services).map(service).collect(),
    }
}

fn service(index: usize) -> Service {
    let databases = (0..DATABASES_PER_SERVICE).map(|n| database(index * DATABASES_PER_SERVICE + n));
    Service {
        name: format!("service-{index}"),
        slots: 5,
        max_clients: 75,
        read_wait: Duration::from_millis(200),
        queue_timeout: Duration::from_secs(15),
        idle_in_transaction: Duration::from_secs(5),
        max_age: None,
        allowances: BTreeMap::new(),
        databases: databases.collect(),
    }
}

fn database(index: usize) -> Database {
    let endpoint = |n: usize| {
        let number = u32::try_from(index * 3 + n).unwrap_or_default();
        let address = Ipv4Addr::from(0x0a00_0000 + number);
        Endpoint { address: SocketAddr::from((address, 5432)), failure_domain: domain(index + n) }
    };
    Database { name: format!("database-{index}"), endpoints: (0..3).map(endpoint).collect() }
}
