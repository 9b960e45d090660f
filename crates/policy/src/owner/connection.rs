//! Connections to endpoints: slots, idle ones and pinned ones.

use std::time::Duration;

use super::{Action, Connection, ConnectionId, Demand, OpenError, Owner, SessionId, Use};
use crate::position::EndpointIndex;

/// Least time between two attempts to open a connection to an endpoint that refused one.
const OPEN_BACKOFF: Duration = Duration::from_millis(100);

impl Owner {
    pub(super) fn opened(&mut self, connection: ConnectionId) {
        if !self.connections.contains_key(&connection) {
            return self.actions.push(Action::CloseConnection(connection));
        }
        self.release(connection);
    }

    pub(super) fn open_failed(&mut self, connection: ConnectionId, error: OpenError) {
        let Some(Connection { endpoint, .. }) = self.connections.remove(&connection) else {
            return;
        };
        self.endpoints[endpoint].open_after = self.now + OPEN_BACKOFF;
        if error == OpenError::Unreachable {
            self.endpoints[endpoint].probe_now();
        }
    }

    pub(super) fn broken(&mut self, connection: ConnectionId) {
        if let Some(Connection { endpoint, used, .. }) = self.connections.remove(&connection) {
            self.endpoints[endpoint].probe_now();
            if let Use::Pinned { session, .. } = used {
                self.pinned.remove(&session);
            }
        }
    }

    pub(super) fn open_for(&mut self, demand: &Demand) {
        for (endpoint, wanted) in demand.connections.iter().enumerate() {
            let opening = self
                .connections
                .values()
                .filter(|connection| connection.endpoint == endpoint)
                .filter(|connection| connection.used == Use::Opening)
                .count();
            let room = self.settings.slots.saturating_sub(self.connection_count(endpoint));
            if self.now < self.endpoints[endpoint].open_after {
                continue;
            }
            for _ in 0..room.min(wanted.saturating_sub(opening)) {
                let id = self.next_connection;
                self.next_connection += 1;
                self.connections
                    .insert(id, Connection { endpoint, used: Use::Opening, holder: None });
                self.actions.push(Action::OpenConnection(id, endpoint));
            }
        }
    }

    pub(super) fn idle_connection(&self, endpoint: EndpointIndex) -> Option<ConnectionId> {
        let idle = |connection: &Connection| {
            connection.endpoint == endpoint && matches!(connection.used, Use::Idle { .. })
        };
        self.connections.iter().rev().find(|(_, connection)| idle(connection)).map(|(id, _)| *id)
    }

    pub(super) fn connection_count(&self, endpoint: EndpointIndex) -> usize {
        self.connections.values().filter(|connection| connection.endpoint == endpoint).count()
    }

    pub(super) fn set_use(&mut self, connection: ConnectionId, used: Use) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.used = used;
        }
    }

    pub(super) fn release(&mut self, connection: ConnectionId) {
        self.set_use(connection, Use::Idle { since: self.now });
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.holder = None;
        }
    }

    /// Returns whether a club may begin another transaction on an endpoint.
    ///
    /// One slot is left to the others, if there are two or more.
    pub(super) fn may_hold(&self, club: &str, endpoint: EndpointIndex) -> bool {
        let held = self.connections.values().filter(|connection| {
            connection.endpoint == endpoint && connection.holder.as_deref() == Some(club)
        });
        held.count() < self.settings.slots.saturating_sub(1).max(1)
    }

    pub(super) fn pin(&mut self, connection: ConnectionId, session: SessionId) {
        if !self.settings.guards.pin_transactions {
            self.pinned.insert(session, connection);
            return self.release(connection);
        }
        self.set_use(connection, Use::Pinned { session, since: self.now });
        self.pinned.insert(session, connection);
    }

    pub(super) fn close(&mut self, connection: ConnectionId) {
        if let Some(Connection { used: Use::Pinned { session, .. }, .. }) =
            self.connections.remove(&connection)
        {
            self.pinned.remove(&session);
        }
        self.actions.push(Action::CloseConnection(connection));
    }
}
