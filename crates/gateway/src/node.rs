//! The task that owns the router.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use compio::time::timeout;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_channel::oneshot;
use futures_util::StreamExt;
use tamarackbend_router::directory::Entry;
use tamarackbend_router::message::{Command, ConnectionId, Fault, SessionId};
use tamarackbend_router::{Action, ConnectionLoss, Event, Router};
use tamarackbend_wire::channel::{Close, Frame, frame::Body};
use tracing::{info, warn};

use crate::caller::{self, Output};
use crate::channel::{decode_fault, decode_reply, encode_command, frame};
use crate::link::{self, Link, Served};
use crate::{Dialect, Result, clock, endpoint};

/// Interval of ticks while something waits for time to pass.
const TICK_BUSY: Duration = Duration::from_millis(15);
/// Interval of ticks otherwise.
const TICK_IDLE: Duration = Duration::from_millis(40);
/// Gap between two ticks after which the process was not running.
const PAUSE_GAP: Duration = Duration::from_millis(250);
/// Time that answers have to leave before the process ends.
const LAST_WRITES: Duration = Duration::from_millis(50);
/// Pause after a connection could not be accepted.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Sender of events to the router.
#[derive(Clone, Debug)]
pub struct Events {
    inbox: Inbox,
}

impl Events {
    /// Sends an event; after the node has ended it goes nowhere.
    pub fn send(&self, event: Event) {
        self.inbox.send(Message::Event(event));
    }
}

/// Requests for the node's state; each is answered within a tick.
pub type Dumps = UnboundedSender<oneshot::Sender<serde_json::Value>>;

/// Message to the task that owns the router.
#[derive(Debug)]
pub(crate) enum Message {
    Event(Event),
    Caller(SessionId, Sink),
    Frame { peer: String, generation: u64, frame: Frame },
    LinkLost { peer: String, generation: u64 },
}

/// Sender to the task that owns the router.
#[derive(Clone, Debug)]
pub(crate) struct Inbox {
    sender: UnboundedSender<Message>,
}

impl Inbox {
    pub(crate) fn send(&self, message: Message) {
        // Fails only when the router's task has ended, and the process with it.
        let _ = self.sender.unbounded_send(message);
    }
}

/// Where a caller's answers go.
#[derive(Debug)]
pub(crate) enum Sink {
    Socket(UnboundedSender<Output>),
    Channel { channel: u64, frames: UnboundedSender<Frame> },
}

impl Sink {
    fn tell(&self, output: Output) {
        // A caller whose task has ended is reported as left by its reading task.
        let _ = match self {
            Sink::Socket(outputs) => outputs.unbounded_send(output).is_ok(),
            Sink::Channel { channel, frames } => {
                frames.unbounded_send(link::encode_output(*channel, output)).is_ok()
            }
        };
    }

    fn close(self) {
        if let Sink::Channel { channel, frames } = self {
            // As above.
            let _ = frames.unbounded_send(frame(channel, Body::Close(Close {})));
        }
    }
}

/// Source of session ids.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sessions {
    last: Rc<Cell<SessionId>>,
}

impl Sessions {
    pub(crate) fn next(&self) -> SessionId {
        self.last.set(self.last.get() + 1);
        self.last.get()
    }
}

/// A node: its router, and the channels of its tasks.
pub struct Node {
    router: Router,
    dialect: Dialect,
    inbox: Inbox,
    messages: UnboundedReceiver<Message>,
    sessions: Sessions,
    callers: HashMap<SessionId, Sink>,
    connections: HashMap<ConnectionId, Connection>,
    links: HashMap<String, Link>,
    served: Served,
    dumps: UnboundedReceiver<oneshot::Sender<serde_json::Value>>,
    dumper: Dumps,
    next_generation: u64,
}

enum Connection {
    Endpoint { commands: UnboundedSender<Vec<Command>>, _task: JoinHandle<()> },
    Channel { peer: String },
}

impl Node {
    /// Returns a node that speaks `dialect`.
    pub fn new(router: Router, dialect: Dialect) -> Node {
        let (sender, messages) = unbounded();
        let (dumper, dumps) = unbounded();
        Node {
            router,
            dialect,
            inbox: Inbox { sender },
            messages,
            sessions: Sessions::default(),
            callers: HashMap::new(),
            connections: HashMap::new(),
            links: HashMap::new(),
            served: Served::default(),
            dumps,
            dumper,
            next_generation: 1,
        }
    }

