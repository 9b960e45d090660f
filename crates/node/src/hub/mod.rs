//! Meeting point of a node's tasks.
//!
//! The hub knows the configuration, the view of the fleet and the owner of every database. It
//! passes statements to the owner's node, local or not, and settles what becomes of them when a
//! link breaks: what never left is sent to the next owner, what reads is sent again, the rest is
//! answered with an unknown outcome.

mod route;
mod spread;
mod state;
mod view;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_channel::{mpsc, oneshot};
use futures_util::{FutureExt, StreamExt};
pub(crate) use state::{OwnerState, State};
use tamarackbend_config::{Document, Section, Settings};
use tamarackbend_objects::{Client, api};
use tamarackbend_policy::ownership::{Table, VmId};
use tamarackbend_policy::retry::Budget;
use tamarackbend_wire::{Answer, Cancel, EndSession, Frame, Hello, Statement, frame::Body};
use tracing::info;

use crate::Variant;
use crate::link::Link;
use crate::{link, owner};

/// Time between two looks at links, views and drains.
const TICK: Duration = Duration::from_millis(250);

/// Channel on which a session gets its answers.
pub(crate) type Answers = mpsc::UnboundedSender<Answer>;
/// Channel to the hub.
pub(crate) type Sender = mpsc::UnboundedSender<Message>;

/// Configuration in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct Config {
    pub(crate) version: u64,
    pub(crate) document: Document,
    pub(crate) sections: Vec<Section>,
}

/// Answer of a peer, or of an endpoint that was asked for one.
pub(crate) struct Opinion {
    pub(crate) question: u64,
    pub(crate) reached: bool,
}

/// Message to the hub.
pub(crate) enum Message {
    /// A session has a statement.
    Statement(Statement, Answers),
    /// A caller cancels what its session runs.
    CancelKey(i32, i32),
    /// A session has begun; its key allows to cancel.
    Session { session: u64, pid: i32, secret: i32, database: String },
    /// A session is over.
    SessionEnded(u64),
    /// A local owner answers.
    Answered(Answer),
    /// A peer was connected to.
    LinkUp(Link),
    /// A peer has connected.
    Greeted(Link, Hello),
    /// A link broke or was never there.
    LinkDown { vm: VmId, id: u64 },
    /// A peer sent a frame.
    Frame { vm: VmId, frame: Frame },
    /// An owner asks peers whether they reach an endpoint.
    AskPeers { database: String, endpoint: usize, reply: mpsc::UnboundedSender<owner::Message> },
    /// An endpoint was asked on behalf of a peer.
    Asked { vm: VmId, opinion: Opinion },
    /// The platform holds a configuration.
    Config(Arc<Config>),
    /// The platform's list of VMs.
    Vms(Vec<api::Vm>),
    /// Someone wants the configuration in force.
    GetConfig(oneshot::Sender<Arc<Config>>),
    /// Someone wants to know whether this node watches the platform.
    IsWatcher(oneshot::Sender<bool>),
    /// Someone wants a dump.
    GetState(oneshot::Sender<State>),
    /// An owner reports what it knows.
    OwnerState(String, OwnerState),
    /// Finish and stop.
    Drain,
    /// Stop at once.
    Stop,
}

/// Whom an answer goes to.
enum Reply {
    /// A session of this node.
    Session(Answers),
    /// The node that passed the statement on.
    Peer(VmId),
}

/// Statement that waits for its answer.
struct Outstanding {
    statement: Statement,
    reply: Reply,
    vm: VmId,
    attempts: u32,
    sent: Instant,
}

struct Caller {
    pid: i32,
    secret: i32,
    database: String,
}

struct Question {
    waiting: usize,
    denied: usize,
    until: Instant,
    reply: mpsc::UnboundedSender<owner::Message>,
}

