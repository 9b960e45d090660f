//! Customers of sessions: identification by key, revoked keys, and the nodes that serve a customer.

use std::collections::HashMap;

use tamarackbend_policy::code::Code;
use tracing::info;

use super::Router;
use crate::customer::{CustomerName, KeyDigest};
use crate::limit;
use crate::membership::{self, Peer};
use crate::message::{ConnectionId, Fault, Introduction, ServiceName, SessionId, Statement};
use crate::session::{Phase, Stage};

impl Router {
    /// Returns the customer that a key belongs to by this node's configuration.
    pub(super) fn identify(&self, key: &KeyDigest) -> Option<CustomerName> {
        let table = self.configuration.as_ref()?.customers.as_ref()?;
        table.identify(key).map(|customer| customer.name.clone())
    }

    /// Returns the poolers of a customer, those of each region in the order in which they are used.
    pub(super) fn poolers_of(&self, customer: &str) -> Vec<&Peer> {
        membership::customer_poolers(&self.poolers, &self.settings.regions, customer)
    }

    /// Returns whether this node is a pooler of a customer.
    pub(super) fn is_pooler_of(&self, customer: &str) -> bool {
        self.poolers_of(customer).iter().any(|peer| *peer.name == *self.settings.node)
    }

    /// Returns whether this node serves its own clients of a customer: it is the customer's first pooler
    /// in its region, or all poolers of the region before it have failed.
    pub(super) fn serves_customer(&self, customer: &str) -> bool {
        let region = self.settings.region_of(&self.settings.failure_domain);
        let near = self.poolers_of(customer).into_iter();
        let mut near = near.filter(|peer| self.settings.region_of(&peer.failure_domain) == region);
        let usable =
            near.find(|peer| *peer.name == *self.settings.node || !self.has_failed(&peer.name));
        usable.is_some_and(|peer| *peer.name == *self.settings.node)
    }

    /// Identifies the clients of all sessions anew after a change of the configuration, and ends the
    /// work of those whose key was revoked.
    pub(super) fn identify_sessions(&mut self) {
        if !self.settings.has_customers {
            return;
        }
        let served = self.sessions.iter().filter(|(_, session)| {
            session.is_accepted && session.serving_group.is_none() && session.key.is_some()
        });
        let served: Vec<SessionId> = served.map(|(id, _)| *id).collect();
        for id in served {
            let Some(session) = self.sessions.get(&id) else { continue };
            let customer = session.key.and_then(|key| self.identify(&key));
            let is_revoked = customer.is_none() && session.customer.is_some();
            if customer == session.customer && !session.is_revoked {
                continue;
            }
            if is_revoked {
                self.revoke_session(id);
            } else if let Some(session) = self.sessions.get_mut(&id)
                && session.transaction.is_none()
                && session.current.is_none()
            {
                session.customer = customer;
                session.is_revoked = false;
            }
        }
    }

    /// Refuses the waiting work of a session whose key was revoked, and rolls its transaction back.
    /// A statement that was sent completes.
    fn revoke_session(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if std::mem::replace(&mut session.is_revoked, true) {
            return;
        }
        info!(
            session = id,
            customer = session.customer.as_deref(),
            "key of the session was revoked"
        );
        let stage = session.current.as_ref().map(|operation| operation.stage);
        match stage {
            Some(Stage::Waiting) => {
                self.fail_transaction(id);
                self.refuse(id, Fault::Unauthorized, Code::UnknownKey, None);
            }
            Some(Stage::Sent { .. } | Stage::Confirming) => {}
            None => self.abort_transaction(id, false),
        }
    }

