//! Tasks of a connection to an endpoint.

use bytes::BytesMut;
use compio::net::TcpStream;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use tamarackbend_net::{Reader, Writer, split};
use tamarackbend_router::directory::Entry;
use tamarackbend_router::message::{Answer, Command, ConnectionId, Fault, Outcome};
use tamarackbend_router::{ConnectionLoss, Event};

use crate::{Dialect, Events, Piece};

/// Connects and serves a connection until its channel or the endpoint ends it.
pub(crate) async fn run(
    id: ConnectionId,
    entry: Entry,
    dialect: Dialect,
    events: Events,
    commands: UnboundedReceiver<Vec<Command>>,
) {
    let Ok(stream) = TcpStream::connect(entry.address).await else {
        events.send(Event::ConnectionLost(id, ConnectionLoss::Broken));
        return;
    };
    let (reader, mut writer) = split(stream);
    let mut buffer = BytesMut::new();
    (dialect.encode_start)(&entry, &mut buffer);
    if writer.send(&mut buffer).await.is_err() {
        events.send(Event::ConnectionLost(id, ConnectionLoss::Broken));
        return;
    }
    let reading = compio::runtime::spawn(read(id, reader, dialect, events));
    write(writer, dialect, commands).await;
    drop(reading);
}

async fn write(
    mut writer: Writer,
    dialect: Dialect,
    mut commands: UnboundedReceiver<Vec<Command>>,
) {
    let mut buffer = BytesMut::new();
    while let Some(batch) = commands.next().await {
        for command in &batch {
            (dialect.encode_command)(command, &mut buffer);
        }
        if writer.send(&mut buffer).await.is_err() {
            // The reading task sees the same and tells the router.
            break;
        }
    }
    // The channel stays open until the router has heard of a loss.
    while commands.next().await.is_some() {}
    writer.close();
}

async fn read(id: ConnectionId, mut reader: Reader, dialect: Dialect, events: Events) {
    let loss = answers(id, &mut reader, dialect, &events).await;
    events.send(Event::ConnectionLost(id, loss));
}

async fn answers(
    id: ConnectionId,
    reader: &mut Reader,
    dialect: Dialect,
    events: &Events,
) -> ConnectionLoss {
    let mut started = false;
    let mut rows = Vec::new();
    let mut outcome = None;
    loop {
        let piece = match (dialect.decode_piece)(&mut reader.input) {
            Ok(Some(piece)) => piece,
            Ok(None) => match reader.fill().await {
                Ok(0) | Err(_) => return ConnectionLoss::Broken,
                Ok(_) => continue,
            },
            Err(_) => return ConnectionLoss::Broken,
        };
        match piece {
            Piece::Row(row) => rows.push(row),
            Piece::Outcome(Outcome::Error { fault, .. }) if !started => {
                return ConnectionLoss::Refused(fault);
            }
            Piece::Outcome(ended) => outcome = Some(ended),
            Piece::Ready(_, position) if !started => {
                started = true;
                events.send(Event::EndpointConnected(id, position));
            }
            Piece::Ready(state, position) => {
                let status = rows.first().and_then(|row| (dialect.decode_status)(row));
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
