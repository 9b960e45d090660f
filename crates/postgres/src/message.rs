//! Messages and their encoding.

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

/// Field of an error that holds its SQLSTATE.
const FIELD_SQLSTATE: u8 = b'C';
/// Field of an error that holds its text.
const FIELD_TEXT: u8 = b'M';

/// Appends a message for a caller.
///
/// # Errors
///
/// Fails when the message is too large for the protocol.
pub fn put(message: &Backend, output: &mut BytesMut) -> Result<()> {
    Ok(message.encode(output)?)
}

/// Appends a message for an endpoint.
///
/// # Errors
///
/// Fails when the message is too large for the protocol.
pub fn put_frontend(message: &Frontend, output: &mut BytesMut) -> Result<()> {
    Ok(message.encode(output)?)
}

/// Takes the next whole message of a caller from `input`.
///
/// # Errors
///
/// Fails when the bytes are no message.
pub fn take_frontend(input: &mut BytesMut) -> Result<Option<Frontend>> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    Ok(Frontend::decode(input, &context)?)
}

/// Takes the next whole message of an endpoint from `input`.
///
/// # Errors
///
/// Fails when the bytes are no message.
pub fn take(input: &mut BytesMut) -> Result<Option<Backend>> {
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    Ok(Backend::decode(input, &context)?)
}

/// Returns an error for a caller.
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

/// Returns the SQLSTATE of an error.
pub fn sqlstate(error: &ErrorResponse) -> &str {
    field(error, FIELD_SQLSTATE)
}

/// Returns the text of an error.
pub fn text(error: &ErrorResponse) -> &str {
    field(error, FIELD_TEXT)
}

fn field(error: &ErrorResponse, wanted: u8) -> &str {
    let found = error.fields.iter().find(|(field, _)| *field == wanted);
    found.map_or("", |(_, value)| value.as_str())
}
