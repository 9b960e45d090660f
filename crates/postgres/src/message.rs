//! Protocol messages, their encoding and decoding.
//!
//! Frontend messages go from a client to a server, backend messages from a server to a client.
//! Nodes send and receive both.
//!
//! The decoders of the library trust the lengths in a message: they read beyond its end, into the next
//! message, and panic at the end of the buffer. A message is therefore taken from the input by its length
//! first, and decoded by itself.
//!
//! They also replace bytes that are not UTF-8 and skip bytes that belong to no field. A client's message
//! is therefore refused unless its fields hold all of its bytes: otherwise two names could become one, or
//! an endpoint execute a text that no client sent.

use std::panic::{AssertUnwindSafe, catch_unwind};

use bytes::{Buf, BytesMut};
use pgwire::error::PgWireResult;
use pgwire::messages::Message;
pub use pgwire::messages::cancel::CancelRequest;
pub use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::MESSAGE_TYPE_BYTE_PARSE_COMPLETE;
pub use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete, Sync,
};
use pgwire::messages::response::MESSAGE_TYPE_BYTE_ERROR_RESPONSE;
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

use crate::error::Code;
use crate::{Error, Result};

/// Size of the length field, which counts itself.
const LENGTH_BYTES: usize = 4;
/// Size of the protocol version in a startup message.
const VERSION_BYTES: usize = 4;
/// Maximum size of a message of a server, in bytes: the protocol's.
const MAX_BACKEND_BYTES: usize = i32::MAX as usize;

/// Code of the error field that holds the SQLSTATE.
const FIELD_SQLSTATE: u8 = b'C';
/// Code of the error field that holds the message text.
const FIELD_TEXT: u8 = b'M';

/// Appends an encoded backend message to `output`.
///
/// # Errors
///
/// Fails when the message is too large for the protocol, or a text in it has a zero byte, which would
/// end its field. `output` is then unchanged.
pub fn put_backend(message: &Backend, output: &mut BytesMut) -> Result<()> {
    let is_text = match message {
        Backend::ErrorResponse(error) => error.fields.iter().all(|(_, text)| is_text(text)),
        Backend::NoticeResponse(notice) => notice.fields.iter().all(|(_, text)| is_text(text)),
        Backend::CommandComplete(complete) => is_text(&complete.tag),
        Backend::ParameterStatus(status) => is_text(&status.name) && is_text(&status.value),
        Backend::RowDescription(row) => row.fields.iter().all(|field| is_text(&field.name)),
        _ => true,
    };
    put(is_text, output, |output| message.encode(output))
}

/// Appends an encoded frontend message to `output`.
///
/// # Errors
///
/// Fails when the message is too large for the protocol, or a text in it has a zero byte, which would
/// end its field. `output` is then unchanged.
pub fn put_frontend(message: &Frontend, output: &mut BytesMut) -> Result<()> {
    let is_name = |name: &Option<String>| name.as_deref().is_none_or(is_text);
    let is_text = match message {
        Frontend::Startup(startup) => startup
            .parameters
            .iter()
            .all(|(name, value)| !name.is_empty() && is_text(name) && is_text(value)),
        Frontend::Query(query) => is_text(&query.query),
        Frontend::Parse(parse) => is_name(&parse.name) && is_text(&parse.query),
        Frontend::Bind(bind) => is_name(&bind.portal_name) && is_name(&bind.statement_name),
        Frontend::Describe(describe) => is_name(&describe.name),
        Frontend::Execute(execute) => is_name(&execute.name),
        Frontend::Close(close) => is_name(&close.name),
        _ => true,
    };
    put(is_text, output, |output| message.encode(output))
}

/// Returns whether `text` can be a field of a message.
fn is_text(text: &str) -> bool {
    !text.as_bytes().contains(&0)
}

fn put(
    is_text: bool,
    output: &mut BytesMut,
    encode: impl FnOnce(&mut BytesMut) -> PgWireResult<()>,
) -> Result<()> {
    require(is_text, "a text has a zero byte")?;
    let start = output.len();
    encode(output).map_err(|error| {
        output.truncate(start);
        error.into()
    })
}

/// Removes the next complete frontend message, sent after the startup, from `input`.
///
/// Returns `None` while the message is incomplete.
///
/// # Errors
///
/// Fails when the message is malformed or has more than `max_bytes` bytes.
pub fn take_frontend(input: &mut BytesMut, max_bytes: usize) -> Result<Option<Frontend>> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    let Some(mut message) = take_message(input, 1, max_bytes)? else { return Ok(None) };
    let original = message.clone();
    let decoded = decode(|| Frontend::decode(&mut message, &context))?;
    let mut encoded = BytesMut::with_capacity(original.len());
    put_frontend(&decoded, &mut encoded)?;
    require(encoded == original, "its fields do not hold all of its bytes")?;
    Ok(Some(decoded))
}

