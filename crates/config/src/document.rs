//! The configuration document and its validation.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::Code;
use crate::{Error, Result};

/// Client connections that a node accepts for a service whose entry sets no limit.
const DEFAULT_MAX_CLIENTS: u32 = 75;

/// Configuration of a federation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the federation.
    pub federation: String,
    /// Failure domains in which VMs and endpoints run.
    #[serde(default)]
    pub failure_domains: Vec<FailureDomain>,
    /// Member clubs.
    pub clubs: Vec<Club>,
    /// Services that the clubs use.
    pub services: Vec<Service>,
}

/// Location whose machines may fail together, such as a data center.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Name.
    pub name: String,
    /// Region of the failure domain.
    pub region: String,
}

/// Member of the federation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Club {
    /// Name of the club, also the user name with which its clients log in.
    pub name: String,
    /// SCRAM-SHA-256 verifier of the club's password, in PostgreSQL's format.
    pub verifier: String,
}

/// Databases that share limits and allowances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Maximum number of connections to one endpoint.
    pub slots: u32,
    /// Maximum number of client connections of the service to one node.
    #[serde(rename = "callers", default = "default_max_clients")]
    pub max_clients: u32,
    /// Maximum time that a read waits for a sufficiently fresh replica.
    #[serde(default = "default_read_wait", with = "humantime_serde")]
    pub read_wait: Duration,
    /// Maximum time that a statement waits in the queue.
    #[serde(default = "default_queue_timeout", with = "humantime_serde")]
    pub queue_timeout: Duration,
    /// Maximum idle time within a transaction.
    #[serde(default = "default_idle_in_transaction", with = "humantime_serde")]
    pub idle_in_transaction: Duration,
    /// Maximum staleness of reads whose client sets none; `None` means no bound.
    #[serde(default, with = "humantime_serde", skip_serializing_if = "Option::is_none")]
    pub max_age: Option<Duration>,
    /// Relative share of the slot time by club; clubs that are not listed have no access.
    pub allowances: BTreeMap<String, u32>,
    /// Databases of the service.
    pub databases: Vec<Database>,
}

/// Database group: one primary and its replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// Name, unique in the document.
    pub name: String,
    /// Endpoints of the group, in any role.
    pub endpoints: Vec<Endpoint>,
}

/// Database server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// IP address and port.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub failure_domain: String,
}

/// Invalid value in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Dotted path of the value.
    pub path: String,
    /// Description of the problem.
    pub text: String,
}

fn default_max_clients() -> u32 {
    DEFAULT_MAX_CLIENTS
}

fn default_read_wait() -> Duration {
    Duration::from_millis(200)
}

fn default_queue_timeout() -> Duration {
    Duration::from_secs(15)
}

fn default_idle_in_transaction() -> Duration {
    Duration::from_secs(5)
}

impl Document {
    /// Parses a document without validating its values; see [`Document::check`].
    ///
    /// # Errors
    ///
    /// Fails with the position of a syntax error, an unknown key or a missing key.
    pub fn from_yaml(text: &str) -> Result<Document> {
        serde_saphyr::from_str(text).map_err(|error| Error::new(Code::Yaml(error)))
    }

    /// Returns the document as YAML.
    ///
    /// # Errors
    ///
    /// Fails only if a value has no YAML form.
    pub fn to_yaml(&self) -> Result<String> {
        serde_saphyr::to_string(self).map_err(|error| Error::new(Code::Invalid(error.to_string())))
    }

    /// Validates the document as a whole and returns every problem.
    pub fn check(&self) -> Vec<Problem> {
        let mut checker = Checker::default();
        checker.check_document(self);
        checker.problems
    }

    /// Returns the database called `name` with its service.
    pub fn database(&self, name: &str) -> Option<(&Service, &Database)> {
        self.databases().find(|(_, database)| database.name == name)
    }

