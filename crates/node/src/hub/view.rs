//! View of the fleet: the platform's list, corrected by what links show.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use futures_channel::mpsc;
use tamarackbend_objects::api::Vm;
use tamarackbend_policy::owner::Event;
use tamarackbend_policy::ownership::{self, Candidate, VmId};
use tamarackbend_policy::relay_tree;
use tamarackbend_wire::{Frame, Heartbeat, Hello, OpinionRequest, Peer, ViewChange, frame::Body};
use tracing::info;

use super::{Hub, Message, Opinion, Question};
use crate::link::Link;
use crate::owner;

/// Time for which a peer that could not be reached gets no databases.
const SUSPECT_TIME: Duration = Duration::from_secs(3);
/// Silence on a link with statements on their way after which the peer is asked for a sign.
const SILENCE: Duration = Duration::from_millis(700);
/// Silence after which the link is given up.
const LOST: Duration = Duration::from_millis(2000);
/// Time for which a peer's word that it is leaving holds.
const LEAVING_TIME: Duration = Duration::from_secs(60);
/// Peers with which a node compares versions.
const NEIGHBOURS: usize = 6;
/// Time for which a peer that has connected counts as listed.
const OBSERVED_TIME: Duration = Duration::from_secs(30);
/// Peers that are asked whether they reach an endpoint.
const OPINIONS: usize = 3;
/// Time that peers have to answer.
const OPINION_TIMEOUT: Duration = Duration::from_millis(300);

