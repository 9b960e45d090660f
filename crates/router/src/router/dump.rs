//! JSON dump of a node's state, for operators.

use serde_json::{Value, json};

use super::Router;
use super::peers::database_of;
use crate::admission::wait::Kind;
use crate::endpoint::Endpoint;
use crate::group::Group;
use crate::message::Time;

impl Router {
    /// Returns the state of the node as JSON; keys that end in `_ms` are ages in milliseconds.
    pub fn dump(&mut self) -> Value {
        let groups: Vec<Value> =
            self.groups.iter().map(|(name, group)| self.dump_group(name, group)).collect();
        let mut dump = json!({
            "node": self.settings.node,
            "ready": self.is_ready,
            "stopping_ms": self.age(self.stopping_since),
            "configuration": self.configuration.as_ref().map(|configuration| configuration.version),
            "store_away_ms": self.age(self.store_unreachable_since),
            "holds_connections": self.is_pooler,
            "nodes": self.peers.len(),
            "holders": self.poolers.len(),
            "holders_without_store":
                self.peers_without_store.iter().map(|p| &**p).collect::<Vec<_>>(),
            "lease_token": self.lease.token(self.now),
            "sessions": self.sessions.len(),
            "connections": self.connections.len(),
            "groups": groups,
        });
        if self.settings.has_customers {
            dump["limits"] = self.dump_limits();
        }
        dump
    }

    fn dump_group(&self, name: &crate::message::ServiceName, group: &Group) -> Value {
        let endpoints: Vec<Value> =
            group.endpoints.values().map(|endpoint| self.dump_endpoint(group, endpoint)).collect();
        let failover = group.failover.as_ref().map(|failover| {
            json!({
                "reason": format!("{:?}", failover.reason),
                "phase": format!("{:?}", failover.phase),
                "since_ms": self.age(Some(failover.started_at)),
            })
        });
        json!({
            "service": if group.is_remote { None } else { Some(&**name) },
            "database_of_other_nodes": database_of(name),
            "primary": group.primary.as_ref().map(|primary| &*primary.endpoint),
            "term": group.term,
            "without_primary_ms": self.age(group.without_primary_since),
            "term_closed_ms": self.age(group.fenced_since),
            "evidence_ms": self.age(group.evidence.confirmed_at()),
            "position_ms": self.age(group.evidence.newest_position_at()),
            "waiting": group.waiting_sessions.len(),
            "expected": {
                "rate_primary": group.waits.throughput(self.now, Kind::Primary),
                "rate_any": group.waits.throughput(self.now, Kind::Any),
            },
            "overloaded": group.shedders.iter().any(|shedder| shedder.is_overloaded()),
            "confirming": group.pending_answers.len(),
            "change": failover,
            "endpoints": endpoints,
        })
    }

    fn dump_endpoint(&self, group: &Group, endpoint: &Endpoint) -> Value {
        let connections = self.connections_to(endpoint);
        json!({
            "id": &*endpoint.entry.id,
            "address": endpoint.entry.address.to_string(),
            "failure_domain": endpoint.entry.failure_domain,
            "leaving_ms": self.age(endpoint.draining_since),
            "silent_ms": self.age(endpoint.suspected_since),
            "applied": endpoint.freshness.applied().map(|(_, position)| position.to_string()),
            "received": endpoint.status.map(|(_, status)| status.received.to_string()),
            "held": endpoint.status.map(|(_, status)| status.fenced_term),
            "status_ms": self.age(endpoint.status.map(|(requested_at, _)| requested_at)),
            "ejected": group.outliers.ejection(&endpoint.entry.id).map(|ejection| json!({
                "count": ejection.count,
                "reason": format!("{:?}", ejection.reason),
                "left_ms": ejection.until.saturating_sub(self.now).as_millis() as u64,
                "trial_answers": ejection.trial_answers,
            })),
            "behind": endpoint.freshness.is_behind(),
            "window": endpoint.window.limit(),
            "response_ms": endpoint.average_read_time.as_millis() as u64,
            "connections": endpoint.connections.len(),
            "in_use": connections.filter(|connection| !connection.is_free()).count(),
        })
    }

    fn age(&self, since: Option<Time>) -> Option<u64> {
        since.map(|since| self.now.saturating_sub(since).as_millis() as u64)
    }
}
