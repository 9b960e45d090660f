//! Guards against client messages whose bytes are replaced or dropped while they are decoded.

use bytes::BytesMut;
use tamarackbend_postgres::message::{put_frontend, take_frontend, take_startup};

const MAX_BYTES: usize = 1 << 20;

fn message(kind: &[u8], body: &[u8]) -> BytesMut {
    let mut output = BytesMut::from(kind);
    output.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    output.extend_from_slice(body);
    output
}

#[test]
fn message_that_cannot_be_kept_as_it_is_is_refused() {
    for (kind, body) in [
        (b"Q", &b"SELECT 'caf\xe9'\0"[..]),
        (b"Q", b"SELECT 1"),
        (b"Q", b"SELECT 1\0DELETE FROM lease\0"),
        (b"P", b"s\xe9\0SELECT 1\0\0\0"),
        (b"P", b"s1\0DELETE FROM lease\0\0\0\0"),
        (b"B", b"\0s\xe8\0\0\0\0\0\0\0"),
        (b"B", b"\0s1\0\0\0\0\x01\xff\xff\xff\xfe\0\0"),
        (b"E", b"\xe9\0\0\0\0\0"),
        (b"C", b"Ss1"),
    ] {
        let result = take_frontend(&mut message(kind, body), MAX_BYTES);
        assert!(result.is_err(), "{:?} gives {result:?}", body.escape_ascii().to_string());
    }
    for body in [
        &b"\0\x03\0\0user\0caf\xe9\0\0"[..],
        b"\0\x03\0\0user\0\xf0\x9f\x98\0\0",
        b"\0\x03\0\0user\0loket\0\0database\0pacht\0\0",
        b"\0\x03\0\0user\0loket",
        b"\0\x03\0\0user\0loket\0user\0beheer\0\0",
    ] {
        let result = take_startup(&mut message(b"", body), MAX_BYTES);
        assert!(result.is_err(), "{:?} gives {result:?}", body.escape_ascii().to_string());
    }
}

#[test]
fn any_other_text_is_kept() {
    let long = "x".repeat(9_000);
    for text in ["", " ", "s1 SELECT", "a\r\nb", "'; DROP TABLE lease; --", "café \u{fffd}", &long]
    {
        for (kind, body) in [
            (b"Q", format!("{text}\0")),
            (b"P", format!("{text}\0{text}\0\0\0")),
            (b"B", format!("{text}\0{text}\0\0\0\0\0\0\0")),
            (b"D", format!("S{text}\0")),
            (b"E", format!("{text}\0\0\0\0\0")),
            (b"C", format!("P{text}\0")),
            (b"p", format!("SCRAM-SHA-256\0\0\0\0\x01{text}")),
        ] {
            let input = message(kind, body.as_bytes());
            let decoded = take_frontend(&mut input.clone(), MAX_BYTES);
            let decoded = decoded.expect("the message is valid").expect("it is complete");
            let mut output = BytesMut::new();
            put_frontend(&decoded, &mut output).expect("the message can be encoded");
            assert_eq!(output, input, "{decoded:?}");
        }
    }
}
