//! Deployments of the users: the platform, their endpoints and the document that names them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tamarackbend_config::{Club, Database, Document, Endpoint, FailureDomain, Service};
use tamarackbend_objects::api::{self, KIND_CONFIG, KIND_GROUP, KIND_KEY};
use tamarackbend_postgres::verifier;

use crate::endpoint::{Group, Setup};
use crate::latency::Latency;
use crate::platform::Platform;

/// Endpoints of each database.
const ENDPOINTS: usize = 3;

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name of the federation.
    pub federation: String,
    /// Name of the service.
    pub service: String,
    /// Names of the databases.
    pub databases: Vec<String>,
    /// Failure domains with their regions.
    pub failure_domains: Vec<(String, String)>,
    /// Clubs with their passwords and shares.
    pub clubs: Vec<(String, String, u32)>,
    /// Connections of each endpoint.
    pub slots: u32,
    /// Age at which replicas apply the log.
    pub lag: Duration,
    /// Whether the delays of the brief apply.
    pub delays: bool,
}

/// Running endpoints with the document that names them.
pub struct Deployment {
    /// Groups of endpoints.
    pub groups: Vec<Group>,
    /// Configuration.
    pub document: Document,
}

impl Plan {
    /// Returns the allotment leases of Amstelweide.
    pub fn amstelweide() -> Plan {
        Plan {
            federation: "amstelweide".to_owned(),
            service: "pachtregister".to_owned(),
            databases: numbered("pachtregister"),
            failure_domains: places(&["noord", "midden", "zuid"], &["noord", "midden", "zuid"]),
            clubs: clubs(&["tuinvreugd", "westerpolder", "loket"]),
            slots: 5,
            lag: Duration::from_millis(20),
            delays: true,
        }
    }

    /// Returns the book cabinets of the Vuković family.
    pub fn vukovic() -> Plan {
        Plan {
            federation: "vukovic".to_owned(),
            service: "knjiznica-db".to_owned(),
            databases: numbered("knjiznica"),
            failure_domains: places(
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

    /// Returns the plan with or without the delays of the brief.
    pub fn with_delays(mut self, delays: bool) -> Plan {
        self.delays = delays;
        self
    }

    /// Starts the endpoints and registers them with the platform.
    ///
    /// # Errors
    ///
    /// Fails when no address can be had.
    pub fn start(&self, platform: &Platform) -> std::io::Result<Deployment> {
        let mut groups = Vec::new();
        for (index, database) in self.databases.iter().enumerate() {
            let group = Group::start(self.setup(index, database))?;
            let object = api::Group { term: 1, primary: Some(0), ..api::Group::default() };
            platform.set(KIND_GROUP, database, serde_json::to_value(object)?);
            platform.attach(&group);
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
            failure_domains: (0..ENDPOINTS).map(domain).collect(),
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
            service: Duration::from_millis(1),
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
            self.clubs.iter().map(|(name, _, share)| (name.clone(), *share)).collect();
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

/// Puts the documents of several deployments in force as one, with a key for session tokens.
///
/// # Panics
///
/// Panics if a document has no JSON form.
pub fn publish(platform: &Platform, documents: &[Document]) -> Document {
    let mut merged = Document { federation: "federation".to_owned(), ..Document::default() };
    for document in documents {
        merged.failure_domains.extend(document.failure_domains.iter().cloned());
        merged.clubs.extend(document.clubs.iter().cloned());
        merged.services.extend(document.services.iter().cloned());
    }
    let sections = merged.to_sections().expect("documents have a JSON form");
    for section in &sections {
        let name = format!("section-{}", section.reference().hash);
        let value = serde_json::to_value(section).expect("sections have a JSON form");
        platform.set(KIND_CONFIG, &name, value);
    }
    let head = tamarackbend_config::Head::default().next(&sections, "stand-in", "first");
    let head = serde_json::to_value(head).expect("heads have a JSON form");
    platform.set(KIND_CONFIG, "head", head);
    let secret = "6b657920666f722073657373696f6e20746f6b656e7320696e207374616e642d696e";
    let key = api::Key { number: 1, secret: secret.to_owned() };
    let keys = serde_json::to_value(api::Keys { keys: vec![key] }).expect("keys have a JSON form");
    platform.set(KIND_KEY, "session-token", keys);
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

fn numbered(prefix: &str) -> Vec<String> {
    (1..=3).map(|n| format!("{prefix}-{n}")).collect()
}

fn places(names: &[&str], regions: &[&str]) -> Vec<(String, String)> {
    let place = |(name, region): (&&str, &&str)| (format!("{name}-a"), (*region).to_owned());
    names.iter().zip(regions).map(place).collect()
}

fn clubs(names: &[&str]) -> Vec<(String, String, u32)> {
    names.iter().map(|name| ((*name).to_owned(), format!("{name}-password"), 1)).collect()
}
