//! Loans of a customer's limit between two nodes, over a link.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures_channel::oneshot;
use tamarackbend_gateway::{DumpRequests, Node, Protocol, clock};
use tamarackbend_router::configuration::Configuration;
use tamarackbend_router::customer::{Customer, CustomerName, Limit, Table};
use tamarackbend_router::limit::{Rank, Share};
use tamarackbend_router::membership::Peer;
use tamarackbend_router::settings::Settings;
use tamarackbend_router::{Event, Router};

/// Time for which the nodes have been holders: loans of former holders have expired.
const AGE: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_POLLS: usize = 200;

/// Protocol of nodes without clients and endpoints.
const PROTOCOL: Protocol = Protocol {
    decode_request: |_| Ok(None),
    encode_accept: |_| {},
    encode_reject: |_, _| {},
    encode_reply: |_, _| {},
    encode_start: |_, _, _| {},
    encode_command: |_, _| {},
    decode_endpoint_message: |_| Ok(None),
    decode_status: |_| None,
};

/// Returns a free address.
fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("free port");
    listener.local_addr().expect("bound address")
}

/// Returns the router of a holder of the customer, in a fleet of two nodes.
fn router(index: usize, rank: Rank, addresses: &[SocketAddr; 2]) -> Router {
    let name = |index: usize| format!("node-{index}");
    let settings = Settings {
        node: name(index),
        failure_domain: "a".to_owned(),
        is_first_start: false,
        regions: HashMap::from([("a".to_owned(), "x".to_owned())]),
        drain_timeout: Duration::from_secs(7),
        stop_timeout: Duration::from_secs(6),
        has_customers: true,
        limit_window: Duration::from_secs(5),
        limit_slack: 20.0,
    };
    let started_at = clock::now().saturating_sub(AGE);
    let mut router = Router::new(settings, 1, started_at);
    let peers = addresses.iter().enumerate().map(|(index, address)| Peer {
        name: name(index).into(),
        failure_domain: "a".to_owned(),
        address: *address,
        weight: 500,
    });
    router.step(started_at, Event::PeersChanged(peers.collect()));
    let limit = Some(Limit { rate: 20.0, burst: 10.0 });
    let customer = Customer { name: "club".into(), keys: Vec::new(), limit };
    let configuration = Configuration {
        version: 1,
        routes: HashMap::new(),
        services: Vec::new(),
        transaction_idle: Duration::from_secs(3),
        customers: Some(Table::new(vec![customer]).expect("valid table")),
    };
    router.step(started_at, Event::ConfigurationRead(configuration));
    let share = Share { rank, others: [name(1 - index).into()].into() };
    router.refresh_limits(|_| Some(share.clone()));
    router.step(clock::now(), Event::Tick);
    router
}

async fn start(router: Router, address: SocketAddr) -> DumpRequests {
    let node = Node::new(router, PROTOCOL);
    let dumps = node.dump_requests();
    node.listen(address).await.expect("address is free");
    let clients = compio::net::TcpListener::bind("127.0.0.1:0").await.expect("free port");
    compio::runtime::spawn(node.run(clients, |_| {})).detach();
    dumps
}

async fn loans(dumps: &DumpRequests, direction: &str) -> f64 {
    let (sender, dump) = oneshot::channel();
    dumps.unbounded_send(sender).expect("node runs");
    let dump = dump.await.expect("node runs");
    dump["limits"]["customers"][0][direction].as_f64().unwrap_or_default()
}

/// Guards against loan messages that are lost between the routers of two nodes without a channel.
#[test]
fn loan_is_requested_and_answered_over_a_link() {
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let addresses = [free_address(), free_address()];
        let mut borrower = router(0, Rank::Second, &addresses);
        let customer = CustomerName::from("club");
        let refused = (0..50).filter(|key| borrower.admit_operation(&customer, *key).is_err());
        assert!(refused.count() > 40);
        let lender = start(router(1, Rank::First, &addresses), addresses[1]).await;
        let borrower = start(borrower, addresses[0]).await;
        let mut taken = 0.0;
        for _ in 0..MAX_POLLS {
            taken = loans(&borrower, "loans_taken").await;
            if taken > 0.0 {
                break;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        assert!(taken > 0.0, "no loan was taken");
        assert!(loans(&lender, "loans_given").await >= taken);
    });
}
