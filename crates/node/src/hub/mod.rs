//! Hub: the central task of a node, with which all other tasks exchange messages.
//!
//! The hub holds the configuration, the view of the fleet (the nodes that are known, see [`view`])
//! and the owner of every database. It routes statements to the node of the owner and answers back
//! to the client's session. When a link breaks, statements that were never sent and reads outside
//! transactions are routed again; the others are answered with an unknown outcome.

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

/// Interval of the checks of links, suspected peers, vote requests and the drain.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Sender of answers to a client's session.
pub(crate) type Answers = mpsc::UnboundedSender<Answer>;
/// Sender of messages to the hub.
pub(crate) type Sender = mpsc::UnboundedSender<Message>;

/// Configuration in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct Config {
    pub(crate) version: u64,
    pub(crate) document: Document,
    pub(crate) sections: Vec<Section>,
}

/// Whether this node reaches an endpoint, as an answer to a peer's vote request.
pub(crate) struct Vote {
    /// Number that the peer gave the request.
    pub(crate) request_id: u64,
    pub(crate) reached: bool,
}

/// Message to the hub.
pub(crate) enum Message {
    /// A client's session sends a statement.
    Statement(Statement, Answers),
    /// A client sent a cancel request with a process id and secret key.
    CancelRequest(i32, i32),
    /// A client has logged in and got a process id and secret key for cancel requests.
    SessionStarted { session: u64, pid: i32, secret: i32, database: String },
    /// The connection of a client has closed.
    SessionEnded(u64),
    /// A local owner answers a statement.
    Answer(Answer),
    /// A link that this node dialed is connected.
    LinkConnected(Link),
    /// A peer has connected and sent its hello.
    LinkAccepted(Link, Hello),
    /// A connection to a peer broke or could not be opened.
    LinkClosed { vm: VmId, id: u64 },
    /// A peer sent a frame.
    Frame { vm: VmId, frame: Frame },
    /// An owner asks peers whether they reach an endpoint.
    RequestVotes { database: String, endpoint: usize, reply: mpsc::UnboundedSender<owner::Message> },
    /// The vote that a peer requested is ready.
    VoteReady { vm: VmId, vote: Vote },
    /// Configuration that was read from the platform.
    Config(Arc<Config>),
    /// List of VMs that was read from the platform.
    Vms(Vec<api::Vm>),
    /// Requests the configuration in force.
    GetConfig(oneshot::Sender<Arc<Config>>),
    /// Requests whether this node is a watcher of the platform.
    IsWatcher(oneshot::Sender<bool>),
    /// Requests a dump of the node's state.
    GetState(oneshot::Sender<State>),
    /// State of a database's local owner, for the dump.
    OwnerState(String, OwnerState),
    /// Finish statements in progress, then stop.
    Drain,
    /// Stop at once.
    Stop,
}

/// Recipient of a statement's answer.
enum Recipient {
    /// A session of this node.
    Session(Answers),
    /// The peer that forwarded the statement.
    Peer(VmId),
}

/// Statement that waits for its answer.
struct Outstanding {
    statement: Statement,
    recipient: Recipient,
    /// Node to which the statement was sent.
    target: VmId,
    /// Times that the statement was routed again.
    reroutes: u32,
    sent_at: Instant,
}

/// Session of a client of this node; `pid` and `secret` identify it in cancel requests.
struct Session {
    pid: i32,
    secret: i32,
    database: String,
}

/// Votes that an owner has requested and that have not all arrived.
struct VoteRequest {
    /// Peers that have not voted yet.
    pending: usize,
    /// Peers that reach the endpoint.
    reached: usize,
    deadline: Instant,
    reply: mpsc::UnboundedSender<owner::Message>,
}

