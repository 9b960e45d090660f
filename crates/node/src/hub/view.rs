//! View of the fleet: the nodes that the platform lists, corrected by the state of links.
//!
//! A peer that cannot be reached is *suspected*: for a while it owns no databases.
//! A peer also owns none while it drains.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use futures_channel::mpsc;
use tamarackbend_objects::api::Vm;
use tamarackbend_policy::owner::Event;
use tamarackbend_policy::ownership::{self, Candidate, VmId};
use tamarackbend_policy::relay_tree;
use tamarackbend_wire::{Frame, Heartbeat, Hello, OpinionRequest, Peer, ViewChange, frame::Body};
use tracing::info;

use super::{Hub, Message, Vote, VoteRequest};
use crate::link::Link;
use crate::owner;

/// Time for which a peer that could not be reached owns no databases.
const SUSPECT_DURATION: Duration = Duration::from_secs(3);
/// Silence of a peer with outstanding statements after which this node sends it a heartbeat.
const HEARTBEAT_AFTER_SILENCE: Duration = Duration::from_millis(700);
/// Silence of a peer with outstanding statements after which its link is closed.
const MAX_SILENCE: Duration = Duration::from_millis(2000);
/// Time for which a peer's announcement that it drains counts.
const DRAINING_PEER_DURATION: Duration = Duration::from_secs(60);
/// Peers with which a node compares configuration versions.
const MAX_NEIGHBOURS: usize = 6;
/// Time for which a peer that has connected stays in the view although the platform does not list
/// it.
const CONNECTED_PEER_DURATION: Duration = Duration::from_secs(30);
/// Peers that are asked whether they reach an endpoint.
const MAX_VOTERS: usize = 3;
/// Time that peers have to vote.
const VOTE_TIMEOUT: Duration = Duration::from_millis(300);

impl Hub {
    /// Returns the nodes that may own databases.
    pub(super) fn candidates(&self) -> Vec<Candidate> {
        let is_available_peer = |vm: &&Vm| {
            let is_draining = vm.draining || self.draining_peers.contains_key(&vm.name);
            let is_own = vm.name == self.settings.vm;
            !is_own && !is_draining && !self.suspected_peers.contains_key(&vm.name)
        };
        let candidate =
            |vm: &Vm| Candidate { vm: vm.name.clone(), failure_domain: vm.failure_domain.clone() };
        let mut candidates: Vec<Candidate> =
            self.vms.values().filter(is_available_peer).map(candidate).collect();
        let is_listed = self.vms.is_empty() || self.vms.contains_key(&self.settings.vm);
        if (is_listed && self.draining_since.is_none()) || candidates.is_empty() {
            let (vm, failure_domain) =
                (self.settings.vm.clone(), self.settings.failure_domain.clone());
            candidates.push(Candidate { vm, failure_domain });
        }
        candidates
    }

    /// Returns the node that owns `database`, none if the database is not configured.
    pub(super) fn owner_of(&self, database: &str) -> Option<VmId> {
        self.table.owner(database).cloned()
    }

    /// Recomputes the owners of databases and the neighbours after the view has changed.
    pub(super) fn on_view_changed(&mut self) {
        let candidates = self.candidates();
        let order = relay_tree::order(&candidates, &self.settings.failure_domain);
        self.domain_order = order.into_iter().cloned().collect();
        self.neighbours = self.choose_neighbours();
        if self.table.set_candidates(candidates) {
            self.sync_owners();
        }
        if self.config.version == 0 {
            self.request_config();
        }
    }

    /// Recomputes the owners of databases after the configuration has changed.
    pub(super) fn on_databases_changed(&mut self) {
        let databases = self.config.document.databases().map(|(_, database)| {
            let first_endpoint = database.endpoints.first();
            (database.name.clone(), first_endpoint.map(|endpoint| endpoint.failure_domain.clone()))
        });
        self.table.set_databases(databases);
        self.sync_owners();
    }

    /// Returns the local owner of `database`, which is started if there is none; none if the
    /// database is not configured.
    pub(super) fn local_owner(&mut self, database: &str) -> Option<&owner::Handle> {
        if !self.owners.contains_key(database) {
            let (service, database_config) = self.config.document.database(database)?;
            let setup = owner::Setup {
                service: service.clone(),
                database: database_config.clone(),
                failure_domain: self.settings.failure_domain.clone(),
                region: self.region(&self.settings.failure_domain),
                endpoint_regions: database_config
                    .endpoints
                    .iter()
                    .map(|endpoint| self.region(&endpoint.failure_domain))
                    .collect(),
                answer_bytes: self.settings.limits.answer_bytes,
                statement_timeout: self.settings.limits.statement_timeout,
                variant: self.variant,
            };
            let handle = owner::start(setup, self.platform.clone(), self.sender.clone());
            self.owners.insert(database.to_owned(), handle);
        }
        self.owners.get(database)
    }

