//! Tasks of a caller's connection.

use bytes::BytesMut;
use compio::net::TcpStream;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use tamarackbend_net::{Reader, Writer, split};
use tamarackbend_router::Event;
use tamarackbend_router::message::{Answer, Request, SessionId};

use crate::{Dialect, Events};

/// Message to a caller's writing task.
#[derive(Debug)]
pub(crate) enum Output {
    Welcome,
    Reject(Answer),
    Reply(Answer),
}

/// Starts the tasks of a caller; the writing one ends with its channel.
pub(crate) fn start(
    id: SessionId,
    stream: TcpStream,
    dialect: Dialect,
    events: Events,
    outputs: UnboundedReceiver<Output>,
) {
    let (reader, writer) = split(stream);
    compio::runtime::spawn(read(id, reader, dialect, events)).detach();
    compio::runtime::spawn(write(writer, dialect, outputs)).detach();
}

async fn read(id: SessionId, mut reader: Reader, dialect: Dialect, events: Events) {
    loop {
        match (dialect.decode_request)(&mut reader.input) {
            Ok(Some(request)) => {
                events.send(Event::ClientRequest(id, request));
                continue;
            }
            Ok(None) => {}
            Err(fault) => {
                let request = Request::Malformed { id: None, reason: format!("{fault:?}") };
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

async fn write(mut writer: Writer, dialect: Dialect, mut outputs: UnboundedReceiver<Output>) {
    let mut buffer = BytesMut::new();
    while let Some(output) = outputs.next().await {
        match output {
            Output::Welcome => (dialect.encode_welcome)(&mut buffer),
            Output::Reject(answer) => (dialect.encode_reject)(&answer, &mut buffer),
            Output::Reply(answer) => (dialect.encode_reply)(&answer, &mut buffer),
        }
        if writer.send(&mut buffer).await.is_err() {
            // The reading task sees the same and tells the router.
            return;
        }
    }
    writer.close();
}
