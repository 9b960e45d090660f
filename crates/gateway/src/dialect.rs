//! What a protocol of callers and endpoints has to provide.

use bytes::BytesMut;
use tamarackbend_router::directory::Entry;
use tamarackbend_router::message::{
    Answer, Command, Fault, Outcome, Position, Request, Status, TransactionState,
};

/// Part of an endpoint's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// One row.
    Row(String),
    /// How the command ended.
    Outcome(Outcome),
    /// End of the answer.
    Ready(TransactionState, Option<Position>),
}

/// Protocol of callers and endpoints.
///
/// Decoders take one message off the buffer and return nothing while it is incomplete.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Decodes a caller's message; an error ends the session.
    pub decode_request: fn(&mut BytesMut) -> Result<Option<Request>, Fault>,
    /// Encodes the answer to a caller's start.
    pub encode_welcome: fn(&mut BytesMut),
    /// Encodes the refusal of a caller's start.
    pub encode_reject: fn(&Answer, &mut BytesMut),
    /// Encodes the answer to a caller's statement.
    pub encode_reply: fn(&Answer, &mut BytesMut),
    /// Encodes the start of a connection to an endpoint.
    pub encode_start: fn(&Entry, &mut BytesMut),
    /// Encodes a command to an endpoint.
    pub encode_command: fn(&Command, &mut BytesMut),
    /// Decodes a part of an endpoint's answer; an error ends the connection.
    pub decode_piece: fn(&mut BytesMut) -> Result<Option<Piece>, Fault>,
    /// Decodes the row of a status.
    pub decode_status: fn(&str) -> Option<Status>,
}
