//! Links to other nodes, whose channels are sessions there.
//!
//! The node that opens a channel dials; the other one serves the channel like a caller.

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
use tamarackbend_router::message::{ConnectionId, Request, SessionId};
use tamarackbend_wire::channel::{
    Close, Frame, Notice, Open, Opened, Ping, Pong, Refused, frame::Body,
};
use tamarackbend_wire::{Codec, Decoder, Encoder};
use tracing::{info, warn};

use crate::caller::Output;
use crate::channel::{decode_call, encode_answer, encode_fault, frame};
use crate::node::{ACCEPT_PAUSE, Inbox, Message, Sessions, Sink};
use crate::{Result, clock};

/// Silence after which a link with calls under way is asked for a sign of life.
const PING_BUSY: Duration = Duration::from_millis(150);
/// Silence after which an idle link is asked for a sign of life.
const PING_IDLE: Duration = Duration::from_millis(1500);
/// Time for a sign of life: many round trips between regions.
const PONG_TIMEOUT: Duration = Duration::from_millis(400);

/// Link to a node that serves this node's callers.
pub(crate) struct Link {
    pub(crate) generation: u64,
    pub(crate) address: SocketAddr,
    pub(crate) channels: HashSet<ConnectionId>,
    frames: UnboundedSender<Frame>,
    under_way: usize,
    heard: Duration,
    pinged: Option<Duration>,
}

impl Link {
    /// Starts to connect to a node; frames are queued meanwhile.
    pub(crate) fn dial(name: &str, address: SocketAddr, generation: u64, inbox: Inbox) -> Link {
        let (frames, queue) = unbounded();
        compio::runtime::spawn(run(name.to_owned(), address, generation, inbox, queue)).detach();
        Link {
            generation,
            address,
            channels: HashSet::new(),
            frames,
            under_way: 0,
            heard: clock::now(),
            pinged: None,
        }
    }

    pub(crate) fn open(&mut self, channel: ConnectionId, database: String) {
        self.channels.insert(channel);
        self.under_way += 1;
        self.send(frame(channel, Body::Open(Open { database })));
    }

    pub(crate) fn call(&mut self, channel: ConnectionId, body: Body) {
        self.under_way += 1;
        self.send(frame(channel, body));
    }

    pub(crate) fn close(&mut self, channel: ConnectionId) {
        if self.channels.remove(&channel) {
            self.send(frame(channel, Body::Close(Close {})));
        }
    }

    /// Notes a frame of the node; returns whether its channel is open.
    pub(crate) fn hear(&mut self, frame: &Frame) -> bool {
        self.heard = clock::now();
        self.pinged = None;
        if matches!(frame.body, Some(Body::Opened(_) | Body::Refused(_) | Body::Reply(_))) {
            self.under_way = self.under_way.saturating_sub(1);
        }
        self.channels.contains(&frame.channel) || matches!(frame.body, Some(Body::Notice(_)))
    }

    /// Asks for a sign of life if it is time; returns whether the link is lost.
    pub(crate) fn check(&mut self, now: Duration) -> bool {
        if self.channels.is_empty() {
            return false;
        }
        if let Some(pinged) = self.pinged {
            return now >= pinged + PONG_TIMEOUT;
        }
        let silence = if self.under_way > 0 { PING_BUSY } else { PING_IDLE };
        if now >= self.heard + silence {
            self.pinged = Some(now);
            self.send(frame(0, Body::Ping(Ping {})));
        }
        false
    }

    /// Forgives silence in a time in which this process did not run.
    pub(crate) fn forgive(&mut self, now: Duration) {
        self.heard = now;
        self.pinged = None;
    }

    fn send(&self, frame: Frame) {
        // A link whose task has ended is reported as lost by that task.
        let _ = self.frames.unbounded_send(frame);
    }
}

/// Links of the nodes whose callers this node serves.
#[derive(Clone, Default)]
pub(crate) struct Served {
    links: Rc<RefCell<Vec<UnboundedSender<Frame>>>>,
    store_is_away: Rc<Cell<bool>>,
}

impl Served {
    /// Tells all of them whether this node reaches the store.
    pub(crate) fn announce(&self, store_is_away: bool) {
        self.store_is_away.set(store_is_away);
        let notice = || frame(0, Body::Notice(Notice { store_is_away }));
        // Links that have ended are forgotten.
        self.links.borrow_mut().retain(|link| link.unbounded_send(notice()).is_ok());
    }

