//! Extended-query messages of a caller, from the first to Sync.
//!
//! Connections to endpoints are shared, so a prepared statement cannot live there. The session
//! keeps the text of each; a batch that uses one sends its Parse along as the unnamed statement.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::BytesMut;
use tamarackbend_postgres::message::{self, Bind, Describe, Frontend, Parse, Sync};
use tamarackbend_sql::{Class, Text, classify};

/// Prepared statement of a session.
#[derive(Clone, Debug)]
struct Prepared {
    sql: String,
    types: Vec<u32>,
    text: Text,
}

/// Prepared statements of a session, by name.
#[derive(Default)]
pub(super) struct Statements {
    prepared: BTreeMap<String, Prepared>,
}

/// Batch that is ready to be sent.
pub(super) struct Batch {
    /// What it does, taken together.
    pub(super) class: Class,
    pub(super) max_age: Option<Duration>,
    pub(super) messages: BytesMut,
    /// For each Parse, whether the caller did not send it.
    pub(super) added: Vec<bool>,
    /// Statements that the caller has prepared in it.
    pub(super) parsed: Vec<String>,
}

/// Why a batch cannot be sent.
pub(super) struct Unknown {
    /// Name of the statement that does not exist.
    pub(super) statement: String,
}

impl Statements {
    /// Forgets statements whose preparation has failed.
    pub(super) fn forget(&mut self, names: &[String]) {
        for name in names {
            self.prepared.remove(name);
        }
    }

    /// Makes a batch of the messages between two Syncs.
    pub(super) fn batch(&mut self, messages: Vec<Frontend>) -> Result<Batch, Unknown> {
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
    /// Statement that the unnamed statement of the endpoint is now.
    current: Option<String>,
    /// Class of the statement bound to each portal.
    portals: BTreeMap<String, Text>,
}

impl Default for Builder {
    fn default() -> Builder {
        let batch = Batch {
            class: Class::Empty,
            max_age: None,
            messages: BytesMut::new(),
            added: Vec::new(),
            parsed: Vec::new(),
        };
        Builder { batch, current: None, portals: BTreeMap::new() }
    }
}

impl Builder {
    fn add(&mut self, statements: &mut Statements, message: Frontend) -> Result<(), Unknown> {
        match message {
            Frontend::Parse(parse) => {
                let name = parse.name.unwrap_or_default();
                let text = classify(&parse.query);
                let prepared = Prepared { sql: parse.query, types: parse.type_oids, text };
                self.parse(&prepared, false);
                statements.prepared.insert(name.clone(), prepared);
                self.batch.parsed.push(name.clone());
                self.current = Some(name);
                self.merge(&Class::Empty);
            }
            Frontend::Bind(bind) => {
                let name = bind.statement_name.clone().unwrap_or_default();
                let text = self.require(statements, &name)?;
                let portal = bind.portal_name.clone().unwrap_or_default();
                self.portals.insert(portal, text);
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
                self.require(statements, &describe.name.unwrap_or_default())?;
                self.put(&Frontend::Describe(Describe::new(b'S', None)));
                self.merge(&Class::Read);
            }
            Frontend::Execute(execute) => {
                let portal = execute.name.clone().unwrap_or_default();
                let text = self.portals.get(&portal).cloned();
                self.merge(text.as_ref().map_or(&Class::Write, |text| &text.class));
                self.batch.max_age = text.and_then(|text| text.max_age).or(self.batch.max_age);
                self.put(&Frontend::Execute(execute));
            }
            Frontend::Close(close) if close.target_type == b'S' => {
                statements.prepared.remove(&close.name.clone().unwrap_or_default());
                let close = message::Close::new(b'S', None);
                self.put(&Frontend::Close(close));
                self.current = None;
            }
            other => self.put(&other),
        }
        Ok(())
    }

    fn require(&mut self, statements: &Statements, name: &str) -> Result<Text, Unknown> {
        let Some(prepared) = statements.prepared.get(name) else {
            return Err(Unknown { statement: name.to_owned() });
        };
        if self.current.as_deref() != Some(name) {
            self.parse(prepared, true);
            self.current = Some(name.to_owned());
        }
        Ok(prepared.text.clone())
    }

    fn parse(&mut self, prepared: &Prepared, added: bool) {
        self.batch.added.push(added);
        let parse = Parse::new(None, prepared.sql.clone(), prepared.types.clone());
        self.put(&Frontend::Parse(parse));
        self.merge(&Class::Read);
    }

    /// Takes the class of a further statement into the class of the whole.
    fn merge(&mut self, class: &Class) {
        let strength = |class: &Class| match class {
            Class::Empty => 0,
            Class::Read => 1,
            Class::Show { .. } | Class::Set { .. } => 2,
            Class::Begin { .. } => 3,
            Class::End => 4,
            Class::Write => 5,
            Class::Stateful => 6,
        };
        if strength(class) > strength(&self.batch.class) {
            self.batch.class = class.clone();
        }
    }

    fn put(&mut self, message: &Frontend) {
        message::put_frontend(message, &mut self.batch.messages)
            .expect("a decoded message can be encoded");
    }
}
