//! Tasks that read from and write to a client's connection.

use bytes::BytesMut;
use compio::net::TcpStream;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use tamarackbend_net::{Reader, Writer, split};
use tamarackbend_router::Event;
use tamarackbend_router::message::{Answer, Fault, Introduction, Request, SessionId};

use crate::{Events, Protocol};

/// Message for the task that writes to a client's connection.
#[derive(Debug)]
pub(crate) enum Response {
    /// Only channels of other nodes have an encoding for it.
    Introduce(Introduction),
    Accept,
    Reject(Answer),
    Reply(Answer),
}

/// Starts the tasks of a client; the writing task ends when the sender of `responses` is dropped.
pub(crate) fn spawn_tasks(
    id: SessionId,
    stream: TcpStream,
    protocol: Protocol,
    events: Events,
    responses: UnboundedReceiver<Response>,
) {
    let (reader, writer) = split(stream);
    compio::runtime::spawn(read_requests(id, reader, protocol, events)).detach();
    compio::runtime::spawn(write_responses(writer, protocol, responses)).detach();
}

async fn read_requests(id: SessionId, mut reader: Reader, protocol: Protocol, events: Events) {
    loop {
        match (protocol.decode_request)(&mut reader.input) {
            Ok(Some(request)) => {
                events.send(Event::ClientRequest(id, request));
                continue;
            }
            Ok(None) => {}
            Err(fault) => {
                let request = match fault {
                    Fault::TooBig => Request::TooBig { id: None },
                    fault => Request::Malformed { id: None, reason: format!("{fault:?}") },
                };
                events.send(Event::ClientRequest(id, request));
                break;
            }
        }
        match reader.fill().await {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
    }
    events.send(Event::ClientDisconnected(id));
}

async fn write_responses(
    mut writer: Writer,
    protocol: Protocol,
    mut responses: UnboundedReceiver<Response>,
) {
    let mut buffer = BytesMut::new();
    while let Some(response) = responses.next().await {
        match response {
            Response::Introduce(_) => continue,
            Response::Accept => (protocol.encode_accept)(&mut buffer),
            Response::Reject(answer) => (protocol.encode_reject)(&answer, &mut buffer),
            Response::Reply(answer) => (protocol.encode_reply)(&answer, &mut buffer),
        }
        if writer.send(&mut buffer).await.is_err() {
            // The reading task fails too and reports to the router that the client disconnected.
            return;
        }
    }
    writer.close();
}
