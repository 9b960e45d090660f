//! Connection to an endpoint that runs clients' statements.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compio::time::timeout;
use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt};
use tamarackbend_policy::owner::{ConnectionId, Event, OpenError, RequestId};
use tamarackbend_postgres::{Completion, Endpoint};

use super::{Message, Sender};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// SQLSTATE `too_many_connections`: the endpoint has no free slot.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// Statement to be run on a connection.
pub(crate) struct Command {
    pub(super) request_id: RequestId,
    pub(super) messages: Bytes,
}

/// Endpoint to connect to, and limits of its statements.
pub(super) struct Target {
    pub(super) id: ConnectionId,
    pub(super) address: SocketAddr,
    pub(super) database: String,
    /// Failure domain of this node.
    pub(super) failure_domain: String,
    /// Largest answer to a statement, in bytes.
    pub(super) answer_bytes: usize,
    pub(super) statement_timeout: Duration,
}

/// Opens a connection and runs statements on it until it breaks.
pub(super) async fn run(target: Target, owner: Sender) {
    let connecting =
        Endpoint::connect(target.address, &target.database, &target.failure_domain, false);
    let mut endpoint = match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(endpoint)) => endpoint,
        Ok(Err(error)) if error.sqlstate() == Some(TOO_MANY_CONNECTIONS) => {
            return send_event(&owner, Event::ConnectionFailed(target.id, OpenError::NoSlot));
        }
        _ => return send_event(&owner, Event::ConnectionFailed(target.id, OpenError::Unreachable)),
    };
    let (sender, mut commands) = mpsc::unbounded::<Command>();
    // The owner outlives its connections.
    let _ = owner.unbounded_send(Message::ConnectionOpened(target.id, sender));
    loop {
        let command = {
            let idle = endpoint.wait_readable().fuse();
            futures_util::pin_mut!(idle);
            futures_util::select_biased! {
                command = commands.next() => command,
                () = idle => None,
            }
        };
        let Some(Command { request_id, messages }) = command else {
            return send_event(&owner, Event::ConnectionLost(target.id));
        };
        let running = endpoint.execute(&messages, target.answer_bytes);
        let completion =
            timeout(target.statement_timeout, running).await.unwrap_or(Completion::ConnectionLost);
        let is_broken = !matches!(completion, Completion::Answered(_));
        let _ = owner.unbounded_send(Message::StatementFinished(request_id, completion));
        if is_broken {
            return;
        }
    }
}

fn send_event(owner: &Sender, event: Event) {
    let _ = owner.unbounded_send(Message::Event(event));
}