    /// Starts local owners of the databases that this node owns and retires all other owners.
    fn sync_owners(&mut self) {
        let is_own = |owner: Option<&VmId>| owner == Some(&self.settings.vm);
        let without_owner: Vec<String> = self
            .table
            .owners()
            .filter(|(name, owner)| is_own(*owner) && !self.owners.contains_key(*name))
            .map(|(name, _)| name.to_owned())
            .collect();
        for name in &without_owner {
            self.connect_to_previous_owner(name);
            self.local_owner(name);
        }
        for (name, owner) in &mut self.owners {
            owner.set_retired(self.table.owner(name) != Some(&self.settings.vm));
        }
    }

    /// Stops owners that have retired and those of databases that are no longer configured.
    pub(super) fn remove_owners(&mut self) {
        let should_stop = |name: &str, owner: &owner::Handle| {
            owner.is_finished() || self.config.document.database(name).is_none()
        };
        let stopped_names: Vec<String> = self
            .owners
            .iter()
            .filter(|(name, owner)| should_stop(name, owner))
            .map(|(name, _)| name.clone())
            .collect();
        for name in stopped_names {
            self.owners.remove(&name);
            self.owner_states.remove(&name);
        }
    }

    fn region(&self, failure_domain: &str) -> String {
        self.config.document.region(failure_domain).unwrap_or_default().to_owned()
    }

    /// Replaces the view by the platform's list; peers that have just connected stay in the view.
    ///
    /// Only watchers read the list often; they send the differences to the other nodes.
    pub(super) fn apply_vm_list(&mut self, vms: Vec<Vm>) {
        let now = Instant::now();
        self.connected_peers.retain(|_, (_, until)| *until > now);
        let listed: BTreeMap<VmId, Vm> = vms.into_iter().map(|vm| (vm.name.clone(), vm)).collect();
        let had_list = !self.vms.is_empty();
        let changed = listed.values().filter(|vm| self.vms.get(&vm.name) != Some(*vm));
        let removed = self.vms.keys().filter(|name| {
            !listed.contains_key(*name) && !self.connected_peers.contains_key(*name)
        });
        let change = ViewChange {
            changed: changed.map(peer_of_vm).collect(),
            gone: removed.cloned().collect(),
        };
        if had_list && self.is_watcher() {
            self.send_to_children(Body::ViewChange(change.clone()));
        }
        self.apply_view_change(change);
    }

    /// Applies a peer's change of the view, and sends the part that is new to this node
    /// down the relay tree.
    pub(super) fn handle_view_change(&mut self, mut change: ViewChange) {
        change.changed.retain(|peer| {
            let current = self.vms.get(&peer.vm);
            current.is_none_or(|vm| vm.draining != peer.leaving)
        });
        change.gone.retain(|vm| self.vms.contains_key(vm));
        if !change.changed.is_empty() || !change.gone.is_empty() {
            self.send_to_children(Body::ViewChange(change.clone()));
            self.apply_view_change(change);
        }
    }

    fn apply_view_change(&mut self, change: ViewChange) {
        if change.changed.is_empty() && change.gone.is_empty() {
            return;
        }
        for vm in &change.gone {
            self.vms.remove(vm);
        }
        for vm in change.changed.into_iter().filter_map(vm_of_peer) {
            self.vms.insert(vm.name.clone(), vm);
        }
        self.on_view_changed();
    }

    /// Adds a peer that has connected to the view; the platform may not list it yet.
    pub(super) fn add_connected_peer(&mut self, hello: Hello) {
        let Ok(peer_address) = hello.peer_address.parse() else {
            return;
        };
        let Hello { vm: name, failure_domain, .. } = hello;
        let vm = Vm { name: name.clone(), failure_domain, peer_address, draining: false };
        self.connected_peers
            .insert(name.clone(), (vm.clone(), Instant::now() + CONNECTED_PEER_DURATION));
        if self.vms.insert(name, vm).is_none() {
            self.on_view_changed();
        }
    }

    /// Returns the few peers with which this node compares configuration versions.
    ///
    /// The choice depends on the names alone, so that the number of links stays bounded.
    fn choose_neighbours(&self) -> Vec<VmId> {
        let mut peers = self.other_vms();
        peers.sort_by_cached_key(|peer| {
            let candidate = Candidate { vm: peer.clone(), failure_domain: String::new() };
            ownership::score(&self.settings.vm, &candidate, None).to_bits()
        });
        peers.truncate(MAX_NEIGHBOURS);
        peers
    }

