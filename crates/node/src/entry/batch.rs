//! Batches of extended-query messages, from the first to Sync.
//!
//! Sessions share connections to endpoints, so prepared statements cannot stay on a connection. The
//! session keeps their texts. A batch that uses a prepared statement parses it again as the unnamed
//! statement of the connection.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::BytesMut;
use tamarackbend_postgres::message::{self, Bind, Describe, Frontend, Parse, Sync};
use tamarackbend_sql::{Class, Classification, classify};

/// Prepared statement of a session.
#[derive(Clone, Debug)]
struct PreparedStatement {
    sql: String,
    parameter_types: Vec<u32>,
    classification: Classification,
}

/// Prepared statements of a session, by name.
#[derive(Default)]
pub(super) struct PreparedStatements {
    by_name: BTreeMap<String, PreparedStatement>,
}

/// Batch that is ready to be sent.
pub(super) struct Batch {
    /// Class of the batch as a whole.
    pub(super) class: Class,
    pub(super) max_age: Option<Duration>,
    pub(super) messages: BytesMut,
    /// For each Parse, whether the session added it.
    pub(super) added_parses: Vec<bool>,
    /// Names of the statements that the client prepares in the batch.
    pub(super) prepared_names: Vec<String>,
}

/// Error of a batch that uses a prepared statement that does not exist.
pub(super) struct UnknownStatement {
    pub(super) name: String,
}

impl PreparedStatements {
    /// Removes statements whose preparation has failed.
    pub(super) fn remove(&mut self, names: &[String]) {
        for name in names {
            self.by_name.remove(name);
        }
    }

    /// Builds a batch from the messages between two Syncs.
    pub(super) fn build_batch(
        &mut self,
        messages: Vec<Frontend>,
    ) -> Result<Batch, UnknownStatement> {
        let mut builder = Builder::default();
        for message in messages {
            builder.add(self, message)?;
        }
        builder.put(&Frontend::Sync(Sync::new()));
        Ok(builder.batch)
    }
}

struct Builder {
    batch: Batch,
    /// Name of the prepared statement that the connection's unnamed statement holds.
    unnamed: Option<String>,
    /// Classification of the statement bound to each portal, by the portal's name.
    portals: BTreeMap<String, Classification>,
}

impl Default for Builder {
    fn default() -> Builder {
        let batch = Batch {
            class: Class::Empty,
            max_age: None,
            messages: BytesMut::new(),
            added_parses: Vec::new(),
            prepared_names: Vec::new(),
        };
        Builder { batch, unnamed: None, portals: BTreeMap::new() }
    }
}

impl Builder {
    fn add(
        &mut self,
        statements: &mut PreparedStatements,
        message: Frontend,
    ) -> Result<(), UnknownStatement> {
        match message {
            Frontend::Parse(parse) => {
                let name = parse.name.unwrap_or_default();
                let classification = classify(&parse.query);
                let prepared = PreparedStatement {
                    sql: parse.query,
                    parameter_types: parse.type_oids,
                    classification,
                };
                self.put_parse(&prepared, false);
                statements.by_name.insert(name.clone(), prepared);
                self.batch.prepared_names.push(name.clone());
                self.unnamed = Some(name);
                self.merge_class(&Class::Empty);
            }
            Frontend::Bind(bind) => {
                let name = bind.statement_name.clone().unwrap_or_default();
                let classification = self.ensure_parsed(statements, &name)?;
                let portal = bind.portal_name.clone().unwrap_or_default();
                self.portals.insert(portal, classification);
                let bind = Bind::new(
                    bind.portal_name,
                    None,
                    bind.parameter_format_codes,
                    bind.parameters,
                    bind.result_column_format_codes,
                );
                self.put(&Frontend::Bind(bind));
            }
            Frontend::Describe(describe) if describe.target_type == b'S' => {
                self.ensure_parsed(statements, &describe.name.unwrap_or_default())?;
                self.put(&Frontend::Describe(Describe::new(b'S', None)));
                self.merge_class(&Class::Read);
            }
            Frontend::Execute(execute) => {
                let portal = execute.name.clone().unwrap_or_default();
                let classification = self.portals.get(&portal).cloned();
                self.merge_class(
                    classification.as_ref().map_or(&Class::Write, |bound| &bound.class),
                );
                self.batch.max_age =
                    classification.and_then(|bound| bound.max_age).or(self.batch.max_age);
                self.put(&Frontend::Execute(execute));
            }
            Frontend::Close(close) if close.target_type == b'S' => {
                statements.by_name.remove(&close.name.clone().unwrap_or_default());
                let close = message::Close::new(b'S', None);
                self.put(&Frontend::Close(close));
                self.unnamed = None;
            }
            other => self.put(&other),
        }
        Ok(())
    }

    /// Adds a Parse of the statement `name` unless the unnamed statement holds it already.
    fn ensure_parsed(
        &mut self,
        statements: &PreparedStatements,
        name: &str,
    ) -> Result<Classification, UnknownStatement> {
        let Some(prepared) = statements.by_name.get(name) else {
            return Err(UnknownStatement { name: name.to_owned() });
        };
        if self.unnamed.as_deref() != Some(name) {
            self.put_parse(prepared, true);
            self.unnamed = Some(name.to_owned());
        }
        Ok(prepared.classification.clone())
    }

    fn put_parse(&mut self, prepared: &PreparedStatement, is_added: bool) {
        self.batch.added_parses.push(is_added);
        let parse = Parse::new(None, prepared.sql.clone(), prepared.parameter_types.clone());
        self.put(&Frontend::Parse(parse));
        self.merge_class(&Class::Read);
    }

    /// Raises the class of the batch to `class` if that has precedence.
    fn merge_class(&mut self, class: &Class) {
        let precedence = |class: &Class| match class {
            Class::Empty => 0,
            Class::Read => 1,
            Class::Show { .. } | Class::Set { .. } => 2,
            Class::Begin { .. } => 3,
            Class::End => 4,
            Class::Write => 5,
            Class::Stateful => 6,
        };
        if precedence(class) > precedence(&self.batch.class) {
            self.batch.class = class.clone();
        }
    }

    fn put(&mut self, message: &Frontend) {
        message::put_frontend(message, &mut self.batch.messages)
            .expect("a decoded message can be encoded");
    }
}
