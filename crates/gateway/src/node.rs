//! Task that owns the router.
//!
//! The task passes the messages of the other tasks to the router as events and performs the actions
//! that the router returns.

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
use tamarackbend_wire::channel::{Close, Frame, Open, frame::Body};
use tracing::{debug, info, warn};

use crate::channel::{
    decode_fault, decode_introduction, decode_loans, decode_reply, encode_command,
    encode_loan_requests, encode_loans, encode_open, frame,
};
use crate::client::{self, Response};
use crate::link::{self, InboundLinks, Link};
use crate::{Protocol, Result, clock, endpoint};

/// Interval of ticks while the router waits for a timeout or deadline.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(15);
/// Interval of ticks while the router waits for nothing.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(40);
/// Gap between two ticks that shows that the process was suspended.
const PAUSE_GAP: Duration = Duration::from_millis(250);
/// Time for the last answers to be written before the process exits.
const SHUTDOWN_FLUSH_TIME: Duration = Duration::from_millis(50);
/// Delay before the next attempt after a connection could not be accepted.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Sender of events to the router.
#[derive(Clone, Debug)]
pub struct Events {
    inbox: Inbox,
}

impl Events {
    /// Sends an event; the event is dropped if the node has ended.
    pub fn send(&self, event: Event) {
        self.inbox.send(Message::Event(event));
    }
}

/// Sender of requests for a dump of the router's state; each request is answered at the next tick.
pub type DumpRequests = UnboundedSender<oneshot::Sender<serde_json::Value>>;

/// Message to the task that owns the router.
#[derive(Debug)]
pub(crate) enum Message {
    Event(Event),
    /// Registers where the responses of a new session go.
    Client(SessionId, Sink),
    Frame {
        peer: String,
        generation: u64,
        frame: Frame,
    },
    LinkLost {
        peer: String,
        generation: u64,
    },
}

/// Sender to the task that owns the router.
#[derive(Clone, Debug)]
pub(crate) struct Inbox {
    sender: UnboundedSender<Message>,
}

impl Inbox {
    pub(crate) fn send(&self, message: Message) {
        // Fails only if the router's task has ended, which ends the process.
        let _ = self.sender.unbounded_send(message);
    }
}

/// Destination of a session's responses.
#[derive(Debug)]
pub(crate) enum Sink {
    /// Client connection of this node.
    Socket(UnboundedSender<Response>),
    /// Channel on an inbound link.
    Channel { channel: u64, frames: UnboundedSender<Frame> },
}

impl Sink {
    fn send(&self, response: Response) {
        // Fails only if the client's tasks have ended; the reading task reports the disconnect.
        let _ = match self {
            Sink::Socket(responses) => responses.unbounded_send(response).is_ok(),
            Sink::Channel { channel, frames } => {
                frames.unbounded_send(link::encode_response(*channel, response)).is_ok()
            }
        };
    }

    fn close(self) {
        if let Sink::Channel { channel, frames } = self {
            // Fails only if the link's task has ended; that task reports the disconnect.
            let _ = frames.unbounded_send(frame(channel, Body::Close(Close {})));
        }
    }
}

/// Generator of session ids, shared by the tasks that accept sessions.
#[derive(Clone, Debug, Default)]
pub(crate) struct SessionIds {
    last: Rc<Cell<SessionId>>,
}

impl SessionIds {
    pub(crate) fn next(&self) -> SessionId {
        self.last.set(self.last.get() + 1);
        self.last.get()
    }
}

/// Node: the router, and the senders and receivers that connect it to the other tasks.
pub struct Node {
    router: Router,
    protocol: Protocol,
    inbox: Inbox,
    messages: UnboundedReceiver<Message>,
    session_ids: SessionIds,
    clients: HashMap<SessionId, Sink>,
    connections: HashMap<ConnectionId, Connection>,
    links: HashMap<String, Link>,
    inbound_links: InboundLinks,
    dump_receiver: UnboundedReceiver<oneshot::Sender<serde_json::Value>>,
    dump_sender: DumpRequests,
    next_generation: u64,
}

