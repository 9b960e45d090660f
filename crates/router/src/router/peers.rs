//! Sessions that other nodes serve.
//!
//! In a large fleet only some nodes, the poolers, hold connections to endpoints, each of them for some
//! databases. Any other node sends the statements of its clients over channels to poolers. For each
//! database, its poolers form a remote group in which they take the place of endpoints, so that
//! placement, retries and the handling of lost connections work as for endpoints. The node keeps the session's values and
//! replays them on another channel, so that the loss of a pooler does not end the session.

use std::collections::{BTreeMap, BTreeSet};

use tamarackbend_policy::code::Code;
use tracing::info;

use super::{Action, Router, WatchScope};
use crate::configuration::{Consistency, Route};
use crate::customer::KeyDigest;
use crate::directory::Entry;
use crate::endpoint::Endpoint;
use crate::group::Group;
use crate::membership::{self, Peer};
use crate::message::{ConnectionId, EndpointId, Fault, Role, ServiceName, SessionId, Time};
use crate::session::Need;
use crate::settings::{CHANNEL_TIMEOUT, REMOTE_TIMEOUT, SESSION_START_TIMEOUT};

use super::dispatch::Placement;

/// Prefix of the names of remote groups; names of services cannot have it.
const REMOTE_PREFIX: &str = "\0peers/";
/// Separates the number of a remote group from the database, which may hold any text.
const NUMBER_SEPARATOR: char = '/';
/// Added to the rank of poolers of other regions, which are used only after all of the own region.
const OTHER_REGION_RANK: u64 = 100;
/// Time that a read of the list of nodes usually takes; most nodes learn from it that they need no
/// watches of their own.
const FLEET_READ_TIME: Time = Time::from_millis(120);
/// Time for the fleet to become known, after which a node serves its clients itself.
const ROLE_TIMEOUT: Time = Time::from_millis(2500);
/// Opening time of a channel after which new work is sent to another node: some round trips between
/// regions.
const SLOW_CHANNEL_AFTER: Time = Time::from_millis(120);
/// Number of groups for which a node holds connections before they are used. A fleet with more groups
/// has few requests for each, and opens connections with the first.
const MAX_PREPARED_GROUPS: usize = 64;
/// Time without requests after which a pooler closes its connections to the endpoints of a group that
/// it is not responsible for.
const UNUSED_GROUP_AFTER: Time = Time::from_secs(30);
/// Time without sessions after which a remote group is removed.
const REMOTE_GROUP_IDLE: Time = Time::from_secs(30);

impl Router {
    pub(super) fn on_peers_changed(&mut self, peers: Vec<Peer>) {
        let mut peers = peers;
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        if peers == self.peers {
            return;
        }
        let poolers: Vec<Peer> = membership::poolers(&peers).into_iter().cloned().collect();
        let is_pooler = poolers.iter().any(|peer| *peer.name == *self.settings.node);
        if self.is_pooler != Some(is_pooler) || self.poolers.len() != poolers.len() {
            info!(
                nodes = peers.len(),
                holders = poolers.len(),
                holds = is_pooler,
                "poolers of the fleet changed"
            );
        }
        self.peers = peers;
        let serves_all_databases = poolers.len() == self.peers.len() || self.settings.has_customers;
        self.holder_count = match serves_all_databases {
            true => poolers.len(),
            false => membership::poolers_of_database(&poolers),
        };
        self.poolers = poolers;
        self.is_pooler = Some(is_pooler);
        self.update_own_services();
        self.update_limits();
        self.update_watch_scope();
        let services: Vec<ServiceName> =
            self.groups.iter().filter(|(_, g)| g.is_remote).map(|(name, _)| name.clone()).collect();
        for service in services {
            self.update_remote_group(&service);
        }
    }

    /// Returns whether every node serves its own clients, as far as this node knows.
    pub(super) fn is_direct(&self) -> bool {
        self.poolers.len() == self.peers.len()
    }

    /// Returns whether this node is one of those that hold connections for `database`.
    fn is_responsible(&self, database: &str) -> bool {
        self.is_direct() || membership::is_responsible(&self.poolers, &self.settings.node, database)
    }

    /// Returns whether this node, as a pooler, serves its own clients of `database`, because it is
    /// responsible for the database, reaches no other pooler of its failure domain, or reaches none of the
    /// nodes that serve the database.
    pub(super) fn serves_clients_of(&self, database: &str) -> bool {
        let is_near = |peer: &&Peer| {
            peer.failure_domain == self.settings.failure_domain && *peer.name != *self.settings.node
        };
        self.is_responsible(database)
            || self.poolers.iter().filter(is_near).all(|peer| self.has_failed(&peer.name))
            || self.substitutes_for(database)
    }

