//! Control connection to an endpoint: probes and orders.

use std::net::SocketAddr;
use std::time::Duration;

use compio::runtime::JoinHandle;
use compio::time::timeout;
use futures_channel::mpsc;
use futures_util::StreamExt;
use tamarackbend_policy::owner::Event;
use tamarackbend_policy::position::{EndpointIndex, Status, Term};
use tamarackbend_postgres::Endpoint;

use super::{Message, Sender};

/// Time that an endpoint has to answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for the opinion on an endpoint.
const OPINION_TIMEOUT: Duration = Duration::from_millis(250);

/// What an endpoint is asked or told.
#[derive(Clone, Copy, Debug)]
pub(super) enum Order {
    Status,
    CloseTerm(Term),
    Promote(Term),
    Follow(Term, EndpointIndex),
}

/// Endpoint that is probed.
pub(super) struct Target {
    pub(super) index: EndpointIndex,
    pub(super) address: SocketAddr,
    pub(super) name: String,
    pub(super) domain: String,
}

/// Starts to carry out orders, one after another.
pub(super) fn start(
    target: Target,
    owner: Sender,
) -> (mpsc::UnboundedSender<Order>, JoinHandle<()>) {
    let (orders, queue) = mpsc::unbounded();
    (orders, compio::runtime::spawn(run(target, queue, owner)))
}

async fn run(target: Target, mut orders: mpsc::UnboundedReceiver<Order>, owner: Sender) {
    let mut endpoint = None;
    while let Some(order) = orders.next().await {
        let carrying_out = carry_out(&target, &mut endpoint, order);
        let status = timeout(PROBE_TIMEOUT, carrying_out).await.ok().flatten();
        if status.is_none() && matches!(order, Order::Status) {
            endpoint = None;
        }
        let event = match order {
            Order::Status => Event::ProbeAnswered(target.index, status),
            Order::CloseTerm(_) => Event::FenceAnswered(target.index, status),
            Order::Promote(_) => Event::PromoteAnswered(status),
            Order::Follow(..) => continue,
        };
        // The owner outlives its probes.
        let _ = owner.unbounded_send(Message::Event(event));
    }
}

async fn carry_out(
    target: &Target,
    connection: &mut Option<Endpoint>,
    order: Order,
) -> Option<Status> {
    // An order that is dropped by its timeout takes the connection with it.
    let mut endpoint = match connection.take() {
        Some(endpoint) => endpoint,
        None => Endpoint::connect(target.address, &target.name, &target.domain, true).await.ok()?,
    };
    let status = match order {
        Order::Status => endpoint.status().await,
        Order::CloseTerm(term) => endpoint.close_term(term).await,
        Order::Promote(term) => endpoint.promote(term).await,
        Order::Follow(term, primary) => endpoint.follow(term, primary).await,
    };
    let usable = status.as_ref().err().is_none_or(|error| !error.is_closed());
    if usable {
        *connection = Some(endpoint);
    }
    status.ok()
}

/// Returns whether an endpoint answers this node.
pub(crate) async fn reaches(address: SocketAddr, database: &str, domain: &str) -> bool {
    let asking = async {
        let mut endpoint = Endpoint::connect(address, database, domain, true).await.ok()?;
        endpoint.status().await.ok()
    };
    timeout(OPINION_TIMEOUT, asking).await.is_ok_and(|status| status.is_some())
}
