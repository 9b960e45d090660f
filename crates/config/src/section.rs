//! Sections in which a document is kept and spread.
//!
//! The platform holds values of a megabyte at most, less than a document of thousands of
//! databases. Each service is a section of its own under the hash of its content, and a head names
//! the sections of one version. Only the head is updated conditionally: sections never change
//! under their name, so a writer that loses the race has changed nothing that is in force.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::error::Code;
use crate::{Club, Document, Error, FailureDomain, Result, Service};

/// Name of the section that holds all but the services.
const COMMON: &str = "common";
/// Prefix of the name of a service's section.
const SERVICE: &str = "service/";
/// Revisions that a head remembers.
const HISTORY_LIMIT: usize = 20;

/// Part of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Section {
    /// Name within the document.
    pub name: String,
    /// Content, as JSON.
    pub json: String,
}

/// Name and content hash of a section.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionRef {
    /// Name within the document.
    pub name: String,
    /// Hexadecimal SHA-256 of the content.
    pub hash: String,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// Who made it.
    pub author: String,
    /// Sections that it changed.
    pub changed: Vec<String>,
    /// Identifies the attempt, so that its writer recognizes it after a lost answer.
    pub update: String,
}

/// What is in force: the sections of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Sections, by name.
    pub sections: Vec<SectionRef>,
    /// Latest revisions, newest last.
    pub history: Vec<Revision>,
}

#[derive(Serialize, Deserialize)]
struct Common {
    federation: String,
    failure_domains: Vec<FailureDomain>,
    clubs: Vec<Club>,
}

impl Section {
    /// Returns the name and hash under which the section is kept.
    pub fn reference(&self) -> SectionRef {
        let digest = Sha256::digest(self.json.as_bytes());
        let hash = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        SectionRef { name: self.name.clone(), hash }
    }
}

impl Head {
    /// Returns the head that follows this one for `sections`.
    pub fn next(&self, sections: &[Section], author: &str, update: &str) -> Head {
        let references: Vec<SectionRef> = sections.iter().map(Section::reference).collect();
        let mut changed: Vec<String> = references
            .iter()
            .filter(|reference| !self.sections.contains(reference))
            .map(|reference| reference.name.clone())
            .collect();
        let kept = |name: &str| references.iter().any(|reference| reference.name == name);
        let removed = self.sections.iter().filter(|old| !kept(&old.name));
        changed.extend(removed.map(|old| old.name.clone()));
        let revision = Revision { author: author.to_owned(), changed, update: update.to_owned() };
        let mut history = self.history.clone();
        history.push(revision);
        let excess = history.len().saturating_sub(HISTORY_LIMIT);
        history.drain(..excess);
        Head { sections: references, history }
    }
}

impl Document {
    /// Returns the sections of the document.
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
        let mut sections = vec![section(COMMON.to_owned(), &common)?];
        for service in &self.services {
            sections.push(section(format!("{SERVICE}{}", service.name), service)?);
        }
        Ok(sections)
    }

    /// Replaces the parts of the document that `sections` hold; an empty one removes its part.
    ///
    /// Only what is given is parsed, so a change of one service does not cost the whole document.
    ///
    /// # Errors
    ///
    /// Fails when a section is not what its name says; the document may be changed in part.
    pub fn apply_sections(&mut self, sections: &[Section]) -> Result<()> {
        for section in sections {
            let Some(name) = section.name.strip_prefix(SERVICE) else {
                let common: Common = parse(&section.json)?;
                self.federation = common.federation;
                self.failure_domains = common.failure_domains;
                self.clubs = common.clubs;
                continue;
            };
            let known = self.services.iter().position(|service| service.name == name);
            match (known, section.json.is_empty()) {
                (Some(index), true) => drop(self.services.remove(index)),
                (Some(index), false) => self.services[index] = parse(&section.json)?,
                (None, true) => {}
                (None, false) => self.services.push(parse(&section.json)?),
            }
        }
        Ok(())
    }

    /// Returns the document that consists of `sections`.
    ///
    /// # Errors
    ///
    /// Fails when a section is missing or is not what its name says.
    pub fn from_sections(sections: &[Section]) -> Result<Document> {
        let missing = || Error::new(Code::Invalid("section common is missing".to_owned()));
        let common = sections.iter().find(|section| section.name == COMMON).ok_or_else(missing)?;
        let common: Common = parse(&common.json)?;
        let services = sections.iter().filter(|section| section.name.starts_with(SERVICE));
        let services = services.map(|section| parse::<Service>(&section.json));
        Ok(Document {
            federation: common.federation,
            failure_domains: common.failure_domains,
            clubs: common.clubs,
            services: services.collect::<Result<_>>()?,
        })
    }
}

fn section(name: String, content: &impl Serialize) -> Result<Section> {
    let json = serde_json::to_string(content).map_err(|error| Error::new(Code::Json(error)))?;
    Ok(Section { name, json })
}

fn parse<T: serde::de::DeserializeOwned>(json: &str) -> Result<T> {
    serde_json::from_str(json).map_err(|error| Error::new(Code::Json(error)))
}
