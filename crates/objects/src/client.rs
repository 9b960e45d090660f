//! Client of the object API.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::value::RawValue;
use tracing::warn;

use crate::api::{Object, UpdateResponse, Vm, WatchResponse};
use crate::error::Code;
use crate::http::{Call, HttpClient, Method, Reply};
use crate::{Error, Result};

/// Time limit of a call; a watch adds its own wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Characters that are encoded in a path: all but the unreserved ones of RFC 3986.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Client of the object API.
#[derive(Clone)]
pub struct Client {
    http: Rc<HttpClient>,
}

impl Client {
    /// Returns a client of the platform at `address`.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP library cannot be set up.
    pub fn new(address: SocketAddr) -> Client {
        Client { http: Rc::new(HttpClient::new(address)) }
    }

    /// Returns the platform's address.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Reads an object; returns none if there is no such object.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or refuses the call, or when the name is empty, `.` or
    /// `..`, which no path can hold.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>> {
        let call = Call::new(Method::Get, object_path("objects", kind, name)?);
        let reply = self.http.call(&call, CALL_TIMEOUT).await?;
        match reply.status {
            404 => Ok(None),
            _ => Ok(Some(decode_body(reply)?)),
        }
    }

    /// Updates an object whose version is `version`, or creates the object when `version` is zero;
    /// returns the new version.
    ///
    /// # Errors
    ///
    /// Fails with a conflict when the object has another version. When the platform does not
    /// answer, the update may have taken effect.
    pub async fn put(&self, kind: &str, name: &str, version: u64, value: &Value) -> Result<u64> {
        let path = format!("{}?version={version}", object_path("objects", kind, name)?);
        let call = Call::new(Method::Put, path).with_body(value.clone());
        let reply = self.http.call(&call, CALL_TIMEOUT).await?;
        match reply.status {
            409 => Err(Error::new(Code::Conflict)),
            _ => Ok(decode_body::<UpdateResponse>(reply)?.version),
        }
    }

    /// Waits until an object's version differs from `version` or `wait` has passed; returns the
    /// current version.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn watch(&self, kind: &str, name: &str, version: u64, wait: Duration) -> Result<u64> {
        let path = object_path("watch", kind, name)?;
        let query = format!("version={version}&wait_ms={}", wait.as_millis());
        let call = Call::new(Method::Get, format!("{path}?{query}"));
        let reply = self.http.call(&call, CALL_TIMEOUT + wait).await?;
        Ok(decode_body::<WatchResponse>(reply)?.version)
    }

    /// Returns the list of VMs, which may lag behind their actual state. Entries that are not valid are
    /// logged and left out.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn vms(&self) -> Result<Vec<Vm>> {
        let call = Call::new(Method::Get, "/vms".to_owned());
        let entries: Vec<Box<RawValue>> = decode_body(self.http.call(&call, CALL_TIMEOUT).await?)?;
        Ok(entries.iter().filter_map(|entry| decode_vm(entry)).collect())
    }
}

/// Returns the path of an object; its name is one segment.
fn object_path(root: &str, kind: &str, name: &str) -> Result<String> {
    // URLs are normalized: such a segment would be removed, even if it were encoded.
    if matches!(name, "" | "." | "..") {
        let what = format!("name {name:?} of an object");
        return Err(Error::new(Code::Invalid(what, "it cannot stand in a path".to_owned())));
    }
    Ok(format!("/{root}/{kind}/{}", utf8_percent_encode(name, RESERVED)))
}

fn decode_vm(entry: &RawValue) -> Option<Vm> {
    serde_json::from_str(entry.get())
        .inspect_err(
            |error| warn!(%error, "entry in the list of VMs is not valid; ignoring the entry"),
        )
        .ok()
}

fn decode_body<T: DeserializeOwned>(reply: Reply) -> Result<T> {
    if reply.status >= 300 {
        return Err(Error::new(Code::HttpStatus(reply.status)));
    }
    reply.decode()
}
