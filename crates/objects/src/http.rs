//! JSON calls over HTTP with a limit on their time.
//!
//! A connection on which an answer was lost is given up: every failure begins with new
//! connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use compio::time::timeout;
use serde_json::Value;

use crate::error::Code;
use crate::{Error, Result};

/// Verb of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Reads.
    Get,
    /// Creates.
    Post,
    /// Replaces.
    Put,
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    verb: Verb,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Option<Value>,
}

impl Call {
    /// Returns a call of `path`, which may hold a query.
    pub fn new(verb: Verb, path: String) -> Call {
        Call { verb, path, headers: Vec::new(), body: None }
    }

    /// Returns the call with a header.
    pub fn with_header(mut self, name: &'static str, value: String) -> Call {
        self.headers.push((name, value));
        self
    }

    /// Returns the call with a body.
    pub fn with_body(mut self, body: Value) -> Call {
        self.body = Some(body);
        self
    }
}

/// Answer to a call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body; null if there is none.
    pub body: Value,
}

/// Client of one HTTP server.
pub struct Http {
    address: SocketAddr,
    client: RefCell<cyper::Client>,
}

impl Http {
    /// Returns a client of the server at `address`.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP library cannot be set up.
    pub fn new(address: SocketAddr) -> Http {
        Http { address, client: RefCell::new(new_client()) }
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes a call that takes at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails when the server does not answer in time; it may have carried out the call.
    pub async fn call(&self, call: &Call, limit: Duration) -> Result<Reply> {
        let client = self.client.borrow().clone();
        let result = match timeout(limit, self.exchange(&client, call)).await {
            Ok(result) => result,
            Err(_) => Err(Error::new(Code::Unavailable("no answer in time".to_owned()))),
        };
        let outcome = match &result {
            Ok(reply) if reply.status < 400 => "done",
            Ok(reply) if reply.status < 500 => "refused",
            Ok(_) => "failed",
            Err(_) => "no answer",
        };
        metrics::counter!("http_calls_total", "outcome" => outcome).increment(1);
        if result.is_err() {
            *self.client.borrow_mut() = new_client();
        }
        result
    }

    async fn exchange(&self, client: &cyper::Client, call: &Call) -> Result<Reply> {
        let url = format!("http://{}{}", self.address, call.path);
        let mut request = match call.verb {
            Verb::Get => client.get(url)?,
            Verb::Post => client.post(url)?,
            Verb::Put => client.put(url)?,
        };
        for (name, value) in &call.headers {
            request = request.header(*name, value.as_str())?;
        }
        if let Some(body) = &call.body {
            request = request.json(body)?;
        }
        let response = request.send().await?;
        let status = response.status().as_u16();
        let bytes = response.bytes().await?;
        let body = match bytes.is_empty() {
            true => Value::Null,
            // Error pages need not be JSON; their status says enough.
            false if status >= 400 => serde_json::from_slice(&bytes).unwrap_or(Value::Null),
            false => serde_json::from_slice(&bytes)
                .map_err(|error| Error::new(Code::Invalid(call.path.clone(), error.to_string())))?,
        };
        Ok(Reply { status, body })
    }
}

fn new_client() -> cyper::Client {
    cyper::Client::new().expect("HTTP client without TLS needs no setup")
}
