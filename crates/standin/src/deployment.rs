//! Deployments of the stand-in: database groups, registered with the platform stand-in, and the
//! configuration document that lists their endpoints.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tamarackbend_config::{Club, Database, Document, Endpoint, FailureDomain, Service};
use tamarackbend_objects::api::{self, KIND_CONFIG, KIND_GROUP, KIND_KEY};
use tamarackbend_postgres::verifier;

use crate::endpoint::{Group, Setup};
use crate::latency::Latency;
use crate::platform::Platform;

/// Number of endpoints of each database.
const ENDPOINTS_PER_DATABASE: usize = 3;

/// Description of a deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name of the federation.
    pub federation: String,
    /// Name of the service.
    pub service: String,
    /// Names of the databases.
    pub databases: Vec<String>,
    /// Failure domains, each with its region.
    pub failure_domains: Vec<(String, String)>,
    /// Clubs, each with its password and its allowance.
    pub clubs: Vec<(String, String, u32)>,
    /// Maximum number of connections of each endpoint.
    pub slots: u32,
    /// Replication lag: age at which replicas apply a log entry.
    pub lag: Duration,
    /// Whether network and execution delays apply.
    pub delays: bool,
}

/// Running database groups and their configuration.
pub struct Deployment {
    /// Database groups.
    pub groups: Vec<Group>,
    /// Configuration document that lists the groups' endpoints.
    pub document: Document,
}

impl Plan {
    /// Returns the plan of Amstelweide's register of allotment leases.
    pub fn amstelweide() -> Plan {
        Plan {
            federation: "amstelweide".to_owned(),
            service: "pachtregister".to_owned(),
            databases: database_names("pachtregister"),
            failure_domains: failure_domains(
                &["noord", "midden", "zuid"],
                &["noord", "midden", "zuid"],
            ),
            clubs: clubs(&["tuinvreugd", "westerpolder", "loket"]),
            slots: 5,
            lag: Duration::from_millis(20),
            delays: true,
        }
    }

    /// Returns the plan of the Vuković family's book cabinets.
    pub fn vukovic() -> Plan {
        Plan {
            federation: "vukovic".to_owned(),
            service: "knjiznica-db".to_owned(),
            databases: database_names("knjiznica"),
            failure_domains: failure_domains(
                &["split", "osijek", "krapina"],
                &["dalmacija", "slavonija", "zagorje"],
            ),
            clubs: clubs(&["volonteri", "gradani"]),
            slots: 2,
            lag: Duration::from_millis(20),
            delays: true,
        }
    }

    /// Returns the plan with `count` databases.
    pub fn with_databases(mut self, count: usize) -> Plan {
        let prefix = self.databases[0].trim_end_matches("-1").to_owned();
        self.databases = (1..=count).map(|n| format!("{prefix}-{n}")).collect();
        self
    }

    /// Returns the plan with or without network and execution delays.
    pub fn with_delays(mut self, delays: bool) -> Plan {
        self.delays = delays;
        self
    }

    /// Starts the endpoints and registers their groups with the platform.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound or a thread cannot be started.
    pub fn start(&self, platform: &Platform) -> std::io::Result<Deployment> {
        let mut groups = Vec::new();
        for (index, database) in self.databases.iter().enumerate() {
            let group = Group::start(self.setup(index, database))?;
            let object = api::Group { term: 1, primary: Some(0), ..api::Group::default() };
            platform.set_object(KIND_GROUP, database, serde_json::to_value(object)?);
            platform.attach_group(&group);
            groups.push(group);
        }
        let document = self.document(&groups);
        Ok(Deployment { groups, document })
    }

    fn setup(&self, index: usize, database: &str) -> Setup {
        let count = self.failure_domains.len();
        let domain = |offset: usize| self.failure_domains[(index + offset) % count].0.clone();
        Setup {
            database: database.to_owned(),
            failure_domains: (0..ENDPOINTS_PER_DATABASE).map(domain).collect(),
            slots: self.slots as usize,
            lag: self.lag,
            latency: self.latency(),
        }
    }

