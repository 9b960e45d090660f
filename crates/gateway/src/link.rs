//! Links between nodes.
//!
//! A link is one connection that carries many channels; each channel is a session on the node that
//! accepted the link. The node that opens a channel dials the link, and the accepting node serves
//! the channel like a client.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use compio::net::{TcpListener, TcpStream};
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;
use tamarackbend_net::{Reader, Writer, split};
use tamarackbend_router::Event;
use tamarackbend_router::message::{ConnectionId, SessionId};
use tamarackbend_wire::channel::{
    Close, Frame, LoanRequests, Loans, Notice, Open, Opened, Ping, Pong, Refused, frame::Body,
};
use tamarackbend_wire::{Codec, Decoder, Encoder};
use tracing::{info, warn};

use crate::channel::{
    decode_call, decode_loan_requests, decode_open, encode_answer, encode_fault,
    encode_introduction, frame,
};
use crate::client::Response;
use crate::node::{ACCEPT_RETRY_DELAY, Inbox, Message, SessionIds, Sink};
use crate::{Result, clock};

/// Time without received frames after which a link with pending calls is pinged.
const BUSY_PING_DELAY: Duration = Duration::from_millis(150);
/// Time without received frames after which a link without pending calls is pinged.
const IDLE_PING_DELAY: Duration = Duration::from_millis(1500);
/// Time to wait for any frame after a ping; covers many round trips between regions.
const PONG_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit of a probe of another node; covers a busy process.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without loan requests after which a link without channels is closed: some renewals of loans.
const LOAN_LINK_IDLE: Duration = Duration::from_secs(5);
/// Time without an answer to loan requests after which a link without channels is closed; the next
/// request dials it again. Each dial to a node that is lost occupies a socket until the system gives up.
const LOAN_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Outbound link to a node that serves sessions of this node's clients.
pub(crate) struct Link {
    /// Distinguishes this link from earlier links to the same node.
    pub(crate) generation: u64,
    pub(crate) address: SocketAddr,
    pub(crate) channels: HashSet<ConnectionId>,
    frames: UnboundedSender<Frame>,
    /// Calls and openings of channels that are not answered yet.
    pending_calls: usize,
    last_received_at: Duration,
    ping_sent_at: Option<Duration>,
    /// When loans were last requested; none if the link has only been used for channels.
    loans_requested_at: Option<Duration>,
    /// Time of the first loan request since the last answer.
    loans_pending_since: Option<Duration>,
}

impl Link {
    /// Starts connecting to a node; frames are queued until the connection is established.
    pub(crate) fn dial(name: &str, address: SocketAddr, generation: u64, inbox: Inbox) -> Link {
        let (frames, queue) = unbounded();
        compio::runtime::spawn(run_outbound(name.to_owned(), address, generation, inbox, queue))
            .detach();
        Link {
            generation,
            address,
            channels: HashSet::new(),
            frames,
            pending_calls: 0,
            last_received_at: clock::now(),
            ping_sent_at: None,
            loans_requested_at: None,
            loans_pending_since: None,
        }
    }

    pub(crate) fn open_channel(&mut self, channel: ConnectionId, open: Open) {
        self.channels.insert(channel);
        self.pending_calls += 1;
        self.send(frame(channel, Body::Open(open)));
    }

    pub(crate) fn call(&mut self, channel: ConnectionId, body: Body) {
        self.pending_calls += 1;
        self.send(frame(channel, body));
    }

    pub(crate) fn close_channel(&mut self, channel: ConnectionId) {
        if self.channels.remove(&channel) {
            self.send(frame(channel, Body::Close(Close {})));
        }
    }

    pub(crate) fn request_loans(&mut self, requests: LoanRequests) {
        let now = clock::now();
        self.loans_requested_at = Some(now);
        self.loans_pending_since.get_or_insert(now);
        self.send(frame(0, Body::LoanRequests(requests)));
    }

    /// Returns whether the link was used for loans, has no channels and is no longer needed or does not
    /// answer. Links that were used for channels only are kept.
    pub(crate) fn is_unused_for_loans(&self, now: Duration) -> bool {
        let is_idle = self.loans_requested_at.is_some_and(|at| now >= at + LOAN_LINK_IDLE);
        let is_silent = self.loans_pending_since.is_some_and(|at| now >= at + LOAN_ANSWER_TIMEOUT);
        self.channels.is_empty() && (is_idle || is_silent)
    }

    /// Records a received frame; returns whether the frame is to be handled, which a frame of a
    /// closed channel is not.
    pub(crate) fn record_frame(&mut self, frame: &Frame) -> bool {
        self.last_received_at = clock::now();
        self.ping_sent_at = None;
        if matches!(frame.body, Some(Body::Opened(_) | Body::Refused(_) | Body::Reply(_))) {
            self.pending_calls = self.pending_calls.saturating_sub(1);
        }
        if matches!(frame.body, Some(Body::Loans(_))) {
            self.loans_pending_since = None;
        }
        self.channels.contains(&frame.channel)
            || matches!(frame.body, Some(Body::Notice(_) | Body::Loans(_)))
    }

