//! Connections between nodes.
//!
//! A link carries frames both ways. Either node may dial; when both do, one connection is sent on
//! and both are read.

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

/// Time to connect to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a peer's first frame.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes of frames that are put together into one write.
const WRITE_BYTES: usize = 64 << 10;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

type Frames = mpsc::UnboundedSender<Frame>;

/// Connection to a peer as the hub holds it.
pub(crate) struct Link {
    pub(crate) vm: VmId,
    pub(crate) id: u64,
    pub(crate) connected: bool,
    /// When the peer last sent something.
    pub(crate) heard: Instant,
    /// When the peer was asked for a sign of life.
    pub(crate) asked: Option<Instant>,
    frames: Frames,
    /// Further connections that the peer dialed; they are read only.
    return_paths: Vec<(u64, Frames)>,
}

impl Link {
    fn new(vm: VmId, connected: bool) -> (Link, mpsc::UnboundedReceiver<Frame>) {
        let (frames, queue) = mpsc::unbounded();
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let heard = Instant::now();
        let link = Link { vm, id, connected, heard, asked: None, frames, return_paths: Vec::new() };
        (link, queue)
    }

    /// Queues a frame; returns whether the connection may still send it.
    pub(crate) fn send(&self, frame: Frame) -> bool {
        self.frames.unbounded_send(frame).is_ok()
    }

    pub(crate) fn add_return_path(&mut self, link: Link) {
        self.return_paths.push((link.id, link.frames));
    }

    pub(crate) fn remove_return_path(&mut self, id: u64) {
        self.return_paths.retain(|(other, _)| *other != id);
    }
}

/// Starts to connect to a peer; frames are queued meanwhile.
pub(crate) fn dial(vm: VmId, address: SocketAddr, hello: Hello, hub: Sender) -> Link {
    let (link, queue) = Link::new(vm.clone(), false);
    let id = link.id;
    let up = Link {
        vm: vm.clone(),
        id,
        connected: true,
        heard: link.heard,
        asked: None,
        frames: link.frames.clone(),
        return_paths: Vec::new(),
    };
    compio::runtime::spawn(async move {
        if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            let (reader, writer) = split(stream);
            let first = Some(Frame::new(Body::Hello(hello)));
            // The hub ends with the node.
            let _ = hub.unbounded_send(Message::LinkUp(up));
            carry(reader, writer, first, queue, &vm, &hub).await;
        }
        let _ = hub.unbounded_send(Message::LinkDown { vm, id });
    })
    .detach();
    link
}

/// Accepts peers for as long as the node runs.
pub(crate) async fn accept(listener: TcpListener, hub: Sender) {
    let listener = compio::net::TcpListener::from_std(listener).expect("the socket is valid");
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            compio::runtime::spawn(greet(stream, hub.clone())).detach();
        }
    }
}

async fn greet(stream: TcpStream, hub: Sender) {
    let (mut reader, writer) = split(stream);
    let Ok(Some(hello)) = timeout(HELLO_TIMEOUT, read_hello(&mut reader)).await else {
        return;
    };
    let (link, queue) = Link::new(hello.vm.clone(), true);
    let (vm, id) = (hello.vm.clone(), link.id);
    // The hub ends with the node.
    let _ = hub.unbounded_send(Message::Greeted(link, hello));
    carry(reader, writer, None, queue, &vm, &hub).await;
    let _ = hub.unbounded_send(Message::LinkDown { vm, id });
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

async fn carry(
    reader: Reader,
    writer: Writer,
    first: Option<Frame>,
    queue: mpsc::UnboundedReceiver<Frame>,
    vm: &VmId,
    hub: &Sender,
) {
    let reading = read(reader, vm, hub).fuse();
    let writing = write(writer, first, queue).fuse();
    futures_util::pin_mut!(reading, writing);
    futures_util::select! {
        _ = reading => {}
        _ = writing => {}
    }
}

async fn read(mut reader: Reader, vm: &VmId, hub: &Sender) -> Option<()> {
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

async fn write(
    mut writer: Writer,
    first: Option<Frame>,
    mut queue: mpsc::UnboundedReceiver<Frame>,
) -> Option<()> {
    let mut codec: Codec = Codec::new();
    let mut output = BytesMut::new();
    if let Some(first) = first {
        codec.encode(first, &mut output).ok()?;
    }
    loop {
        if !output.is_empty() {
            writer.send(&mut output).await.ok()?;
        }
        encode(&mut codec, queue.next().await?, &mut output)?;
        while output.len() < WRITE_BYTES {
            match queue.try_recv() {
                Ok(frame) => encode(&mut codec, frame, &mut output)?,
                Err(_) => break,
            }
        }
    }
}

fn encode(codec: &mut Codec, frame: Frame, output: &mut BytesMut) -> Option<()> {
    let purpose = match frame.body {
        Some(Body::Statement(_) | Body::Answer(_)) => "statements",
        _ => "control",
    };
    let before = output.len();
    codec.encode(frame, output).ok()?;
    let bytes = (output.len() - before) as u64;
    metrics::counter!("tamarackbend_link_bytes_sent_total", "purpose" => purpose).increment(bytes);
    Some(())
}
