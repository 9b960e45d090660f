//! Framing of messages on a byte stream.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::{Error, Frame};

/// Longest frame that is sent or accepted.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Encoder and decoder of [`Frame`]s.
#[derive(Debug)]
pub struct Codec {
    lengths: LengthDelimitedCodec,
}

impl Codec {
    /// Returns a codec with an empty buffer.
    pub fn new() -> Codec {
        let lengths = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Codec { lengths }
    }
}

impl Default for Codec {
    fn default() -> Codec {
        Codec::new()
    }
}

impl Encoder<Frame> for Codec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, buffer: &mut BytesMut) -> Result<(), Error> {
        let encoded = Bytes::from(frame.encode_to_vec());
        Ok(self.lengths.encode(encoded, buffer)?)
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, Error> {
        match self.lengths.decode(buffer)? {
            Some(frame) => Ok(Some(Frame::decode(frame.freeze())?)),
            None => Ok(None),
        }
    }
}