    /// Dials the node that owned `database` before this one, so that the previous owner learns of this
    /// node.
    fn connect_to_previous_owner(&mut self, database: &str) {
        let Some((_, database_config)) = self.config.document.database(database) else {
            return;
        };
        let first_endpoint = database_config.endpoints.first();
        let preferred_domain = first_endpoint.map(|endpoint| endpoint.failure_domain.as_str());
        let others = self.table.candidates();
        let others = others.filter(|candidate| candidate.vm != self.settings.vm);
        let previous_owner = ownership::choose_owner(database, others, preferred_domain);
        if let Some(vm) = previous_owner.map(|candidate| candidate.vm.clone()) {
            self.link_to(&vm);
        }
    }

    pub(super) fn other_vms(&self) -> Vec<VmId> {
        self.vms.keys().filter(|vm| **vm != self.settings.vm).cloned().collect()
    }

    /// Returns whether this node watches the platform on behalf of its failure domain.
    ///
    /// A node that the platform does not list yet watches for itself.
    pub(super) fn is_watcher(&self) -> bool {
        if !self.vms.contains_key(&self.settings.vm) {
            return true;
        }
        let order: Vec<&VmId> = self.domain_order.iter().collect();
        relay_tree::is_watcher(&order, &self.settings.vm)
    }

    /// Marks a peer as suspected for [`SUSPECT_DURATION`].
    pub(super) fn suspect(&mut self, vm: &VmId) {
        if self.suspected_peers.insert(vm.clone(), Instant::now() + SUSPECT_DURATION).is_none() {
            info!(
                vm = self.settings.vm,
                peer = vm,
                "peer cannot be reached and is suspected; other nodes own its databases for now"
            );
            self.on_view_changed();
        }
    }

    /// Removes the marks of suspected and of draining peers that have expired.
    pub(super) fn expire_peer_marks(&mut self) {
        let now = Instant::now();
        let count_before = self.suspected_peers.len() + self.draining_peers.len();
        self.suspected_peers.retain(|_, until| *until > now);
        self.draining_peers.retain(|_, until| *until > now);
        if self.suspected_peers.len() + self.draining_peers.len() != count_before {
            self.on_view_changed();
        }
    }

    pub(super) fn on_link_connected(&mut self, link: Link) {
        let body = Body::Heartbeat(self.own_heartbeat());
        link.send(Frame::new(body));
        if self.suspected_peers.remove(&link.vm).is_some() {
            self.on_view_changed();
        }
        if !self.links.contains_key(&link.vm) {
            self.links.insert(link.vm.clone(), link);
        } else if let Some(existing) = self.links.get_mut(&link.vm) {
            match existing.id == link.id {
                true => existing.is_connected = true,
                false => existing.add_receive_only(link),
            }
        }
    }

    pub(super) fn on_link_closed(&mut self, vm: &VmId, id: u64) {
        let Some(link) = self.links.get_mut(vm) else {
            return;
        };
        if link.id != id {
            return link.remove_receive_only(id);
        }
        let was_connected = link.is_connected;
        self.links.remove(vm);
        self.suspect(vm);
        self.resolve_lost_statements(vm, was_connected);
        let peer_sessions: Vec<u64> = self
            .remote_sessions
            .iter()
            .filter(|(_, client_node)| *client_node == vm)
            .map(|(session, _)| *session)
            .collect();
        for session in peer_sessions {
            self.remote_sessions.remove(&session);
            for owner in self.owners.values() {
                owner.send(owner::Message::EndSession(session));
            }
        }
        self.on_view_changed();
    }

    /// Sends heartbeats to silent peers with outstanding statements, and closes links to peers that
    /// stay silent.
    pub(super) fn check_links(&mut self) {
        let now = Instant::now();
        let awaited_vms: Vec<VmId> = self
            .outstanding
            .values()
            .filter(|outstanding| now.duration_since(outstanding.sent_at) > HEARTBEAT_AFTER_SILENCE)
            .map(|outstanding| outstanding.target.clone())
            .collect();
        let heartbeat = self.own_heartbeat();
        let mut lost_links = Vec::new();
        for (vm, link) in &mut self.links {
            let silence = now.duration_since(link.last_received_at);
            if !awaited_vms.contains(vm) || silence < HEARTBEAT_AFTER_SILENCE {
                link.heartbeat_sent_at = None;
                continue;
            }
            match link.heartbeat_sent_at {
                None => {
                    link.heartbeat_sent_at = Some(now);
                    link.send(Frame::new(Body::Heartbeat(heartbeat.clone())));
                }
                Some(sent_at)
                    if now.duration_since(sent_at) > MAX_SILENCE - HEARTBEAT_AFTER_SILENCE =>
                {
                    lost_links.push((vm.clone(), link.id));
                }
                Some(_) => {}
            }
        }
        for (vm, id) in lost_links {
            self.on_link_closed(&vm, id);
        }
    }

