//! Sections in which a document is stored and distributed.
//!
//! The platform stores values of at most one megabyte, less than a document of thousands of
//! databases takes. Each service is therefore a section, stored under the hash of its content; one
//! more section holds the rest of the document. A head lists the sections of one version. Sections
//! are immutable, and only the head is updated by compare-and-swap, so a writer that loses a race
//! has not altered the current version.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::error::Code;
use crate::{Club, Document, Error, FailureDomain, Result, Service};

/// Name of the section that holds everything except the services.
const COMMON_SECTION: &str = "common";
/// Prefix of the names of service sections, before the service's name.
const SERVICE_PREFIX: &str = "service/";
/// Maximum number of revisions in a head.
const HISTORY_LIMIT: usize = 20;

/// Part of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Section {
    /// Name, unique within the document.
    pub name: String,
    /// Content as JSON; empty in an update that removes the section.
    pub json: String,
}

/// Name and content hash of a section.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionRef {
    /// Name, unique within the document.
    pub name: String,
    /// SHA-256 of the content, in hexadecimal.
    pub hash: String,
}

/// Published change of the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// Author of the change.
    pub author: String,
    /// Names of the sections that were added, changed or removed.
    pub changed: Vec<String>,
    /// Id of the update attempt, by which a writer whose answer was lost finds out whether the
    /// update succeeded.
    #[serde(rename = "update")]
    pub update_id: String,
}

/// List of the sections of one version of the document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// References to the sections.
    pub sections: Vec<SectionRef>,
    /// Latest revisions, oldest first.
    pub history: Vec<Revision>,
}

/// Content of the section [`COMMON_SECTION`].
#[derive(Serialize, Deserialize)]
struct Common {
    federation: String,
    failure_domains: Vec<FailureDomain>,
    clubs: Vec<Club>,
}

impl Section {
    /// Returns the name and hash under which the section is stored.
    pub fn reference(&self) -> SectionRef {
        let digest = Sha256::digest(self.json.as_bytes());
        let hash = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        SectionRef { name: self.name.clone(), hash }
    }
}

impl Head {
    /// Returns the head of the next version, which consists of `sections`.
    pub fn next(&self, sections: &[Section], author: &str, update_id: &str) -> Head {
        let references: Vec<SectionRef> = sections.iter().map(Section::reference).collect();
        let mut changed: Vec<String> = references
            .iter()
            .filter(|reference| !self.sections.contains(reference))
            .map(|reference| reference.name.clone())
            .collect();
        let is_kept = |name: &str| references.iter().any(|reference| reference.name == name);
        let removed = self.sections.iter().filter(|old| !is_kept(&old.name));
        changed.extend(removed.map(|old| old.name.clone()));
        let revision =
            Revision { author: author.to_owned(), changed, update_id: update_id.to_owned() };
        let mut history = self.history.clone();
        history.push(revision);
        let excess = history.len().saturating_sub(HISTORY_LIMIT);
        history.drain(..excess);
        Head { sections: references, history }
    }
}

impl Document {
    /// Splits the document into sections.
    ///
    /// # Errors
    ///
    /// Fails only if a value has no JSON form.
    pub fn to_sections(&self) -> Result<Vec<Section>> {
        let common = Common {
            federation: self.federation.clone(),
            failure_domains: self.failure_domains.clone(),
            clubs: self.clubs.clone(),
        };
        let mut sections = vec![encode_section(COMMON_SECTION.to_owned(), &common)?];
        for service in &self.services {
            sections.push(encode_section(format!("{SERVICE_PREFIX}{}", service.name), service)?);
        }
        Ok(sections)
    }

    /// Replaces the parts of the document that `sections` hold; an empty one removes its service.
    ///
    /// Only the given sections are parsed, so the cost does not depend on the size of the document.
    ///
    /// # Errors
    ///
    /// Fails when the content of a section is not valid JSON for its kind. Sections before that one
    /// have been applied.
    pub fn apply_sections(&mut self, sections: &[Section]) -> Result<()> {
        for section in sections {
            let Some(name) = section.name.strip_prefix(SERVICE_PREFIX) else {
                let common: Common = parse_json(&section.json)?;
                self.federation = common.federation;
                self.failure_domains = common.failure_domains;
                self.clubs = common.clubs;
                continue;
            };
            let position = self.services.iter().position(|service| service.name == name);
            match (position, section.json.is_empty()) {
                (Some(index), true) => drop(self.services.remove(index)),
                (Some(index), false) => self.services[index] = parse_json(&section.json)?,
                (None, true) => {}
                (None, false) => self.services.push(parse_json(&section.json)?),
            }
        }
        Ok(())
    }

    /// Assembles the document from all of its sections.
    ///
    /// # Errors
    ///
    /// Fails when the common section is missing, or the content of a section is not valid JSON for
    /// its kind.
    pub fn from_sections(sections: &[Section]) -> Result<Document> {
        let missing = || Error::new(Code::Invalid("section common is missing".to_owned()));
        let common =
            sections.iter().find(|section| section.name == COMMON_SECTION).ok_or_else(missing)?;
        let common: Common = parse_json(&common.json)?;
        let services = sections.iter().filter(|section| section.name.starts_with(SERVICE_PREFIX));
        let services = services.map(|section| parse_json::<Service>(&section.json));
        Ok(Document {
            federation: common.federation,
            failure_domains: common.failure_domains,
            clubs: common.clubs,
            services: services.collect::<Result<_>>()?,
        })
    }
}

fn encode_section(name: String, content: &impl Serialize) -> Result<Section> {
    let json = serde_json::to_string(content).map_err(|error| Error::new(Code::Json(error)))?;
    Ok(Section { name, json })
}

fn parse_json<T: serde::de::DeserializeOwned>(json: &str) -> Result<T> {
    serde_json::from_str(json).map_err(|error| Error::new(Code::Json(error)))
}
