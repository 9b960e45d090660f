//! State machine of one node.
//!
//! [`Router::step`] applies an [`Event`] to the state and returns the [`Action`]s to carry out. The
//! other modules handle the events:
//!
//! - `callers`: client requests and sessions
//! - `dispatch`: placement of waiting work on endpoints and connections
//! - `answers`, `losses`: answers of endpoints and lost connections
//! - `probes`: periodic work, failure detection and evidence that the primary leads
//! - `promotion`, `lease`: failover of a group's primary
//! - `peers`: sessions that other nodes serve
//! - `stopping`: shutdown
//! - `record`, `dump`: logs, metrics and the state dump

mod answers;
mod callers;
mod dispatch;
mod dump;
mod lease;
mod losses;
mod peers;
mod probes;
mod promotion;
mod record;
mod stopping;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use tamarackbend_policy::code::Code;
use tracing::info;

use crate::configuration::{Configuration, Route};
use crate::connection::{Connection, Purpose, SentCommand};
use crate::directory::{self, Directory, Entry};
use crate::endpoint::Endpoint;
use crate::failover::{PromotionAnswer, Record, RecordName};
use crate::group::Group;
use crate::membership::{MAX_DIRECT_FLEET_NODES, Peer};
use crate::message::{
    Answer, Command, ConnectionId, EndpointId, Fault, Position, Request, Role, ServiceName,
    SessionId, Time,
};
use crate::session::Session;
use crate::settings::{CONNECT_TIMEOUT, PAUSE_GAP, Settings};

use lease::Holding;
use peers::database_of;

/// Input of the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client connected.
    ClientConnected(SessionId),
    /// A client sent a message.
    ClientRequest(SessionId, Request),
    /// A client disconnected.
    ClientDisconnected(SessionId),
    /// An endpoint accepted a connection and reported the end of its applied log, if known.
    EndpointConnected(ConnectionId, Option<Position>),
    /// An endpoint answered the oldest outstanding command of a connection.
    EndpointAnswered(ConnectionId, Answer),
    /// A connection to an endpoint was lost or refused.
    ConnectionLost(ConnectionId, ConnectionLoss),
    /// Entries of the endpoint directory changed.
    DirectoryChanged(directory::Change),
    /// The store is reachable again.
    StoreReachable,
    /// The store is unreachable.
    StoreUnreachable,
    /// The list of the fleet's nodes was read for the first time or changed.
    PeersChanged(Vec<Peer>),
    /// A node that serves sessions of this node reported whether the store is unreachable for it.
    PeerStoreNotice(EndpointId, bool),
    /// A version of the configuration was read.
    ConfigurationRead(Configuration),
    /// The read of a store record ended.
    RecordFetched(RecordName, FetchResult),
    /// The write of a store record ended.
    RecordWritten(RecordName, WriteResult),
    /// The platform answered a promotion request.
    PromotionAnswered(ServiceName, PromotionAnswer),
    /// The process was asked to stop.
    Stop,
    /// Time passed; sent periodically.
    Tick,
}

/// Why a connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionLoss {
    /// The connection broke or could not be established.
    Broken,
    /// The endpoint refused the connection with this error.
    Refused(Fault),
}

/// Result of reading a store record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchResult {
    /// Revision and content of the record.
    Found(u64, Record),
    /// The record does not exist.
    Missing,
    /// The store did not answer.
    Failed,
}

/// Result of writing a store record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The record was written; its new revision.
    Done(u64),
    /// Not written: the record has another revision than expected.
    Conflict,
    /// The store did not answer: the write may have taken effect, or may still do so.
    Failed,
}

/// Sessions for which a node follows the configuration and the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchScope {
    /// None: the node does not follow them.
    Nothing,
    /// Sessions of the node's own clients.
    OwnClients,
    /// Sessions of other nodes' clients as well: those nodes must learn soon when the store is
    /// unreachable for this node.
    ClientsOfPeers,
}

