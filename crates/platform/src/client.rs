//! Calls of the object API.

use std::net::SocketAddr;
use std::time::Duration;

use compio::time::timeout;
use cyper::Response;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::api::{Object, Vm, Watched, Written};
use crate::error::Code;
use crate::{Error, Result};

/// Longest wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the object API.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    http: cyper::Client,
}

impl Client {
    /// Returns a client of the platform at `address`.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP library cannot be set up.
    pub fn new(address: SocketAddr) -> Client {
        let http = cyper::Client::new().expect("HTTP client without TLS needs no setup");
        Client { address, http }
    }

    /// Returns the platform's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>> {
        let call = async { Ok(self.http.get(self.object_url(kind, name))?.send().await?) };
        let response = bounded(CALL_TIMEOUT, call).await?;
        match response.status().as_u16() {
            404 => Ok(None),
            _ => Ok(Some(json(response).await?)),
        }
    }

    /// Updates an object that has `version`, or creates it when `version` is zero.
    ///
    /// # Errors
    ///
    /// Fails with a conflict when it has another version. When the platform does not answer, the
    /// update may have taken effect.
    pub async fn put(&self, kind: &str, name: &str, version: u64, value: &Value) -> Result<u64> {
        let url = format!("{}?version={version}", self.object_url(kind, name));
        let call = async { Ok(self.http.put(url)?.json(value)?.send().await?) };
        let response = bounded(CALL_TIMEOUT, call).await?;
        match response.status().as_u16() {
            409 => Err(Error::new(Code::Conflict)),
            _ => Ok(json::<Written>(response).await?.version),
        }
    }

    /// Waits until an object's version differs from `version` or `wait` has passed.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn watch(&self, kind: &str, name: &str, version: u64, wait: Duration) -> Result<u64> {
        let query = format!("version={version}&wait_ms={}", wait.as_millis());
        let url = format!("http://{}/watch/{kind}/{}?{query}", self.address, name);
        let call = async { Ok(self.http.get(url)?.send().await?) };
        let response = bounded(CALL_TIMEOUT + wait, call).await?;
        Ok(json::<Watched>(response).await?.version)
    }

    /// Returns the list of VMs, which lags.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn vms(&self) -> Result<Vec<Vm>> {
        let url = format!("http://{}/vms", self.address);
        let call = async { Ok(self.http.get(url)?.send().await?) };
        json(bounded(CALL_TIMEOUT, call).await?).await
    }

    fn object_url(&self, kind: &str, name: &str) -> String {
        format!("http://{}/objects/{kind}/{name}", self.address)
    }
}

async fn bounded<T>(limit: Duration, call: impl Future<Output = Result<T>>) -> Result<T> {
    match timeout(limit, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::new(Code::Unavailable("no answer in time".to_owned()))),
    }
}

async fn json<T: DeserializeOwned>(response: Response) -> Result<T> {
    let status = response.status().as_u16();
    if status >= 300 {
        return Err(Error::new(Code::Status(status)));
    }
    bounded(CALL_TIMEOUT, async { Ok(response.json().await?) }).await
}
