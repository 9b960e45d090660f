//! Guards against a login with a character set that the session does not use.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use tamarackbend_config::Settings;
use tamarackbend_node::Node;

const SETTINGS: &str = "{vm: entry-1, failure_domain: noord-a, caller_address: '127.0.0.1:0',
peer_address: '127.0.0.1:0', admin_address: '127.0.0.1:0', platform_address: '127.0.0.1:9',
admin_token: 12345678-token}";

/// Returns the first message in answer to a login with `parameter`.
fn first_message(address: SocketAddr, (name, value): (&str, &str)) -> String {
    let body = format!("\0\x03\0\0user\0loket\0database\0pacht-1\0{name}\0{value}\0\0");
    let length = (body.len() as u32 + 4).to_be_bytes();
    let mut stream = TcpStream::connect(address).expect("the node accepts");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("the timeout is valid");
    stream.write_all(&[&length, body.as_bytes()].concat()).expect("the node reads");
    let mut header = [0; 5];
    stream.read_exact(&mut header).expect("the node answers");
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
    let mut body = vec![0; length as usize - 4];
    stream.read_exact(&mut body).expect("the node answers");
    format!("{}{}", header[0] as char, body.escape_ascii())
}

#[test]
fn only_utf8_is_accepted() {
    let settings = Settings::from_yaml(SETTINGS).expect("the settings are valid");
    let node = Node::start(settings).expect("the node starts");
    let address = node.addresses().client;
    for parameter in [
        ("client_encoding", "LATIN1"),
        ("CLIENT_ENCODING", "latin1"),
        ("client_encoding", ""),
        ("client_encoding", "UTF8\r\nLATIN1"),
        ("options", "-c client_encoding=LATIN1"),
        ("options", "-cclient_encoding=LATIN1"),
        ("options", "-c geqo=off --client-encoding=LATIN1"),
    ] {
        let first = first_message(address, parameter);
        assert!(first.starts_with("ESFATAL") && first.contains("T1006"), "{parameter:?}: {first}");
    }
    for parameter in [
        ("client_encoding", "UTF8"),
        ("client_encoding", "'utf-8'"),
        ("client_encoding", "unicode"),
        ("application_name", "client_encoding=LATIN1"),
        ("application_name", "a\r\nb"),
        ("options", "-c geqo=off"),
        ("options", ""),
    ] {
        let first = first_message(address, parameter);
        assert!(first.contains("SCRAM-SHA-256"), "{parameter:?}: {first}");
    }
    node.kill();
    node.join();
}