    /// Returns a sender of events to the router.
    pub fn events(&self) -> Events {
        Events { inbox: self.inbox.clone() }
    }

    /// Returns a sender of requests for the node's state, which other threads may use too.
    pub fn dumps(&self) -> Dumps {
        self.dumper.clone()
    }

    /// Serves the channels of other nodes at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
    pub async fn listen(&self, address: SocketAddr) -> Result<()> {
        let (inbox, sessions) = (self.inbox.clone(), self.sessions.clone());
        link::listen(address, inbox, sessions, self.served.clone()).await
    }

    /// Serves callers of `listener` until the router ends the process.
    ///
    /// Actions that are neither for callers nor for endpoints go to `perform`.
    pub async fn run(mut self, listener: TcpListener, mut perform: impl FnMut(Action)) {
        let accepting = accept(listener, self.dialect, self.inbox.clone(), self.sessions.clone());
        let _accepting = compio::runtime::spawn(accepting);
        let mut ticked = clock::now();
        loop {
            let interval = if self.router.is_busy() { TICK_BUSY } else { TICK_IDLE };
            let rest = (ticked + interval).saturating_sub(clock::now());
            if !rest.is_zero()
                && let Ok(Some(message)) = timeout(rest, self.messages.next()).await
                && self.take(message, &mut perform)
            {
                break;
            }
            while let Ok(message) = self.messages.try_recv() {
                if self.take(message, &mut perform) {
                    return self.end().await;
                }
            }
            let now = clock::now();
            if now >= ticked + interval {
                self.check_links(now, now > ticked + PAUSE_GAP, &mut perform);
                ticked = now;
                self.answer_dumps();
                if self.step(Event::Tick, &mut perform) {
                    break;
                }
            }
        }
        self.end().await;
    }

    fn answer_dumps(&mut self) {
        while let Ok(reply) = self.dumps.try_recv() {
            // Fails only when the asker has gone.
            let _ = reply.send(self.router.dump());
        }
    }

    async fn end(mut self) {
        self.callers.clear();
        compio::time::sleep(LAST_WRITES).await;
    }

    /// Handles a message; returns whether the process ends.
    fn take(&mut self, message: Message, perform: &mut impl FnMut(Action)) -> bool {
        match message {
            Message::Event(event) => {
                match &event {
                    Event::ClientDisconnected(id) => drop(self.callers.remove(id)),
                    Event::ConnectionLost(id, _) => drop(self.connections.remove(id)),
                    _ => {}
                }
                self.step(event, perform)
            }
            Message::Caller(id, sink) => {
                self.callers.insert(id, sink);
                false
            }
            Message::Frame { peer, generation, frame } => {
                self.frame(&peer, generation, frame, perform)
            }
            Message::LinkLost { peer, generation } => {
                if self.links.get(&peer).is_some_and(|link| link.generation == generation) {
                    return self.lose_link(&peer, perform);
                }
                false
            }
        }
    }

    /// Steps the router and carries out its actions; returns whether the process ends.
    fn step(&mut self, event: Event, perform: &mut impl FnMut(Action)) -> bool {
        let mut ends = false;
        for action in self.router.step(clock::now(), event) {
            ends |= action == Action::Exit;
            self.carry_out(action, perform);
        }
        ends
    }

    fn carry_out(&mut self, action: Action, perform: &mut impl FnMut(Action)) {
        match action {
            Action::AcceptSession(id) => self.tell(id, Output::Welcome),
            Action::Reply(id, answer) => self.tell(id, Output::Reply(answer)),
            Action::RejectSession(id, answer) => {
                self.tell(id, Output::Reject(answer));
                self.callers.remove(&id);
            }
            Action::CloseSession(id) => {
                if let Some(sink) = self.callers.remove(&id) {
                    sink.close();
                }
            }
            Action::Connect { connection, entry } => {
                let (commands, receiver) = unbounded();
                let events = self.events();
                let run = endpoint::run(connection, entry, self.dialect, events, receiver);
                let task = compio::runtime::spawn(run);
                self.connections.insert(connection, Connection::Endpoint { commands, _task: task });
            }
            Action::OpenChannel { connection, entry, database } => {
                self.open(connection, &entry, database);
            }
            Action::SendCommands(id, commands) => self.send(id, commands),
            Action::Disconnect(id) => {
                if let Some(Connection::Channel { peer }) = self.connections.remove(&id)
                    && let Some(link) = self.links.get_mut(&peer)
                {
                    link.close(id);
                }
            }
            Action::AnnounceStoreStatus { store_is_unreachable: store_is_away } => {
                self.served.announce(store_is_away)
            }
            other => perform(other),
        }
    }

