//! The task that owns the router.

use std::collections::HashMap;
use std::time::Duration;

use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use compio::time::timeout;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;
use tamarackbend_router::message::{Command, ConnectionId, SessionId};
use tamarackbend_router::{Action, Event, Router};
use tracing::warn;

use crate::caller::{self, Output};
use crate::{Dialect, clock, endpoint};

/// Interval of ticks while something waits for time to pass.
const TICK_BUSY: Duration = Duration::from_millis(15);
/// Interval of ticks otherwise.
const TICK_IDLE: Duration = Duration::from_millis(40);
/// Time that answers have to leave before the process ends.
const LAST_WRITES: Duration = Duration::from_millis(50);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Sender of events to the router.
#[derive(Clone, Debug)]
pub struct Events {
    sender: UnboundedSender<Event>,
}

impl Events {
    /// Sends an event; after the node has ended it goes nowhere.
    pub fn send(&self, event: Event) {
        // Fails only when the router's task has ended, and the process with it.
        let _ = self.sender.unbounded_send(event);
    }
}

/// A node: its router, and the channels of its tasks.
pub struct Node {
    router: Router,
    dialect: Dialect,
    events: Events,
    inbox: UnboundedReceiver<Event>,
    callers: HashMap<SessionId, UnboundedSender<Output>>,
    endpoints: HashMap<ConnectionId, Connection>,
    accepted: UnboundedReceiver<(SessionId, UnboundedSender<Output>)>,
    acceptor: UnboundedSender<(SessionId, UnboundedSender<Output>)>,
}

struct Connection {
    commands: UnboundedSender<Vec<Command>>,
    _task: JoinHandle<()>,
}

impl Node {
    /// Returns a node that speaks `dialect`.
    pub fn new(router: Router, dialect: Dialect) -> Node {
        let (sender, inbox) = unbounded();
        let (acceptor, accepted) = unbounded();
        Node {
            router,
            dialect,
            events: Events { sender },
            inbox,
            callers: HashMap::new(),
            endpoints: HashMap::new(),
            accepted,
            acceptor,
        }
    }

    /// Returns a sender of events to the router.
    pub fn events(&self) -> Events {
        self.events.clone()
    }

    /// Serves callers of `listener` until the router ends the process.
    ///
    /// Actions that are neither for callers nor for endpoints go to `perform`.
    pub async fn run(mut self, listener: TcpListener, mut perform: impl FnMut(Action)) {
        let accepting = accept(listener, self.dialect, self.events.clone(), self.acceptor.clone());
        let _accepting = compio::runtime::spawn(accepting);
        let mut ticked = clock::now();
        loop {
            let interval = if self.router.is_busy() { TICK_BUSY } else { TICK_IDLE };
            let rest = (ticked + interval).saturating_sub(clock::now());
            if !rest.is_zero()
                && let Ok(Some(event)) = timeout(rest, self.inbox.next()).await
                && self.handle(event, &mut perform)
            {
                break;
            }
            while let Ok(event) = self.inbox.try_recv() {
                if self.handle(event, &mut perform) {
                    return self.end().await;
                }
            }
            if clock::now() >= ticked + interval {
                ticked = clock::now();
                if self.handle(Event::Tick, &mut perform) {
                    break;
                }
            }
        }
        self.end().await;
    }

    async fn end(mut self) {
        self.callers.clear();
        compio::time::sleep(LAST_WRITES).await;
    }

    /// Steps the router and carries out its actions; returns whether the process ends.
    fn handle(&mut self, event: Event, perform: &mut impl FnMut(Action)) -> bool {
        while let Ok((id, output)) = self.accepted.try_recv() {
            self.callers.insert(id, output);
        }
        if let Event::Left(id) = &event {
            self.callers.remove(id);
        }
        if let Event::Lost(id, _) = &event {
            self.endpoints.remove(id);
        }
        let mut ends = false;
        for action in self.router.step(clock::now(), event) {
            ends |= action == Action::Exit;
            self.carry_out(action, perform);
        }
        ends
    }

    fn carry_out(&mut self, action: Action, perform: &mut impl FnMut(Action)) {
        match action {
            Action::Welcome(id) => self.tell(id, Output::Welcome),
            Action::Reply(id, answer) => self.tell(id, Output::Reply(answer)),
            Action::Reject(id, answer) => {
                self.tell(id, Output::Reject(answer));
                self.callers.remove(&id);
            }
            Action::Close(id) => {
                self.callers.remove(&id);
            }
            Action::Connect { connection, entry } => {
                let (commands, receiver) = unbounded();
                let run =
                    endpoint::run(connection, entry, self.dialect, self.events.clone(), receiver);
                let task = compio::runtime::spawn(run);
                self.endpoints.insert(connection, Connection { commands, _task: task });
            }
            Action::Send(id, commands) => {
                if let Some(connection) = self.endpoints.get(&id) {
                    // A connection whose task has ended is reported as lost by that task.
                    let _ = connection.commands.unbounded_send(commands);
                }
            }
            Action::Disconnect(id) => {
                self.endpoints.remove(&id);
            }
            other => perform(other),
        }
    }

    fn tell(&self, id: SessionId, output: Output) {
        if let Some(caller) = self.callers.get(&id) {
            // A caller whose task has ended is reported as left by its reading task.
            let _ = caller.unbounded_send(output);
        }
    }
}

async fn accept(
    listener: TcpListener,
    dialect: Dialect,
    events: Events,
    acceptor: UnboundedSender<(SessionId, UnboundedSender<Output>)>,
) {
    let mut next: SessionId = 1;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(%error, "caller could not be accepted");
                compio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (output, outputs) = unbounded();
        // Fails only when the router's task has ended, and the process with it.
        let _ = acceptor.unbounded_send((next, output));
        events.send(Event::Opened(next));
        caller::start(next, stream, dialect, events.clone(), outputs);
        next += 1;
    }
}
