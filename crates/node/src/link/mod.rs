//! Links: connections between nodes.
//!
//! A link carries frames both ways. Either node may dial. When both do, each node sends on the
//! connection that it dialed or accepted first and reads from both.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use compio::net::TcpStream;
use compio::time::timeout;
use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt};
use tamarackbend_net::{Reader, Writer, split};
use tamarackbend_policy::ownership::VmId;
use tamarackbend_wire::{Codec, Decoder, Encoder, Frame, Hello, frame::Body};

use crate::hub::{Message, Sender};

/// Time limit for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for the first frame of a peer that has connected.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Size in bytes at which no further frames are added to a write.
const WRITE_BATCH_BYTES: usize = 64 << 10;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Sender of frames to the task that writes a connection.
type Frames = mpsc::UnboundedSender<Frame>;

/// Hub's handle to the link with a peer.
pub(crate) struct Link {
    pub(crate) vm: VmId,
    /// Number of the connection on which frames are sent; unique in the process.
    pub(crate) id: u64,
    /// Whether the connection is open; false at first for a link that this node dials.
    pub(crate) is_connected: bool,
    /// Time of the peer's last frame.
    pub(crate) last_received_at: Instant,
    /// Time at which the hub sent a heartbeat because the peer was silent.
    pub(crate) heartbeat_sent_at: Option<Instant>,
    frames: Frames,
    /// Further connections that the peer has opened, by number; nothing is sent on them.
    ///
    /// A connection closes when its frame queue is dropped, so the queues are kept here.
    receive_only: Vec<(u64, Frames)>,
}

impl Link {
    fn new(vm: VmId, is_connected: bool) -> (Link, mpsc::UnboundedReceiver<Frame>) {
        let (frames, queue) = mpsc::unbounded();
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let link = Link {
            vm,
            id,
            is_connected,
            last_received_at: Instant::now(),
            heartbeat_sent_at: None,
            frames,
            receive_only: Vec::new(),
        };
        (link, queue)
    }

    /// Queues a frame; returns false if the connection has closed.
    pub(crate) fn send(&self, frame: Frame) -> bool {
        self.frames.unbounded_send(frame).is_ok()
    }

    pub(crate) fn add_receive_only(&mut self, link: Link) {
        self.receive_only.push((link.id, link.frames));
    }

    pub(crate) fn remove_receive_only(&mut self, id: u64) {
        self.receive_only.retain(|(receive_only, _)| *receive_only != id);
    }
}

/// Starts to connect to a peer; frames are queued until the connection is open.
pub(crate) fn dial(vm: VmId, address: SocketAddr, hello: Hello, hub: Sender) -> Link {
    let (link, queue) = Link::new(vm.clone(), false);
    let id = link.id;
    let connected_link = Link {
        vm: vm.clone(),
        id,
        is_connected: true,
        last_received_at: link.last_received_at,
        heartbeat_sent_at: None,
        frames: link.frames.clone(),
        receive_only: Vec::new(),
    };
    compio::runtime::spawn(async move {
        if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            let (reader, writer) = split(stream);
            let hello = Some(Frame::new(Body::Hello(hello)));
            // The hub stops only with the node.
            let _ = hub.unbounded_send(Message::LinkConnected(connected_link));
            run_connection(reader, writer, hello, queue, &vm, &hub).await;
        }
        let _ = hub.unbounded_send(Message::LinkClosed { vm, id });
    })
    .detach();
    link
}

/// Accepts connections of peers until the node stops.
pub(crate) async fn accept(listener: TcpListener, hub: Sender) {
    let listener = compio::net::TcpListener::from_std(listener).expect("the socket is valid");
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            compio::runtime::spawn(handle_peer(stream, hub.clone())).detach();
        }
    }
}

async fn handle_peer(stream: TcpStream, hub: Sender) {
    let (mut reader, writer) = split(stream);
    let Ok(Some(hello)) = timeout(HELLO_TIMEOUT, read_hello(&mut reader)).await else {
        return;
    };
    let (link, queue) = Link::new(hello.vm.clone(), true);
    let (vm, id) = (hello.vm.clone(), link.id);
    // The hub stops only with the node.
    let _ = hub.unbounded_send(Message::LinkAccepted(link, hello));
    run_connection(reader, writer, None, queue, &vm, &hub).await;
    let _ = hub.unbounded_send(Message::LinkClosed { vm, id });
}

async fn read_hello(reader: &mut Reader) -> Option<Hello> {
    let mut codec: Codec = Codec::new();
    loop {
        if let Some(frame) = codec.decode(&mut reader.input).ok()? {
            return match frame.body {
                Some(Body::Hello(hello)) => Some(hello),
                _ => None,
            };
        }
        if reader.fill().await.ok()? == 0 {
            return None;
        }
    }
}

async fn run_connection(
    reader: Reader,
    writer: Writer,
    first_frame: Option<Frame>,
    queue: mpsc::UnboundedReceiver<Frame>,
    vm: &VmId,
    hub: &Sender,
) {
    let reading = read_frames(reader, vm, hub).fuse();
    let writing = write_frames(writer, first_frame, queue).fuse();
    futures_util::pin_mut!(reading, writing);
    futures_util::select! {
        _ = reading => {}
        _ = writing => {}
    }
}

async fn read_frames(mut reader: Reader, vm: &VmId, hub: &Sender) -> Option<()> {
    let mut codec: Codec = Codec::new();
    loop {
        while let Some(frame) = codec.decode(&mut reader.input).ok()? {
            metrics::counter!("tamarackbend_link_frames_received_total").increment(1);
            hub.unbounded_send(Message::Frame { vm: vm.clone(), frame }).ok()?;
        }
        if reader.fill().await.ok()? == 0 {
            return None;
        }
    }
}

async fn write_frames(
    mut writer: Writer,
    first_frame: Option<Frame>,
    mut queue: mpsc::UnboundedReceiver<Frame>,
) -> Option<()> {
    let mut codec: Codec = Codec::new();
    let mut output = BytesMut::new();
    if let Some(first_frame) = first_frame {
        codec.encode(first_frame, &mut output).ok()?;
    }
    loop {
        if !output.is_empty() {
            writer.send(&mut output).await.ok()?;
        }
        encode_frame(&mut codec, queue.next().await?, &mut output)?;
        while output.len() < WRITE_BATCH_BYTES {
            match queue.try_recv() {
                Ok(frame) => encode_frame(&mut codec, frame, &mut output)?,
                Err(_) => break,
            }
        }
    }
}

fn encode_frame(codec: &mut Codec, frame: Frame, output: &mut BytesMut) -> Option<()> {
    let purpose = match frame.body {
        Some(Body::Statement(_) | Body::Answer(_)) => "statements",
        _ => "control",
    };
    let start = output.len();
    codec.encode(frame, output).ok()?;
    let bytes = (output.len() - start) as u64;
    metrics::counter!("tamarackbend_link_bytes_sent_total", "purpose" => purpose).increment(bytes);
    Some(())
}
