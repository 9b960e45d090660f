//! Configuration document on the platform.
//!
//! The document is stored as sections, each in an object named by the hash of its content, and a
//! head object that lists the sections in force. Only the head is updated conditionally.

use std::collections::BTreeMap;

use tamarackbend_config::{Document, Head, Section, SectionRef};

use crate::api::KIND_CONFIG;
use crate::error::Code;
use crate::{Client, Error, Result};

/// Name of the object that lists the sections in force.
const HEAD_OBJECT: &str = "head";

/// Document in force, with its version.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// Version of the head object; zero if no document is published.
    pub version: u64,
    /// List of sections in force, and the latest revisions.
    pub head: Head,
    /// Sections of the document, in the order of the head.
    pub sections: Vec<Section>,
}

/// Request of an operator to replace the document.
#[derive(Clone, Debug)]
pub struct Publication<'a> {
    /// Complete new document.
    pub document: &'a Document,
    /// Document that the operator has edited.
    pub base: &'a Published,
    /// Name of the operator, for the history.
    pub author: &'a str,
    /// Id of the attempt, by which a publication is recognized after a lost response.
    pub update_id: &'a str,
}

/// Reads and publishes the document; caches the sections of the version in force.
pub struct Store {
    client: Client,
    section_cache: BTreeMap<String, Section>,
}

impl Store {
    /// Returns a store with an empty cache.
    pub fn new(client: Client) -> Store {
        Store { client, section_cache: BTreeMap::new() }
    }

    /// Adds sections that were obtained from peers to the cache, so that [`load`](Self::load) need
    /// not read them from the platform.
    pub fn cache_sections(&mut self, sections: &[Section]) {
        for section in sections {
            self.section_cache.insert(section.reference().hash, section.clone());
        }
    }

    /// Reads the document in force; only sections that are not cached are read from the platform.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or when an object is missing or invalid.
    pub async fn load(&mut self) -> Result<Published> {
        let Some(object) = self.client.get(KIND_CONFIG, HEAD_OBJECT).await? else {
            return Ok(Published::default());
        };
        let head: Head = parse(HEAD_OBJECT, object.value)?;
        let mut sections = Vec::new();
        for reference in &head.sections {
            sections.push(self.read_section(reference).await?);
        }
        let is_in_force = |hash: &String| head.sections.iter().any(|section| section.hash == *hash);
        self.section_cache.retain(|hash, _| is_in_force(hash));
        Ok(Published { version: object.version, head, sections })
    }

    /// Puts a document in force if its base is still in force; returns the new version.
    ///
    /// # Errors
    ///
    /// Fails with a conflict when another document has been published since the base was read.
    pub async fn publish(&mut self, request: &Publication<'_>) -> Result<u64> {
        let invalid = |error: tamarackbend_config::Error| {
            Error::new(Code::Invalid("document".to_owned(), error.to_string()))
        };
        let sections = request.document.to_sections().map_err(invalid)?;
        for section in &sections {
            if !request.base.head.sections.contains(&section.reference()) {
                self.put_section(section).await?;
            }
        }
        let head = request.base.head.next(&sections, request.author, request.update_id);
        let value = serde_json::to_value(&head).unwrap_or_default();
        match self.client.put(KIND_CONFIG, HEAD_OBJECT, request.base.version, &value).await {
            Err(error) if error.is_unavailable() => {
                self.resolve_lost_response(request, error).await
            }
            result => result,
        }
    }

    /// Determines from the head's history whether an update without a response has taken effect.
    async fn resolve_lost_response(
        &mut self,
        request: &Publication<'_>,
        error: Error,
    ) -> Result<u64> {
        let current = self.load().await?;
        let is_applied =
            current.head.history.iter().any(|revision| revision.update_id == request.update_id);
        match is_applied {
            true => Ok(current.version),
            false if current.version != request.base.version => Err(Error::new(Code::Conflict)),
            false => Err(error),
        }
    }

    async fn read_section(&mut self, reference: &SectionRef) -> Result<Section> {
        if let Some(section) = self.section_cache.get(&reference.hash) {
            return Ok(section.clone());
        }
        let name = object_name(reference);
        let missing =
            || Error::new(Code::Invalid(format!("object {name}"), "it does not exist".to_owned()));
        let object = self.client.get(KIND_CONFIG, &name).await?.ok_or_else(missing)?;
        let section: Section = parse(&name, object.value)?;
        self.section_cache.insert(reference.hash.clone(), section.clone());
        Ok(section)
    }

    async fn put_section(&mut self, section: &Section) -> Result<()> {
        let name = object_name(&section.reference());
        let value = serde_json::to_value(section).unwrap_or_default();
        match self.client.put(KIND_CONFIG, &name, 0, &value).await {
            Ok(_) => Ok(()),
            // The object's name is the hash of its content: the same section is stored already.
            Err(error) if error.is_conflict() => Ok(()),
            // The write may have taken effect although its response was lost.
            Err(error) if error.is_unavailable() => match self.client.get(KIND_CONFIG, &name).await
            {
                Ok(Some(_)) => Ok(()),
                _ => Err(error),
            },
            Err(error) => Err(error),
        }
    }
}

fn object_name(reference: &SectionRef) -> String {
    format!("section-{}", reference.hash)
}

fn parse<T: serde::de::DeserializeOwned>(name: &str, value: serde_json::Value) -> Result<T> {
    serde_json::from_value(value)
        .map_err(|error| Error::new(Code::Invalid(format!("object {name}"), error.to_string())))
}
