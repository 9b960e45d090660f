//! The configuration document and its check as a whole.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::Code;
use crate::{Error, Result};

/// Connections that a service gets unless the document says otherwise.
const DEFAULT_CALLERS: u32 = 75;

/// Configuration of a federation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the federation.
    pub federation: String,
    /// Places in which VMs and endpoints run.
    #[serde(default)]
    pub failure_domains: Vec<FailureDomain>,
    /// Members.
    pub clubs: Vec<Club>,
    /// Services that members use.
    pub services: Vec<Service>,
}

/// Place whose machines fail together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Name.
    pub name: String,
    /// Region that it belongs to.
    pub region: String,
}

/// Member of the federation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Club {
    /// Name, also the user name of its callers.
    pub name: String,
    /// SCRAM-SHA-256 verifier of its password, as PostgreSQL stores it.
    pub verifier: String,
}

/// Databases that share one set of rules.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Connections that may be open to one endpoint.
    pub slots: u32,
    /// Caller connections that one node accepts.
    #[serde(default = "default_callers")]
    pub callers: u32,
    /// Longest wait of a read for a replica that is fresh enough.
    #[serde(default = "default_read_wait", with = "humantime_serde")]
    pub read_wait: Duration,
    /// Longest wait of a statement for its turn.
    #[serde(default = "default_queue_timeout", with = "humantime_serde")]
    pub queue_timeout: Duration,
    /// Longest time a transaction may sit idle.
    #[serde(default = "default_idle", with = "humantime_serde")]
    pub idle_in_transaction: Duration,
    /// Age of data accepted by callers that state none; none means any age.
    #[serde(default, with = "humantime_serde", skip_serializing_if = "Option::is_none")]
    pub max_age: Option<Duration>,
    /// Share of the slot time by club; clubs that are not listed have no access.
    pub allowances: BTreeMap<String, u32>,
    /// Databases.
    pub databases: Vec<Database>,
}

/// Database group: one primary and its replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// Name, unique in the document.
    pub name: String,
    /// Members of the group.
    pub endpoints: Vec<Endpoint>,
}

/// Database server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Address, an IP number with a port.
    pub address: SocketAddr,
    /// Place.
    pub failure_domain: String,
}

/// Fault found in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Path of the faulty value.
    pub path: String,
    /// What is wrong with it.
    pub text: String,
}

fn default_callers() -> u32 {
    DEFAULT_CALLERS
}

fn default_read_wait() -> Duration {
    Duration::from_millis(200)
}

fn default_queue_timeout() -> Duration {
    Duration::from_secs(15)
}

fn default_idle() -> Duration {
    Duration::from_secs(5)
}

impl Document {
    /// Reads a document; it is not checked yet.
    ///
    /// # Errors
    ///
    /// Returns the place of a syntax error or of an unknown or missing key.
    pub fn from_yaml(text: &str) -> Result<Document> {
        serde_saphyr::from_str(text).map_err(|error| Error::new(Code::Yaml(error)))
    }

    /// Writes the document.
    ///
    /// # Errors
    ///
    /// Fails only if a value has no YAML form.
    pub fn to_yaml(&self) -> Result<String> {
        serde_saphyr::to_string(self).map_err(|error| Error::new(Code::Invalid(error.to_string())))
    }

    /// Returns every fault of the document as a whole.
    pub fn check(&self) -> Vec<Problem> {
        let mut checker = Checker::default();
        checker.document(self);
        checker.problems
    }

    /// Returns the service and the database called `name`.
    pub fn database(&self, name: &str) -> Option<(&Service, &Database)> {
        self.databases().find(|(_, database)| database.name == name)
    }

    /// Returns all databases with their services.
    pub fn databases(&self) -> impl Iterator<Item = (&Service, &Database)> {
        self.services
            .iter()
            .flat_map(|service| service.databases.iter().map(move |database| (service, database)))
    }

    /// Returns the club called `name`.
    pub fn club(&self, name: &str) -> Option<&Club> {
        self.clubs.iter().find(|club| club.name == name)
    }

    /// Returns the region of a failure domain.
    pub fn region(&self, failure_domain: &str) -> Option<&str> {
        let found = self.failure_domains.iter().find(|domain| domain.name == failure_domain);
        found.map(|domain| domain.region.as_str())
    }
}

#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
    fn require(&mut self, holds: bool, path: &str, text: impl Into<String>) {
        if !holds {
            self.problems.push(Problem { path: path.to_owned(), text: text.into() });
        }
    }

    fn unique<'a>(&mut self, path: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for name in names {
            self.require(!name.is_empty(), path, "name is empty");
            self.require(seen.insert(name), path, format!("name {name} is used twice"));
        }
    }

    fn document(&mut self, document: &Document) {
        self.require(!document.federation.is_empty(), "federation", "name is empty");
        self.unique("failure_domains", document.failure_domains.iter().map(|d| d.name.as_str()));
        self.unique("clubs", document.clubs.iter().map(|club| club.name.as_str()));
        self.unique("services", document.services.iter().map(|service| service.name.as_str()));
        let databases = document.databases().map(|(_, database)| database.name.as_str());
        self.unique("databases", databases);
        for club in &document.clubs {
            let path = format!("clubs.{}.verifier", club.name);
            let known = club.verifier.starts_with("SCRAM-SHA-256$");
            self.require(known, &path, "is no SCRAM-SHA-256 verifier");
        }
        for service in &document.services {
            self.service(document, service);
        }
        self.addresses(document);
    }

    fn service(&mut self, document: &Document, service: &Service) {
        let path = format!("services.{}", service.name);
        self.require(service.slots > 0, &format!("{path}.slots"), "is zero");
        self.require(service.callers > 0, &format!("{path}.callers"), "is zero");
        let wait = service.read_wait <= service.queue_timeout;
        self.require(wait, &format!("{path}.read_wait"), "is longer than queue_timeout");
        let idle = !service.idle_in_transaction.is_zero();
        self.require(idle, &format!("{path}.idle_in_transaction"), "is zero");
        for (club, share) in &service.allowances {
            let path = format!("{path}.allowances.{club}");
            self.require(document.club(club).is_some(), &path, "is no club of the document");
            self.require(*share > 0, &path, "is zero");
        }
        for database in &service.databases {
            self.database(document, &path, database);
        }
    }

    fn database(&mut self, document: &Document, path: &str, database: &Database) {
        let path = format!("{path}.databases.{}.endpoints", database.name);
        let count = database.endpoints.len();
        self.require(count % 2 == 1, &path, format!("{count} endpoints have no clear majority"));
        for endpoint in &database.endpoints {
            let known = document.region(&endpoint.failure_domain).is_some();
            let text = format!("failure domain {} is not in the document", endpoint.failure_domain);
            self.require(known, &path, text);
        }
    }

    fn addresses(&mut self, document: &Document) {
        let mut seen = BTreeSet::new();
        for (_, database) in document.databases() {
            for endpoint in &database.endpoints {
                let text = format!("address {} is used twice", endpoint.address);
                self.require(seen.insert(endpoint.address), "databases", text);
            }
        }
    }
}
