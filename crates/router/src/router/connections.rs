//! Opening of connections to endpoints.
//!
//! Every node may hold an even share of an endpoint's connections, and opens them as work waits for them.

use super::Router;
use crate::customer::CustomerName;
use crate::endpoint::Endpoint;
use crate::experiment::Mechanism;
use crate::group::Group;
use crate::message::{EndpointId, ServiceName, Time};
use crate::session::Need;
use crate::settings::{
    MAX_CONNECTION_SHARE, MAX_CONNECTIONS_PER_ENDPOINT, MAX_CUSTOMER_CONNECTIONS_PER_ENDPOINT,
    MIN_CONNECTIONS_PER_ENDPOINT,
};

/// Time after a restart in which endpoints may hold the connections of processes that died.
const CROWDED_AFTER_START: Time = Time::from_secs(4);

impl Router {
    /// Opens a connection to the best endpoint for `need` if the limit allows one more.
    pub(super) fn open_best_connection(
        &mut self,
        service: &ServiceName,
        need: Need,
        avoided: &[EndpointId],
        customer: Option<CustomerName>,
    ) {
        let Some(group) = self.groups.get(service) else { return };
        let candidates = self.candidates(group, need, &|id| avoided.contains(id));
        let Some(best_endpoint) = candidates.into_iter().next() else { return };
        let limit = self.max_connections(group);
        match self.settings.has_customers && !self.is_remote(service) {
            true => self.open_customer_connection(service, &best_endpoint, limit, customer),
            false => self.open_connection(service, &best_endpoint, limit),
        }
    }

    /// Returns the maximum number of connections of this node to one endpoint of a group.
    pub(super) fn max_connections(&self, group: &Group) -> usize {
        let holders = match self.is_substitute {
            true => self.peers.len(),
            false => self.holder_count,
        };
        let share = f64::from(group.max_connections) * MAX_CONNECTION_SHARE / holders.max(1) as f64;
        let max = match self.settings.has_customers {
            true => MAX_CUSTOMER_CONNECTIONS_PER_ENDPOINT,
            false => MAX_CONNECTIONS_PER_ENDPOINT,
        };
        (share as usize).clamp(MIN_CONNECTIONS_PER_ENDPOINT, max)
    }

    /// Returns whether an endpoint has room for a connection of every node. After a loss of power, it keeps
    /// the connections of the dead processes for seconds, and a node that took several of the remaining
    /// ones would leave other nodes without any.
    fn leaves_room(&self, group: &Group, endpoint: &Endpoint) -> bool {
        if !self.uses(Mechanism::RestartConnections)
            || self.settings.is_first_start
            || self.now >= self.started_at + CROWDED_AFTER_START
        {
            return true;
        }
        endpoint.status.is_some_and(|(_, status)| {
            status.connections as usize + self.holder_count <= group.max_connections as usize
        })
    }

    /// Opens a connection to an endpoint unless another is being opened or the limit is reached.
    pub(super) fn open_connection(&mut self, service: &ServiceName, id: &EndpointId, limit: usize) {
        let now = self.now;
        let Some(group) = self.groups.get(service) else { return };
        let Some(endpoint) = group.endpoints.get(id) else { return };
        let may_connect = group.is_remote
            || self.is_substitute
            || (!self.is_role_undecided() && self.is_pooler != Some(false));
        if now < endpoint.connect_after || !may_connect {
            return;
        }
        let opening_count = self.connections_to(endpoint).filter(|c| !c.is_established).count();
        let has_enough = match group.is_remote {
            true => opening_count >= group.waiting_at_dispatch.max(1),
            false => {
                let limit = if self.leaves_room(group, endpoint) { limit } else { 1 };
                opening_count > 0 || endpoint.connections.len() >= limit
            }
        };
        if has_enough {
            return;
        }
        self.connect(service, id, None);
    }
}