    fn latency(&self) -> Latency {
        if !self.delays {
            return Latency::none();
        }
        Latency {
            regions: self.failure_domains.iter().cloned().collect(),
            between_domains: Duration::from_micros(1500),
            between_regions: Duration::from_millis(8),
            connect: Duration::from_millis(12),
            execution: Duration::from_millis(1),
        }
    }

    fn document(&self, groups: &[Group]) -> Document {
        let domain = |(name, region): &(String, String)| FailureDomain {
            name: name.clone(),
            region: region.clone(),
        };
        let club = |(name, password, _): &(String, String, u32)| Club {
            name: name.clone(),
            verifier: verifier(password),
        };
        let allowances: BTreeMap<String, u32> =
            self.clubs.iter().map(|(name, _, allowance)| (name.clone(), *allowance)).collect();
        let service = Service {
            name: self.service.clone(),
            slots: self.slots,
            max_clients: 75 * u32::try_from(self.databases.len()).unwrap_or(1),
            read_wait: Duration::from_millis(200),
            queue_timeout: Duration::from_secs(15),
            idle_in_transaction: Duration::from_secs(5),
            max_age: None,
            allowances,
            databases: groups.iter().map(database).collect(),
        };
        Document {
            federation: self.federation.clone(),
            failure_domains: self.failure_domains.iter().map(domain).collect(),
            clubs: self.clubs.iter().map(club).collect(),
            services: vec![service],
        }
    }
}

/// Merges the documents of several deployments, publishes the result on the platform together
/// with a key for session tokens, and returns the merged document.
///
/// # Panics
///
/// Panics if a document cannot be serialized as JSON.
pub fn publish(platform: &Platform, documents: &[Document]) -> Document {
    let mut merged = Document { federation: "federation".to_owned(), ..Document::default() };
    for document in documents {
        merged.failure_domains.extend(document.failure_domains.iter().cloned());
        merged.clubs.extend(document.clubs.iter().cloned());
        merged.services.extend(document.services.iter().cloned());
    }
    let sections = merged.to_sections().expect("documents can be serialized");
    for section in &sections {
        let name = format!("section-{}", section.reference().hash);
        let value = serde_json::to_value(section).expect("sections can be serialized");
        platform.set_object(KIND_CONFIG, &name, value);
    }
    let head = tamarackbend_config::Head::default().next(&sections, "stand-in", "first");
    let head = serde_json::to_value(head).expect("heads can be serialized");
    platform.set_object(KIND_CONFIG, "head", head);
    let secret = "6b657920666f722073657373696f6e20746f6b656e7320696e207374616e642d696e";
    let key = api::Key { number: 1, secret: secret.to_owned() };
    let keys = serde_json::to_value(api::Keys { keys: vec![key] }).expect("keys can be serialized");
    platform.set_object(KIND_KEY, "session-token", keys);
    merged
}

fn database(group: &Group) -> Database {
    let endpoint = |(address, failure_domain): (&SocketAddr, &String)| Endpoint {
        address: *address,
        failure_domain: failure_domain.clone(),
    };
    let endpoints = group.addresses().iter().zip(group.failure_domains()).map(endpoint);
    Database { name: group.database().to_owned(), endpoints: endpoints.collect() }
}

fn database_names(prefix: &str) -> Vec<String> {
    (1..=3).map(|n| format!("{prefix}-{n}")).collect()
}

fn failure_domains(names: &[&str], regions: &[&str]) -> Vec<(String, String)> {
    let with_region = |(name, region): (&&str, &&str)| (format!("{name}-a"), (*region).to_owned());
    names.iter().zip(regions).map(with_region).collect()
}

fn clubs(names: &[&str]) -> Vec<(String, String, u32)> {
    names.iter().map(|name| ((*name).to_owned(), format!("{name}-password"), 1)).collect()
}