/// State of the hub.
pub(crate) struct Hub {
    settings: Settings,
    variant: Variant,
    platform: Client,
    sender: Sender,
    config: Arc<Config>,
    /// Nodes of the federation: those that the platform lists, and peers that have connected.
    vms: BTreeMap<VmId, api::Vm>,
    /// Peers that have connected, with the time until which they need no entry in the list.
    connected_peers: BTreeMap<VmId, (api::Vm, Instant)>,
    table: Table,
    /// Nodes of this failure domain in the order of the relay tree.
    domain_order: Vec<VmId>,
    /// Peers with which this node compares configuration versions.
    neighbours: Vec<VmId>,
    /// Peers that could not be reached, with the time until which they own no databases.
    suspected_peers: BTreeMap<VmId, Instant>,
    /// Peers that have announced a drain, with the time until which the announcement counts.
    draining_peers: BTreeMap<VmId, Instant>,
    links: BTreeMap<VmId, Link>,
    /// Local owners by database.
    owners: BTreeMap<String, owner::Handle>,
    owner_states: BTreeMap<String, OwnerState>,
    /// Statements by session and number of the statement in the session.
    outstanding: BTreeMap<(u64, u64), Outstanding>,
    /// Node of the client, by session, for statements that peers have sent to this node.
    remote_sessions: BTreeMap<u64, VmId>,
    /// Node that runs the open transaction, by session.
    transaction_nodes: BTreeMap<u64, VmId>,
    /// Sessions of this node's clients.
    client_sessions: BTreeMap<u64, Session>,
    vote_requests: BTreeMap<u64, VoteRequest>,
    next_vote_request: u64,
    retries: Budget,
    /// Start of the drain.
    draining_since: Option<Instant>,
    /// Tells sessions and the listener for clients that the node drains.
    drain_signal: Option<oneshot::Sender<()>>,
    started_at: Instant,
    tick_count: u64,
}

impl Hub {
    pub(crate) fn new(
        settings: Settings,
        variant: Variant,
        platform: Client,
        sender: Sender,
        drain_signal: oneshot::Sender<()>,
    ) -> Hub {
        Hub {
            settings,
            variant,
            platform,
            sender,
            config: Arc::default(),
            vms: BTreeMap::new(),
            connected_peers: BTreeMap::new(),
            table: Table::new(),
            domain_order: Vec::new(),
            neighbours: Vec::new(),
            suspected_peers: BTreeMap::new(),
            draining_peers: BTreeMap::new(),
            links: BTreeMap::new(),
            owners: BTreeMap::new(),
            owner_states: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            remote_sessions: BTreeMap::new(),
            transaction_nodes: BTreeMap::new(),
            client_sessions: BTreeMap::new(),
            vote_requests: BTreeMap::new(),
            next_vote_request: 1,
            retries: Budget::new(0.1, 50.0),
            draining_since: None,
            drain_signal: Some(drain_signal),
            started_at: Instant::now(),
            tick_count: 0,
        }
    }

