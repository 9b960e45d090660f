//! Connection to an endpoint that runs callers' statements.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compio::time::timeout;
use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt};
use tamarackbend_policy::owner::{ConnectionId, Event, OpenError, RequestId};
use tamarackbend_postgres::{Endpoint, Run};

use super::{Message, Sender};

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// SQLSTATE of an endpoint without a free slot.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// Statement for a connection.
pub(crate) struct Command {
    pub(super) ticket: RequestId,
    pub(super) messages: Bytes,
}

/// What to connect to.
pub(super) struct Target {
    pub(super) id: ConnectionId,
    pub(super) address: SocketAddr,
    pub(super) name: String,
    pub(super) domain: String,
    pub(super) answer_bytes: usize,
    pub(super) statement_timeout: Duration,
}

/// Opens a connection and runs statements on it until it breaks.
pub(super) async fn run(target: Target, owner: Sender) {
    let connecting = Endpoint::connect(target.address, &target.name, &target.domain, false);
    let mut endpoint = match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(endpoint)) => endpoint,
        Ok(Err(error)) if error.sqlstate() == Some(TOO_MANY_CONNECTIONS) => {
            return tell(&owner, Event::ConnectionFailed(target.id, OpenError::NoSlot));
        }
        _ => return tell(&owner, Event::ConnectionFailed(target.id, OpenError::Unreachable)),
    };
    let (sender, mut commands) = mpsc::unbounded::<Command>();
    // The owner outlives its connections.
    let _ = owner.unbounded_send(Message::Opened(target.id, sender));
    loop {
        let command = {
            let idle = endpoint.idle().fuse();
            futures_util::pin_mut!(idle);
            futures_util::select_biased! {
                command = commands.next() => command,
                () = idle => None,
            }
        };
        let Some(Command { ticket, messages }) = command else {
            return tell(&owner, Event::ConnectionLost(target.id));
        };
        let running = endpoint.run(&messages, target.answer_bytes);
        let run = timeout(target.statement_timeout, running).await.unwrap_or(Run::Lost);
        let ended = !matches!(run, Run::Answered(_));
        let _ = owner.unbounded_send(Message::Ran(ticket, run));
        if ended {
            return;
        }
    }
}

fn tell(owner: &Sender, event: Event) {
    let _ = owner.unbounded_send(Message::Event(event));
}
