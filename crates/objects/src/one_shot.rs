//! Calls whose requests must not arrive after they were given up.
//!
//! While the network is partitioned, the bytes of a connection are held up, and the peer receives them
//! when the partition heals, even if the sender has closed the connection meanwhile. They are lost only
//! if the sender resets the connection. Each call therefore has a connection of its own, which the
//! operating system resets when it is closed for whatever reason, the end of the process included, and
//! when the peer has acknowledged nothing for the time limit, even if the process is suspended.

use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;
use cyper_core::HyperStream;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST};

use crate::error::Code;
use crate::http::{self, Call, Method, Reply};
use crate::{Error, Result};

/// Sends a call to the server at `address` and waits at most `time_limit` for the response. Once this
/// returns, the request no longer arrives if it has not arrived yet.
///
/// # Errors
///
/// Fails when there is no response in time, although the server may have carried out the call, and when
/// a successful response is not JSON.
pub async fn call(address: SocketAddr, call: &Call, time_limit: Duration) -> Result<Reply> {
    http::complete(send(address, call, time_limit), time_limit).await
}

async fn send(address: SocketAddr, call: &Call, time_limit: Duration) -> Result<Reply> {
    let stream = TcpStream::connect(address).await.map_err(unavailable)?;
    stream.set_zero_linger().map_err(unavailable)?;
    let time_limit_ms = u32::try_from(time_limit.as_millis()).unwrap_or(u32::MAX);
    rustix::net::sockopt::set_tcp_user_timeout(&stream, time_limit_ms).map_err(unavailable)?;
    let control = stream.clone();
    let (mut sender, connection) =
        http1::handshake(HyperStream::new_plain(stream)).await.map_err(unavailable)?;
    // Dropping the handle ends the task and closes the connection.
    let _connection_task = compio::runtime::spawn(connection);
    let response = sender.send_request(request(address, call)?).await.map_err(unavailable)?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.map_err(unavailable)?;
    // The server has received the whole request, so the connection may end without a reset.
    rustix::net::sockopt::set_socket_linger(&control, None).map_err(unavailable)?;
    Reply::new(status, &body.to_bytes(), None, &call.path)
}

fn request(address: SocketAddr, call: &Call) -> Result<hyper::Request<Full<Bytes>>> {
    let method = match call.method {
        Method::Get => hyper::Method::GET,
        Method::Post => hyper::Method::POST,
        Method::Put => hyper::Method::PUT,
        Method::Delete => hyper::Method::DELETE,
    };
    let mut request = hyper::Request::builder()
        .method(method)
        .uri(&call.path)
        .header(HOST, address.to_string())
        .header(CONNECTION, "close");
    for (name, value) in &call.headers {
        request = request.header(*name, value);
    }
    let body = match &call.body {
        Some(body) => {
            request = request.header(CONTENT_TYPE, "application/json");
            Full::from(body.to_string())
        }
        None => Full::default(),
    };
    request.body(body).map_err(|error| {
        Error::new(Code::Invalid(format!("request to {}", call.path), error.to_string()))
    })
}

fn unavailable(error: impl std::error::Error) -> Error {
    Error::new(Code::Unavailable(error.to_string()))
}
