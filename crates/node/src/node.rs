//! Starting and stopping a node.

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

/// Addresses on which a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// PostgreSQL clients.
    pub client: SocketAddr,
    /// Other nodes.
    pub peer: SocketAddr,
    /// HTTP for operators and the load balancer.
    pub admin: SocketAddr,
}

/// Decisions that tests and baseline measurements replace.
///
/// The default is how a node decides in production.
#[derive(Clone, Copy, Debug, Default)]
pub struct Variant {
    /// Which endpoint a read is sent to.
    pub policy: Policy,
    /// Consistency checks that can be switched off.
    pub guards: Guards,
}

struct Listeners {
    client: TcpListener,
    peer: TcpListener,
    admin: TcpListener,
}

/// Running node, on a thread of its own.
pub struct Node {
    addresses: Addresses,
    hub: mpsc::UnboundedSender<hub::Message>,
    thread: JoinHandle<()>,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be used or no thread can be started.
    pub fn start(settings: Settings) -> Result<Node> {
        Node::start_with(settings, Variant::default())
    }

    /// Starts a node that decides as `variant` says.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be used or no thread can be started.
    pub fn start_with(settings: Settings, variant: Variant) -> Result<Node> {
        let listeners = Listeners {
            client: listen("caller_address", settings.client_address)?,
            peer: listen("peer_address", settings.peer_address)?,
            admin: listen("admin_address", settings.admin_address)?,
        };
        let addresses = Addresses {
            client: bound_address(&listeners.client)?,
            peer: bound_address(&listeners.peer)?,
            admin: bound_address(&listeners.admin)?,
        };
        // The configured port may be zero; peers need the port that is bound.
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

    /// Returns the addresses on which the node listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Finishes statements in progress, hands its databases over to other nodes and stops.
    pub fn drain(&self) {
        // Sending fails only when the node has already stopped.
        let _ = self.hub.unbounded_send(hub::Message::Drain);
    }

    /// Stops at once and drops all connections, like a crash.
    pub fn kill(&self) {
        let _ = self.hub.unbounded_send(hub::Message::Stop);
    }

    /// Waits until the node has stopped.
    pub fn join(self) {
        // The panic hook has already printed a panic of the node's thread.
        let _ = self.thread.join();
    }
}

fn listen(setting: &'static str, address: SocketAddr) -> Result<TcpListener> {
    let listen_error = |error| Error::new(Code::Listen(setting, error));
    let listener = TcpListener::bind(address).map_err(listen_error)?;
    listener.set_nonblocking(true).map_err(listen_error)?;
    Ok(listener)
}

fn bound_address(listener: &TcpListener) -> Result<SocketAddr> {
    listener.local_addr().map_err(|error| Error::new(Code::Listen("the bound address", error)))
}

async fn run(
    settings: Settings,
    variant: Variant,
    listeners: Listeners,
    sender: mpsc::UnboundedSender<hub::Message>,
    messages: mpsc::UnboundedReceiver<hub::Message>,
) {
    let platform = Client::new(settings.platform_address);
    let (drain_signal, drain_started) = oneshot::channel();
    let (token_keys, platform_tasks) = control::start(platform.clone(), sender.clone());
    let context = entry::Context {
        hub: sender.clone(),
        limits: settings.limits.clone(),
        keys: token_keys,
        drain_started: drain_started.shared(),
    };
    let client_task = compio::runtime::spawn(entry::accept(listeners.client, context));
    let peer_task = compio::runtime::spawn(link::accept(listeners.peer, sender.clone()));
    let admin_task =
        compio::runtime::spawn(admin::serve(listeners.admin, sender.clone(), &settings));
    let hub = Hub::new(settings, variant, platform, sender, drain_signal);
    hub.run(messages).await;
    drop((client_task, peer_task, admin_task, platform_tasks));
}
