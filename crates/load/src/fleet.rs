//! Fleet of an experiment: stand-ins of the platform and the endpoints, and nodes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use tamarackbend_config::{Document, Settings};
use tamarackbend_node::{Node, Variant};
use tamarackbend_objects::api::Vm;
use tamarackbend_standin::deployment::{Deployment, Plan, publish};
use tamarackbend_standin::endpoint::Group;
use tamarackbend_standin::platform::Platform;

use crate::error::Code;
use crate::{Error, Result};

/// Token for the admin interface of the nodes.
pub const ADMIN_TOKEN: &str = "operator-of-the-stand-in";
/// Longest time that a node may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a starting node is asked whether it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Composition of a fleet.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Plans of the deployments.
    pub plans: Vec<Plan>,
    /// Number of nodes.
    pub nodes: usize,
    /// Policy and guards of the nodes.
    pub variant: Variant,
}

impl Default for Layout {
    fn default() -> Layout {
        Layout {
            plans: vec![Plan::amstelweide(), Plan::vukovic()],
            nodes: 3,
            variant: Variant::default(),
        }
    }
}

/// Running fleet; its nodes are killed when the value is dropped.
pub struct Fleet {
    platform: Platform,
    plans: Vec<Plan>,
    deployments: Vec<Deployment>,
    document: Document,
    variant: Variant,
    nodes: Vec<Node>,
}

impl Fleet {
    /// Starts a fleet and waits until every node is ready.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound or a node does not become ready in time.
    pub fn start(layout: Layout) -> Result<Fleet> {
        let platform = Platform::start(([127, 0, 0, 1], 0).into())?;
        let mut deployments = Vec::new();
        for plan in &layout.plans {
            deployments.push(plan.start(&platform)?);
        }
        let documents: Vec<Document> =
            deployments.iter().map(|deployment| deployment.document.clone()).collect();
        let document = publish(&platform, &documents);
        let (plans, variant, nodes) = (layout.plans, layout.variant, Vec::new());
        let mut fleet = Fleet { platform, plans, deployments, document, variant, nodes };
        for _ in 0..layout.nodes {
            fleet.add_node()?;
        }
        for index in 0..layout.nodes {
            fleet.await_ready(index)?;
        }
        Ok(fleet)
    }

    /// Starts another node and registers it with the platform; returns its index.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub fn add_node(&mut self) -> Result<usize> {
        let index = self.nodes.len();
        let domains = &self.document.failure_domains;
        let domain = domains[index % domains.len()].name.clone();
        let vm = format!("entry-{}", index + 1);
        let settings = settings(&vm, &domain, self.platform.address())?;
        let node = Node::start_with(settings, self.variant)?;
        let peer_address = node.addresses().peer;
        let vm = Vm { name: vm, failure_domain: domain, peer_address, draining: false };
        self.platform.set_vm(vm);
        self.nodes.push(node);
        Ok(index)
    }

    /// Waits until a node reports that it is ready for clients.
    ///
    /// # Errors
    ///
    /// Fails when the node is not ready in time.
    pub fn await_ready(&self, index: usize) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let is_ready = || {
            let response = send_request(self.nodes[index].addresses().admin, "GET", "/readyz");
            response.is_ok_and(|response| response.starts_with("HTTP/1.1 200"))
        };
        while !is_ready() {
            if Instant::now() > deadline {
                return Err(Error::new(Code::NotReady));
            }
            std::thread::sleep(READY_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Returns the stand-in of the platform.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Returns the configuration document that was published at the start.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns all nodes that were ever started, by index.
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// Returns the database group of a database.
    pub fn group(&self, database: &str) -> Option<&Group> {
        let groups = self.deployments.iter().flat_map(|deployment| &deployment.groups);
        groups.into_iter().find(|group| group.database() == database)
    }

    /// Returns the names of the databases of one deployment.
    pub fn databases(&self, plan: usize) -> Vec<String> {
        self.plans[plan].databases.clone()
    }

    /// Returns the connection string for a database at a node, as a club of a plan.
    pub fn dsn(&self, plan: usize, club: usize, database: &str, node: usize) -> String {
        let (name, password, _) = &self.plans[plan].clubs[club];
        let address = self.nodes[node].addresses().client;
        format!("postgresql://{name}:{password}@{address}/{database}")
    }

    /// Returns a connection string for each deployment and node, with the deployment's first club
    /// and first database.
    pub fn dsns(&self) -> Vec<String> {
        let mut dsns = Vec::new();
        for (index, plan) in self.plans.iter().enumerate() {
            for node in 0..self.nodes.len() {
                dsns.push(self.dsn(index, 0, &plan.databases[0], node));
            }
        }
        dsns
    }

    /// Returns the state dump of a node as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the node does not answer.
    pub fn state(&self, node: usize) -> Result<String> {
        let response = send_request(self.nodes[node].addresses().admin, "GET", "/state")?;
        Ok(response.split_once("\r\n\r\n").map(|(_, body)| body.to_owned()).unwrap_or_default())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &self.nodes {
            node.kill();
        }
    }
}

/// Returns the metrics of the process, which all nodes of the fleet share.
///
/// # Errors
///
/// Fails when the first node does not answer.
pub(crate) fn metrics(fleet: &Fleet) -> Result<String> {
    Ok(send_request(fleet.nodes[0].addresses().admin, "GET", "/metrics")?)
}

fn settings(vm: &str, domain: &str, platform: SocketAddr) -> Result<Settings> {
    let text = format!(
        "vm: {vm}\nfailure_domain: {domain}\ncaller_address: 127.0.0.1:0\n\
         peer_address: 127.0.0.1:0\nadmin_address: 127.0.0.1:0\n\
         platform_address: {platform}\nadmin_token: {ADMIN_TOKEN}\n"
    );
    Ok(Settings::from_yaml(&text)?)
}

/// Sends an HTTP request and returns the whole response.
fn send_request(address: SocketAddr, method: &str, path: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READY_TIMEOUT))?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer {ADMIN_TOKEN}\r\n\
         Connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response)
}