    /// Pings the node if it has been silent for too long; returns whether the link is lost because
    /// the node did not respond to a ping.
    pub(crate) fn check_liveness(&mut self, now: Duration) -> bool {
        if self.channels.is_empty() {
            return false;
        }
        if let Some(ping_sent_at) = self.ping_sent_at {
            return now >= ping_sent_at + PONG_TIMEOUT;
        }
        let ping_delay = if self.pending_calls > 0 { BUSY_PING_DELAY } else { IDLE_PING_DELAY };
        if now >= self.last_received_at + ping_delay {
            self.ping_sent_at = Some(now);
            self.send(frame(0, Body::Ping(Ping {})));
        }
        false
    }

    /// Restarts the liveness check at `now`; silence while this process was suspended does not
    /// count.
    pub(crate) fn reset_liveness(&mut self, now: Duration) {
        self.last_received_at = now;
        self.ping_sent_at = None;
    }

    fn send(&self, frame: Frame) {
        // Fails only if the link's task has ended; that task reports the loss of the link.
        let _ = self.frames.unbounded_send(frame);
    }
}

/// Inbound links, on which this node serves sessions of other nodes' clients.
#[derive(Clone, Default)]
pub(crate) struct InboundLinks {
    links: Rc<RefCell<Vec<UnboundedSender<Frame>>>>,
    store_is_unreachable: Rc<Cell<bool>>,
    /// Last link of each node that requested loans, by the node's name.
    borrowers: Rc<RefCell<HashMap<String, UnboundedSender<Frame>>>>,
}

impl InboundLinks {
    /// Notifies the nodes of all inbound links whether this node reaches the platform's store.
    pub(crate) fn announce_store_status(&self, store_is_unreachable: bool) {
        self.store_is_unreachable.set(store_is_unreachable);
        let notice = || frame(0, Body::Notice(Notice { store_is_away: store_is_unreachable }));
        // Removes links that have ended.
        self.links.borrow_mut().retain(|link| link.unbounded_send(notice()).is_ok());
    }

    /// Sends loans to a node on the link on which it requested them.
    pub(crate) fn send_loans(&self, to: &str, loans: Loans) {
        if let Some(link) = self.borrowers.borrow().get(to) {
            // Fails only if the link has ended; the borrower then requests again on another.
            let _ = link.unbounded_send(frame(0, Body::Loans(loans)));
        }
    }

    fn add_borrower(&self, name: &str, link: &UnboundedSender<Frame>) {
        self.borrowers.borrow_mut().insert(name.to_owned(), link.clone());
    }

    fn remove_borrowers(&self, link: &UnboundedSender<Frame>) {
        self.borrowers.borrow_mut().retain(|_, borrower| !borrower.same_receiver(link));
    }

    fn add(&self, link: UnboundedSender<Frame>) {
        if self.store_is_unreachable.get() {
            let notice = Notice { store_is_away: true };
            // Fails only if the link has ended already.
            let _ = link.unbounded_send(frame(0, Body::Notice(notice)));
        }
        self.links.borrow_mut().push(link);
    }
}

/// Connects to a node and forwards its frames until the link is lost.
async fn run_outbound(
    name: String,
    address: SocketAddr,
    generation: u64,
    inbox: Inbox,
    frames: UnboundedReceiver<Frame>,
) {
    if let Ok(stream) = TcpStream::connect(address).await {
        let (mut reader, writer) = split(stream);
        let write_task = compio::runtime::spawn(write_frames(writer, frames));
        let mut codec = Codec::new();
        while let Some(frame) = next_frame(&mut reader, &mut codec).await {
            inbox.send(Message::Frame { peer: name.clone(), generation, frame });
        }
        drop(write_task);
    }
    inbox.send(Message::LinkLost { peer: name, generation });
}

/// Returns whether the node called `name` answers a ping at `address`.
pub(crate) async fn probe(name: &str, address: SocketAddr) -> bool {
    let ping = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut reader, mut writer) = split(stream);
        let mut codec = Codec::new();
        let mut buffer = BytesMut::new();
        codec.encode(frame(0, Body::Ping(Ping {})), &mut buffer).ok()?;
        writer.send(&mut buffer).await.ok()?;
        while let Some(Frame { body, .. }) = next_frame(&mut reader, &mut codec).await {
            if let Some(Body::Pong(Pong { node })) = body {
                writer.close();
                return Some(node);
            }
        }
        None
    };
    let answer = compio::time::timeout(PROBE_TIMEOUT, ping).await.ok().flatten();
    // Another node may have taken over the address of a machine that was removed.
    answer.is_some_and(|node| node.is_empty() || node == name)
}

