//! Control connection to an endpoint: status probes and the orders of a failover.

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

/// Time limit for an endpoint to carry out an order and answer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for the check whether this node reaches an endpoint, on behalf of a peer.
const VOTE_TIMEOUT: Duration = Duration::from_millis(250);

/// Request to an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) enum Order {
    /// Report the status.
    Status,
    /// Refuse orders and confirmations of lower terms.
    FenceTerm(Term),
    /// Become the primary of the term.
    Promote(Term),
    /// Apply the log of the term's primary.
    Follow(Term, EndpointIndex),
}

/// Endpoint of a control connection.
pub(super) struct Target {
    pub(super) index: EndpointIndex,
    pub(super) address: SocketAddr,
    pub(super) database: String,
    /// Failure domain of this node.
    pub(super) failure_domain: String,
}

/// Starts the task that carries out orders, one after another.
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
        let execution = execute_order(&target, &mut endpoint, order);
        let status = timeout(ORDER_TIMEOUT, execution).await.ok().flatten();
        if status.is_none() && matches!(order, Order::Status) {
            endpoint = None;
        }
        let event = match order {
            Order::Status => Event::ProbeAnswered(target.index, status),
            Order::FenceTerm(_) => Event::FenceAnswered(target.index, status),
            Order::Promote(_) => Event::PromoteAnswered(status),
            Order::Follow(..) => continue,
        };
        // The owner outlives its probes.
        let _ = owner.unbounded_send(Message::Event(event));
    }
}

async fn execute_order(
    target: &Target,
    connection: &mut Option<Endpoint>,
    order: Order,
) -> Option<Status> {
    // Taking the connection out drops it when the order times out halfway.
    let mut endpoint = match connection.take() {
        Some(endpoint) => endpoint,
        None => {
            let connecting =
                Endpoint::connect(target.address, &target.database, &target.failure_domain, true);
            connecting.await.ok()?
        }
    };
    let status = match order {
        Order::Status => endpoint.status().await,
        Order::FenceTerm(term) => endpoint.fence_term(term).await,
        Order::Promote(term) => endpoint.promote(term).await,
        Order::Follow(term, primary) => endpoint.follow(term, primary).await,
    };
    let is_usable = status.as_ref().err().is_none_or(|error| !error.is_closed());
    if is_usable {
        *connection = Some(endpoint);
    }
    status.ok()
}

/// Returns whether an endpoint answers a status probe of this node.
pub(crate) async fn can_reach(address: SocketAddr, database: &str, failure_domain: &str) -> bool {
    let probe = async {
        let mut endpoint = Endpoint::connect(address, database, failure_domain, true).await.ok()?;
        endpoint.status().await.ok()
    };
    timeout(VOTE_TIMEOUT, probe).await.is_ok_and(|status| status.is_some())
}