    /// Handles messages until the node has drained or is told to stop.
    pub(crate) async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        self.on_view_changed();
        let mut next_tick = Instant::now() + TICK_INTERVAL;
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            let tick = compio::time::sleep(wait).fuse();
            futures_util::pin_mut!(tick);
            let message = futures_util::select_biased! {
                message = messages.next() => message,
                () = tick => {
                    next_tick = Instant::now() + TICK_INTERVAL;
                    self.on_tick();
                    if self.is_drain_complete() {
                        return;
                    }
                    continue;
                }
            };
            match message {
                Some(Message::Stop) | None => return,
                Some(message) => self.handle_message(message),
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Statement(statement, answers) => {
                self.route(statement, Recipient::Session(answers), 0);
            }
            Message::CancelRequest(pid, secret) => self.handle_cancel_request(pid, secret),
            Message::SessionStarted { session, pid, secret, database } => {
                self.client_sessions.insert(session, Session { pid, secret, database });
            }
            Message::SessionEnded(session) => self.on_session_ended(session),
            Message::Answer(answer) => self.handle_answer(answer),
            Message::LinkConnected(link) => self.on_link_connected(link),
            Message::LinkAccepted(link, hello) => {
                self.add_connected_peer(hello);
                self.on_link_connected(link);
            }
            Message::LinkClosed { vm, id } => self.on_link_closed(&vm, id),
            Message::Frame { vm, frame } => self.handle_frame(vm, frame),
            Message::RequestVotes { database, endpoint, reply } => {
                self.request_votes(&database, endpoint, reply);
            }
            Message::VoteReady { vm, vote } => {
                let Vote { request_id: question, reached } = vote;
                let body = Body::Opinion(tamarackbend_wire::Opinion { question, reached });
                self.send(&vm, body);
            }
            Message::Config(config) => self.apply_config(config),
            Message::Vms(vms) => self.apply_vm_list(vms),
            Message::GetConfig(reply) => {
                // The requesting task may have ended.
                let _ = reply.send(self.config.clone());
            }
            Message::IsWatcher(reply) => {
                let _ = reply.send(self.is_watcher());
            }
            Message::GetState(reply) => {
                let _ = reply.send(self.dump_state());
            }
            Message::OwnerState(database, state) => {
                self.owner_states.insert(database, state);
            }
            Message::Drain => self.start_drain(),
            Message::Stop => {}
        }
    }

    fn handle_frame(&mut self, vm: VmId, frame: Frame) {
        if let Some(link) = self.links.get_mut(&vm) {
            link.last_received_at = Instant::now();
        }
        match frame.body {
            Some(Body::Statement(statement)) => self.receive_statement(vm, statement),
            Some(Body::Answer(answer)) => self.handle_answer(answer),
            Some(Body::Cancel(cancel)) => self.cancel_local(&cancel),
            Some(Body::EndSession(end_session)) => {
                self.remote_sessions.remove(&end_session.session);
                self.end_local_session(&end_session);
            }
            Some(Body::Heartbeat(heartbeat)) => self.handle_heartbeat(&vm, &heartbeat),
            Some(Body::ConfigRequest(request)) => self.handle_config_request(&vm, request.version),
            Some(Body::ConfigChange(change)) => self.handle_config_change(&vm, change),
            Some(Body::OpinionRequest(request)) => self.handle_vote_request(vm, &request),
            Some(Body::ViewChange(change)) => self.handle_view_change(change),
            Some(Body::Opinion(opinion)) => self.handle_vote(opinion.question, opinion.reached),
            Some(Body::Hello(_)) | None => {}
        }
    }

    fn on_tick(&mut self) {
        self.tick_count += 1;
        self.expire_peer_marks();
        self.check_links();
        self.expire_vote_requests();
        self.remove_owners();
        if self.tick_count.is_multiple_of(4) {
            self.send_heartbeat_to_neighbour();
        }
    }

    /// Returns the link to `vm`, which is dialed if there is none; none if the node is not known.
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

    fn start_drain(&mut self) {
        if self.draining_since.is_some() {
            return;
        }
        info!(
            vm = self.settings.vm,
            "node is draining: its databases move to other nodes and idle sessions are closed"
        );
        self.draining_since = Some(Instant::now());
        self.on_view_changed();
        if let Some(drain_signal) = self.drain_signal.take() {
            // Sending fails when no task listens any more.
            let _ = drain_signal.send(());
        }
        let body = Body::Heartbeat(self.own_heartbeat());
        let peers: Vec<VmId> = self.other_vms();
        for vm in peers {
            self.send(&vm, body.clone());
        }
    }

    fn is_drain_complete(&self) -> bool {
        let Some(since) = self.draining_since else {
            return false;
        };
        let is_busy = !self.client_sessions.is_empty()
            || !self.outstanding.is_empty()
            || self.owners.values().any(|owner| !owner.is_idle());
        let has_min_duration = since.elapsed() > TICK_INTERVAL * 2;
        let expired = since.elapsed() > self.settings.limits.drain_timeout;
        if (has_min_duration && !is_busy) || expired {
            info!(vm = self.settings.vm, expired, "drain has ended; the node stops");
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

    fn end_local_session(&mut self, end_session: &EndSession) {
        if let Some(owner) = self.owners.get(&end_session.database) {
            owner.send(owner::Message::EndSession(end_session.session));
        }
    }
}
