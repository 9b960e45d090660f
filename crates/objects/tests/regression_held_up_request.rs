//! Guards against a promotion that takes effect after it was given up: a partition held up the request, the
//! node closed the connection without resetting it, and when the partition healed the request arrived with
//! a fencing token lower than that of the node which had promoted meanwhile.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use compio::io::AsyncRead;
use compio::net::{TcpListener, TcpStream};
use compio::time::timeout;
use serde_json::json;
use tamarackbend_objects::http::{Call, Method};
use tamarackbend_objects::one_shot;

const TIME_LIMIT: Duration = Duration::from_millis(100);
/// Time within which the link learns that the connection has ended.
const END_TIMEOUT: Duration = Duration::from_secs(20);

/// Link that holds up all bytes. When it heals, the bytes of a connection that was closed are delivered,
/// and those of a connection that was reset are lost.
async fn hold_up(listener: TcpListener) -> Vec<u8> {
    let (mut stream, _) = listener.accept().await.expect("the client connects");
    let mut held_up = Vec::new();
    loop {
        let read: compio::buf::BufResult<usize, Vec<u8>> =
            stream.read(Vec::with_capacity(4096)).await;
        match read.0 {
            Ok(0) => return held_up,
            Ok(count) => held_up.extend_from_slice(&read.1[..count]),
            Err(error) => {
                assert_eq!(error.kind(), ErrorKind::ConnectionReset);
                assert!(!held_up.is_empty(), "the request was not sent");
                return Vec::new();
            }
        }
    }
}

async fn promote(address: SocketAddr) {
    let call = Call::new(Method::Post, "/promote".to_owned())
        .with_header("Token", "7".to_owned())
        .with_body(json!({ "service": "s", "id": "i" }));
    let reply = one_shot::call(address, &call, TIME_LIMIT).await;
    assert!(reply.is_err_and(|error| error.is_unavailable()));
}

#[test]
fn request_that_was_given_up_does_not_arrive() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime can be created");
    runtime.block_on(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let link = compio::runtime::spawn(hold_up(listener));
        promote(address).await;
        let delivered = timeout(END_TIMEOUT, link).await.expect("the connection ends");
        let delivered = delivered.expect("the link works");
        assert!(delivered.is_empty(), "{:?}", String::from_utf8_lossy(&delivered));
    });
}

#[test]
fn answered_call_returns_the_reply() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime can be created");
    runtime.block_on(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let server = compio::runtime::spawn(answer(listener));
        let call = Call::new(Method::Put, "/x?y=z".to_owned()).with_body(json!({ "a": 1 }));
        let reply = one_shot::call(address, &call, END_TIMEOUT).await.expect("it is answered");
        assert_eq!((reply.status, reply.body.get()), (409, r#"{"b":2}"#));
        let request = server.await.expect("the server works");
        assert!(request.starts_with("PUT /x?y=z HTTP/1.1\r\n"), "{request}");
        assert!(request.contains(&format!("host: {address}\r\n")), "{request}");
        assert!(request.contains("content-type: application/json\r\n"), "{request}");
        assert!(request.ends_with("\r\n\r\n{\"a\":1}"), "{request}");
    });
}

/// Answers one request and returns it.
async fn answer(listener: TcpListener) -> String {
    use compio::io::AsyncWriteExt;
    let (mut stream, _): (TcpStream, _) = listener.accept().await.expect("the client connects");
    let mut request = Vec::new();
    while !request.ends_with(b"{\"a\":1}") {
        let read: compio::buf::BufResult<usize, Vec<u8>> =
            stream.read(Vec::with_capacity(4096)).await;
        let count = read.0.expect("the client sends a request");
        assert!(count > 0, "the request is complete");
        request.extend_from_slice(&read.1[..count]);
    }
    let answer = "HTTP/1.1 409 Conflict\r\ncontent-length: 7\r\n\r\n{\"b\":2}";
    stream.write_all(answer).await.0.expect("the client reads the answer");
    let read: compio::buf::BufResult<usize, Vec<u8>> = stream.read(Vec::with_capacity(1)).await;
    assert_eq!(read.0.expect("the client closes the connection without a reset"), 0);
    String::from_utf8(request).expect("the request is text")
}