    pub(super) fn own_heartbeat(&self) -> Heartbeat {
        Heartbeat {
            config_version: self.config.version,
            leaving: self.draining_since.is_some(),
            endpoints_leaving: Vec::new(),
        }
    }

    pub(super) fn handle_heartbeat(&mut self, vm: &VmId, heartbeat: &Heartbeat) {
        if heartbeat.leaving
            && self
                .draining_peers
                .insert(vm.clone(), Instant::now() + DRAINING_PEER_DURATION)
                .is_none()
        {
            self.on_view_changed();
        }
        self.compare_versions(vm, heartbeat.config_version);
    }

    /// Asks peers whether they reach an endpoint, first those in other failure domains.
    ///
    /// The owner gets the result when all of them have voted, one of them reaches the endpoint or
    /// [`VOTE_TIMEOUT`] has passed.
    pub(super) fn request_votes(
        &mut self,
        database: &str,
        endpoint: usize,
        reply: mpsc::UnboundedSender<owner::Message>,
    ) {
        let request_id = self.next_vote_request;
        self.next_vote_request += 1;
        let own_domain = self.settings.failure_domain.clone();
        let mut peers = self.candidates();
        peers.retain(|peer| peer.vm != self.settings.vm);
        peers.sort_by_key(|peer| {
            let is_connected = self.links.get(&peer.vm).is_some_and(|link| link.is_connected);
            (peer.failure_domain == own_domain, !is_connected)
        });
        let voters = peers.iter().take(MAX_VOTERS).map(|peer| peer.vm.clone()).collect::<Vec<_>>();
        let request = OpinionRequest {
            question: request_id,
            database: database.to_owned(),
            endpoint: endpoint as u32,
        };
        let mut pending = 0;
        for vm in &voters {
            pending += usize::from(self.send(vm, Body::OpinionRequest(request.clone())));
        }
        let deadline = Instant::now() + VOTE_TIMEOUT;
        self.vote_requests.insert(request_id, VoteRequest { pending, reached: 0, deadline, reply });
        self.finish_vote_request(request_id);
    }

    pub(super) fn handle_vote(&mut self, request_id: u64, reached: bool) {
        if let Some(request) = self.vote_requests.get_mut(&request_id) {
            request.pending = request.pending.saturating_sub(1);
            request.reached += usize::from(reached);
            self.finish_vote_request(request_id);
        }
    }

    pub(super) fn expire_vote_requests(&mut self) {
        let now = Instant::now();
        for request in self.vote_requests.values_mut().filter(|request| request.deadline <= now) {
            request.pending = 0;
        }
        for request_id in self.vote_requests.keys().copied().collect::<Vec<_>>() {
            self.finish_vote_request(request_id);
        }
    }

    /// Reports the result of a vote request, if it is decided, to the owner that made the request.
    fn finish_vote_request(&mut self, request_id: u64) {
        if self
            .vote_requests
            .get(&request_id)
            .is_some_and(|request| request.pending == 0 || request.reached > 0)
            && let Some(request) = self.vote_requests.remove(&request_id)
        {
            let event = Event::Votes { against: request.reached };
            // The owner may have stopped.
            let _ = request.reply.unbounded_send(owner::Message::Event(event));
        }
    }

    /// Answers a peer's vote request from a separate task.
    pub(super) fn handle_vote_request(&mut self, vm: VmId, request: &OpinionRequest) {
        let request_id = request.question;
        let Some(address) = self.endpoint_address(&request.database, request.endpoint as usize)
        else {
            return;
        };
        let (sender, database) = (self.sender.clone(), request.database.clone());
        let domain = self.settings.failure_domain.clone();
        compio::runtime::spawn(async move {
            let reached = owner::can_reach(address, &database, &domain).await;
            let vote = Vote { request_id, reached };
            let _ = sender.unbounded_send(Message::VoteReady { vm, vote });
        })
        .detach();
    }
}

fn peer_of_vm(vm: &Vm) -> Peer {
    Peer {
        vm: vm.name.clone(),
        failure_domain: vm.failure_domain.clone(),
        peer_address: vm.peer_address.to_string(),
        leaving: vm.draining,
    }
}

fn vm_of_peer(peer: Peer) -> Option<Vm> {
    let Peer { vm: name, failure_domain, peer_address, leaving } = peer;
    Some(Vm { name, failure_domain, peer_address: peer_address.parse().ok()?, draining: leaving })
}
