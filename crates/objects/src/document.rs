//! Configuration document on the platform.

use std::collections::BTreeMap;

use tamarackbend_config::{Document, Head, Section, SectionRef};

use crate::api::KIND_CONFIG;
use crate::error::Code;
use crate::{Client, Error, Result};

/// Name of the object that says what is in force.
const HEAD: &str = "head";

/// Document with the version that is in force.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// Version of the head.
    pub version: u64,
    /// What the head says.
    pub head: Head,
    /// The document's sections.
    pub sections: Vec<Section>,
}

/// A change that an operator asks for.
#[derive(Clone, Debug)]
pub struct Publish<'a> {
    /// The whole new document.
    pub document: &'a Document,
    /// Version that the operator has edited.
    pub base: &'a Published,
    /// Who asks.
    pub author: &'a str,
    /// Identifies the attempt.
    pub update: &'a str,
}

/// Reads and writes the document and keeps the sections it has read.
pub struct Store {
    client: Client,
    known: BTreeMap<String, Section>,
}

impl Store {
    /// Returns a store that knows no section yet.
    pub fn new(client: Client) -> Store {
        Store { client, known: BTreeMap::new() }
    }

    /// Takes sections over that are known from elsewhere, so that they need not be read.
    pub fn remember(&mut self, sections: &[Section]) {
        for section in sections {
            self.known.insert(section.reference().hash, section.clone());
        }
    }

    /// Reads the document that is in force; of its sections only those that are not known yet.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or holds something that is no document.
    pub async fn load(&mut self) -> Result<Published> {
        let Some(object) = self.client.get(KIND_CONFIG, HEAD).await? else {
            return Ok(Published::default());
        };
        let head: Head = parse(HEAD, object.value)?;
        let mut sections = Vec::new();
        for reference in &head.sections {
            sections.push(self.section(reference).await?);
        }
        let wanted = |hash: &String| head.sections.iter().any(|section| section.hash == *hash);
        self.known.retain(|hash, _| wanted(hash));
        Ok(Published { version: object.version, head, sections })
    }

    /// Puts a document in force if its base still is; returns the new version.
    ///
    /// # Errors
    ///
    /// Fails with a conflict when another document has been put in force since.
    pub async fn publish(&mut self, change: &Publish<'_>) -> Result<u64> {
        let invalid = |error: tamarackbend_config::Error| {
            Error::new(Code::Invalid(HEAD.to_owned(), error.to_string()))
        };
        let sections = change.document.to_sections().map_err(invalid)?;
        for section in &sections {
            if !change.base.head.sections.contains(&section.reference()) {
                self.put_section(section).await?;
            }
        }
        let head = change.base.head.next(&sections, change.author, change.update);
        let value = serde_json::to_value(&head).unwrap_or_default();
        match self.client.put(KIND_CONFIG, HEAD, change.base.version, &value).await {
            Err(error) if error.is_unavailable() => self.resolve(change, error).await,
            result => result,
        }
    }

    /// Finds out whether an update whose answer was lost has taken effect.
    async fn resolve(&mut self, change: &Publish<'_>, error: Error) -> Result<u64> {
        let now = self.load().await?;
        let applied = now.head.history.iter().any(|revision| revision.update == change.update);
        match applied {
            true => Ok(now.version),
            false if now.version != change.base.version => Err(Error::new(Code::Conflict)),
            false => Err(error),
        }
    }

    async fn section(&mut self, reference: &SectionRef) -> Result<Section> {
        if let Some(section) = self.known.get(&reference.hash) {
            return Ok(section.clone());
        }
        let name = object_name(reference);
        let missing = || Error::new(Code::Invalid(name.clone(), "is missing".to_owned()));
        let object = self.client.get(KIND_CONFIG, &name).await?.ok_or_else(missing)?;
        let section: Section = parse(&name, object.value)?;
        self.known.insert(reference.hash.clone(), section.clone());
        Ok(section)
    }

    async fn put_section(&mut self, section: &Section) -> Result<()> {
        let name = object_name(&section.reference());
        let value = serde_json::to_value(section).unwrap_or_default();
        match self.client.put(KIND_CONFIG, &name, 0, &value).await {
            Ok(_) => Ok(()),
            // The same content is there already.
            Err(error) if error.is_conflict() => Ok(()),
            // The answer may be lost, not the write.
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
        .map_err(|error| Error::new(Code::Invalid(name.to_owned(), error.to_string())))
}
