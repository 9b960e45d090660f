//! Protocol messages, their encoding and decoding.
//!
//! Frontend messages go from a client to a server, backend messages from a server to a client.
//! Nodes send and receive both.

use bytes::BytesMut;
pub use pgwire::messages::cancel::CancelRequest;
pub use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
pub use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete, Sync,
};
pub use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, SslResponse,
    TransactionStatus,
};
pub use pgwire::messages::simplequery::Query;
pub use pgwire::messages::startup::{
    Authentication, BackendKeyData, ParameterStatus, SecretKey, Startup,
};
pub use pgwire::messages::{
    DecodeContext, PgWireBackendMessage as Backend, PgWireFrontendMessage as Frontend,
    ProtocolVersion, SslNegotiationMetaMessage,
};

use crate::Result;

/// Code of the error field that holds the SQLSTATE.
const FIELD_SQLSTATE: u8 = b'C';
/// Code of the error field that holds the message text.
const FIELD_TEXT: u8 = b'M';

/// Appends an encoded backend message to `output`.
///
/// # Errors
///
/// Fails when the message is too large for the protocol.
pub fn put_backend(message: &Backend, output: &mut BytesMut) -> Result<()> {
    Ok(message.encode(output)?)
}

/// Appends an encoded frontend message to `output`.
///
/// # Errors
///
/// Fails when the message is too large for the protocol.
pub fn put_frontend(message: &Frontend, output: &mut BytesMut) -> Result<()> {
    Ok(message.encode(output)?)
}

/// Removes the next complete frontend message, sent after the startup, from `input`.
///
/// Returns `None` while the message is incomplete.
///
/// # Errors
///
/// Fails when the message is malformed.
pub fn take_frontend(input: &mut BytesMut) -> Result<Option<Frontend>> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    Ok(Frontend::decode(input, &context)?)
}

/// Removes the next complete backend message from `input`.
///
/// Returns `None` while the message is incomplete.
///
/// # Errors
///
/// Fails when the message is malformed.
pub fn take_backend(input: &mut BytesMut) -> Result<Option<Backend>> {
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    Ok(Backend::decode(input, &context)?)
}

/// Returns an error message with the given fields.
pub fn error(severity: &str, sqlstate: &str, text: &str, hint: Option<&str>) -> Backend {
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (FIELD_SQLSTATE, sqlstate.to_owned()),
        (FIELD_TEXT, text.to_owned()),
    ];
    if let Some(hint) = hint {
        fields.push((b'H', hint.to_owned()));
    }
    Backend::ErrorResponse(ErrorResponse::new(fields))
}

/// Returns the SQLSTATE of an error, or an empty string if it has none.
pub fn sqlstate(error: &ErrorResponse) -> &str {
    field(error, FIELD_SQLSTATE)
}

/// Returns the message text of an error, or an empty string if it has none.
pub fn text(error: &ErrorResponse) -> &str {
    field(error, FIELD_TEXT)
}

fn field(error: &ErrorResponse, code: u8) -> &str {
    let entry = error.fields.iter().find(|(field_code, _)| *field_code == code);
    entry.map_or("", |(_, value)| value.as_str())
}
