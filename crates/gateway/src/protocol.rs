//! Interface of the wire protocol that clients and endpoints speak.

use bytes::BytesMut;
use tamarackbend_router::directory::Entry;
use tamarackbend_router::message::{
    Answer, Command, Fault, Outcome, Position, Request, Status, TransactionState,
};

/// Message of an endpoint.
///
/// An answer consists of any number of rows, an outcome and a final ready message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointMessage {
    /// Row of a result, undecoded.
    Row(String),
    /// Outcome of the command.
    Outcome(Outcome),
    /// End of the answer, with the state of the transaction and the end of the endpoint's applied
    /// log.
    Ready(TransactionState, Option<Position>),
}

/// Encoders and decoders of the wire protocol that clients and endpoints speak.
///
/// Encoders append to the buffer. Decoders take one message from the buffer and return none while
/// the message is incomplete.
#[derive(Clone, Copy, Debug)]
pub struct Protocol {
    /// Decodes a client's message; an error ends the session.
    pub decode_request: fn(&mut BytesMut) -> Result<Option<Request>, Fault>,
    /// Encodes the acceptance of a client's startup message.
    pub encode_accept: fn(&mut BytesMut),
    /// Encodes the rejection of a client's startup message.
    pub encode_reject: fn(&Answer, &mut BytesMut),
    /// Encodes the answer to a client's statement.
    pub encode_reply: fn(&Answer, &mut BytesMut),
    /// Encodes the startup message of a connection to an endpoint, which names the customer.
    pub encode_start: fn(&Entry, Option<&str>, &mut BytesMut),
    /// Encodes a command for an endpoint.
    pub encode_command: fn(&Command, &mut BytesMut),
    /// Decodes an endpoint's message; an error ends the connection.
    pub decode_endpoint_message: fn(&mut BytesMut) -> Result<Option<EndpointMessage>, Fault>,
    /// Decodes the row of a status answer; returns none if the row is not a status.
    pub decode_status: fn(&str) -> Option<Status>,
}
