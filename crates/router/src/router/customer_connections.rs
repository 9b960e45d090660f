//! Connections to endpoints that carry the work of one customer each.
//!
//! Every node may always hold an even share of an endpoint's connections. It opens more while the
//! endpoint reports that many are unused, and closes the additional ones when few are left. At its limit,
//! it closes the connection that has been idle for longest for one of another customer.

use metrics::counter;

use super::Router;
use crate::customer::CustomerName;
use crate::endpoint::Endpoint;
use crate::experiment::Mechanism;
use crate::message::{ConnectionId, EndpointId, ServiceName, Time};
use crate::settings::MAX_CUSTOMER_CONNECTIONS_PER_ENDPOINT;

/// Connections to one endpoint that a node opens at once: each takes a slot of the endpoint.
const MAX_OPENING_CONNECTIONS: usize = 3;
/// Time without work after which a connection may be closed for another customer. Work that waited for
/// the connection would have been placed by then.
const MIN_CONNECTION_IDLE: Time = Time::from_millis(5);
/// Share of an endpoint's connections in use up to which a node opens more than its even share. The rest
/// is left for nodes that restart, and for several nodes that open connections at the same time.
const MAX_SHARE_IN_USE: f64 = 0.6;
/// Share of an endpoint's connections in use from which on a node returns to its even share.
const CROWDED_SHARE_IN_USE: f64 = 0.9;
/// Time before another connection is opened to an endpoint that refused one for too many connections.
const TOO_MANY_CONNECTIONS_PAUSE: Time = Time::from_millis(500);
/// The same where a connection of another customer can be closed first, or where the node has none.
const CROWDED_CONNECT_PAUSE: Time = Time::from_millis(100);
/// Time after such a refusal in which the node opens no additional connections.
const CEILING_VALIDITY: Time = Time::from_secs(1);
/// Age up to which an endpoint's report of its connections counts.
const MAX_REPORT_AGE: Time = Time::from_secs(2);

impl Router {
    /// Opens a connection to an endpoint for the work of a customer. One connection of each customer is
    /// opened at a time.
    pub(super) fn open_customer_connection(
        &mut self,
        service: &ServiceName,
        id: &EndpointId,
        even_share: usize,
        customer: Option<CustomerName>,
    ) {
        let Some(group) = self.groups.get(service) else { return };
        let Some(endpoint) = group.endpoints.get(id) else { return };
        let may_connect = !self.is_role_undecided() && self.is_pooler != Some(false);
        let opening = self.connections_to(endpoint).filter(|c| !c.is_established);
        let is_opening = opening.clone().any(|c| c.customer == customer);
        if self.now < endpoint.connect_after
            || !may_connect
            || is_opening
            || opening.count() >= MAX_OPENING_CONNECTIONS
        {
            return;
        }
        let ceiling = endpoint.connection_ceiling.filter(|(_, until)| self.now < *until);
        let limit = ceiling.map_or(even_share, |(count, _)| count.clamp(1, even_share));
        let has_room = ceiling.is_none()
            && endpoint.connections.len() < MAX_CUSTOMER_CONNECTIONS_PER_ENDPOINT
            && self.has_unused_connections(endpoint, group.max_connections);
        if endpoint.connections.len() >= limit && !has_room {
            if !self.uses(Mechanism::ConnectionReuse) {
                return;
            }
            let is_report_old =
                endpoint.status.is_none_or(|(at, _)| self.now >= at + MAX_REPORT_AGE);
            let idle = self.longest_idle_connection(endpoint, |other| *other != customer);
            if is_report_old {
                self.request_status(service, id);
            }
            let Some(idle) = idle else { return };
            counter!("connections_closed_for_other_customers_total").increment(1);
            self.disconnect(idle, "another customer needs the connection");
        }
        self.connect(service, id, customer);
    }

    /// Records that an endpoint refused a connection for too many. The connections that the node has are
    /// then given to the customers that need one.
    pub(super) fn on_too_many_connections(&mut self, service: &ServiceName, id: &EndpointId) {
        let now = self.now;
        let has_customers = self.settings.has_customers;
        let Some(endpoint) = self.endpoint_mut(service, id) else { return };
        // The refused connection is still counted.
        let count = endpoint.connections.len().saturating_sub(1);
        // A node without a connection serves no client of the service.
        let pause = match has_customers || count == 0 {
            true => CROWDED_CONNECT_PAUSE,
            false => TOO_MANY_CONNECTIONS_PAUSE,
        };
        endpoint.connect_after = now + pause;
        endpoint.connection_ceiling = Some((count, now + CEILING_VALIDITY));
    }

    /// Closes idle connections beyond the even share of an endpoint that has few unused ones left.
    pub(super) fn return_connections(&mut self, service: &ServiceName, id: &EndpointId) {
        let Some(group) = self.groups.get(service) else { return };
        let even_share = self.max_connections(group);
        let Some(endpoint) = group.endpoints.get(id) else { return };
        let Some((_, status)) = endpoint.status else { return };
        let is_crowded = f64::from(status.connections)
            >= f64::from(group.max_connections) * CROWDED_SHARE_IN_USE;
        let surplus = endpoint.connections.len().saturating_sub(even_share + 1);
        if !self.settings.has_customers || !is_crowded {
            return;
        }
        for _ in 0..surplus {
            let endpoint = self.groups.get(service).and_then(|group| group.endpoints.get(id));
            let idle =
                endpoint.and_then(|endpoint| self.longest_idle_connection(endpoint, |_| true));
            let Some(idle) = idle else { return };
            self.disconnect(idle, "the endpoint has few connections left");
        }
    }

    /// Returns whether an endpoint has reported lately that many of its connections are unused.
    fn has_unused_connections(&self, endpoint: &Endpoint, max_connections: u32) -> bool {
        endpoint.status.is_some_and(|(at, status)| {
            let opened_since =
                self.connections_to(endpoint).filter(|c| c.requested_at >= at).count();
            let in_use = f64::from(status.connections) + opened_since as f64;
            self.now < at + MAX_REPORT_AGE && in_use < f64::from(max_connections) * MAX_SHARE_IN_USE
        })
    }

    /// Returns the free connection that has been idle for longest among those of other customers.
    fn longest_idle_connection(
        &self,
        endpoint: &Endpoint,
        may_close: impl Fn(&Option<CustomerName>) -> bool,
    ) -> Option<ConnectionId> {
        let free = self.connections_to(endpoint).filter(|c| {
            c.is_free()
                && may_close(&c.customer)
                && self.now >= c.last_answer_at + MIN_CONNECTION_IDLE
        });
        free.min_by_key(|c| c.last_answer_at).map(|c| c.id)
    }
}