/// State of the hub.
pub(crate) struct Hub {
    settings: Settings,
    variant: Variant,
    client: Client,
    sender: Sender,
    config: Arc<Config>,
    vms: BTreeMap<VmId, api::Vm>,
    /// Peers that have connected, with the time for which that counts as being listed.
    observed: BTreeMap<VmId, (api::Vm, Instant)>,
    table: Table,
    /// Nodes of this failure domain in the order of its tree.
    domain_order: Vec<VmId>,
    /// Peers with which this node compares versions.
    neighbours: Vec<VmId>,
    suspects: BTreeMap<VmId, Instant>,
    leaving_peers: BTreeMap<VmId, Instant>,
    links: BTreeMap<VmId, Link>,
    owners: BTreeMap<String, owner::Handle>,
    owner_states: BTreeMap<String, OwnerState>,
    outstanding: BTreeMap<(u64, u64), Outstanding>,
    remote_sessions: BTreeMap<u64, VmId>,
    sticky: BTreeMap<u64, VmId>,
    callers: BTreeMap<u64, Caller>,
    questions: BTreeMap<u64, Question>,
    next_question: u64,
    retries: Budget,
    draining: Option<Instant>,
    drained: Option<oneshot::Sender<()>>,
    started: Instant,
    ticks: u64,
}

impl Hub {
    pub(crate) fn new(
        settings: Settings,
        variant: Variant,
        client: Client,
        sender: Sender,
        drained: oneshot::Sender<()>,
    ) -> Hub {
        Hub {
            settings,
            variant,
            client,
            sender,
            config: Arc::default(),
            vms: BTreeMap::new(),
            observed: BTreeMap::new(),
            table: Table::new(),
            domain_order: Vec::new(),
            neighbours: Vec::new(),
            suspects: BTreeMap::new(),
            leaving_peers: BTreeMap::new(),
            links: BTreeMap::new(),
            owners: BTreeMap::new(),
            owner_states: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            remote_sessions: BTreeMap::new(),
            sticky: BTreeMap::new(),
            callers: BTreeMap::new(),
            questions: BTreeMap::new(),
            next_question: 1,
            retries: Budget::new(0.1, 50.0),
            draining: None,
            drained: Some(drained),
            started: Instant::now(),
            ticks: 0,
        }
    }

