//! Placement: choice of the next waiting statement and of the endpoint that runs the statement.

use std::time::Duration;

use super::{Access, ConnectionId, Demand, Owner, Policy, Request, RequestId, Waiting};
use crate::failover::Group;
use crate::position::{EndpointIndex, Role, Status, majority};
use crate::queue::Queue;
use crate::session::Freshness;

impl Owner {
    /// Dispatches waiting statements to idle connections and opens connections for the rest.
    pub(super) fn place_waiting(&mut self) {
        if self.is_group_stale {
            return;
        }
        let mut queue = std::mem::replace(&mut self.queue, Queue::new(0));
        let mut demand = Demand::new(self.endpoints.len());
        loop {
            demand.clear();
            let placed = queue.pop(|waiting| self.find_connection(waiting, &mut demand));
            let Some((waiting, connection)) = placed else {
                break;
            };
            let cost = queue.estimated_cost();
            self.start_with_cost(waiting, connection, cost);
        }
        self.queue = queue;
        self.has_unplaced_statements = demand.unplaced > 0;
        self.open_connections(&demand);
    }

    /// Returns an idle connection to the most preferred endpoint that has one, or adds the missing
    /// connection or endpoint to `demand`.
    pub(super) fn find_connection(
        &self,
        waiting: &Waiting,
        demand: &mut Demand,
    ) -> Option<ConnectionId> {
        let targets = self.target_endpoints(waiting);
        let connection = targets.iter().find_map(|endpoint| self.idle_connection(*endpoint));
        if connection.is_none() {
            let has_free_slot =
                |endpoint: &&EndpointIndex| self.connection_count(**endpoint) < self.settings.slots;
            match targets.iter().find(has_free_slot) {
                Some(endpoint) => demand.connections[*endpoint] += 1,
                None if targets.is_empty() => demand.unplaced += 1,
                None => {}
            }
        }
        connection
    }

    /// Returns the endpoints that may run `waiting` now, in order of preference.
    pub(super) fn target_endpoints(&self, waiting: &Waiting) -> Vec<EndpointIndex> {
        let mut targets = match waiting.request.access {
            Access::Write => self.write_target(waiting).into_iter().collect(),
            Access::Read => self.read_targets(waiting),
        };
        if waiting.request.begins_transaction {
            targets.retain(|endpoint| self.may_begin_transaction(&waiting.request.club, *endpoint));
        }
        targets
    }

    /// Returns the primary if the primary can run the write `waiting` now.
    pub(super) fn write_target(&self, waiting: &Waiting) -> Option<EndpointIndex> {
        let Freshness::Floor(floor) = waiting.request.freshness else {
            return None;
        };
        let is_term_current = self.group().is_some_and(|group| group.term >= floor.term);
        self.primary().filter(|_| is_term_current && self.is_primary_writable())
    }

    /// Returns whether the primary reports that role in the group's term, isn't draining, and a
    /// majority of endpoints is live to confirm writes.
    pub(super) fn is_primary_writable(&self) -> bool {
        let Some(Group { term, primary: Some(primary), .. }) = self.group() else {
            return false;
        };
        let live_count = self.endpoints.iter().filter(|endpoint| endpoint.is_live()).count();
        let reports_primary = self.endpoints[primary].live_status().is_some_and(|status| {
            status.role == Role::Primary && status.term == term && status.is_in_newest_term()
        });
        reports_primary
            && self.endpoints[primary].draining_since.is_none()
            && live_count >= majority(self.endpoints.len())
    }

    /// Returns the endpoints that may run the read `waiting` now, in order of preference.
    pub(super) fn read_targets(&self, waiting: &Waiting) -> Vec<EndpointIndex> {
        let Request { id: request_id, freshness, max_age, .. } = waiting.request;
        let ignores_floors = !self.settings.guards.check_floors;
        if self.settings.policy == Policy::RandomReplica || ignores_floors {
            return self.ranked_replicas(|_| true, request_id);
        }
        let Freshness::Floor(floor) = freshness else {
            return Vec::new();
        };
        let is_fresh =
            |status: &Status| floor.is_met_by(status) && self.is_within_max_age(status, max_age);
        let is_usable = |index: &EndpointIndex| {
            let endpoint = &self.endpoints[*index];
            endpoint.draining_since.is_none()
                && endpoint.live_status().as_ref().is_some_and(is_fresh)
        };
        let primary = self.primary().filter(is_usable);
        if self.settings.policy == Policy::PrimaryOnly {
            return primary.into_iter().collect();
        }
        let mut targets = self.ranked_replicas(is_fresh, request_id);
        let waited = self.now.saturating_sub(waiting.arrived_at);
        if waited >= self.replica_wait(targets.is_empty()) {
            targets.extend(primary);
        }
        targets
    }

    /// Returns the time that a read waits for a replica before the read may go to the primary.
    ///
    /// The wait is zero without a live replica, and also when no replica is fresh enough and the
    /// confirmation lag exceeds the limit, because the wait would most likely fail.
    pub(super) fn replica_wait(&self, none_fresh: bool) -> Duration {
        let limit = self.settings.read_wait;
        let has_live_replica = (0..self.endpoints.len())
            .any(|index| Some(index) != self.primary() && self.endpoints[index].is_live());
        if !has_live_replica || (none_fresh && self.confirmation_lag > limit) {
            return Duration::ZERO;
        }
        limit
    }

    /// Returns the live replicas whose status satisfies `is_fresh`, in order of preference: an idle
    /// connection, a short distance, few connections. Equal replicas alternate by `request_id`.
    pub(super) fn ranked_replicas(
        &self,
        is_fresh: impl Fn(&Status) -> bool,
        request_id: RequestId,
    ) -> Vec<EndpointIndex> {
        let mut replicas: Vec<EndpointIndex> = (0..self.endpoints.len())
            .filter(|index| {
                Some(*index) != self.primary() && self.endpoints[*index].draining_since.is_none()
            })
            .filter(|index| self.endpoints[*index].live_status().as_ref().is_some_and(&is_fresh))
            .collect();
        let tie_break = |index: EndpointIndex| (index as u64 + request_id) % 2;
        replicas.sort_by_key(|index| {
            let distance = self.settings.distance_ranks.get(*index).copied().unwrap_or_default();
            let has_idle = self.idle_connection(*index).is_some();
            (!has_idle, distance, self.connection_count(*index), tie_break(*index))
        });
        replicas
    }
}
