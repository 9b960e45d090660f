//! Start of a node's tasks.

use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;

use futures_channel::{mpsc, oneshot};
use futures_util::FutureExt;
use tamarackbend_config::Settings;
use tamarackbend_objects::Client;
use tamarackbend_policy::owner::{Guards, Policy};

use crate::error::Code;
use crate::hub::{self, Hub};
use crate::{Error, Result, admin, control, entry, link};

/// Addresses at which a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For peers.
    pub peer: SocketAddr,
    /// For operators and the balancer.
    pub admin: SocketAddr,
}

/// Decisions of a baseline; the default is the product.
#[derive(Clone, Copy, Debug, Default)]
pub struct Variant {
    /// How reads are placed.
    pub policy: Policy,
    /// Protections.
    pub guards: Guards,
}

struct Listeners {
    caller: TcpListener,
    peer: TcpListener,
    admin: TcpListener,
}

/// Running node.
pub struct Node {
    addresses: Addresses,
    hub: mpsc::UnboundedSender<hub::Message>,
    thread: JoinHandle<()>,
}

impl Node {
    /// Starts a node on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be used or no thread can be started.
    pub fn start(settings: Settings) -> Result<Node> {
        Node::start_with(settings, Variant::default())
    }

    /// Starts a node that decides as `variant` says, to measure it against the product.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be used or no thread can be started.
    pub fn start_with(settings: Settings, variant: Variant) -> Result<Node> {
        let listeners = Listeners {
            caller: listen("callers", settings.caller_address)?,
            peer: listen("peers", settings.peer_address)?,
            admin: listen("operators", settings.admin_address)?,
        };
        let addresses = Addresses {
            caller: address(&listeners.caller)?,
            peer: address(&listeners.peer)?,
            admin: address(&listeners.admin)?,
        };
        // Peers are told the address at which the node really listens.
        let settings = Settings { peer_address: addresses.peer, ..settings };
        let (hub, messages) = mpsc::unbounded();
        let sender = hub.clone();
        let thread = std::thread::Builder::new()
            .name(settings.vm.clone())
            .spawn(move || {
                let runtime = compio::runtime::Runtime::new().expect("a runtime can be created");
                runtime.block_on(run(settings, variant, listeners, sender, messages));
            })
            .map_err(|error| Error::new(Code::Thread(error)))?;
        Ok(Node { addresses, hub, thread })
    }

    /// Returns the addresses at which the node listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Finishes requests in progress, hands databases over and stops.
    pub fn drain(&self) {
        // A node that has stopped has nothing to drain.
        let _ = self.hub.unbounded_send(hub::Message::Drain);
    }

    /// Drops everything at once, as a crash does.
    pub fn kill(&self) {
        let _ = self.hub.unbounded_send(hub::Message::Stop);
    }

    /// Waits until the node has stopped.
    pub fn join(self) {
        // A panic of the node's thread has been printed by then.
        let _ = self.thread.join();
    }
}

fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener> {
    let failed = |error| Error::new(Code::Listen(purpose, error));
    let listener = TcpListener::bind(address).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    Ok(listener)
}

fn address(listener: &TcpListener) -> Result<SocketAddr> {
    listener.local_addr().map_err(|error| Error::new(Code::Listen("an address", error)))
}

async fn run(
    settings: Settings,
    variant: Variant,
    listeners: Listeners,
    sender: mpsc::UnboundedSender<hub::Message>,
    messages: mpsc::UnboundedReceiver<hub::Message>,
) {
    let client = Client::new(settings.platform_address);
    let (draining, drained) = oneshot::channel();
    let (token_keys, watching) = control::start(client.clone(), sender.clone());
    let context = entry::Context {
        hub: sender.clone(),
        limits: settings.limits.clone(),
        keys: token_keys,
        drained: drained.shared(),
    };
    let accepting = compio::runtime::spawn(entry::accept(listeners.caller, context));
    let linking = compio::runtime::spawn(link::accept(listeners.peer, sender.clone()));
    let serving = compio::runtime::spawn(admin::serve(listeners.admin, sender.clone(), &settings));
    let hub = Hub::new(settings, variant, client, sender, draining);
    hub.run(messages).await;
    drop((accepting, linking, serving, watching));
}