    fn add(&self, link: UnboundedSender<Frame>) {
        if self.store_is_away.get() {
            let notice = Notice { store_is_away: true };
            // Fails only when the link has ended already.
            let _ = link.unbounded_send(frame(0, Body::Notice(notice)));
        }
        self.links.borrow_mut().push(link);
    }
}

async fn run(
    name: String,
    address: SocketAddr,
    generation: u64,
    inbox: Inbox,
    frames: UnboundedReceiver<Frame>,
) {
    if let Ok(stream) = TcpStream::connect(address).await {
        let (mut reader, writer) = split(stream);
        let writing = compio::runtime::spawn(write(writer, frames));
        let mut codec = Codec::new();
        while let Some(frame) = next_frame(&mut reader, &mut codec).await {
            inbox.send(Message::Frame { peer: name.clone(), generation, frame });
        }
        drop(writing);
    }
    inbox.send(Message::LinkLost { peer: name, generation });
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
                warn!(%error, "link is closed");
                return None;
            }
        }
    }
}

async fn write(mut writer: Writer, mut frames: UnboundedReceiver<Frame>) {
    let mut codec = Codec::new();
    let mut buffer = BytesMut::new();
    while let Some(frame) = frames.next().await {
        let mut encoded = codec.encode(frame, &mut buffer);
        while let Ok(frame) = frames.try_recv() {
            encoded = encoded.and_then(|()| codec.encode(frame, &mut buffer));
        }
        if let Err(error) = encoded {
            warn!(%error, "link is closed");
            return;
        }
        if writer.send(&mut buffer).await.is_err() {
            // The reading side sees the same.
            return;
        }
    }
    writer.close();
}

/// Serves the channels of other nodes.
///
/// # Errors
///
/// Fails when the address cannot be listened on.
pub(crate) async fn listen(
    address: SocketAddr,
    inbox: Inbox,
    sessions: Sessions,
    served: Served,
) -> Result<()> {
    let listener = TcpListener::bind(address).await?;
    let accepting = async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let (inbox, sessions) = (inbox.clone(), sessions.clone());
                    compio::runtime::spawn(serve(stream, inbox, sessions, served.clone())).detach();
                }
                Err(error) => {
                    warn!(%error, "link could not be accepted");
                    compio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    };
    compio::runtime::spawn(accepting).detach();
    Ok(())
}

async fn serve(stream: TcpStream, inbox: Inbox, sessions: Sessions, served: Served) {
    let (mut reader, writer) = split(stream);
    let (frames, queue) = unbounded();
    served.add(frames.clone());
    let writing = compio::runtime::spawn(write(writer, queue));
    let mut open: HashMap<u64, SessionId> = HashMap::new();
    let mut codec = Codec::new();
    while let Some(Frame { channel, body }) = next_frame(&mut reader, &mut codec).await {
        match body {
            Some(Body::Open(Open { database })) => {
                let id = sessions.next();
                open.insert(channel, id);
                let sink = Sink::Channel { channel, frames: frames.clone() };
                inbox.send(Message::Caller(id, sink));
                inbox.send(Message::Event(Event::ClientConnected(id)));
                inbox.send(Message::Event(Event::ClientRequest(id, Request::Start { database })));
            }
            Some(Body::Call(call)) => {
                if let Some(id) = open.get(&channel) {
                    inbox.send(Message::Event(Event::ClientRequest(*id, decode_call(call))));
                }
            }
            Some(Body::Close(_)) => {
                if let Some(id) = open.remove(&channel) {
                    inbox.send(Message::Event(Event::ClientDisconnected(id)));
                }
            }
            Some(Body::Ping(_)) => {
                // Fails only when the writing side has ended; the reading side ends with it.
                let _ = frames.unbounded_send(frame(channel, Body::Pong(Pong {})));
            }
            _ => {}
        }
    }
    if !open.is_empty() {
        info!(channels = open.len(), "link of another node is lost");
    }
    for id in open.into_values() {
        inbox.send(Message::Event(Event::ClientDisconnected(id)));
    }
    drop(writing);
}

/// Returns the frame that tells the other node of an output for its caller.
pub(crate) fn encode_output(channel: u64, output: Output) -> Frame {
    let body = match output {
        Output::Welcome => Body::Opened(Opened {}),
        Output::Reply(answer) => Body::Reply(encode_answer(answer)),
        Output::Reject(answer) => {
            let fault = answer.outcome.fault().map(encode_fault);
            Body::Refused(Refused { fault })
        }
    };
    frame(channel, body)
}
