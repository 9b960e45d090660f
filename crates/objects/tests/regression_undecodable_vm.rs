//! Guards against a list of VMs that is lost as a whole because one of its entries cannot be decoded:
//! nested too deeply, with a number or a port out of range, or with bytes that are no text. Nodes then no
//! longer learned of changes of the fleet.

use std::net::Ipv4Addr;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpListener;
use tamarackbend_objects::Client;

/// Answers every request with `body`.
async fn serve(listener: TcpListener, body: Vec<u8>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let request = stream.read(Vec::with_capacity(4096)).await.0;
        let length = body.len();
        let head =
            format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
        let answer = [head.as_bytes(), &body].concat();
        if request.is_ok() {
            stream.write_all(answer).await.0.expect("the client reads the answer");
        }
    }
}

#[test]
fn vm_that_cannot_be_decoded_is_left_out() {
    let vm = |name: &str, address: &str, further: &str| {
        format!(
            r#"{{"name":"{name}","failure_domain":"a","peer_address":"{address}","leaving":false{further}}}"#
        )
    };
    let nested = "[".repeat(5000) + &"]".repeat(5000);
    let entries = [
        vm("first", "10.0.0.1:7000", ""),
        nested.clone(),
        vm("port", "10.0.0.2:70000", ""),
        format!(r#"{{"name":1e999,"nested":{nested}}}"#),
        vm(r"\ud800", "10.0.0.2:7000", ""),
        vm("?", "10.0.0.2:7000", r#","leaving":"?""#),
        vm("last", "10.0.0.3:7000", ""),
    ];
    let mut body = format!("[{}]", entries.join(",")).into_bytes();
    body.iter_mut().filter(|byte| **byte == b'?').for_each(|byte| *byte = 0xff);
    let runtime = compio::runtime::Runtime::new().expect("a runtime can be created");
    let vms = runtime.block_on(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        compio::runtime::spawn(serve(listener, body)).detach();
        Client::new(address).vms().await.expect("the list can be read")
    });
    let names: Vec<&str> = vms.iter().map(|vm| vm.name.as_str()).collect();
    assert_eq!(names, ["first", "last"]);
}
