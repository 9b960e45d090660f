//! Framing of messages on a byte stream.

use std::marker::PhantomData;

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::{Error, Frame};

/// Longest frame that is sent or accepted.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Encoder and decoder of messages, [`Frame`]s of links if nothing else is said.
#[derive(Debug)]
pub struct Codec<M = Frame> {
    lengths: LengthDelimitedCodec,
    message: PhantomData<M>,
}

impl<M> Codec<M> {
    /// Returns a codec with an empty buffer.
    pub fn new() -> Codec<M> {
        let lengths = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Codec { lengths, message: PhantomData }
    }
}

impl<M> Default for Codec<M> {
    fn default() -> Codec<M> {
        Codec::new()
    }
}

impl<M: Message> Encoder<M> for Codec<M> {
    type Error = Error;

    fn encode(&mut self, frame: M, buffer: &mut BytesMut) -> Result<(), Error> {
        let encoded = Bytes::from(frame.encode_to_vec());
        Ok(self.lengths.encode(encoded, buffer)?)
    }
}

impl<M: Message + Default> Decoder for Codec<M> {
    type Item = M;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<M>, Error> {
        match self.lengths.decode(buffer)? {
            Some(frame) => Ok(Some(M::decode(frame.freeze())?)),
            None => Ok(None),
        }
    }
}
