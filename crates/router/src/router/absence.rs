//! Absence of other nodes: records of nodes that have left are removed, and clients whose poolers do not
//! answer are served here.
//!
//! The choice of poolers rests on the records of the nodes, which may be those of machines that were
//! removed. Until their records are removed too, all nodes that serve a database may be such machines. A
//! node to which none of them answers for [`SUBSTITUTION_DELAY`] serves its own clients of the database
//! until one does. Each node decides this by itself, so the endpoints may get more connections than with
//! poolers.

use tamarackbend_policy::code::Code;
use tracing::{info, warn};

use super::{Action, Router, WatchScope};
use crate::directory::Directory;
use crate::message::{EndpointId, Fault, ServiceName, SessionId, Time};
use crate::settings::RETRY_AFTER_NO_PRIMARY;

/// Time without an answer of any node that serves a database, after which this node serves its own clients.
/// Longer than a restart of all nodes takes.
const SUBSTITUTION_DELAY: Time = Time::from_secs(3);

impl Router {
    /// Probes other nodes and removes the records of those that have left.
    pub(super) fn check_departures(&mut self) {
        if self.stopping_since.is_some() || self.store_unreachable_since.is_some() {
            return;
        }
        let now = self.now;
        for peer in self.departures.due_probes(now, &self.settings.node, &self.peers) {
            if !self.peer_probes.contains_key(&peer.name) {
                self.peer_probes.insert(peer.name.clone(), now);
                self.actions.push(Action::ProbePeer(peer.name, peer.address));
            }
        }
        for peer in self.departures.departed(now, &self.settings.node, &self.peers) {
            info!(%peer, "node does not answer for a long time; removing its record");
            metrics::counter!("departed_nodes_total").increment(1);
            self.actions.push(Action::RemovePeer(peer));
        }
    }

    pub(super) fn on_peer_probed(&mut self, name: &EndpointId, has_answered: bool) {
        let Some(sent_at) = self.peer_probes.remove(name) else { return };
        if let Some(peer) = self.peers.iter().find(|peer| peer.name == *name) {
            self.departures.record(sent_at, peer, has_answered);
        }
    }

    /// Determines the databases for which no other node answers, and moves their clients to this node.
    pub(super) fn check_substitution(&mut self) {
        let now = self.now;
        for group in self.groups.values_mut().filter(|group| group.is_remote) {
            let has_usable = group.endpoints.values().any(|node| node.suspected_since.is_none());
            group.unserved_since = match has_usable {
                true => None,
                false => group.unserved_since.or(Some(now)),
            };
        }
        let unserved: Vec<ServiceName> =
            self.groups.keys().filter(|service| self.is_unserved(service)).cloned().collect();
        for service in &unserved {
            self.end_remote_sessions(service);
        }
        let is_needed = self.is_pooler == Some(false) && !unserved.is_empty();
        if is_needed && !self.is_substitute {
            warn!(databases = unserved.len(), "no pooler answers; serving clients without poolers");
            self.is_substitute = true;
            self.forget_store();
            self.update_watch_scope();
        } else if !is_needed && self.is_substitute {
            self.end_substitution();
        }
    }

    /// Forgets what was read from the store while this node watched it before: nothing has kept it up to
    /// date since.
    fn forget_store(&mut self) {
        let groups = self.groups.iter().filter(|(_, group)| !group.is_remote);
        let endpoints: Vec<(ServiceName, EndpointId)> = groups
            .flat_map(|(service, group)| {
                group.endpoints.keys().map(|id| (service.clone(), id.clone()))
            })
            .collect();
        for (service, id) in endpoints {
            self.remove_endpoint(&service, &id, "its directory entry may be out of date");
        }
        self.directory = Directory::default();
        self.configuration = None;
        self.update_own_services();
    }

    /// Returns whether no node has answered for the database of a remote group for so long that this node
    /// serves its own clients. With customers it does not, as their limits are divided among poolers.
    pub(super) fn is_unserved(&self, service: &ServiceName) -> bool {
        !self.settings.has_customers
            && self
                .groups
                .get(service)
                .and_then(|group| group.unserved_since)
                .is_some_and(|since| self.now >= since + SUBSTITUTION_DELAY)
    }

    /// Returns whether this node serves its own clients of a database because no other node does.
    pub(super) fn substitutes_for(&self, database: &str) -> bool {
        let service = self.remote_services.get(&(database.to_owned(), None));
        service.is_some_and(|service| self.is_unserved(service))
    }

    /// Keeps the remote group of a database, by which this node finds out when a pooler answers again.
    pub(super) fn keep_remote_group(&mut self, database: &str) {
        let service = self.remote_services.get(&(database.to_owned(), None));
        if let Some(group) = service.and_then(|service| self.groups.get_mut(service)) {
            group.last_request_at = self.now;
        }
    }

    /// Refuses the unsent statements of a remote group and closes its idle sessions, so that the clients
    /// connect again and are served here.
    fn end_remote_sessions(&mut self, service: &ServiceName) {
        let sessions = self.sessions.iter().filter(|(_, session)| {
            session.is_accepted
                && !session.is_channel
                && session.serving_group.as_ref() == Some(service)
        });
        let (idle, waiting): (Vec<SessionId>, Vec<SessionId>) = (
            sessions.clone().filter(|(_, session)| session.is_idle()).map(|(id, _)| *id).collect(),
            sessions.filter(|(_, s)| s.has_unsent_statement()).map(|(id, _)| *id).collect(),
        );
        for id in waiting {
            self.fail_transaction(id);
            self.refuse(id, Fault::Busy, Code::OwnerUnreachable, Some(RETRY_AFTER_NO_PRIMARY));
        }
        for id in idle {
            self.close_idle_session(id);
        }
    }

    /// Closes the idle sessions that this node serves in place of poolers that answer again.
    fn end_substitution(&mut self) {
        let own: Vec<(SessionId, bool)> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.is_accepted && session.serving_group.is_none())
            .map(|(id, session)| (*id, session.is_idle()))
            .collect();
        if own.is_empty() || self.is_pooler == Some(true) {
            info!("poolers answer again");
            self.is_substitute = false;
            self.update_watch_scope();
        } else if self.is_pooler == Some(false) {
            own.into_iter().filter(|(_, is_idle)| *is_idle).for_each(|(id, _)| {
                self.close_idle_session(id);
            });
        }
    }

    /// Watches the store for the clients that this node serves now.
    pub(super) fn update_watch_scope(&mut self) {
        let scope = match (self.is_pooler == Some(true), self.is_direct()) {
            (false, _) if self.is_substitute => WatchScope::OwnClients,
            (false, _) => WatchScope::Nothing,
            (true, true) => WatchScope::OwnClients,
            (true, false) => WatchScope::ClientsOfPeers,
        };
        if self.watch_scope != scope {
            self.watch_scope = scope;
            self.actions.push(Action::WatchStore(scope));
        }
    }
}
