//! Messages between nodes, and their framing.
//!
//! Frames are length-delimited Protocol Buffers messages. [`Codec`] works on buffers, independently
//! of any async runtime. [`channel`] contains the messages of the channel protocol.
//!
//! ```
//! use bytes::BytesMut;
//! use tamarackbend_wire::{frame::Body, Codec, Decoder, Encoder, Frame, Heartbeat};
//!
//! let mut codec: Codec = Codec::new();
//! let mut buffer = BytesMut::new();
//! let heartbeat = Heartbeat { config_version: 7, ..Heartbeat::default() };
//! codec.encode(Frame::new(Body::Heartbeat(heartbeat)), &mut buffer)?;
//! let frame = codec.decode(&mut buffer)?.expect("one frame");
//! assert!(matches!(frame.body, Some(Body::Heartbeat(heartbeat)) if heartbeat.config_version == 7));
//! # Ok::<(), tamarackbend_wire::Error>(())
//! ```

mod codec;
mod error;
#[allow(missing_docs, clippy::all)]
mod generated;

pub use codec::{Codec, MAX_FRAME_BYTES};
pub use error::{Error, Result};
pub use generated::*;
pub use prost::Message;
pub use tokio_util::codec::{Decoder, Encoder};

impl Frame {
    /// Returns the frame with `body`.
    pub fn new(body: frame::Body) -> Frame {
        Frame { body: Some(body) }
    }
}
