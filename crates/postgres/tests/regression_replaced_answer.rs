//! Guards against an endpoint's answer whose bytes are replaced on the way to the client.

use std::net::Ipv4Addr;

use bytes::Bytes;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpListener;
use tamarackbend_postgres::{Completion, Endpoint};

const READY: &[u8] = b"Z\0\0\0\x05I";

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// Accepts one login and answers one statement, and the query of the status with nothing.
async fn serve(listener: TcpListener, answer: Vec<u8>) {
    let (mut stream, _) = listener.accept().await.expect("the client connects");
    let login = [&message(b'R', b"\0\0\0\0")[..], READY].concat();
    for output in [login, [&answer[..], READY].concat()] {
        stream.read(Vec::with_capacity(1 << 16)).await.0.expect("the client sends");
        stream.write_all(output).await.0.expect("the client reads");
    }
}

#[test]
fn answer_is_passed_on_as_it_is() {
    let long = "x".repeat(100_000);
    let field = |name: &[u8]| {
        [b"\0\x01", name, b"\0\0\0\0\0\0\0\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0"].concat()
    };
    let runtime = compio::runtime::Runtime::new().expect("a runtime can be created");
    for message in [
        message(b'E', b"SERROR\0C22021\0Mcaf\xe9\0\0"),
        message(b'N', b"SNOTICE\0C00000\0Mcaf\xe9\r\n\0\0"),
        message(b'T', &field(b"caf\xe9")),
        message(b'T', &field(b"")),
        message(b'D', b"\0\x01\0\0\0\x04caf\xe9"),
        message(b'C', b"SELECT 1\0"),
        message(b'E', format!("SERROR\0C22021\0M{long}\0\0").as_bytes()),
    ] {
        let answer = [&message[..], READY].concat();
        let completion = runtime.block_on(async {
            let listener =
                TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
            let address = listener.local_addr().expect("the listener has an address");
            compio::runtime::spawn(serve(listener, answer.clone())).detach();
            let connected = Endpoint::connect(address, "pacht", "noord-a", false).await;
            let query = Bytes::from(self::message(b'Q', b"SELECT 1\0"));
            connected.expect("the endpoint accepts").execute(&query, 1 << 20).await
        });
        let Completion::Answered(completion) = completion else { panic!("{completion:?}") };
        assert!(completion.messages == answer, "{:.80}", message.escape_ascii().to_string());
    }
}
