//! Connections to endpoints: opening, releasing, pinning and closing.
//!
//! A pinned connection carries the open transaction of one session.

use std::time::Duration;

use super::{Action, Connection, ConnectionId, Demand, OpenError, Owner, SessionId, State};
use crate::position::EndpointIndex;

/// Delay after a failed connection attempt before the next attempt to the same endpoint.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(100);

impl Owner {
    pub(super) fn on_connection_opened(&mut self, connection: ConnectionId) {
        if !self.connections.contains_key(&connection) {
            return self.actions.push(Action::CloseConnection(connection));
        }
        self.release(connection);
    }

    pub(super) fn on_connection_failed(&mut self, connection: ConnectionId, error: OpenError) {
        let Some(Connection { endpoint, .. }) = self.connections.remove(&connection) else {
            return;
        };
        self.endpoints[endpoint].open_after = self.now + OPEN_RETRY_DELAY;
        if error == OpenError::Unreachable {
            self.endpoints[endpoint].request_probe();
        }
    }

    pub(super) fn on_connection_lost(&mut self, connection: ConnectionId) {
        if let Some(Connection { endpoint, state, .. }) = self.connections.remove(&connection) {
            self.endpoints[endpoint].request_probe();
            if let State::Pinned { session, .. } = state {
                self.pinned.remove(&session);
            }
        }
    }

    /// Opens connections until `demand` is covered or the slots are used up. Connections that are
    /// already being opened count towards the demand.
    pub(super) fn open_connections(&mut self, demand: &Demand) {
        for (endpoint, demanded) in demand.connections.iter().enumerate() {
            let opening = self
                .connections
                .values()
                .filter(|connection| connection.endpoint == endpoint)
                .filter(|connection| connection.state == State::Opening)
                .count();
            let free_slots = self.settings.slots.saturating_sub(self.connection_count(endpoint));
            if self.now < self.endpoints[endpoint].open_after {
                continue;
            }
            for _ in 0..free_slots.min(demanded.saturating_sub(opening)) {
                let id = self.next_connection;
                self.next_connection += 1;
                self.connections.insert(
                    id,
                    Connection { endpoint, state: State::Opening, transaction_club: None },
                );
                self.actions.push(Action::OpenConnection(id, endpoint));
            }
        }
    }

    pub(super) fn idle_connection(&self, endpoint: EndpointIndex) -> Option<ConnectionId> {
        let is_idle = |connection: &Connection| {
            connection.endpoint == endpoint && matches!(connection.state, State::Idle { .. })
        };
        self.connections.iter().rev().find(|(_, connection)| is_idle(connection)).map(|(id, _)| *id)
    }

    pub(super) fn connection_count(&self, endpoint: EndpointIndex) -> usize {
        self.connections.values().filter(|connection| connection.endpoint == endpoint).count()
    }

    pub(super) fn set_state(&mut self, connection: ConnectionId, state: State) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.state = state;
        }
    }

    pub(super) fn release(&mut self, connection: ConnectionId) {
        self.set_state(connection, State::Idle { since: self.now });
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.transaction_club = None;
        }
    }

    /// Returns whether a club may begin another transaction on an endpoint.
    ///
    /// One slot is reserved for other clubs if the endpoint has at least two slots.
    pub(super) fn may_begin_transaction(&self, club: &str, endpoint: EndpointIndex) -> bool {
        let own_transactions = self.connections.values().filter(|connection| {
            connection.endpoint == endpoint && connection.transaction_club.as_deref() == Some(club)
        });
        own_transactions.count() < self.settings.slots.saturating_sub(1).max(1)
    }

    pub(super) fn pin(&mut self, connection: ConnectionId, session: SessionId) {
        if !self.settings.guards.pin_transactions {
            self.pinned.insert(session, connection);
            return self.release(connection);
        }
        self.set_state(connection, State::Pinned { session, since: self.now });
        self.pinned.insert(session, connection);
    }

    pub(super) fn close_connection(&mut self, connection: ConnectionId) {
        if let Some(Connection { state: State::Pinned { session, .. }, .. }) =
            self.connections.remove(&connection)
        {
            self.pinned.remove(&session);
        }
        self.actions.push(Action::CloseConnection(connection));
    }
}