/// Output of the router, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell a client that its session is open.
    AcceptSession(SessionId),
    /// Reject a client's session and close the client's connection.
    RejectSession(SessionId, Answer),
    /// Answer a client's statement.
    Reply(SessionId, Answer),
    /// Close a client's connection.
    CloseSession(SessionId),
    /// Connect to an endpoint.
    Connect {
        /// Id of the new connection.
        connection: ConnectionId,
        /// Directory entry of the endpoint.
        entry: Entry,
    },
    /// Open a channel to a pooler: a node that holds connections to endpoints.
    OpenChannel {
        /// Id of the new connection.
        connection: ConnectionId,
        /// The pooler, in the form of an endpoint's entry.
        entry: Entry,
        /// Database of the channel's session.
        database: String,
    },
    /// Send commands to an endpoint.
    SendCommands(ConnectionId, Vec<Command>),
    /// Close a connection to an endpoint.
    Disconnect(ConnectionId),
    /// Read a store record.
    FetchRecord(RecordName),
    /// Write a store record if it still has this revision; create it if the revision is none.
    WriteRecord(RecordName, Option<u64>, Record),
    /// Ask the platform to promote an endpoint.
    Promote {
        /// Service of the endpoint.
        service: ServiceName,
        /// Endpoint to promote.
        endpoint: EndpointId,
        /// Fencing token of the failover lease.
        token: u64,
    },
    /// Read the configuration now instead of at the next change.
    RefreshConfiguration,
    /// Follow the configuration and the directory to this extent.
    WatchStore(WatchScope),
    /// Tell the nodes whose sessions this node serves whether the store is reachable.
    AnnounceStoreStatus {
        /// Whether the store is unreachable for this node.
        store_is_unreachable: bool,
    },
    /// Tell the balancer whether to send clients.
    SetReady(bool),
    /// End the process.
    Exit,
}

/// State and decisions of one node.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    now: Time,
    actions: Vec<Action>,
    configuration: Option<Configuration>,
    directory: Directory,
    groups: BTreeMap<ServiceName, Group>,
    sessions: HashMap<SessionId, Session>,
    connections: BTreeMap<ConnectionId, Connection>,
    next_connection: ConnectionId,
    peers: Vec<Peer>,
    away_peers: BTreeSet<EndpointId>,
    /// Nodes to which a channel has been opening for too long; they get no new work.
    slow_peers: BTreeSet<EndpointId>,
    started: Time,
    following: WatchScope,
    holders: usize,
    holds: Option<bool>,
    starting: Vec<(SessionId, Time)>,
    resumed: Vec<SessionId>,
    /// Groups whose waiting work may be placed now.
    dirty: BTreeSet<ServiceName>,
    refreshed: Option<Time>,
    holding: Holding,
    store_away: Option<Time>,
    stopping: Option<Time>,
    ready: bool,
}

impl Router {
    /// Returns the router of a node that has just started; `run` identifies the incarnation of the
    /// process.
    pub fn new(settings: Settings, run: u64, now: Time) -> Router {
        let following = match settings.is_first_start {
            true => WatchScope::Nothing,
            false => WatchScope::OwnClients,
        };
        Router {
            settings,
            now,
            actions: Vec::new(),
            configuration: None,
            directory: Directory::default(),
            groups: BTreeMap::new(),
            sessions: HashMap::new(),
            connections: BTreeMap::new(),
            next_connection: 1,
            peers: Vec::new(),
            away_peers: BTreeSet::new(),
            slow_peers: BTreeSet::new(),
            started: now,
            following,
            holders: MAX_DIRECT_FLEET_NODES,
            holds: None,
            starting: Vec::new(),
            resumed: Vec::new(),
            dirty: BTreeSet::new(),
            refreshed: None,
            holding: Holding::new(run),
            store_away: None,
            stopping: None,
            ready: false,
        }
    }