    /// Returns whether another node does not answer, as far as this node knows.
    pub(super) fn has_failed(&self, node: &EndpointId) -> bool {
        let groups = self.groups.values().filter(|group| group.is_remote);
        let mut endpoints = groups.filter_map(|group| group.endpoints.get(node));
        endpoints.any(|endpoint| endpoint.suspected_since.is_some())
    }

    /// Determines the services for which this node holds connections even before they are used.
    pub(super) fn update_own_services(&mut self) {
        let routes = self.configuration.iter().flat_map(|configuration| &configuration.routes);
        let own_routes = routes.filter(|(database, _)| self.is_responsible(database));
        self.own_services = own_routes.map(|(_, route)| route.service.clone()).collect();
    }

    /// Returns whether this node holds connections to the endpoints of a group: for the databases that
    /// it is responsible for, unless they are many, and for those that it was asked to serve lately.
    pub(super) fn uses_group(&self, service: &ServiceName) -> bool {
        let Some(group) = self.groups.get(service) else { return false };
        let was_used = group.last_request_at > Time::ZERO
            && self.now < group.last_request_at + UNUSED_GROUP_AFTER;
        was_used
            || group.failover.is_some()
            || (self.own_services.len() <= MAX_PREPARED_GROUPS
                && self.own_services.contains(service))
            || (self.is_direct() && self.configuration.is_none())
    }

    /// Prepares a restarted node to serve its clients itself if the fleet does not become known soon.
    /// At the first start of the whole system there are no clients yet.
    pub(super) fn prepare_without_fleet(&mut self) {
        if self.is_pooler.is_none()
            && self.watch_scope == WatchScope::Nothing
            && !self.settings.is_first_start
            && self.now >= self.started_at + FLEET_READ_TIME
        {
            self.watch_scope = WatchScope::OwnClients;
            self.actions.push(Action::WatchStore(self.watch_scope));
        }
    }

    /// Returns whether the fleet is unknown and the node must not act as a pooler yet.
    pub(super) fn is_role_undecided(&self) -> bool {
        self.is_pooler.is_none() && self.now < self.started_at + ROLE_TIMEOUT
    }

    pub(super) fn on_peer_store_notice(&mut self, peer: EndpointId, is_unreachable: bool) {
        info!(%peer, is_away = is_unreachable, "peer reported whether the store is unreachable");
        match is_unreachable {
            true => self.peers_without_store.insert(peer),
            false => self.peers_without_store.remove(&peer),
        };
    }

