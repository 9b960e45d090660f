//! State machine of one node.
//!
//! [`Router::step`] applies an [`Event`] to the state and returns the [`Action`]s to carry out. The
//! other modules handle the events:
//!
//! - `starting`, `clients`: start of sessions, and client requests
//! - `customers`, `customer_connections`: identification of clients by their keys, and connections for
//!   the work of one customer
//! - `dispatch`: placement of waiting work on endpoints and connections
//! - `connections`: opening of connections to endpoints
//! - `event`: events and actions
//! - `answers`, `proofs`, `losses`: answers of endpoints to clients' statements and to the router's own
//!   commands, and lost connections
//! - `ejection`, `overload`: endpoints that work badly, and work that cannot be served in time
//! - `probes`: periodic work, failure detection and evidence for the primary
//! - `promotion`, `lease`: failover of a group's primary
//! - `peers`: sessions that other nodes serve
//! - `limits`: limits of customers and loans between their holders
//! - `stopping`: shutdown
//! - `record`, `dump`: logs, metrics and the state dump

mod absence;
mod answers;
mod clients;
mod connections;
mod customer_connections;
mod customers;
mod dispatch;
mod dump;
mod ejection;
mod event;
mod lease;
mod limits;
mod losses;
mod overload;
mod peers;
mod probes;
mod promotion;
mod proofs;
mod record;
mod starting;
mod stopping;

use std::collections::{BTreeMap, BTreeSet, HashMap};

pub use event::{Action, ConnectionLoss, Event, FetchResult, WatchScope, WriteResult};

use tamarackbend_policy::code::Code;
use tracing::{info, warn};

use crate::admission::fairness::Weights;
use crate::configuration::{Configuration, Route};
use crate::connection::{Connection, Purpose, SentCommand};
use crate::customer::{CustomerName, KeyDigest};
use crate::departure::Detector;
use crate::directory::{self, Directory, Entry};
use crate::endpoint::Endpoint;
use crate::experiment::{Experiment, Mechanism};
use crate::group::Group;
use crate::membership::{MAX_DIRECT_FLEET_NODES, Peer};
use crate::message::{
    Command, ConnectionId, EndpointId, Fault, Introduction, Role, ServiceName, SessionId, Time,
};
use crate::revision::Era;
use crate::session::Session;
use crate::settings::{CONNECT_TIMEOUT, PAUSE_GAP, Settings};

use peers::database_of;

/// State and decisions of one node.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    experiment: Experiment,
    /// Time of the current step.
    now: Time,
    /// Actions of the current step.
    actions: Vec<Action>,
    configuration: Option<Configuration>,
    /// Weights of the configuration's customers.
    weights: Weights,
    directory: Directory,
    groups: BTreeMap<ServiceName, Group>,
    /// Names of the remote groups by database and key.
    remote_services: HashMap<(String, Option<KeyDigest>), ServiceName>,
    next_remote_group: u64,
    sessions: BTreeMap<SessionId, Session>,
    connections: BTreeMap<ConnectionId, Connection>,
    next_connection: ConnectionId,
    /// Nodes of the fleet, by name.
    peers: Vec<Peer>,
    departures: Detector,
    /// Probes of nodes that have not ended, and when each was sent.
    peer_probes: BTreeMap<EndpointId, Time>,
    /// Nodes that reported that the store is unreachable for them.
    peers_without_store: BTreeSet<EndpointId>,
    /// Nodes to which a channel has been opening for too long; they get no new work.
    slow_peers: BTreeSet<EndpointId>,
    started_at: Time,
    watch_scope: WatchScope,
    /// Nodes that hold connections to endpoints.
    poolers: Vec<Peer>,
    /// Number of nodes that hold connections to one endpoint.
    holder_count: usize,
    /// Whether this node holds connections to endpoints; none until the fleet is known.
    is_pooler: Option<bool>,
    /// Whether this node, which is not a pooler, serves its own clients of some databases because no pooler
    /// answers.
    is_substitute: bool,
    /// Services for whose databases this node holds connections even before they are used.
    own_services: BTreeSet<ServiceName>,
    /// Sessions whose database is not known yet, and when each started.
    starting_sessions: Vec<(SessionId, Time)>,
    /// Sessions that were answered in this step and have more requests queued.
    answered_sessions: Vec<SessionId>,
    /// Groups whose waiting work may be placed now.
    dirty: BTreeSet<ServiceName>,
    /// Last request for the configuration that an unknown database caused.
    refreshed_at: Option<Time>,
    /// When the configuration was last read, changed or not.
    configuration_read_at: Option<Time>,
    /// Highest version of the configuration that this node has had or was told of.
    seen_version: u64,
    lease: lease::State,
    limits: limits::State,
    store_unreachable_since: Option<Time>,
    stopping_since: Option<Time>,
    is_ready: bool,
}