    /// Refuses the next statement of a session whose key was revoked; returns whether it did.
    pub(super) fn refuse_revoked(&mut self, id: SessionId) -> bool {
        let Some(session) = self.sessions.get(&id).filter(|session| session.is_revoked) else {
            return false;
        };
        let is_failed = session
            .transaction
            .as_ref()
            .is_some_and(|transaction| matches!(transaction.phase, Phase::Failed { .. }));
        if is_failed {
            // The client ends its failed transaction first.
            return false;
        }
        self.fail_transaction(id);
        self.refuse(id, Fault::Unauthorized, Code::UnknownKey, None);
        true
    }

    /// Refuses a statement that begins an operation of a customer that is over its limit; returns whether
    /// it did.
    pub(super) fn refuse_over_limit(
        &mut self,
        id: SessionId,
        statement_id: &str,
        statement: &Statement,
    ) -> bool {
        let Some(session) = self.sessions.get(&id) else { return false };
        let begins_operation = match statement {
            Statement::Begin { .. }
            | Statement::Read { .. }
            | Statement::Write { .. }
            | Statement::Execute { .. } => session.transaction.is_none(),
            _ => false,
        };
        let Some(customer) = session.customer.clone().filter(|_| begins_operation) else {
            return false;
        };
        let key = xxhash_rust::xxh3::xxh3_64(statement_id.as_bytes());
        let Err(retry_after) = self.admit_operation(&customer, key) else { return false };
        self.refuse(id, Fault::OverLimit, Code::OverLimit, Some(retry_after));
        true
    }

    /// Applies this node's shares of the limits after a change of the configuration or of the fleet.
    pub(super) fn update_limits(&mut self) {
        if !self.settings.has_customers {
            return;
        }
        let table = self.configuration.as_ref().and_then(|c| c.customers.as_ref());
        let limited = table.into_iter().flat_map(|table| table.customers());
        let limited = limited.filter(|customer| customer.limit.is_some());
        let shares: HashMap<CustomerName, limit::Share> = limited
            .filter_map(|customer| Some((customer.name.clone(), self.share_of(&customer.name)?)))
            .collect();
        self.refresh_limits(|customer| shares.get(customer).cloned());
    }

    /// Returns this node's share of a customer's limit; none if it is no pooler of the customer.
    fn share_of(&self, customer: &str) -> Option<limit::Share> {
        let poolers = self.poolers_of(customer);
        let own_region = self.settings.region_of(&self.settings.failure_domain);
        let mut near = poolers
            .iter()
            .filter(|peer| self.settings.region_of(&peer.failure_domain) == own_region);
        let first = near.next()?;
        let is_own = |peer: &Peer| *peer.name == *self.settings.node;
        if !poolers.iter().any(|peer| is_own(peer)) {
            return None;
        }
        let rank = if is_own(first) { limit::Rank::First } else { limit::Rank::Second };
        let others = poolers.iter().filter(|peer| !is_own(peer));
        Some(limit::Share { rank, others: others.map(|peer| peer.name.clone()).collect() })
    }

    /// Handles what the node at the other end of a channel knows.
    pub(super) fn on_introduction(&mut self, id: ConnectionId, introduction: Introduction) {
        self.seen_version = self.seen_version.max(introduction.version);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.peer_version = introduction.version;
        let key = self.groups.get(&connection.service).and_then(|group| group.key);
        let (Some(key), Some(customer)) = (key, introduction.customer) else { return };
        let groups = self.groups.iter_mut();
        let renamed: Vec<ServiceName> = groups
            .filter(|(_, group)| {
                group.key == Some(key) && group.customer.as_ref() != Some(&customer)
            })
            .map(|(name, group)| {
                group.customer = Some(customer.clone());
                name.clone()
            })
            .collect();
        for service in renamed {
            self.update_remote_group(&service);
            self.dirty.insert(service);
        }
    }

    /// Returns the customer of a key, if a pooler has reported it for another database.
    pub(super) fn reported_customer(&self, key: &KeyDigest) -> Option<CustomerName> {
        let mut groups = self.groups.values().filter(|group| group.key.as_ref() == Some(key));
        groups.find_map(|group| group.customer.clone())
    }
}