    /// Returns all databases, each with its service.
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
        let entry = self.failure_domains.iter().find(|domain| domain.name == failure_domain);
        entry.map(|domain| domain.region.as_str())
    }
}

#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
    /// Records a problem at `path` unless `is_valid`.
    fn require(&mut self, is_valid: bool, path: &str, text: impl Into<String>) {
        if !is_valid {
            self.problems.push(Problem { path: path.to_owned(), text: text.into() });
        }
    }

    fn check_unique_names<'a>(&mut self, path: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for name in names {
            self.check_name(path, name);
            self.require(seen.insert(name), path, format!("name {name} is used twice"));
        }
    }

    /// Requires that `name` can be a field of a message and stays on one line.
    fn check_name(&mut self, path: &str, name: &str) {
        self.require(!name.is_empty(), path, "name is empty");
        let is_one_field = !name.contains(char::is_control);
        self.require(is_one_field, path, format!("name {name:?} has a control character"));
    }

    fn check_document(&mut self, document: &Document) {
        self.check_name("federation", &document.federation);
        self.check_unique_names(
            "failure_domains",
            document.failure_domains.iter().map(|d| d.name.as_str()),
        );
        self.check_unique_names("clubs", document.clubs.iter().map(|club| club.name.as_str()));
        self.check_unique_names(
            "services",
            document.services.iter().map(|service| service.name.as_str()),
        );
        let databases: Vec<&str> =
            document.databases().map(|(_, database)| database.name.as_str()).collect();
        self.check_unique_names("databases", databases.iter().copied());
        for name in databases {
            // The state of a database is an object with its name.
            let is_segment = !matches!(name, "." | "..");
            self.require(is_segment, "databases", format!("name {name} cannot stand in a path"));
        }
        for club in &document.clubs {
            let path = format!("clubs.{}.verifier", club.name);
            let is_verifier = club.verifier.starts_with("SCRAM-SHA-256$");
            self.require(is_verifier, &path, "is not a SCRAM-SHA-256 verifier");
        }
        for service in &document.services {
            self.check_service(document, service);
        }
        self.check_addresses(document);
    }

    fn check_service(&mut self, document: &Document, service: &Service) {
        let path = format!("services.{}", service.name);
        self.require(service.slots > 0, &format!("{path}.slots"), "is zero");
        self.require(service.max_clients > 0, &format!("{path}.callers"), "is zero");
        let is_within_timeout = service.read_wait <= service.queue_timeout;
        self.require(
            is_within_timeout,
            &format!("{path}.read_wait"),
            "is longer than queue_timeout",
        );
        let is_positive = !service.idle_in_transaction.is_zero();
        self.require(is_positive, &format!("{path}.idle_in_transaction"), "is zero");
        for (club, share) in &service.allowances {
            let path = format!("{path}.allowances.{club}");
            self.require(document.club(club).is_some(), &path, "is not a club of the document");
            self.require(*share > 0, &path, "is zero");
        }
        for database in &service.databases {
            self.check_database(document, &path, database);
        }
    }

    fn check_database(&mut self, document: &Document, path: &str, database: &Database) {
        let path = format!("{path}.databases.{}.endpoints", database.name);
        let count = database.endpoints.len();
        self.require(
            count % 2 == 1,
            &path,
            format!("number of endpoints is {count}, but a majority needs an odd number"),
        );
        for endpoint in &database.endpoints {
            let is_listed = document.region(&endpoint.failure_domain).is_some();
            let text = format!("failure domain {} is not in the document", endpoint.failure_domain);
            self.require(is_listed, &path, text);
        }
    }

    fn check_addresses(&mut self, document: &Document) {
        let mut seen = BTreeSet::new();
        for (_, database) in document.databases() {
            for endpoint in &database.endpoints {
                let text = format!("address {} is used twice", endpoint.address);
                self.require(seen.insert(endpoint.address), "databases", text);
            }
        }
    }
}