impl Hub {
    /// Returns the nodes that may own databases.
    pub(super) fn candidates(&self) -> Vec<Candidate> {
        let live = |vm: &&Vm| {
            let away = vm.leaving || self.leaving_peers.contains_key(&vm.name);
            let own = vm.name == self.settings.vm;
            !own && !away && !self.suspects.contains_key(&vm.name)
        };
        let candidate =
            |vm: &Vm| Candidate { vm: vm.name.clone(), failure_domain: vm.failure_domain.clone() };
        let mut candidates: Vec<Candidate> =
            self.vms.values().filter(live).map(candidate).collect();
        let listed = self.vms.is_empty() || self.vms.contains_key(&self.settings.vm);
        if (listed && self.draining.is_none()) || candidates.is_empty() {
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

    /// Takes the nodes that may own databases over into the table of owners.
    pub(super) fn view_changed(&mut self) {
        let candidates = self.candidates();
        let order = relay_tree::order(&candidates, &self.settings.failure_domain);
        self.domain_order = order.into_iter().cloned().collect();
        self.neighbours = self.choose_neighbours();
        if self.table.set_candidates(candidates) {
            self.sync_owners();
        }
        if self.config.version == 0 {
            self.ask_for_config();
        }
    }

    /// Takes the databases of the configuration over into the table of owners.
    pub(super) fn databases_changed(&mut self) {
        let databases = self.config.document.databases().map(|(_, database)| {
            let first = database.endpoints.first();
            (database.name.clone(), first.map(|endpoint| endpoint.failure_domain.clone()))
        });
        self.table.set_databases(databases);
        self.sync_owners();
    }

    /// Returns the local owner of `database`, which is started if there is none.
    pub(super) fn local_owner(&mut self, database: &str) -> Option<&owner::Handle> {
        if !self.owners.contains_key(database) {
            let (service, found) = self.config.document.database(database)?;
            let setup = owner::Setup {
                service: service.clone(),
                database: found.clone(),
                failure_domain: self.settings.failure_domain.clone(),
                region: self.region(&self.settings.failure_domain),
                regions: found
                    .endpoints
                    .iter()
                    .map(|endpoint| self.region(&endpoint.failure_domain))
                    .collect(),
                answer_bytes: self.settings.limits.answer_bytes,
                statement_timeout: self.settings.limits.statement_timeout,
                variant: self.variant,
            };
            let handle = owner::start(setup, self.client.clone(), self.sender.clone());
            self.owners.insert(database.to_owned(), handle);
        }
        self.owners.get(database)
    }

    /// Starts owners for the databases that are this node's and retires those that are not.
    fn sync_owners(&mut self) {
        let own = |owner: Option<&VmId>| owner == Some(&self.settings.vm);
        let owned: Vec<String> = self
            .table
            .owners()
            .filter(|(name, owner)| own(*owner) && !self.owners.contains_key(*name))
            .map(|(name, _)| name.to_owned())
            .collect();
        for name in &owned {
            self.greet_previous_owner(name);
            self.local_owner(name);
        }
        for (name, owner) in &mut self.owners {
            owner.retire(self.table.owner(name) != Some(&self.settings.vm));
        }
    }

    /// Removes owners that have retired and those of databases that are no longer configured.
    pub(super) fn remove_owners(&mut self) {
        let gone = |name: &str, owner: &owner::Handle| {
            owner.has_retired() || self.config.document.database(name).is_none()
        };
        let stopped: Vec<String> = self
            .owners
            .iter()
            .filter(|(name, owner)| gone(name, owner))
            .map(|(name, _)| name.clone())
            .collect();
        for name in stopped {
            self.owners.remove(&name);
            self.owner_states.remove(&name);
        }
    }

    fn region(&self, failure_domain: &str) -> String {
        self.config.document.region(failure_domain).unwrap_or_default().to_owned()
    }

    /// Takes the platform's list over, with the peers that it does not show yet.
    ///
    /// Only watchers read the list often; they pass the differences on.
    pub(super) fn set_vms(&mut self, vms: Vec<Vm>) {
        let now = Instant::now();
        self.observed.retain(|_, (_, until)| *until > now);
        let listed: BTreeMap<VmId, Vm> = vms.into_iter().map(|vm| (vm.name.clone(), vm)).collect();
        let known = !self.vms.is_empty();
        let changed = listed.values().filter(|vm| self.vms.get(&vm.name) != Some(*vm));
        let gone = self
            .vms
            .keys()
            .filter(|name| !listed.contains_key(*name) && !self.observed.contains_key(*name));
        let change =
            ViewChange { changed: changed.map(peer).collect(), gone: gone.cloned().collect() };
        if known && self.is_watcher() {
            self.pass_on(Body::ViewChange(change.clone()));
        }
        self.apply_view(change);
    }

    /// Takes over the differences that another node has seen, and passes on what is news.
    pub(super) fn view_change(&mut self, mut change: ViewChange) {
        change.changed.retain(|peer| {
            let known = self.vms.get(&peer.vm);
            known.is_none_or(|vm| vm.leaving != peer.leaving)
        });
        change.gone.retain(|vm| self.vms.contains_key(vm));
        if !change.changed.is_empty() || !change.gone.is_empty() {
            self.pass_on(Body::ViewChange(change.clone()));
            self.apply_view(change);
        }
    }

    fn apply_view(&mut self, change: ViewChange) {
        if change.changed.is_empty() && change.gone.is_empty() {
            return;
        }
        for vm in &change.gone {
            self.vms.remove(vm);
        }
        for vm in change.changed.into_iter().filter_map(listed_vm) {
            self.vms.insert(vm.name.clone(), vm);
        }
        self.view_changed();
    }

    /// Takes a peer into the view before the platform lists it.
    pub(super) fn observe_peer(&mut self, hello: Hello) {
        let Ok(peer_address) = hello.peer_address.parse() else {
            return;
        };
        let Hello { vm: name, failure_domain, .. } = hello;
        let vm = Vm { name: name.clone(), failure_domain, peer_address, leaving: false };
        self.observed.insert(name.clone(), (vm.clone(), Instant::now() + OBSERVED_TIME));
        if self.vms.insert(name, vm).is_none() {
            self.view_changed();
        }
    }

    /// Returns the few peers with which this node compares versions.
    ///
    /// The choice is fixed by the names, so that the number of links stays bounded.
    fn choose_neighbours(&self) -> Vec<VmId> {
        let mut peers = self.other_vms();
        peers.sort_by_cached_key(|peer| {
            let candidate = Candidate { vm: peer.clone(), failure_domain: String::new() };
            ownership::score(&self.settings.vm, &candidate, None).to_bits()
        });
        peers.truncate(NEIGHBOURS);
        peers
    }

    /// Tells the node that owned `database` before this one that it is here.
    fn greet_previous_owner(&mut self, database: &str) {
        let Some((_, found)) = self.config.document.database(database) else {
            return;
        };
        let preferred = found.endpoints.first().map(|endpoint| endpoint.failure_domain.as_str());
        let others = self.table.candidates();
        let others = others.filter(|candidate| candidate.vm != self.settings.vm);
        let previous = ownership::choose_owner(database, others, preferred);
        if let Some(vm) = previous.map(|previous| previous.vm.clone()) {
            self.link_to(&vm);
        }
    }

    pub(super) fn other_vms(&self) -> Vec<VmId> {
        self.vms.keys().filter(|vm| **vm != self.settings.vm).cloned().collect()
    }

    /// Returns whether this node reads the platform for its failure domain, or for itself as long
    /// as the platform does not list it.
    pub(super) fn is_watcher(&self) -> bool {
        if !self.vms.contains_key(&self.settings.vm) {
            return true;
        }
        let order: Vec<&VmId> = self.domain_order.iter().collect();
        relay_tree::is_watcher(&order, &self.settings.vm)
    }

    pub(super) fn suspect(&mut self, vm: &VmId) {
        if self.suspects.insert(vm.clone(), Instant::now() + SUSPECT_TIME).is_none() {
            info!(vm = self.settings.vm, peer = vm, "peer is suspected");
            self.view_changed();
        }
    }

    pub(super) fn expire_suspects(&mut self) {
        let now = Instant::now();
        let before = self.suspects.len() + self.leaving_peers.len();
        self.suspects.retain(|_, until| *until > now);
        self.leaving_peers.retain(|_, until| *until > now);
        if self.suspects.len() + self.leaving_peers.len() != before {
            self.view_changed();
        }
    }

    pub(super) fn link_up(&mut self, link: Link) {
        let body = Body::Heartbeat(self.own_heartbeat());
        link.send(Frame::new(body));
        if self.suspects.remove(&link.vm).is_some() {
            self.view_changed();
        }
        if !self.links.contains_key(&link.vm) {
            self.links.insert(link.vm.clone(), link);
        } else if let Some(known) = self.links.get_mut(&link.vm) {
            match known.id == link.id {
                true => known.connected = true,
                false => known.add_return_path(link),
            }
        }
    }

    pub(super) fn link_down(&mut self, vm: &VmId, id: u64) {
        let Some(link) = self.links.get_mut(vm) else {
            return;
        };
        if link.id != id {
            return link.remove_return_path(id);
        }
        let connected = link.connected;
        self.links.remove(vm);
        self.suspect(vm);
        self.settle_lost(vm, connected);
        let gone: Vec<u64> =
            self.remote_sessions.iter().filter(|(_, from)| *from == vm).map(|(s, _)| *s).collect();
        for session in gone {
            self.remote_sessions.remove(&session);
            for owner in self.owners.values() {
                owner.send(owner::Message::EndSession(session));
            }
        }
        self.view_changed();
    }

    /// Asks for a sign of life on links that are silent with statements on their way.
    pub(super) fn check_links(&mut self) {
        let now = Instant::now();
        let waiting: Vec<VmId> = self
            .outstanding
            .values()
            .filter(|outstanding| now.duration_since(outstanding.sent) > SILENCE)
            .map(|outstanding| outstanding.vm.clone())
            .collect();
        let heartbeat = self.own_heartbeat();
        let mut lost = Vec::new();
        for (vm, link) in &mut self.links {
            let silence = now.duration_since(link.heard);
            if !waiting.contains(vm) || silence < SILENCE {
                link.asked = None;
                continue;
            }
            match link.asked {
                None => {
                    link.asked = Some(now);
                    link.send(Frame::new(Body::Heartbeat(heartbeat.clone())));
                }
                Some(asked) if now.duration_since(asked) > LOST - SILENCE => {
                    lost.push((vm.clone(), link.id));
                }
                Some(_) => {}
            }
        }
        for (vm, id) in lost {
            self.link_down(&vm, id);
        }
    }

    pub(super) fn own_heartbeat(&self) -> Heartbeat {
        Heartbeat {
            config_version: self.config.version,
            leaving: self.draining.is_some(),
            endpoints_leaving: Vec::new(),
        }
    }

    pub(super) fn heartbeat(&mut self, vm: &VmId, heartbeat: &Heartbeat) {
        if heartbeat.leaving
            && self.leaving_peers.insert(vm.clone(), Instant::now() + LEAVING_TIME).is_none()
        {
            self.view_changed();
        }
        self.compare_versions(vm, heartbeat.config_version);
    }

    pub(super) fn ask_peers(
        &mut self,
        database: &str,
        endpoint: usize,
        reply: mpsc::UnboundedSender<owner::Message>,
    ) {
        let question = self.next_question;
        self.next_question += 1;
        let own_domain = self.settings.failure_domain.clone();
        let mut peers = self.candidates();
        peers.retain(|peer| peer.vm != self.settings.vm);
        peers.sort_by_key(|peer| {
            let connected = self.links.get(&peer.vm).is_some_and(|link| link.connected);
            (peer.failure_domain == own_domain, !connected)
        });
        let asked = peers.iter().take(OPINIONS).map(|peer| peer.vm.clone()).collect::<Vec<_>>();
        let request =
            OpinionRequest { question, database: database.to_owned(), endpoint: endpoint as u32 };
        let mut waiting = 0;
        for vm in &asked {
            waiting += usize::from(self.send(vm, Body::OpinionRequest(request.clone())));
        }
        let until = Instant::now() + OPINION_TIMEOUT;
        self.questions.insert(question, Question { waiting, denied: 0, until, reply });
        self.settle_question(question);
    }

    pub(super) fn opinion(&mut self, question: u64, reached: bool) {
        if let Some(asked) = self.questions.get_mut(&question) {
            asked.waiting = asked.waiting.saturating_sub(1);
            asked.denied += usize::from(reached);
            self.settle_question(question);
        }
    }

    pub(super) fn expire_questions(&mut self) {
        let now = Instant::now();
        for question in self.questions.values_mut().filter(|question| question.until <= now) {
            question.waiting = 0;
        }
        for question in self.questions.keys().copied().collect::<Vec<_>>() {
            self.settle_question(question);
        }
    }

    fn settle_question(&mut self, question: u64) {
        if self.questions.get(&question).is_some_and(|asked| asked.waiting == 0 || asked.denied > 0)
            && let Some(asked) = self.questions.remove(&question)
        {
            let event = Event::Votes { against: asked.denied };
            // The owner may have stopped.
            let _ = asked.reply.unbounded_send(owner::Message::Event(event));
        }
    }

    pub(super) fn opinion_request(&mut self, vm: VmId, request: &OpinionRequest) {
        let question = request.question;
        let Some(address) = self.endpoint_address(&request.database, request.endpoint as usize)
        else {
            return;
        };
        let (sender, database) = (self.sender.clone(), request.database.clone());
        let domain = self.settings.failure_domain.clone();
        compio::runtime::spawn(async move {
            let reached = owner::reaches(address, &database, &domain).await;
            let opinion = Opinion { question, reached };
            let _ = sender.unbounded_send(Message::Asked { vm, opinion });
        })
        .detach();
    }
}

fn peer(vm: &Vm) -> Peer {
    Peer {
        vm: vm.name.clone(),
        failure_domain: vm.failure_domain.clone(),
        peer_address: vm.peer_address.to_string(),
        leaving: vm.leaving,
    }
}

fn listed_vm(peer: Peer) -> Option<Vm> {
    let Peer { vm: name, failure_domain, peer_address, leaving } = peer;
    Some(Vm { name, failure_domain, peer_address: peer_address.parse().ok()?, leaving })
}