enum Connection {
    Endpoint { commands: UnboundedSender<Vec<Command>>, _task: JoinHandle<()> },
    Channel { peer: String },
}

impl Node {
    /// Returns a node whose clients and endpoints speak `protocol`.
    pub fn new(router: Router, protocol: Protocol) -> Node {
        let (sender, messages) = unbounded();
        let (dump_sender, dump_receiver) = unbounded();
        Node {
            router,
            protocol,
            inbox: Inbox { sender },
            messages,
            session_ids: SessionIds::default(),
            clients: HashMap::new(),
            connections: HashMap::new(),
            links: HashMap::new(),
            inbound_links: InboundLinks::default(),
            dump_receiver,
            dump_sender,
            next_generation: 1,
        }
    }

    /// Returns a sender of events to the router.
    pub fn events(&self) -> Events {
        Events { inbox: self.inbox.clone() }
    }

    /// Returns a sender of requests for a dump of the router's state, which may be used from any
    /// thread.
    pub fn dump_requests(&self) -> DumpRequests {
        self.dump_sender.clone()
    }

    /// Accepts links of other nodes at `address` and serves their channels.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn listen(&self, address: SocketAddr) -> Result<()> {
        let (inbox, session_ids) = (self.inbox.clone(), self.session_ids.clone());
        let node = self.router.node().into();
        link::listen(node, address, inbox, session_ids, self.inbound_links.clone()).await
    }

    /// Serves the clients that connect to `listener` until the router requests the exit of the
    /// process.
    ///
    /// Actions that concern neither clients nor connections to endpoints and other nodes are passed
    /// to `perform_external`.
    pub async fn run(mut self, listener: TcpListener, mut perform_external: impl FnMut(Action)) {
        let accepting =
            accept_clients(listener, self.protocol, self.inbox.clone(), self.session_ids.clone());
        let _accept_task = compio::runtime::spawn(accepting);
        let mut last_tick = clock::now();
        loop {
            let interval =
                if self.router.is_busy() { BUSY_TICK_INTERVAL } else { IDLE_TICK_INTERVAL };
            let time_to_tick = (last_tick + interval).saturating_sub(clock::now());
            if !time_to_tick.is_zero()
                && let Ok(Some(message)) = timeout(time_to_tick, self.messages.next()).await
                && self.handle_message(message, &mut perform_external)
            {
                break;
            }
            while let Ok(message) = self.messages.try_recv() {
                if self.handle_message(message, &mut perform_external) {
                    return self.shut_down().await;
                }
            }
            let now = clock::now();
            if now >= last_tick + interval {
                let was_suspended = now > last_tick + PAUSE_GAP;
                self.check_links(now, was_suspended, &mut perform_external);
                last_tick = now;
                self.answer_dumps();
                if self.step_router(Event::Tick, &mut perform_external) {
                    break;
                }
            }
        }
        self.shut_down().await;
    }

    fn answer_dumps(&mut self) {
        while let Ok(response) = self.dump_receiver.try_recv() {
            // Fails only if the receiver of the response has been dropped or closed.
            let _ = response.send(self.router.dump());
        }
    }

    async fn shut_down(mut self) {
        self.clients.clear();
        compio::time::sleep(SHUTDOWN_FLUSH_TIME).await;
    }

    /// Handles a message; returns whether the process is to exit.
    fn handle_message(
        &mut self,
        message: Message,
        perform_external: &mut impl FnMut(Action),
    ) -> bool {
        match message {
            Message::Event(event) => {
                match &event {
                    Event::ClientDisconnected(id) => drop(self.clients.remove(id)),
                    Event::ConnectionLost(id, _) => drop(self.connections.remove(id)),
                    _ => {}
                }
                self.step_router(event, perform_external)
            }
            Message::Client(id, sink) => {
                self.clients.insert(id, sink);
                false
            }
            Message::Frame { peer, generation, frame } => {
                self.handle_frame(&peer, generation, frame, perform_external)
            }
            Message::LinkLost { peer, generation } => {
                if self.links.get(&peer).is_some_and(|link| link.generation == generation) {
                    return self.on_link_lost(&peer, perform_external);
                }
                false
            }
        }
    }

    /// Passes an event to the router and performs the resulting actions; returns whether the
    /// process is to exit.
    fn step_router(&mut self, event: Event, perform_external: &mut impl FnMut(Action)) -> bool {
        let mut should_exit = false;
        for action in self.router.step(clock::now(), event) {
            should_exit |= action == Action::Exit;
            self.perform_action(action, perform_external);
        }
        should_exit
    }

    fn perform_action(&mut self, action: Action, perform_external: &mut impl FnMut(Action)) {
        match action {
            Action::Introduce(id, introduction) => {
                self.respond(id, Response::Introduce(introduction));
            }
            Action::AcceptSession(id) => self.respond(id, Response::Accept),
            Action::Reply(id, answer) => self.respond(id, Response::Reply(answer)),
            Action::RejectSession(id, answer) => {
                self.respond(id, Response::Reject(answer));
                self.clients.remove(&id);
            }
            Action::CloseSession(id) => {
                if let Some(sink) = self.clients.remove(&id) {
                    sink.close();
                }
            }
            Action::Connect { connection, entry, customer } => {
                let (commands, receiver) = unbounded();
                let events = self.events();
                let serving =
                    endpoint::serve(connection, entry, customer, self.protocol, events, receiver);
                let task = compio::runtime::spawn(serving);
                self.connections.insert(connection, Connection::Endpoint { commands, _task: task });
            }
            Action::OpenChannel { connection, entry, database, key, introduction } => {
                self.open_channel(connection, &entry, encode_open(database, key, introduction));
            }
            Action::SendCommands(id, commands) => self.send_commands(id, commands),
            Action::Disconnect(id) => {
                if let Some(Connection::Channel { peer }) = self.connections.remove(&id)
                    && let Some(link) = self.links.get_mut(&peer)
                {
                    link.close_channel(id);
                }
            }
            Action::AnnounceStoreStatus { store_is_unreachable } => {
                self.inbound_links.announce_store_status(store_is_unreachable);
            }
            Action::ProbePeer(peer, address) => {
                let events = self.events();
                let probing = async move {
                    let has_answered = link::probe(&peer, address).await;
                    events.send(Event::PeerProbed(peer, has_answered));
                };
                compio::runtime::spawn(probing).detach();
            }
            Action::SendLoanRequests { to, address, sender, requests } => {
                self.ensure_link(&to, address);
                if let Some(link) = self.links.get_mut(&*to) {
                    link.request_loans(encode_loan_requests(&sender, requests));
                }
            }
            Action::SendLoans(to, loans) => {
                self.inbound_links.send_loans(&to, encode_loans(loans));
            }
            other => perform_external(other),
        }
    }

    fn respond(&self, id: SessionId, response: Response) {
        if let Some(sink) = self.clients.get(&id) {
            sink.send(response);
        }
    }

    fn open_channel(&mut self, connection: ConnectionId, entry: &Entry, open: Open) {
        let peer = entry.id.to_string();
        self.ensure_link(&peer, entry.address);
        if let Some(link) = self.links.get_mut(&peer) {
            link.open_channel(connection, open);
        }
        self.connections.insert(connection, Connection::Channel { peer });
    }

    /// Dials a link to a node if there is none to its address.
    fn ensure_link(&mut self, peer: &str, address: SocketAddr) {
        let has_link = self.links.get(peer).is_some_and(|link| link.address == address);
        if !has_link {
            self.next_generation += 1;
            let generation = self.next_generation;
            let link = Link::dial(peer, address, generation, self.inbox.clone());
            if let Some(replaced) = self.links.insert(peer.to_owned(), link) {
                for id in replaced.channels {
                    self.connections.remove(&id);
                    self.inbox
                        .send(Message::Event(Event::ConnectionLost(id, ConnectionLoss::Broken)));
                }
            }
        }
    }

    fn send_commands(&mut self, id: ConnectionId, commands: Vec<Command>) {
        match self.connections.get(&id) {
            Some(Connection::Endpoint { commands: sender, .. }) => {
                // Fails only if the connection's task has ended; that task reports the loss.
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

    /// Handles a frame of an outbound link; returns whether the process is to exit.
    fn handle_frame(
        &mut self,
        peer: &str,
        generation: u64,
        frame: Frame,
        perform_external: &mut impl FnMut(Action),
    ) -> bool {
        let Some(link) = self.links.get_mut(peer).filter(|link| link.generation == generation)
        else {
            return false;
        };
        if !link.record_frame(&frame) {
            return false;
        }
        let id = frame.channel;
        let event = match frame.body {
            Some(Body::Introduction(introduction)) => {
                Event::ChannelIntroduced(id, decode_introduction(introduction))
            }
            Some(Body::Opened(_)) => Event::EndpointConnected(id, None),
            Some(Body::Reply(reply)) => Event::EndpointAnswered(id, decode_reply(reply)),
            Some(Body::Refused(refused)) => {
                let fault = refused.fault.map_or(Fault::Busy, decode_fault);
                Event::ConnectionLost(id, ConnectionLoss::Refused(fault))
            }
            Some(Body::Close(_)) => Event::ConnectionLost(id, ConnectionLoss::Closed),
            Some(Body::Loans(loans)) => Event::LoansReceived(peer.into(), decode_loans(loans)),
            Some(Body::Notice(notice)) => Event::PeerStoreNotice(peer.into(), notice.store_is_away),
            _ => return false,
        };
        if matches!(event, Event::ConnectionLost(..)) {
            link.channels.remove(&id);
            self.connections.remove(&id);
        }
        self.step_router(event, perform_external)
    }

    /// Reports the channels of a lost outbound link to the router; returns whether the process is
    /// to exit.
    fn on_link_lost(&mut self, peer: &str, perform_external: &mut impl FnMut(Action)) -> bool {
        let Some(link) = self.links.remove(peer) else { return false };
        info!(
            peer,
            channels = link.channels.len(),
            "link to another node is lost; its channels are closed"
        );
        let mut should_exit = false;
        for id in link.channels {
            self.connections.remove(&id);
            should_exit |= self
                .step_router(Event::ConnectionLost(id, ConnectionLoss::Broken), perform_external);
        }
        should_exit
    }

    /// Checks the liveness of outbound links; `was_suspended` tells that this process was not
    /// running since the last check.
    fn check_links(
        &mut self,
        now: Duration,
        was_suspended: bool,
        perform_external: &mut impl FnMut(Action),
    ) {
        if was_suspended {
            self.links.values_mut().for_each(|link| link.reset_liveness(now));
        }
        let lost_peers = self.links.iter_mut().filter_map(|(peer, link)| {
            let is_lost = link.check_liveness(now);
            is_lost.then(|| peer.clone())
        });
        for peer in lost_peers.collect::<Vec<String>>() {
            self.on_link_lost(&peer, perform_external);
        }
        self.links.retain(|peer, link| {
            let is_unused = link.is_unused_for_loans(now);
            if is_unused {
                debug!(peer, "closing a link that is not used for loans any more");
            }
            !is_unused
        });
    }
}

async fn accept_clients(
    listener: TcpListener,
    protocol: Protocol,
    inbox: Inbox,
    session_ids: SessionIds,
) {
    let events = Events { inbox: inbox.clone() };
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(%error, "could not accept a client connection; retrying");
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let id = session_ids.next();
        let (sender, responses) = unbounded();
        inbox.send(Message::Client(id, Sink::Socket(sender)));
        events.send(Event::ClientConnected(id));
        client::spawn_tasks(id, stream, protocol, events.clone(), responses);
    }
}
