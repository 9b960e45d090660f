//! Tasks that read from and write to a connection to an endpoint.

use bytes::BytesMut;
use compio::net::TcpStream;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use tamarackbend_net::{Reader, Writer, split};
use tamarackbend_router::customer::CustomerName;
use tamarackbend_router::directory::Entry;
use tamarackbend_router::message::{Answer, Command, ConnectionId, Fault, Outcome};
use tamarackbend_router::{ConnectionLoss, Event};

use crate::{EndpointMessage, Events, Protocol};

/// Connects to an endpoint and serves the connection until the endpoint closes it or the sender of
/// `commands` is dropped.
pub(crate) async fn serve(
    id: ConnectionId,
    entry: Entry,
    customer: Option<CustomerName>,
    protocol: Protocol,
    events: Events,
    commands: UnboundedReceiver<Vec<Command>>,
) {
    let Ok(stream) = TcpStream::connect(entry.address).await else {
        events.send(Event::ConnectionLost(id, ConnectionLoss::Broken));
        return;
    };
    let (reader, mut writer) = split(stream);
    let mut buffer = BytesMut::new();
    (protocol.encode_start)(&entry, customer.as_deref(), &mut buffer);
    if writer.send(&mut buffer).await.is_err() {
        events.send(Event::ConnectionLost(id, ConnectionLoss::Broken));
        return;
    }
    let read_task = compio::runtime::spawn(read_answers(id, reader, protocol, events));
    write_commands(writer, protocol, commands).await;
    drop(read_task);
}

async fn write_commands(
    mut writer: Writer,
    protocol: Protocol,
    mut commands: UnboundedReceiver<Vec<Command>>,
) {
    let mut buffer = BytesMut::new();
    while let Some(batch) = commands.next().await {
        for command in &batch {
            (protocol.encode_command)(command, &mut buffer);
        }
        if writer.send(&mut buffer).await.is_err() {
            // The reading task fails too and reports the loss to the router.
            break;
        }
    }
    // Discards commands until the router has handled the loss and drops the sender: returning
    // earlier would cancel the reading task, which reports the loss.
    while commands.next().await.is_some() {}
    writer.close();
}

async fn read_answers(id: ConnectionId, mut reader: Reader, protocol: Protocol, events: Events) {
    let loss = forward_answers(id, &mut reader, protocol, &events).await;
    events.send(Event::ConnectionLost(id, loss));
}

/// Forwards the endpoint's answers to the router; returns why the connection ended.
async fn forward_answers(
    id: ConnectionId,
    reader: &mut Reader,
    protocol: Protocol,
    events: &Events,
) -> ConnectionLoss {
    let mut is_started = false;
    let mut rows = Vec::new();
    let mut outcome = None;
    loop {
        let message = match (protocol.decode_endpoint_message)(&mut reader.input) {
            Ok(Some(message)) => message,
            Ok(None) => match reader.fill().await {
                Ok(0) | Err(_) => return ConnectionLoss::Broken,
                Ok(_) => continue,
            },
            Err(_) => return ConnectionLoss::Broken,
        };
        match message {
            EndpointMessage::Row(row) => rows.push(row),
            EndpointMessage::Outcome(Outcome::Error { fault, .. }) if !is_started => {
                return ConnectionLoss::Refused(fault);
            }
            EndpointMessage::Outcome(received) => outcome = Some(received),
            EndpointMessage::Ready(_, position) if !is_started => {
                is_started = true;
                events.send(Event::EndpointConnected(id, position));
            }
            EndpointMessage::Ready(state, position) => {
                let status = rows.first().and_then(|row| (protocol.decode_status)(row));
                let outcome = outcome.take().unwrap_or_else(|| Outcome::Error {
                    fault: Fault::InDoubt,
                    text: "the endpoint's answer has no outcome".to_owned(),
                });
                let rows = std::mem::take(&mut rows);
                let answer = Answer { rows, outcome, state, position, status };
                events.send(Event::EndpointAnswered(id, answer));
            }
        }
    }
}
