//! Random and mutated bytes for the decoders of PostgreSQL messages, from fixed seeds.
//!
//! Guards against decoders that panic, do not advance or depend on how bytes are split between reads.

use bytes::BytesMut;
use tamarackbend_mutation::check;
use tamarackbend_postgres::message::{take_backend, take_frontend, take_startup};

/// Maximum size of a client's message, in bytes.
const MAX_BYTES: usize = 1 << 20;

/// Appends a message with the given type byte and body.
fn put(output: &mut BytesMut, kind: u8, body: &[u8]) {
    output.extend_from_slice(&[kind]);
    output.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    output.extend_from_slice(body);
}

fn frontend_messages() -> BytesMut {
    let mut output = BytesMut::new();
    put(&mut output, b'Q', b"SELECT id FROM lease\0");
    put(&mut output, b'P', b"s1\0SELECT $1\0\0\x01\0\0\0\x19");
    put(&mut output, b'B', b"\0s1\0\0\x01\0\0\0\x01\0\0\0\x03abc\0\x01\0\0");
    put(&mut output, b'D', b"Ss1\0");
    put(&mut output, b'E', b"\0\0\0\0\0");
    put(&mut output, b'C', b"Ss1\0");
    put(&mut output, b'p', b"SCRAM-SHA-256\0\0\0\0\x05n,,n=");
    put(&mut output, b'S', b"");
    put(&mut output, b'H', b"");
    put(&mut output, b'X', b"");
    output
}

fn backend_messages() -> BytesMut {
    let mut output = BytesMut::new();
    put(&mut output, b'R', b"\0\0\0\0");
    put(&mut output, b'S', b"server_version\x0017.0\0");
    put(&mut output, b'K', b"\0\0\0\x01\0\0\0\x02");
    put(&mut output, b'T', b"\0\x01id\0\0\0\0\0\0\0\0\0\0\x17\0\x04\xff\xff\xff\xff\0\0");
    put(&mut output, b'D', b"\0\x02\0\0\0\x011\xff\xff\xff\xff");
    put(&mut output, b'C', b"SELECT 1\0");
    put(&mut output, b'E', b"SERROR\0C25006\0Mread only\0\0");
    put(&mut output, b'1', b"");
    put(&mut output, b'Z', b"I");
    output
}

fn startup_messages() -> BytesMut {
    let mut output = BytesMut::new();
    for body in [
        &b"\x04\xd2\x16\x2f"[..],
        b"\x04\xd2\x16\x2e\0\0\0\x01\0\0\0\x02",
        b"\0\x03\0\0user\0loket\0database\0pachtregister-1\0\0",
    ] {
        output.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
        output.extend_from_slice(body);
    }
    output
}

#[test]
fn decoder_of_startup_messages() {
    check(900_000, &startup_messages(), || |input: &mut BytesMut| take_startup(input, MAX_BYTES));
}

#[test]
fn decoder_of_client_messages() {
    check(700_000, &frontend_messages(), || |input: &mut BytesMut| take_frontend(input, MAX_BYTES));
}

#[test]
fn decoder_of_endpoint_messages() {
    check(800_000, &backend_messages(), || take_backend);
}

/// Guards against a limit that applies only to messages that arrive in parts.
#[test]
fn complete_message_above_the_limit_is_refused() {
    let mut input = BytesMut::new();
    put(&mut input, b'Q', &[&[b'x'; 99][..], b"\0"].concat());
    assert!(take_frontend(&mut input.clone(), 104).is_err());
    assert!(take_frontend(&mut input, 105).is_ok_and(|message| message.is_some()));
}

/// Guards against a field that runs into the next message.
#[test]
fn text_without_its_end_does_not_contain_the_next_message() {
    let mut input = BytesMut::new();
    put(&mut input, b'Q', b"SELECT 1");
    put(&mut input, b'Q', b"SELECT 2\0");
    let first = take_frontend(&mut input, MAX_BYTES);
    assert!(!format!("{first:?}").contains("SELECT 2"), "{first:?}");
}