    /// Updates the nodes of a remote group to the fleet's current poolers.
    pub(super) fn update_remote_group(&mut self, service: &ServiceName) {
        let now = self.now;
        let ranked_poolers = self.ranked_poolers(service);
        let poolers: Vec<Peer> = ranked_poolers.iter().map(|(peer, _)| peer.clone()).collect();
        let Some(group) = self.groups.get(service) else { return };
        let removed: Vec<EndpointId> = group
            .endpoints
            .iter()
            .filter(|(_, endpoint)| {
                !poolers.iter().any(|peer| matches_entry(peer, &endpoint.entry))
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in removed {
            self.remove_endpoint(
                service,
                &id,
                "the node no longer serves the database or has moved to another address",
            );
        }
        for (peer, rank) in ranked_poolers {
            let expected_time = self.expected_read_time(&peer.failure_domain);
            let entry = Entry {
                id: peer.name.clone(),
                service: service.clone(),
                address: peer.address,
                failure_domain: peer.failure_domain.clone(),
                leaving: false,
                role: Role::Primary,
                incarnation: 0,
            };
            if let Some(group) = self.groups.get_mut(service) {
                let endpoint = group
                    .endpoints
                    .entry(peer.name.clone())
                    .or_insert_with(|| Endpoint::new(entry, expected_time, now));
                endpoint.rank = rank;
            }
        }
    }

    /// Returns the other nodes that serve a remote group, each with its rank.
    fn ranked_poolers(&self, service: &ServiceName) -> Vec<(Peer, (u64, u64))> {
        let database = database_of(service).unwrap_or_default();
        let group = self.groups.get(service);
        let key = group.and_then(|group| group.key);
        let mut ranked = Vec::new();
        if let Some(key) = key {
            // Until the customer is known, any pooler can report it.
            let customer = group.and_then(|group| group.customer.clone());
            let name = customer.unwrap_or_else(|| encode_hex(key.as_bytes()).into());
            let own_region = self.settings.region_of(&self.settings.failure_domain);
            let mut previous_region = None;
            let mut place = 0;
            for peer in self.poolers_of(&name) {
                let region = self.settings.region_of(&peer.failure_domain);
                place = if previous_region == Some(region) { place + 1 } else { 0 };
                previous_region = Some(region);
                let is_remote_region = u64::from(region != own_region);
                let (_, hash) = membership::rank(peer, &name, 0);
                let rank = (is_remote_region * OTHER_REGION_RANK + place, hash);
                ranked.push((peer.clone(), rank));
            }
        } else {
            for peer in membership::responsible_poolers(&self.poolers, database) {
                let distance = self.expected_read_time(&peer.failure_domain).as_millis() as u64;
                ranked.push((peer.clone(), membership::rank(peer, database, distance)));
            }
        }
        ranked.retain(|(peer, _)| *peer.name != *self.settings.node);
        ranked
    }

    /// Starts a session that another node serves.
    pub(super) fn start_remote_session(&mut self, id: SessionId, database: &str) {
        let key = self.sessions.get(&id).and_then(|session| session.key);
        let service = self.remote_service(database, key);
        if !self.groups.contains_key(&service) {
            let own_customer = key.and_then(|key| self.identify(&key));
            let customer =
                own_customer.or_else(|| key.and_then(|key| self.reported_customer(&key)));
            let group = Group { is_remote: true, key, customer, ..Group::default() };
            self.groups.insert(service.clone(), group);
            self.update_remote_group(&service);
        }
        if let Some(session) = self.sessions.get_mut(&id) {
            session.serving_group = Some(service.clone());
        }
        self.enqueue(&service, id);
    }

    /// Returns the name of the remote group of a database, and of a key if clients are identified.
    fn remote_service(&mut self, database: &str, key: Option<KeyDigest>) -> ServiceName {
        let number = &mut self.next_remote_group;
        let name = self.remote_services.entry((database.to_owned(), key)).or_insert_with(|| {
            let name = format!("{REMOTE_PREFIX}{number}{NUMBER_SEPARATOR}{database}");
            *number += 1;
            name.into()
        });
        name.clone()
    }

    /// Accepts a session once a channel for its database is open, and rejects it at the timeout.
    pub(super) fn place_session(&mut self, service: &ServiceName, id: SessionId) -> Placement {
        let Some(session) = self.sessions.get(&id) else { return Placement::Done };
        if self.now >= session.last_active_at + SESSION_START_TIMEOUT {
            self.reject_session(id, Fault::Busy, Code::OwnerUnreachable);
            return Placement::Done;
        }
        let avoid_none = |_: &EndpointId| false;
        if self.choose_connection(service, Need::Primary, session, &avoid_none, false).is_some() {
            self.accept_session(id);
            return Placement::Done;
        }
        self.open_best_connection(service, Need::Primary, &[], None);
        Placement::StillWaiting
    }

    /// Rejects the starting sessions of a remote group whose database or key the serving node does not
    /// know, and refuses the statements that have not been sent. Statements that were sent may run at
    /// another node.
    pub(super) fn reject_unknown(&mut self, service: &ServiceName, fault: &Fault) {
        let code = match fault {
            Fault::Unauthorized => Code::UnknownKey,
            _ => Code::NoSuchDatabase,
        };
        let Some(group) = self.groups.get(service) else { return };
        let starting_sessions: Vec<SessionId> = group
            .waiting_sessions
            .iter()
            .filter(|id| self.sessions.get(id).is_some_and(|session| !session.is_accepted))
            .copied()
            .collect();
        let open_sessions: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| {
                session.is_accepted && session.serving_group.as_ref() == Some(service)
            })
            .filter(|(_, session)| session.has_unsent_statement())
            .map(|(id, _)| *id)
            .collect();
        for id in starting_sessions {
            self.reject_session(id, fault.clone(), code);
        }
        for id in open_sessions {
            self.fail_transaction(id);
            self.refuse(id, fault.clone(), code, None);
        }
    }

    pub(super) fn is_remote(&self, service: &ServiceName) -> bool {
        database_of(service).is_some()
    }

    /// Closes channels that do not open in time, reconnects to failed nodes, and removes unused
    /// remote groups.
    pub(super) fn check_peers(&mut self) {
        let now = self.now;
        let opening_channels =
            self.connections.values().filter(|c| !c.is_established && self.is_remote(&c.service));
        let slow_channels = opening_channels.filter(|c| {
            now >= c.requested_at + SLOW_CHANNEL_AFTER
                && !self.has_answered_since(&c.endpoint, c.requested_at)
        });
        self.slow_peers = slow_channels.map(|c| c.endpoint.clone()).collect();
        let expired_channels: Vec<ConnectionId> = self
            .connections
            .values()
            .filter(|c| {
                !c.is_established
                    && self.is_remote(&c.service)
                    && now >= c.requested_at + CHANNEL_TIMEOUT
            })
            .map(|c| c.id)
            .collect();
        for id in expired_channels {
            let Some(connection) = self.connections.get(&id) else { continue };
            let (service, peer) = (connection.service.clone(), connection.endpoint.clone());
            if !self.has_answered_since(&peer, connection.requested_at) {
                self.mark_peer_failed(&peer);
            } else if let Some(endpoint) = self.endpoint_mut(&service, &peer) {
                endpoint.record_failure(now);
            }
            self.disconnect(id, "channel was not opened in time");
        }
        self.check_substitution();
        self.reconnect_to_suspects();
        self.remove_idle_remote_groups();
        self.check_departures();
    }

    /// Returns whether a node has answered for any database since `since`. If so, a channel that
    /// does not open may only wait for a configuration at that node.
    fn has_answered_since(&self, peer: &EndpointId, since: Time) -> bool {
        let groups = self.groups.values().filter(|group| group.is_remote);
        groups
            .filter_map(|group| group.endpoints.get(peer))
            .any(|endpoint| endpoint.last_heard_at > since)
    }

    /// Marks a node as failed in all remote groups.
    pub(super) fn mark_peer_failed(&mut self, peer: &EndpointId) {
        let now = self.now;
        for group in self.groups.values_mut().filter(|group| group.is_remote) {
            if let Some(endpoint) = group.endpoints.get_mut(peer) {
                endpoint.record_failure(now);
            }
        }
    }

    /// Marks a node as alive in all remote groups.
    pub(super) fn mark_peer_alive(&mut self, peer: &EndpointId) {
        let now = self.now;
        self.slow_peers.remove(peer);
        for group in self.groups.values_mut().filter(|group| group.is_remote) {
            if let Some(endpoint) = group.endpoints.get_mut(peer) {
                endpoint.record_contact(now);
            }
        }
    }

    /// Opens channels to failed nodes to find out whether they answer; no session waits for these.
    ///
    /// Databases without sessions are left out: they may not exist, and each channel for an unknown
    /// database makes the serving node read the configuration.
    fn reconnect_to_suspects(&mut self) {
        let now = self.now;
        let connecting: BTreeSet<&EndpointId> =
            self.connections.values().filter(|c| !c.is_established).map(|c| &c.endpoint).collect();
        let mut due: BTreeMap<EndpointId, Vec<ServiceName>> = BTreeMap::new();
        for (service, group) in self.groups.iter().filter(|(_, group)| group.is_remote) {
            for (id, endpoint) in &group.endpoints {
                if endpoint.is_retry_due(now) && !connecting.contains(id) {
                    due.entry(id.clone()).or_default().push(service.clone());
                }
            }
        }
        let has_sessions = |service: &ServiceName| {
            self.is_unserved(service)
                || self.sessions.values().any(|s| s.serving_group.as_ref() == Some(service))
        };
        let due: Vec<(EndpointId, ServiceName)> = due
            .into_iter()
            .filter_map(|(id, services)| Some((id, services.into_iter().find(&has_sessions)?)))
            .collect();
        for (id, service) in due {
            self.connect(&service, &id, None);
        }
    }

    fn remove_idle_remote_groups(&mut self) {
        let now = self.now;
        let unused: Vec<ServiceName> = self
            .groups
            .iter()
            .filter(|(_, group)| {
                group.is_remote && now >= group.last_request_at + REMOTE_GROUP_IDLE
            })
            .map(|(name, _)| name.clone())
            .filter(|name| !self.sessions.values().any(|s| s.serving_group.as_ref() == Some(name)))
            .collect();
        for service in unused {
            let connections = self.connections.values().filter(|c| c.service == service);
            let connections: Vec<ConnectionId> = connections.map(|c| c.id).collect();
            for connection in connections {
                self.disconnect(connection, "no session uses the database");
            }
            self.groups.remove(&service);
            self.remote_services.retain(|_, name| *name != service);
        }
    }
}

/// Returns the database of a remote group; none if the group is a service.
pub(super) fn database_of(service: &ServiceName) -> Option<&str> {
    let (_, database) = service.strip_prefix(REMOTE_PREFIX)?.split_once(NUMBER_SEPARATOR)?;
    Some(database)
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the route of sessions that another node serves; that node applies the configured route.
pub(super) fn remote_route(service: &ServiceName) -> Route {
    Route {
        service: service.clone(),
        consistency: Consistency::Session(REMOTE_TIMEOUT),
        timeout: REMOTE_TIMEOUT,
        objective: REMOTE_TIMEOUT,
        priority: 0,
        is_public: false,
    }
}

fn matches_entry(peer: &Peer, entry: &Entry) -> bool {
    peer.name == entry.id && peer.address == entry.address
}
