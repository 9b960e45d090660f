//! JSON calls over HTTP with a time limit.
//!
//! A connection on which a response was lost cannot be reused: after every failed call the client
//! drops its connections and opens new ones.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use compio::time::timeout;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::value::RawValue;

use crate::error::Code;
use crate::{Error, Result};

/// HTTP method of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// GET.
    Get,
    /// POST.
    Post,
    /// PUT.
    Put,
    /// DELETE.
    Delete,
}

/// HTTP request; the body, if any, is JSON.
#[derive(Clone, Debug)]
pub struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Option<Value>,
}

impl Call {
    /// Returns a call of `path`, which may include a query string.
    pub fn new(method: Method, path: String) -> Call {
        Call { method, path, headers: Vec::new(), body: None }
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

/// Response to a call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// JSON body; null if the response has none, or if an error response is not JSON. Only its syntax
    /// is checked: nested values may still be too deep, or numbers too large, to be decoded. Bytes that
    /// are not UTF-8 are replaced by U+FFFD.
    pub body: Box<RawValue>,
    /// Value of the header that the client keeps; none if the response has no such header.
    pub kept_header: Option<String>,
}

impl Reply {
    /// Returns the reply to a call of `path`. Fails when a successful response is not JSON.
    pub(crate) fn new(
        status: u16,
        bytes: &[u8],
        kept_header: Option<String>,
        path: &str,
    ) -> Result<Reply> {
        let body = match bytes.is_empty() {
            true => RawValue::NULL.to_owned(),
            false => match serde_json::from_str(&String::from_utf8_lossy(bytes)) {
                Ok(body) => body,
                // Error responses need not be JSON; their status is sufficient.
                Err(_) if status >= 400 => RawValue::NULL.to_owned(),
                Err(error) => {
                    let what = format!("response to {path}");
                    return Err(Error::new(Code::Invalid(what, error.to_string())));
                }
            },
        };
        Ok(Reply { status, body, kept_header })
    }

    /// Decodes the body.
    ///
    /// # Errors
    ///
    /// Fails when the body is not a `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_str(self.body.get()).map_err(|error| {
            Error::new(Code::Invalid("response body".to_owned(), error.to_string()))
        })
    }
}

/// Client of one HTTP server.
pub struct HttpClient {
    address: SocketAddr,
    client: RefCell<cyper::Client>,
    kept_header: Option<&'static str>,
}

impl HttpClient {
    /// Returns a client of the server at `address`.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP library cannot be set up.
    pub fn new(address: SocketAddr) -> HttpClient {
        HttpClient { address, client: RefCell::new(new_client()), kept_header: None }
    }

    /// Returns the client with the name of a response header that replies keep.
    pub fn with_kept_header(mut self, name: &'static str) -> HttpClient {
        self.kept_header = Some(name);
        self
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a call and waits at most `time_limit` for the response.
    ///
    /// # Errors
    ///
    /// Fails when there is no response in time, although the server may have carried out the call,
    /// and when a successful response is not JSON.
    pub async fn call(&self, call: &Call, time_limit: Duration) -> Result<Reply> {
        let client = self.client.borrow().clone();
        let result = complete(self.send(&client, call), time_limit).await;
        if result.is_err() {
            *self.client.borrow_mut() = new_client();
        }
        result
    }

    async fn send(&self, client: &cyper::Client, call: &Call) -> Result<Reply> {
        let url = format!("http://{}{}", self.address, call.path);
        let mut request = match call.method {
            Method::Get => client.get(url)?,
            Method::Post => client.post(url)?,
            Method::Put => client.put(url)?,
            Method::Delete => client.delete(url)?,
        };
        for (name, value) in &call.headers {
            request = request.header(*name, value.as_str())?;
        }
        if let Some(body) = &call.body {
            request = request.json(body)?;
        }
        let response = request.send().await?;
        let status = response.status().as_u16();
        let kept_header = self.kept_header.and_then(|name| response.headers().get(name));
        let kept_header = kept_header.map(|value| String::from_utf8_lossy(value.as_bytes()).into());
        let bytes = response.bytes().await?;
        Reply::new(status, &bytes, kept_header, &call.path)
    }
}

/// Waits for the result of a call and counts it.
pub(crate) async fn complete(
    call: impl Future<Output = Result<Reply>>,
    time_limit: Duration,
) -> Result<Reply> {
    let result = timeout(time_limit, call).await.unwrap_or_else(|_| {
        Err(Error::new(Code::Unavailable(format!("no response within {time_limit:?}"))))
    });
    let outcome = match &result {
        Ok(reply) if reply.status < 400 => "done",
        Ok(reply) if reply.status < 500 => "refused",
        Ok(_) => "failed",
        Err(_) => "no answer",
    };
    metrics::counter!("http_calls_total", "outcome" => outcome).increment(1);
    result
}

fn new_client() -> cyper::Client {
    cyper::Client::new().expect("HTTP client without TLS needs no configuration")
}