    /// Handles messages until the node has drained or is to stop.
    pub(crate) async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        self.view_changed();
        let mut next_tick = Instant::now() + TICK;
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            let tick = compio::time::sleep(wait).fuse();
            futures_util::pin_mut!(tick);
            let message = futures_util::select_biased! {
                message = messages.next() => message,
                () = tick => {
                    next_tick = Instant::now() + TICK;
                    self.tick();
                    if self.has_drained() {
                        return;
                    }
                    continue;
                }
            };
            match message {
                Some(Message::Stop) | None => return,
                Some(message) => self.handle(message),
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Statement(statement, answers) => {
                self.route(statement, Reply::Session(answers), 0);
            }
            Message::CancelKey(pid, secret) => self.cancel(pid, secret),
            Message::Session { session, pid, secret, database } => {
                self.callers.insert(session, Caller { pid, secret, database });
            }
            Message::SessionEnded(session) => self.session_ended(session),
            Message::Answered(answer) => self.answered(answer),
            Message::LinkUp(link) => self.link_up(link),
            Message::Greeted(link, hello) => {
                self.observe_peer(hello);
                self.link_up(link);
            }
            Message::LinkDown { vm, id } => self.link_down(&vm, id),
            Message::Frame { vm, frame } => self.frame(vm, frame),
            Message::AskPeers { database, endpoint, reply } => {
                self.ask_peers(&database, endpoint, reply);
            }
            Message::Asked { vm, opinion } => {
                let Opinion { question, reached } = opinion;
                let body = Body::Opinion(tamarackbend_wire::Opinion { question, reached });
                self.send(&vm, body);
            }
            Message::Config(config) => self.configure(config),
            Message::Vms(vms) => self.set_vms(vms),
            Message::GetConfig(reply) => {
                // The one who asked may have gone.
                let _ = reply.send(self.config.clone());
            }
            Message::IsWatcher(reply) => {
                let _ = reply.send(self.is_watcher());
            }
            Message::GetState(reply) => {
                let _ = reply.send(self.state());
            }
            Message::OwnerState(database, state) => {
                self.owner_states.insert(database, state);
            }
            Message::Drain => self.drain(),
            Message::Stop => {}
        }
    }

    fn frame(&mut self, vm: VmId, frame: Frame) {
        if let Some(link) = self.links.get_mut(&vm) {
            link.heard = Instant::now();
        }
        match frame.body {
            Some(Body::Statement(statement)) => self.receive(vm, statement),
            Some(Body::Answer(answer)) => self.answered(answer),
            Some(Body::Cancel(cancel)) => self.cancel_local(&cancel),
            Some(Body::EndSession(ended)) => {
                self.remote_sessions.remove(&ended.session);
                self.end_local(&ended);
            }
            Some(Body::Heartbeat(heartbeat)) => self.heartbeat(&vm, &heartbeat),
            Some(Body::ConfigRequest(request)) => self.config_request(&vm, request.version),
            Some(Body::ConfigChange(change)) => self.config_change(&vm, change),
            Some(Body::OpinionRequest(request)) => self.opinion_request(vm, &request),
            Some(Body::ViewChange(change)) => self.view_change(change),
            Some(Body::Opinion(opinion)) => self.opinion(opinion.question, opinion.reached),
            Some(Body::Hello(_)) | None => {}
        }
    }

    fn tick(&mut self) {
        self.ticks += 1;
        self.expire_suspects();
        self.check_links();
        self.expire_questions();
        self.remove_owners();
        if self.ticks.is_multiple_of(4) {
            self.gossip();
        }
    }

    /// Returns the link to `vm`, which is dialed if there is none.
    fn link_to(&mut self, vm: &VmId) -> Option<&mut Link> {
        if !self.links.contains_key(vm) {
            let address = self.vms.get(vm)?.peer_address;
            let hello = self.hello();
            let link = link::dial(vm.clone(), address, hello, self.sender.clone());
            self.links.insert(vm.clone(), link);
        }
        self.links.get_mut(vm)
    }

    fn hello(&self) -> Hello {
        Hello {
            vm: self.settings.vm.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            peer_address: self.settings.peer_address.to_string(),
        }
    }

    fn send(&mut self, vm: &VmId, body: Body) -> bool {
        match self.link_to(vm) {
            Some(link) => link.send(Frame::new(body)),
            None => false,
        }
    }

    fn drain(&mut self) {
        if self.draining.is_some() {
            return;
        }
        info!(vm = self.settings.vm, "draining");
        self.draining = Some(Instant::now());
        self.view_changed();
        if let Some(drained) = self.drained.take() {
            // Sessions may all have ended.
            let _ = drained.send(());
        }
        let body = Body::Heartbeat(self.own_heartbeat());
        let peers: Vec<VmId> = self.other_vms();
        for vm in peers {
            self.send(&vm, body.clone());
        }
    }

    fn has_drained(&self) -> bool {
        let Some(since) = self.draining else {
            return false;
        };
        let busy = !self.callers.is_empty()
            || !self.outstanding.is_empty()
            || self.owners.values().any(|owner| !owner.is_idle());
        let settled = since.elapsed() > TICK * 2;
        let expired = since.elapsed() > self.settings.limits.drain_timeout;
        if (settled && !busy) || expired {
            info!(vm = self.settings.vm, expired, "drained");
            return true;
        }
        false
    }

    fn endpoint_address(&self, database: &str, endpoint: usize) -> Option<SocketAddr> {
        let (_, database) = self.config.document.database(database)?;
        database.endpoints.get(endpoint).map(|endpoint| endpoint.address)
    }

    fn cancel_local(&mut self, cancel: &Cancel) {
        if let Some(owner) = self.owners.get(&cancel.database) {
            owner.send(owner::Message::Cancel(cancel.session, cancel.number));
        }
    }

    fn end_local(&mut self, ended: &EndSession) {
        if let Some(owner) = self.owners.get(&ended.database) {
            owner.send(owner::Message::EndSession(ended.session));
        }
    }
}
