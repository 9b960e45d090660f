//! Length-delimited framing of messages on a byte stream.

use std::marker::PhantomData;

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::{Error, Frame};

/// Maximum length of a frame, sent or received.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Encoder and decoder of length-delimited messages, by default the [`Frame`]s of links.
#[derive(Debug)]
pub struct Codec<M = Frame> {
    framing: LengthDelimitedCodec,
    message: PhantomData<M>,
}

impl<M> Codec<M> {
    /// Returns a codec that expects the start of a frame.
    pub fn new() -> Codec<M> {
        let framing = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Codec { framing, message: PhantomData }
    }
}

impl<M> Default for Codec<M> {
    fn default() -> Codec<M> {
        Codec::new()
    }
}

impl<M: Message> Encoder<M> for Codec<M> {
    type Error = Error;

    fn encode(&mut self, message: M, buffer: &mut BytesMut) -> Result<(), Error> {
        let encoded = Bytes::from(message.encode_to_vec());
        Ok(self.framing.encode(encoded, buffer)?)
    }
}

impl<M: Message + Default> Decoder for Codec<M> {
    type Item = M;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<M>, Error> {
        match self.framing.decode(buffer)? {
            Some(frame) => Ok(Some(M::decode(frame.freeze())?)),
            None => Ok(None),
        }
    }
}
