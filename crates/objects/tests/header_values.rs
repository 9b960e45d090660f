//! Values of headers that are built from names.

use std::net::Ipv4Addr;
use std::time::Duration;

use compio::net::TcpListener;
use tamarackbend_objects::http::{Call, Method};
use tamarackbend_objects::one_shot;

/// Guards against a name that adds a header to a request.
#[compio::test]
async fn value_with_a_line_end_is_not_sent() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    for value in ["n\r\nToken: 9", "n\n", "\r", "n\0"] {
        let call =
            Call::new(Method::Post, "/promote".to_owned()).with_header("Holder", value.to_owned());
        // The listener accepts no connection, so that a call that is sent ends at its time limit.
        let error = one_shot::call(address, &call, Duration::from_secs(5)).await;
        let error = error.expect_err("the call fails").to_string();
        assert!(error.contains("request to /promote"), "{value:?}: {error}");
    }
}