    fn tell(&self, id: SessionId, output: Output) {
        if let Some(sink) = self.callers.get(&id) {
            sink.tell(output);
        }
    }

    fn open(&mut self, connection: ConnectionId, entry: &Entry, database: String) {
        let peer = entry.id.to_string();
        let known = self.links.get(&peer).is_some_and(|link| link.address == entry.address);
        if !known {
            self.next_generation += 1;
            let generation = self.next_generation;
            let link = Link::dial(&peer, entry.address, generation, self.inbox.clone());
            if let Some(old) = self.links.insert(peer.clone(), link) {
                for id in old.channels {
                    self.connections.remove(&id);
                    self.inbox
                        .send(Message::Event(Event::ConnectionLost(id, ConnectionLoss::Broken)));
                }
            }
        }
        if let Some(link) = self.links.get_mut(&peer) {
            link.open(connection, database);
        }
        self.connections.insert(connection, Connection::Channel { peer });
    }

    fn send(&mut self, id: ConnectionId, commands: Vec<Command>) {
        match self.connections.get(&id) {
            Some(Connection::Endpoint { commands: sender, .. }) => {
                // A connection whose task has ended is reported as lost by that task.
                let _ = sender.unbounded_send(commands);
            }
            Some(Connection::Channel { peer }) => {
                let Some(link) = self.links.get_mut(peer) else { return };
                for call in commands.iter().filter_map(encode_command) {
                    link.call(id, Body::Call(call));
                }
            }
            None => {}
        }
    }

    fn frame(
        &mut self,
        peer: &str,
        generation: u64,
        frame: Frame,
        perform: &mut impl FnMut(Action),
    ) -> bool {
        let Some(link) = self.links.get_mut(peer).filter(|link| link.generation == generation)
        else {
            return false;
        };
        if !link.hear(&frame) {
            return false;
        }
        let id = frame.channel;
        let event = match frame.body {
            Some(Body::Opened(_)) => Event::EndpointConnected(id, None),
            Some(Body::Reply(reply)) => Event::EndpointAnswered(id, decode_reply(reply)),
            Some(Body::Refused(refused)) => {
                let fault = refused.fault.map_or(Fault::Busy, decode_fault);
                Event::ConnectionLost(id, ConnectionLoss::Refused(fault))
            }
            Some(Body::Close(_)) => Event::ConnectionLost(id, ConnectionLoss::Broken),
            Some(Body::Notice(notice)) => Event::PeerStoreNotice(peer.into(), notice.store_is_away),
            _ => return false,
        };
        if matches!(event, Event::ConnectionLost(..)) {
            link.channels.remove(&id);
            self.connections.remove(&id);
        }
        self.step(event, perform)
    }

    fn lose_link(&mut self, peer: &str, perform: &mut impl FnMut(Action)) -> bool {
        let Some(link) = self.links.remove(peer) else { return false };
        info!(peer, channels = link.channels.len(), "link is lost");
        let mut ends = false;
        for id in link.channels {
            self.connections.remove(&id);
            ends |= self.step(Event::ConnectionLost(id, ConnectionLoss::Broken), perform);
        }
        ends
    }

    fn check_links(&mut self, now: Duration, paused: bool, perform: &mut impl FnMut(Action)) {
        if paused {
            self.links.values_mut().for_each(|link| link.forgive(now));
        }
        let checked = self.links.iter_mut().filter_map(|(peer, link)| {
            let lost = link.check(now);
            lost.then(|| peer.clone())
        });
        for peer in checked.collect::<Vec<String>>() {
            self.lose_link(&peer, perform);
        }
    }
}

async fn accept(listener: TcpListener, dialect: Dialect, inbox: Inbox, sessions: Sessions) {
    let events = Events { inbox: inbox.clone() };
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(%error, "caller could not be accepted");
                compio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let id = sessions.next();
        let (output, outputs) = unbounded();
        inbox.send(Message::Caller(id, Sink::Socket(output)));
        events.send(Event::ClientConnected(id));
        caller::start(id, stream, dialect, events.clone(), outputs);
    }
}