impl Router {
    /// Returns the router of a node that has just started as this `incarnation` of its process.
    pub fn new(settings: Settings, incarnation: u64, now: Time) -> Router {
        Router {
            limits: limits::State::new(&settings),
            settings,
            experiment: Experiment::default(),
            now,
            actions: Vec::new(),
            configuration: None,
            weights: Weights::default(),
            directory: Directory::default(),
            groups: BTreeMap::new(),
            remote_services: HashMap::new(),
            next_remote_group: 1,
            sessions: BTreeMap::new(),
            connections: BTreeMap::new(),
            next_connection: 1,
            peers: Vec::new(),
            departures: Detector::default(),
            peer_probes: BTreeMap::new(),
            peers_without_store: BTreeSet::new(),
            slow_peers: BTreeSet::new(),
            started_at: now,
            watch_scope: WatchScope::Nothing,
            poolers: Vec::new(),
            holder_count: MAX_DIRECT_FLEET_NODES,
            is_pooler: None,
            is_substitute: false,
            own_services: BTreeSet::new(),
            starting_sessions: Vec::new(),
            answered_sessions: Vec::new(),
            dirty: BTreeSet::new(),
            refreshed_at: None,
            configuration_read_at: None,
            seen_version: 0,
            lease: lease::State::new(incarnation),
            store_unreachable_since: None,
            stopping_since: None,
            is_ready: false,
        }
    }

    /// Leaves out the mechanisms of an experiment.
    pub fn with_experiment(mut self, experiment: Experiment) -> Router {
        let off: Vec<String> = experiment.off().map(|mechanism| mechanism.to_string()).collect();
        if !off.is_empty() {
            warn!(?off, "node leaves out mechanisms for an experiment");
        }
        self.experiment = experiment;
        self
    }

    fn uses(&self, mechanism: Mechanism) -> bool {
        self.experiment.uses(mechanism)
    }