/// Removes the first message of a client, complete, from `input`: the startup message, or a request for
/// encryption or cancelation.
///
/// Returns `None` while the message is incomplete.
///
/// # Errors
///
/// Fails when the message is malformed or has more than `max_bytes` bytes.
pub fn take_startup(input: &mut BytesMut, max_bytes: usize) -> Result<Option<Frontend>> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    let Some(mut message) = take_message(input, 0, max_bytes)? else { return Ok(None) };
    let original = message.clone();
    let first = decode(|| Frontend::decode(&mut message, &context))?;
    if !matches!(first, Frontend::SslNegotiation(SslNegotiationMetaMessage::None)) {
        return Ok(Some(first));
    }
    context.awaiting_frontend_ssl = false;
    let second = decode(|| Frontend::decode(&mut message, &context))?;
    if let Frontend::Startup(startup) = &second {
        let parameters = &original[LENGTH_BYTES + VERSION_BYTES..];
        require(std::str::from_utf8(parameters).is_ok(), "a parameter is not UTF-8")?;
        // The decoder sorts the parameters.
        let is_whole = startup.message_length() == original.len();
        require(is_whole, "its parameters do not hold all of its bytes")?;
    }
    Ok(Some(second))
}

/// Removes the next complete backend message from `input`.
///
/// Returns `None` while the message is incomplete.
///
/// # Errors
///
/// Fails when the message is malformed.
pub fn take_backend(input: &mut BytesMut) -> Result<Option<Backend>> {
    take_encoded_backend(input)?.map(decode_backend).transpose()
}

/// Removes the next complete backend message, as it was received, from `input`.
///
/// Returns `None` while the message is incomplete.
///
/// # Errors
///
/// Fails when the length of the message is not valid.
pub fn take_encoded_backend(input: &mut BytesMut) -> Result<Option<BytesMut>> {
    take_message(input, 1, MAX_BACKEND_BYTES)
}

/// Decodes a complete backend message. Bytes of its texts that are not UTF-8 are replaced by U+FFFD.
///
/// # Errors
///
/// Fails when the message is malformed.
pub fn decode_backend(mut message: BytesMut) -> Result<Backend> {
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    decode(|| Backend::decode(&mut message, &context))
}

/// Returns whether an encoded backend message is an error.
pub fn is_error(message: &[u8]) -> bool {
    message.first() == Some(&MESSAGE_TYPE_BYTE_ERROR_RESPONSE)
}

/// Returns whether an encoded backend message tells that a statement was parsed.
pub fn is_parse_complete(message: &[u8]) -> bool {
    message.first() == Some(&MESSAGE_TYPE_BYTE_PARSE_COMPLETE)
}

/// Removes one message, whose length follows a header of `header_bytes`, from `input`.
fn take_message(
    input: &mut BytesMut,
    header_bytes: usize,
    max_bytes: usize,
) -> Result<Option<BytesMut>> {
    let Some(mut field) = input.get(header_bytes..header_bytes + LENGTH_BYTES) else {
        return Ok(None);
    };
    let length = field.get_u32() as usize;
    if length < LENGTH_BYTES {
        return Err(Error::new(Code::Malformed("its length is too small")));
    }
    if header_bytes + length > max_bytes {
        return Err(Error::new(Code::TooLarge(max_bytes)));
    }
    // Nothing is reserved for a message whose bytes have not arrived: its length may be false.
    Ok((input.len() >= header_bytes + length).then(|| input.split_to(header_bytes + length)))
}

fn require(is_valid: bool, fault: &'static str) -> Result<()> {
    if is_valid { Ok(()) } else { Err(Error::new(Code::Malformed(fault))) }
}

/// Decodes a complete message. The library panics if a field is longer than the message.
fn decode<T>(decode: impl FnOnce() -> PgWireResult<Option<T>>) -> Result<T> {
    match catch_unwind(AssertUnwindSafe(decode)) {
        Ok(Ok(Some(message))) => Ok(message),
        Ok(Ok(None)) => Err(Error::new(Code::Malformed("it is incomplete"))),
        Ok(Err(error)) => Err(error.into()),
        Err(_) => Err(Error::new(Code::Malformed("a field is longer than the message"))),
    }
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