    /// Applies `event` at the time `now` and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.advance_clock(now);
        match event {
            Event::ClientConnected(session) => {
                self.sessions
                    .insert(session, Session { last_active_at: now, ..Session::default() });
            }
            Event::ClientRequest(session, request) => self.request(session, request),
            Event::ClientDisconnected(session) => self.leave(session),
            Event::EndpointConnected(connection, position) => self.connected(connection, position),
            Event::EndpointAnswered(connection, answer) => self.answered(connection, answer),
            Event::ConnectionLost(connection, loss) => self.lost(connection, &loss),
            Event::DirectoryChanged(change) => self.directory_changed(change),
            Event::StoreUnreachable => {
                self.store_away.get_or_insert(now);
                self.actions.push(Action::AnnounceStoreStatus { store_is_unreachable: true });
            }
            Event::StoreReachable => {
                self.store_away = None;
                self.actions.push(Action::AnnounceStoreStatus { store_is_unreachable: false });
                self.directory.restart_grace_periods(now);
            }
            Event::PeersChanged(peers) => self.peers_changed(peers),
            Event::PeerStoreNotice(peer, is_away) => self.peer_notice(peer, is_away),
            Event::ConfigurationRead(configuration) => self.configured(configuration),
            Event::RecordFetched(name, fetch) => self.fetched(&name, fetch),
            Event::RecordWritten(name, write) => self.written(&name, &write),
            Event::PromotionAnswered(service, promotion) => self.promoted(&service, promotion),
            Event::Stop => self.stop(),
            Event::Tick => self.tick(),
        }
        self.resume();
        self.dispatch_all();
        std::mem::take(&mut self.actions)
    }

    /// Returns whether work waits or a failover is in progress, so that ticks should be frequent.
    pub fn is_busy(&self) -> bool {
        self.groups.values().any(|group| {
            !group.waiting_sessions.is_empty()
                || !group.pending_answers.is_empty()
                || group.failover.is_some()
        })
    }

    fn advance_clock(&mut self, now: Time) {
        let gap = now.saturating_sub(self.now);
        self.now = now;
        if gap < PAUSE_GAP {
            return;
        }
        // The process did not run, for example because its host was suspended: silence of endpoints
        // in that time is no sign of a failure.
        info!(gap_ms = gap.as_millis() as u64, "process was paused; restarting the silence timers");
        for group in self.groups.values_mut() {
            for endpoint in group.endpoints.values_mut() {
                endpoint.last_heard_at = now;
                endpoint.status_requested_at = None;
                endpoint.probe_requested_at = None;
                if endpoint.suspected_since.is_some() {
                    endpoint.suspected_since = Some(now);
                }
            }
        }
        for connection in self.connections.values_mut() {
            connection.requested_at =
                connection.requested_at.max(now.saturating_sub(CONNECT_TIMEOUT / 2));
        }
    }

    fn configured(&mut self, configuration: Configuration) {
        let known = self.configuration.as_ref().map(|known| known.version);
        if known.is_some_and(|known| known >= configuration.version) {
            return;
        }
        info!(version = configuration.version, before = known, "configuration applied");
        for service in &configuration.services {
            let group = self.groups.entry(service.name.clone()).or_default();
            group.max_connections = service.connections;
        }
        self.configuration = Some(configuration);
        self.resolve_starts(true);
    }

    fn route(&self, database: &str) -> Option<&Route> {
        self.configuration.as_ref()?.routes.get(database)
    }

    fn directory_changed(&mut self, change: directory::Change) {
        for effect in self.directory.apply(self.now, change) {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&mut self, effect: directory::Effect) {
        match effect {
            directory::Effect::Updated(entry) => self.endpoint_updated(entry),
            directory::Effect::Removed(entry) => self.endpoint_removed(&entry),
        }
    }

    fn endpoint_updated(&mut self, entry: Entry) {
        info!(
            service = %entry.service, endpoint = %entry.id, address = %entry.address,
            role = ?entry.role, leaving = entry.leaving, "endpoint is listed"
        );
        let now = self.now;
        let distance = self.distance(&entry.failure_domain);
        let (service, id) = (entry.service.clone(), entry.id.clone());
        let group = self.groups.entry(service.clone()).or_default();
        let leads = group.is_primary(&id);
        let moved = group.endpoints.get(&id).is_some_and(|known| {
            known.entry.address != entry.address || known.entry.incarnation != entry.incarnation
        });
        if moved {
            self.remove_endpoint(&service, &id, "endpoint restarted or moved to another address");
        }
        let group = self.groups.entry(service.clone()).or_default();
        let ask = (entry.role == Role::Primary) != leads;
        match group.endpoints.get_mut(&id) {
            Some(known) => {
                if entry.leaving {
                    known.draining_since.get_or_insert(now);
                } else {
                    known.draining_since = None;
                }
                known.entry = entry;
            }
            None => {
                group.endpoints.insert(id.clone(), Endpoint::new(entry, distance, now));
            }
        }
        group.is_replicated |= group.endpoints.len() > 1;
        group.peak_size = group.peak_size.max(group.endpoints.len());
        if group.primary.is_none() {
            group.without_primary_since.get_or_insert(now);
        }
        if ask {
            self.ask_status(&service, &id);
        }
    }

    fn endpoint_removed(&mut self, entry: &Entry) {
        info!(
            service = %entry.service, endpoint = %entry.id,
            "endpoint was removed from the directory; closing its connections"
        );
        self.remove_endpoint(&entry.service, &entry.id, "endpoint was removed from the directory");
    }

    fn remove_endpoint(&mut self, service: &ServiceName, id: &EndpointId, why: &str) {
        let now = self.now;
        for connection in self.connections_of(service, id) {
            self.disconnect(connection, why);
        }
        if let Some(group) = self.groups.get_mut(service) {
            group.endpoints.remove(id);
            if group.is_primary(id) {
                group.clear_primary(now);
            }
        }
    }

    fn connections_of(&self, service: &ServiceName, id: &EndpointId) -> Vec<ConnectionId> {
        let endpoint = self.groups.get(service).and_then(|group| group.endpoints.get(id));
        endpoint.map(|endpoint| endpoint.connections.clone()).unwrap_or_default()
    }

    /// Returns the connections to an endpoint, established or not.
    fn connections_to<'a>(
        &'a self,
        endpoint: &'a Endpoint,
    ) -> impl Iterator<Item = &'a Connection> + Clone {
        endpoint.connections.iter().filter_map(|id| self.connections.get(id))
    }

    /// Sends commands over a connection and records the purpose of each for its answer.
    fn send(&mut self, connection: ConnectionId, commands: Vec<(Command, Purpose)>) {
        let now = self.now;
        let Some(state) = self.connections.get_mut(&connection) else { return };
        let mut sent = Vec::with_capacity(commands.len());
        for (command, purpose) in commands {
            state.unanswered.push_back(SentCommand { sent_at: now, purpose });
            sent.push(command);
        }
        self.actions.push(Action::SendCommands(connection, sent));
    }

    fn connect(&mut self, service: &ServiceName, id: &EndpointId) {
        let Some(entry) = self.groups.get(service).and_then(|group| group.endpoints.get(id)) else {
            return;
        };
        let entry = entry.entry.clone();
        let connection = self.next_connection;
        self.next_connection += 1;
        let state = Connection::new(connection, service.clone(), id.clone(), self.now);
        self.connections.insert(connection, state);
        if let Some(endpoint) = self.endpoint_mut(service, id) {
            endpoint.connections.push(connection);
        }
        let action = match database_of(service) {
            Some(database) => {
                Action::OpenChannel { connection, entry, database: database.to_owned() }
            }
            None => Action::Connect { connection, entry },
        };
        self.actions.push(action);
    }

    fn disconnect(&mut self, connection: ConnectionId, why: &str) {
        if self.connections.contains_key(&connection) {
            tracing::debug!(connection, why, "closing connection");
            self.actions.push(Action::Disconnect(connection));
            self.drop_connection(connection);
        }
    }

    fn endpoint_mut(&mut self, service: &ServiceName, id: &EndpointId) -> Option<&mut Endpoint> {
        self.groups.get_mut(service)?.endpoints.get_mut(id)
    }

    /// Returns the expected response time of a short read at an endpoint in `failure_domain`.
    fn distance(&self, failure_domain: &str) -> Time {
        /// Round trip and processing within a failure domain, within a region, and between regions.
        const NEAR: Time = Time::from_millis(20);
        const REGION: Time = Time::from_millis(24);
        const FAR: Time = Time::from_millis(38);
        let region = |name: &str| self.settings.regions.get(name);
        if failure_domain == self.settings.failure_domain {
            NEAR
        } else if region(failure_domain).is_some()
            && region(failure_domain) == region(&self.settings.failure_domain)
        {
            REGION
        } else {
            FAR
        }
    }

    fn refuse(&mut self, session: SessionId, fault: Fault, code: Code, retry: Option<Time>) {
        let outcome = crate::message::Outcome::refusal(fault, code, retry);
        self.reply_outcome(session, outcome);
    }
}
