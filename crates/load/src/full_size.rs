//! Cost of the decisions and the document at the size to design for, without a fleet.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tamarackbend_config::{Database, Document, Endpoint, FailureDomain, Head, Service};
use tamarackbend_policy::ownership::{Candidate, Table};
use tamarackbend_policy::relay_tree;

use crate::Result;

/// Nodes of the fleet.
const NODES: usize = 4100;
/// Databases of the fleet.
const DATABASES: usize = 7000;
/// Databases of one service.
const DATABASES_PER_SERVICE: usize = 3;
/// Failure domains of the fleet.
const FAILURE_DOMAINS: usize = 11;

/// Figures at the size to design for.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FullSize {
    /// Time to find the owners of all databases at the start of a node.
    pub table_build_ms: f64,
    /// Time to take one more node in.
    pub node_joins_ms: f64,
    /// Time to take one node out.
    pub node_leaves_ms: f64,
    /// Databases of the node that owns most.
    pub most_databases: usize,
    /// Bytes of the document as JSON.
    pub document_bytes: usize,
    /// Bytes of the largest section.
    pub section_bytes: usize,
    /// Bytes of the head.
    pub head_bytes: usize,
    /// Time to parse and check the document.
    pub parse_and_check_ms: f64,
    /// Time to apply a change of one service to a copy.
    pub apply_ms: f64,
    /// Time to split it into sections and a head.
    pub split_ms: f64,
    /// Hops of the spread tree below the watchers.
    pub spread_hops: usize,
}

impl fmt::Display for FullSize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{NODES} nodes {DATABASES} databases: table {:.0} ms, join {:.2} ms, leave {:.2} ms, \
             at most {} databases a node",
            self.table_build_ms, self.node_joins_ms, self.node_leaves_ms, self.most_databases
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
            self.spread_hops
        )
    }
}

/// Measures the decisions and the document at the size to design for.
///
/// # Errors
///
/// Fails only if a document has no JSON form.
pub fn full_size() -> Result<FullSize> {
    let mut figures = FullSize::default();
    measure_table(&mut figures);
    measure_document(&mut figures)?;
    figures.spread_hops = relay_tree::depth(NODES / FAILURE_DOMAINS + 1);
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
    figures.most_databases = counts.values().copied().max().unwrap_or_default();
    nodes.push(candidate(NODES));
    figures.node_joins_ms = timed(|| table.set_candidates(nodes.clone())).1;
    nodes.remove(0);
    figures.node_leaves_ms = timed(|| table.set_candidates(nodes.clone())).1;
}

fn measure_document(figures: &mut FullSize) -> Result<()> {
    let document = document();
    let (sections, split) = timed(|| document.to_sections());
    let sections = sections?;
    let (head, hash) = timed(|| Head::default().next(&sections, "capacity", "capacity"));
    figures.split_ms = split + hash;
    figures.document_bytes = sections.iter().map(|section| section.json.len()).sum();
    figures.section_bytes = sections.iter().map(|s| s.json.len()).max().unwrap_or_default();
    figures.head_bytes = serde_json::to_string(&head).map_or(0, |json| json.len());
    let (checked, time) = timed(|| Document::from_sections(&sections).map(|d| d.check().len()));
    checked?;
    figures.parse_and_check_ms = time;
    let changed = &sections[sections.len() - 1..];
    let (applied, time) = timed(|| document.clone().apply_sections(changed));
    applied?;
    figures.apply_ms = time;
    Ok(())
}

fn timed<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let started = Instant::now();
    let result = work();
    (result, started.elapsed().as_secs_f64() * 1000.0)
}

fn candidate(index: usize) -> Candidate {
    Candidate { vm: format!("entry-{index}"), failure_domain: domain(index) }
}

fn domain(index: usize) -> String {
    format!("domain-{}", index % FAILURE_DOMAINS)
}

fn document() -> Document {
    let place = |n| FailureDomain { name: domain(n), region: format!("region-{}", n % 3) };
    let services = DATABASES.div_ceil(DATABASES_PER_SERVICE);
    Document {
        federation: "fleet".to_owned(),
        failure_domains: (0..FAILURE_DOMAINS).map(place).collect(),
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