async fn next_frame(reader: &mut Reader, codec: &mut Codec<Frame>) -> Option<Frame> {
    loop {
        match codec.decode(&mut reader.input) {
            Ok(Some(frame)) => return Some(frame),
            Ok(None) => match reader.fill().await {
                Ok(0) | Err(_) => return None,
                Ok(_) => {}
            },
            Err(error) => {
                warn!(%error, "received frame is invalid; closing the link");
                return None;
            }
        }
    }
}

async fn write_frames(mut writer: Writer, mut frames: UnboundedReceiver<Frame>) {
    let mut codec = Codec::new();
    let mut buffer = BytesMut::new();
    while let Some(frame) = frames.next().await {
        let mut encoded = codec.encode(frame, &mut buffer);
        while let Ok(frame) = frames.try_recv() {
            encoded = encoded.and_then(|()| codec.encode(frame, &mut buffer));
        }
        if let Err(error) = encoded {
            warn!(%error, "frame cannot be encoded; closing the link");
            return;
        }
        if writer.send(&mut buffer).await.is_err() {
            // The reading task fails too and handles the loss of the link.
            return;
        }
    }
    writer.close();
}

/// Accepts links of other nodes at `address` and serves their channels.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub(crate) async fn listen(
    node: Rc<str>,
    address: SocketAddr,
    inbox: Inbox,
    session_ids: SessionIds,
    inbound_links: InboundLinks,
) -> Result<()> {
    let listener = TcpListener::bind(address).await?;
    let accept_links = async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let (inbox, session_ids) = (inbox.clone(), session_ids.clone());
                    let (node, links) = (node.clone(), inbound_links.clone());
                    let serving = serve_inbound(node, stream, inbox, session_ids, links);
                    compio::runtime::spawn(serving).detach();
                }
                Err(error) => {
                    warn!(%error, "could not accept a link of another node; retrying");
                    compio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    };
    compio::runtime::spawn(accept_links).detach();
    Ok(())
}

/// Serves the channels of one inbound link until the link is lost.
async fn serve_inbound(
    node: Rc<str>,
    stream: TcpStream,
    inbox: Inbox,
    session_ids: SessionIds,
    inbound_links: InboundLinks,
) {
    let (mut reader, writer) = split(stream);
    let (frames, queue) = unbounded();
    inbound_links.add(frames.clone());
    let write_task = compio::runtime::spawn(write_frames(writer, queue));
    let mut sessions: HashMap<u64, SessionId> = HashMap::new();
    let mut codec = Codec::new();
    while let Some(Frame { channel, body }) = next_frame(&mut reader, &mut codec).await {
        match body {
            Some(Body::Open(open)) => {
                let id = session_ids.next();
                sessions.insert(channel, id);
                let sink = Sink::Channel { channel, frames: frames.clone() };
                inbox.send(Message::Client(id, sink));
                let (request, introduction) = decode_open(open);
                inbox.send(Message::Event(Event::ChannelAccepted(id, introduction)));
                inbox.send(Message::Event(Event::ClientRequest(id, request)));
            }
            Some(Body::Call(call)) => {
                if let Some(id) = sessions.get(&channel) {
                    inbox.send(Message::Event(Event::ClientRequest(*id, decode_call(call))));
                }
            }
            Some(Body::Close(_)) => {
                if let Some(id) = sessions.remove(&channel) {
                    inbox.send(Message::Event(Event::ClientDisconnected(id)));
                }
            }
            Some(Body::LoanRequests(LoanRequests { requests, sender })) => {
                inbound_links.add_borrower(&sender, &frames);
                let requests = decode_loan_requests(requests);
                let from = sender.into();
                inbox.send(Message::Event(Event::LoanRequestsReceived(from, requests)));
            }
            Some(Body::Ping(_)) => {
                // Fails only if the writing task has ended; this task then ends too.
                let pong = Pong { node: node.to_string() };
                let _ = frames.unbounded_send(frame(channel, Body::Pong(pong)));
            }
            _ => {}
        }
    }
    inbound_links.remove_borrowers(&frames);
    if !sessions.is_empty() {
        info!(
            channels = sessions.len(),
            "inbound link is lost; ending the sessions of its channels"
        );
    }
    for id in sessions.into_values() {
        inbox.send(Message::Event(Event::ClientDisconnected(id)));
    }
    drop(write_task);
}

/// Returns the frame that carries a response to the client's node.
pub(crate) fn encode_response(channel: u64, response: Response) -> Frame {
    let body = match response {
        Response::Introduce(introduction) => Body::Introduction(encode_introduction(introduction)),
        Response::Accept => Body::Opened(Opened {}),
        Response::Reply(answer) => Body::Reply(encode_answer(answer)),
        Response::Reject(answer) => {
            let fault = answer.outcome.fault().map(encode_fault);
            Body::Refused(Refused { fault })
        }
    };
    frame(channel, body)
}
