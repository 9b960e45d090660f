//! Calls of the object API.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::api::{Object, Vm, Watched, Written};
use crate::error::Code;
use crate::http::{Call, Http, Reply, Verb};
use crate::{Error, Result};

/// Longest wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the object API.
#[derive(Clone)]
pub struct Client {
    http: Rc<Http>,
}

impl Client {
    /// Returns a client of the platform at `address`.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP library cannot be set up.
    pub fn new(address: SocketAddr) -> Client {
        Client { http: Rc::new(Http::new(address)) }
    }

    /// Returns the platform's address.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>> {
        let call = Call::new(Verb::Get, object_path(kind, name));
        let reply = self.http.call(&call, CALL_TIMEOUT).await?;
        match reply.status {
            404 => Ok(None),
            _ => Ok(Some(json(reply)?)),
        }
    }

    /// Updates an object that has `version`, or creates it when `version` is zero.
    ///
    /// # Errors
    ///
    /// Fails with a conflict when it has another version. When the platform does not answer, the
    /// update may have taken effect.
    pub async fn put(&self, kind: &str, name: &str, version: u64, value: &Value) -> Result<u64> {
        let path = format!("{}?version={version}", object_path(kind, name));
        let call = Call::new(Verb::Put, path).with_body(value.clone());
        let reply = self.http.call(&call, CALL_TIMEOUT).await?;
        match reply.status {
            409 => Err(Error::new(Code::Conflict)),
            _ => Ok(json::<Written>(reply)?.version),
        }
    }

    /// Waits until an object's version differs from `version` or `wait` has passed.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn watch(&self, kind: &str, name: &str, version: u64, wait: Duration) -> Result<u64> {
        let query = format!("version={version}&wait_ms={}", wait.as_millis());
        let call = Call::new(Verb::Get, format!("/watch/{kind}/{name}?{query}"));
        let reply = self.http.call(&call, CALL_TIMEOUT + wait).await?;
        Ok(json::<Watched>(reply)?.version)
    }

    /// Returns the list of VMs, which lags.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn vms(&self) -> Result<Vec<Vm>> {
        let call = Call::new(Verb::Get, "/vms".to_owned());
        json(self.http.call(&call, CALL_TIMEOUT).await?)
    }
}

fn object_path(kind: &str, name: &str) -> String {
    format!("/objects/{kind}/{name}")
}

fn json<T: DeserializeOwned>(reply: Reply) -> Result<T> {
    if reply.status >= 300 {
        return Err(Error::new(Code::Status(reply.status)));
    }
    let invalid = |error: serde_json::Error| Code::Invalid("answer".to_owned(), error.to_string());
    serde_json::from_value(reply.body).map_err(|error| Error::new(invalid(error)))
}