    /// Applies `event` at the time `now` and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.advance_clock(now);
        match event {
            Event::ClientConnected(session) => {
                self.sessions.insert(session, Session::new(now));
            }
            Event::ChannelAccepted(session, introduction) => {
                self.sessions.insert(session, Session::new(now).with_channel(introduction));
            }
            Event::ChannelIntroduced(connection, introduction) => {
                self.on_introduction(connection, introduction)
            }
            Event::ClientRequest(session, request) => self.on_request(session, request),
            Event::ClientDisconnected(session) => self.close_session(session),
            Event::EndpointConnected(connection, position) => {
                self.on_connected(connection, position)
            }
            Event::EndpointAnswered(connection, answer) => self.on_answer(connection, answer),
            Event::ConnectionLost(connection, loss) => self.on_connection_lost(connection, &loss),
            Event::DirectoryChanged(change) => self.on_directory_change(change),
            Event::StoreUnreachable => {
                self.store_unreachable_since.get_or_insert(now);
                self.actions.push(Action::AnnounceStoreStatus { store_is_unreachable: true });
            }
            Event::StoreReachable => {
                self.store_unreachable_since = None;
                self.actions.push(Action::AnnounceStoreStatus { store_is_unreachable: false });
                self.directory.restart_grace_periods(now);
            }
            Event::StoreEra(era) => self.on_store_era(era),
            Event::PeersChanged(peers) => self.on_peers_changed(peers),
            Event::PeerProbed(peer, has_answered) => self.on_peer_probed(&peer, has_answered),
            Event::PeerStoreNotice(peer, is_unreachable) => {
                self.on_peer_store_notice(peer, is_unreachable)
            }
            Event::LoanRequestsReceived(from, requests) => self.on_loan_requests(&from, requests),
            Event::LoansReceived(from, loans) => self.on_loans(&from, loans),
            Event::ConfigurationRead(configuration) => self.on_configuration(configuration),
            Event::RecordFetched(name, result) => self.on_record_fetched(&name, result),
            Event::RecordWritten(name, result) => self.on_record_written(&name, &result),
            Event::PromotionAnswered(service, answer) => self.on_promotion_answer(&service, answer),
            Event::Stop => self.start_shutdown(),
            Event::Tick => self.tick(),
        }
        self.resume_answered_sessions();
        self.dispatch_all();
        // Sessions that were accepted or answered meanwhile may have further requests.
        while !self.answered_sessions.is_empty() {
            self.resume_answered_sessions();
            self.dispatch_all();
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the name of this node.
    pub fn node(&self) -> &str {
        &self.settings.node
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
        self.departures.restart();
        for connection in self.connections.values_mut() {
            connection.requested_at =
                connection.requested_at.max(now.saturating_sub(CONNECT_TIMEOUT / 2));
        }
    }

    /// Handles the first era of the store, or a restoration, after which the store lacks its last
    /// changes.
    fn on_store_era(&mut self, era: Era) {
        let is_restored = self.lease.enter_era(self.now, era);
        if !is_restored {
            return;
        }
        warn!(
            era,
            "store was restored from an older copy; giving up the failover lease and keeping what left"
        );
        self.directory.on_store_restored(self.now);
        for group in self.groups.values_mut() {
            group.written_ballot = None;
        }
    }

    fn on_configuration(&mut self, configuration: Configuration) {
        self.configuration_read_at = Some(self.now);
        let current_version = self.configuration.as_ref().map(|current| current.version);
        if current_version.is_some_and(|current| current >= configuration.version) {
            return;
        }
        info!(version = configuration.version, before = current_version, "configuration applied");
        for service in &configuration.services {
            let group = self.groups.entry(service.name.clone()).or_default();
            group.max_connections = service.connections;
        }
        self.seen_version = self.seen_version.max(configuration.version);
        self.weights = configuration.customers.as_ref().map(Weights::new).unwrap_or_default();
        self.configuration = Some(configuration);
        self.update_own_services();
        self.update_limits();
        self.identify_sessions();
        self.resolve_starting_sessions(true);
    }

    fn route(&self, database: &str) -> Option<&Route> {
        self.configuration.as_ref()?.routes.get(database)
    }

    fn on_directory_change(&mut self, change: directory::Change) {
        for effect in self.directory.apply(self.now, change) {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&mut self, effect: directory::Effect) {
        match effect {
            directory::Effect::Updated(entry) => self.on_endpoint_updated(entry),
            directory::Effect::Removed(entry) => self.on_endpoint_removed(&entry),
        }
    }

    fn on_endpoint_updated(&mut self, entry: Entry) {
        info!(
            service = %entry.service, endpoint = %entry.id, address = %entry.address,
            role = ?entry.role, leaving = entry.leaving,
            "directory entry of the endpoint was added or changed"
        );
        let now = self.now;
        let expected_time = self.expected_read_time(&entry.failure_domain);
        let (service, id) = (entry.service.clone(), entry.id.clone());
        let group = self.groups.entry(service.clone()).or_default();
        let is_primary = group.is_primary(&id);
        let has_restarted = group.endpoints.get(&id).is_some_and(|endpoint| {
            endpoint.entry.address != entry.address
                || endpoint.entry.incarnation != entry.incarnation
        });
        if has_restarted {
            self.remove_endpoint(&service, &id, "endpoint restarted or moved to another address");
        }
        let group = self.groups.entry(service.clone()).or_default();
        let is_role_unexpected = (entry.role == Role::Primary) != is_primary;
        match group.endpoints.get_mut(&id) {
            Some(endpoint) => {
                if entry.leaving {
                    endpoint.draining_since.get_or_insert(now);
                } else {
                    endpoint.draining_since = None;
                }
                endpoint.entry = entry;
            }
            None => {
                group.endpoints.insert(id.clone(), Endpoint::new(entry, expected_time, now));
            }
        }
        group.is_replicated |= group.endpoints.len() > 1;
        group.peak_size = group.peak_size.max(group.endpoints.len());
        if group.primary.is_none() {
            group.without_primary_since.get_or_insert(now);
        }
        if is_role_unexpected && self.uses_group(&service) {
            self.request_status(&service, &id);
        }
    }

    fn on_endpoint_removed(&mut self, entry: &Entry) {
        info!(
            service = %entry.service, endpoint = %entry.id,
            "endpoint was removed from the directory; closing its connections"
        );
        self.remove_endpoint(&entry.service, &entry.id, "endpoint was removed from the directory");
    }

    fn remove_endpoint(&mut self, service: &ServiceName, id: &EndpointId, why: &str) {
        let now = self.now;
        for connection in self.connection_ids(service, id) {
            self.disconnect(connection, why);
        }
        if let Some(group) = self.groups.get_mut(service) {
            group.endpoints.remove(id);
            if group.is_primary(id) {
                group.clear_primary(now);
            }
        }
    }

    fn connection_ids(&self, service: &ServiceName, id: &EndpointId) -> Vec<ConnectionId> {
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

    fn connect(&mut self, service: &ServiceName, id: &EndpointId, customer: Option<CustomerName>) {
        let Some(entry) = self.groups.get(service).and_then(|group| group.endpoints.get(id)) else {
            return;
        };
        let entry = entry.entry.clone();
        let connection = self.next_connection;
        self.next_connection += 1;
        let state = Connection::new(connection, service.clone(), id.clone(), self.now)
            .with_customer(customer.clone());
        self.connections.insert(connection, state);
        if let Some(endpoint) = self.endpoint_mut(service, id) {
            endpoint.connections.push(connection);
        }
        let action = match database_of(service) {
            Some(database) => {
                let database = database.to_owned();
                let group = self.groups.get(service);
                let key = group.and_then(|group| group.key);
                let customer = group.and_then(|group| group.customer.clone());
                let introduction = Introduction { version: self.seen_version, customer };
                Action::OpenChannel { connection, entry, database, key, introduction }
            }
            None => Action::Connect { connection, entry, customer },
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
    fn expected_read_time(&self, failure_domain: &str) -> Time {
        /// Round trip and processing within a failure domain, within a region, and between regions.
        const SAME_DOMAIN: Time = Time::from_millis(20);
        const SAME_REGION: Time = Time::from_millis(24);
        const OTHER_REGION: Time = Time::from_millis(38);
        let region = |name: &str| self.settings.regions.get(name);
        if failure_domain == self.settings.failure_domain {
            SAME_DOMAIN
        } else if region(failure_domain).is_some()
            && region(failure_domain) == region(&self.settings.failure_domain)
        {
            SAME_REGION
        } else {
            OTHER_REGION
        }
    }

    fn refuse(&mut self, session: SessionId, fault: Fault, code: Code, retry: Option<Time>) {
        metrics::counter!("refusals_total", "code" => format!("T{}", code as u16)).increment(1);
        let outcome = crate::message::Outcome::refusal(fault, code, retry);
        self.reply_outcome(session, outcome);
    }
}
