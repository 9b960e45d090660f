//! Stand-in of a database group: a primary and its replicas on one thread.
//!
//! Each endpoint listens on its own loopback address and speaks the PostgreSQL protocol. Control
//! connections, by which nodes query the status and order promotions, don't count towards the
//! endpoint's connection limit.

mod engine;
mod infer;
mod log;
mod session;
mod types;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use compio::net::TcpListener;
pub use log::Report;
use log::Server;
use serde::{Deserialize, Serialize};

use crate::latency::Latency;

/// Time between two replication steps.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(2);

/// Faults of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// The process has exited; its log is kept.
    pub crashed: bool,
    /// The process is suspended and keeps its connections open.
    pub paused: bool,
    /// The endpoint has no connection to the other endpoints of its group.
    pub isolated: bool,
    /// Connections from nodes get no answer; replication continues.
    pub unreachable: bool,
    /// Replication lag: age in milliseconds at which a replica applies a log entry.
    pub lag_ms: u64,
    /// Added delay of answers, in milliseconds.
    #[serde(rename = "late_ms")]
    pub answer_delay_ms: u64,
}

/// Parameters of a group.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name of the database.
    pub database: String,
    /// Failure domain of each endpoint; the first endpoint is the primary of term 1.
    pub failure_domains: Vec<String>,
    /// Maximum number of connections of each endpoint, control connections excepted.
    pub slots: usize,
    /// Replication lag: age at which a replica applies a log entry.
    pub lag: Duration,
    /// Network and execution delays.
    pub latency: Latency,
}

/// Running stand-in of a database group.
#[derive(Clone)]
pub struct Group {
    database: String,
    addresses: Vec<SocketAddr>,
    failure_domains: Vec<String>,
    faults: Arc<Mutex<Vec<Faults>>>,
    reports: Arc<Mutex<Vec<Report>>>,
}

impl Group {
    /// Starts a group on loopback, on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound or the thread cannot be started.
    pub fn start(setup: Setup) -> std::io::Result<Group> {
        let count = setup.failure_domains.len();
        let mut listeners = Vec::new();
        for _ in 0..count {
            let listener = std::net::TcpListener::bind(("127.0.0.1", 0))?;
            listener.set_nonblocking(true)?;
            listeners.push(listener);
        }
        let addresses = listeners.iter().map(|listener| listener.local_addr());
        let lag_ms = u64::try_from(setup.lag.as_millis()).unwrap_or(u64::MAX);
        let faults = vec![Faults { lag_ms, ..Faults::default() }; count];
        let group = Group {
            database: setup.database.clone(),
            addresses: addresses.collect::<std::io::Result<_>>()?,
            failure_domains: setup.failure_domains.clone(),
            faults: Arc::new(Mutex::new(faults)),
            reports: Arc::new(Mutex::new(Vec::new())),
        };
        let shared = group.clone();
        std::thread::Builder::new().name(setup.database.clone()).spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime can be created");
            runtime.block_on(run(setup, listeners, shared));
        })?;
        Ok(group)
    }

    /// Returns the name of the database.
    pub fn database(&self) -> &str {
        &self.database
    }

    /// Returns the address of each endpoint.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Returns the failure domain of each endpoint.
    pub fn failure_domains(&self) -> &[String] {
        &self.failure_domains
    }

    /// Sets the faults of one endpoint.
    pub fn set_faults(&self, index: usize, faults: Faults) {
        self.faults.lock().expect("the lock is not poisoned")[index] = faults;
    }

    /// Returns the faults of one endpoint.
    pub fn faults(&self, index: usize) -> Faults {
        self.faults.lock().expect("the lock is not poisoned")[index]
    }

    /// Returns the status and counts of every endpoint as of the last replication step.
    pub fn reports(&self) -> Vec<Report> {
        self.reports.lock().expect("the lock is not poisoned").clone()
    }
}

async fn run(setup: Setup, listeners: Vec<std::net::TcpListener>, group: Group) {
    let servers: Vec<Rc<RefCell<Server>>> = (0..listeners.len())
        .map(|index| Rc::new(RefCell::new(Server::new(&setup, index, group.addresses[index]))))
        .collect();
    for (index, listener) in listeners.into_iter().enumerate() {
        let listener = TcpListener::from_std(listener).expect("the socket is valid");
        compio::runtime::spawn(accept(listener, index, servers.clone())).detach();
    }
    loop {
        let faults = group.faults.lock().expect("the lock is not poisoned").clone();
        for (server, faults) in servers.iter().zip(&faults) {
            server.borrow_mut().set_faults(*faults);
        }
        log::replicate(&servers);
        let reports = servers.iter().map(|server| server.borrow().report()).collect();
        *group.reports.lock().expect("the lock is not poisoned") = reports;
        compio::time::sleep(REPLICATION_INTERVAL).await;
    }
}

async fn accept(listener: TcpListener, index: usize, servers: Vec<Rc<RefCell<Server>>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if servers[index].borrow().faults().crashed {
            continue;
        }
        compio::runtime::spawn(session::serve(stream, index, servers.clone())).detach();
    }
}
