//! Guards against the name of an object that is read as another path, as a query or as another name.

use std::net::Ipv4Addr;
use std::time::Duration;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpListener;
use futures_channel::mpsc;
use futures_util::StreamExt;
use tamarackbend_objects::Client;

/// Answers every request with a version and sends its target to `targets`.
async fn serve(listener: TcpListener, targets: mpsc::UnboundedSender<String>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let (_, request) = stream.read(Vec::with_capacity(1 << 16)).await.into();
        let head = String::from_utf8(request).expect("the request is text");
        let target = head.split(' ').nth(1).expect("the request has a target");
        targets.unbounded_send(target.to_owned()).expect("the test is running");
        let body = r#"{"version":1,"value":null}"#;
        let length = body.len();
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
        );
        stream.write_all(answer).await.0.expect("the client reads the answer");
    }
}

fn decode(path: &str) -> String {
    percent_encoding::percent_decode_str(path).decode_utf8().expect("it is text").into_owned()
}

#[test]
fn name_is_one_segment_of_the_path() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime can be created");
    runtime.block_on(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let (sender, mut targets) = mpsc::unbounded();
        compio::runtime::spawn(serve(listener, sender)).detach();
        let client = Client::new(address);
        let long = "x".repeat(8_000);
        for name in [
            "pacht-1",
            "a b",
            " ",
            "a+b",
            "a/b",
            "../a",
            "a?version=9",
            "a#b",
            "a%2Fb",
            "a%",
            "a\\b",
            "a\r\nGET /vms HTTP/1.1",
            "a\tb",
            "a\0b",
            "café",
            "%2e",
            "...",
            "'\"<>`{|}^[]:@!$&;=,",
            &long,
        ] {
            client.get("group", name).await.expect("the object can be read");
            client.put("group", name, 3, &true.into()).await.expect("the object can be written");
            let wait = Duration::from_millis(1);
            client.watch("group", name, 3, wait).await.expect("the object can be watched");
            for (prefix, query) in [
                ("/objects/group/", None),
                ("/objects/group/", Some("version=3")),
                ("/watch/group/", Some("version=3&wait_ms=1")),
            ] {
                let target = targets.next().await.expect("there was a request");
                let (path, sent_query) =
                    target.split_once('?').map_or((&target[..], None), |(p, q)| (p, Some(q)));
                let segment = path.strip_prefix(prefix).expect("the path has the prefix");
                assert_eq!((decode(segment).as_str(), sent_query), (name, query), "{target}");
                assert!(!segment.contains('/'), "{target}");
            }
        }
        for name in ["", ".", ".."] {
            let result = client.get("group", name).await;
            assert!(result.is_err(), "{name:?} gives {result:?}");
            assert!(client.put("group", name, 3, &true.into()).await.is_err(), "{name:?}");
            assert!(client.watch("group", name, 3, Duration::ZERO).await.is_err(), "{name:?}");
        }
    });
}
