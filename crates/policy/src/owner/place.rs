//! Choice of the next statement and of the endpoint that runs it.

use std::time::Duration;

use super::{Access, ConnectionId, Demand, Owner, Policy, Request, RequestId, Waiting};
use crate::failover::Group;
use crate::position::{EndpointIndex, Role, Status, majority};
use crate::queue::Queue;
use crate::session::Freshness;

impl Owner {
    pub(super) fn place(&mut self) {
        if self.unconfirmed {
            return;
        }
        let mut queue = std::mem::replace(&mut self.queue, Queue::new(0));
        let mut demand = Demand::new(self.endpoints.len());
        loop {
            demand.clear();
            let found = queue.pop(|waiting| self.find_connection(waiting, &mut demand));
            let Some((waiting, connection)) = found else {
                break;
            };
            let cost = queue.estimated_cost();
            self.start_with_cost(waiting, connection, cost);
        }
        self.queue = queue;
        self.catching_up = demand.unplaced > 0;
        self.open_for(&demand);
    }

    pub(super) fn find_connection(
        &self,
        waiting: &Waiting,
        demand: &mut Demand,
    ) -> Option<ConnectionId> {
        let targets = self.targets(waiting);
        let idle = targets.iter().find_map(|endpoint| self.idle_connection(*endpoint));
        if idle.is_none() {
            let has_room =
                |endpoint: &&EndpointIndex| self.connection_count(**endpoint) < self.settings.slots;
            match targets.iter().find(has_room) {
                Some(endpoint) => demand.connections[*endpoint] += 1,
                None if targets.is_empty() => demand.unplaced += 1,
                None => {}
            }
        }
        idle
    }

    /// Returns the endpoints that may run `waiting` now, best first.
    pub(super) fn targets(&self, waiting: &Waiting) -> Vec<EndpointIndex> {
        let mut targets = match waiting.request.access {
            Access::Write => self.write_target(waiting).into_iter().collect(),
            Access::Read => self.read_targets(waiting),
        };
        if waiting.request.begins_transaction {
            targets.retain(|endpoint| self.may_hold(&waiting.request.club, *endpoint));
        }
        targets
    }

    pub(super) fn write_target(&self, waiting: &Waiting) -> Option<EndpointIndex> {
        let Freshness::Floor(floor) = waiting.request.freshness else {
            return None;
        };
        let current = self.group().is_some_and(|group| group.term >= floor.term);
        self.primary().filter(|_| current && self.can_write())
    }

    pub(super) fn can_write(&self) -> bool {
        let Some(Group { term, primary: Some(primary), .. }) = self.group() else {
            return false;
        };
        let live = self.endpoints.iter().filter(|endpoint| endpoint.is_live()).count();
        let leads = self.endpoints[primary].live_status().is_some_and(|status| {
            status.role == Role::Primary && status.term == term && status.is_in_newest_term()
        });
        leads && self.endpoints[primary].leaving.is_none() && live >= majority(self.endpoints.len())
    }

    pub(super) fn read_targets(&self, waiting: &Waiting) -> Vec<EndpointIndex> {
        let Request { id: request_id, freshness, max_age, .. } = waiting.request;
        let unchecked = !self.settings.guards.check_floors;
        if self.settings.policy == Policy::RandomReplica || unchecked {
            return self.replicas(|_| true, request_id);
        }
        let Freshness::Floor(floor) = freshness else {
            return Vec::new();
        };
        let fresh = |status: &Status| floor.is_met_by(status) && self.is_young(status, max_age);
        let usable = |index: &EndpointIndex| {
            let endpoint = &self.endpoints[*index];
            endpoint.leaving.is_none() && endpoint.live_status().as_ref().is_some_and(fresh)
        };
        let primary = self.primary().filter(usable);
        if self.settings.policy == Policy::PrimaryOnly {
            return primary.into_iter().collect();
        }
        let mut targets = self.replicas(fresh, request_id);
        let waited = self.now.saturating_sub(waiting.arrived);
        if waited >= self.replica_wait(targets.is_empty()) {
            targets.extend(primary);
        }
        targets
    }

    /// Returns how long a read waits for a replica.
    ///
    /// When no replica is fresh enough yet and the usual lag is above the limit, waiting is in
    /// vain and the primary is taken at once.
    pub(super) fn replica_wait(&self, none_fresh: bool) -> Duration {
        let limit = self.settings.read_wait;
        let live_replica = (0..self.endpoints.len())
            .any(|index| Some(index) != self.primary() && self.endpoints[index].is_live());
        if !live_replica || (none_fresh && self.lag > limit) {
            return Duration::ZERO;
        }
        limit
    }

    pub(super) fn replicas(
        &self,
        fresh: impl Fn(&Status) -> bool,
        request_id: RequestId,
    ) -> Vec<EndpointIndex> {
        let mut found: Vec<EndpointIndex> = (0..self.endpoints.len())
            .filter(|index| {
                Some(*index) != self.primary() && self.endpoints[*index].leaving.is_none()
            })
            .filter(|index| self.endpoints[*index].live_status().as_ref().is_some_and(&fresh))
            .collect();
        let spread = |index: EndpointIndex| (index as u64 + request_id) % 2;
        found.sort_by_key(|index| {
            let distance = self.settings.distance_ranks.get(*index).copied().unwrap_or_default();
            let idle = self.idle_connection(*index).is_some();
            (!idle, distance, self.connection_count(*index), spread(*index))
        });
        found
    }
}
