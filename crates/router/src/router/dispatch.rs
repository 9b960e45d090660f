//! Placement of waiting statements and transactions on endpoints and connections.
//!
//! In a group of database endpoints, work goes to the primary or to a replica whose log is recent
//! enough. In a remote group, whose endpoints are other nodes, work goes to the node that ranks
//! best.

use std::collections::BTreeMap;

use tracing::debug;

use super::Router;
use super::clients::staleness_bound;
use crate::admission::queue::Kind;
use crate::configuration::Consistency;
use crate::connection::Purpose;
use crate::customer::CustomerName;
use crate::endpoint::Endpoint;
use crate::experiment::Mechanism;
use crate::group::Group;
use crate::message::{
    Access, Command, ConnectionId, EndpointId, Order, Position, ServiceName, SessionId, Statement,
    Time,
};
use crate::session::{Need, Phase, Session, Stage};

/// Added to the cost of the primary for reads that replicas can also serve, which keeps its
/// capacity for writes.
const PRIMARY_PENALTY: Time = Time::from_millis(10);
/// Number of failed placements after which a dispatch skips a group's remaining work of the same
/// kind. Customers whose work waits share them, so that an event costs as much with many customers.
const MAX_FAILED_PLACEMENTS: usize = 12;
/// Least share of one customer: one statement may wait for another reason, such as a replica that lags.
const MIN_FAILED_PLACEMENTS: usize = 2;
/// Share of the drain time after which a draining endpoint gets no new work. The directory may
/// report the drain late by one watch of the store, which lasts less than half of the drain time.
const DRAIN_SHARE: f64 = 0.4;
/// Silence of all endpoints that could confirm the primary after which this node counts as isolated
/// and clients are better served by other nodes.
const ISOLATED_AFTER: Time = Time::from_millis(300);
/// Age of the last answer after which an endpoint's average response time is outdated and the
/// endpoint is tried again.
const MAX_RESPONSE_AGE: Time = Time::from_millis(1000);

impl Router {
    /// Places the waiting work of all groups that changed, the most urgent first.
    pub(super) fn dispatch_all(&mut self) {
        for service in std::mem::take(&mut self.dirty) {
            self.dispatch(&service);
        }
    }

    fn dispatch(&mut self, service: &ServiceName) {
        let now = self.now;
        let Some(group) = self.groups.get_mut(service) else { return };
        if group.waiting_sessions.is_empty() {
            return;
        }
        let waiting = group.waiting_sessions.len();
        group.waiting_at_dispatch = waiting;
        group.waiting_sessions.start_dispatch(now);
        let share = MAX_FAILED_PLACEMENTS / group.waiting_sessions.customer_count();
        let limit = share.max(MIN_FAILED_PLACEMENTS);
        let mut failed_placements: BTreeMap<(Kind, Option<CustomerName>), usize> = BTreeMap::new();
        // Work that is queued again while others are placed waits for the next dispatch.
        for _ in 0..waiting {
            let Some(group) = self.groups.get_mut(service) else { return };
            let Some(candidate) = group.waiting_sessions.candidate() else { break };
            let (id, customer) = (candidate.work.session, candidate.work.customer.clone());
            let kind = self.kind_of(service, id);
            let failure_count = failed_placements.entry((kind, customer)).or_default();
            // After several placements of one kind have found no connection, the rest of the
            // customer's work would fail too.
            let is_skipped = *failure_count >= limit;
            let placement = match is_skipped {
                true => Placement::StillWaiting,
                false => self.place(service, id),
            };
            let Some(group) = self.groups.get_mut(service) else { return };
            match placement {
                Placement::Done => group.waiting_sessions.finish(&candidate),
                Placement::StillWaiting if is_skipped => group.waiting_sessions.skip(&candidate),
                Placement::StillWaiting => {
                    *failure_count += 1;
                    group.waiting_sessions.hold(&candidate);
                }
            }
        }
        if let Some(group) = self.groups.get_mut(service) {
            group.waiting_sessions.end_dispatch();
        }
    }

    fn kind_of(&self, service: &ServiceName, id: SessionId) -> Kind {
        let Some(session) = self.sessions.get(&id) else { return Kind::InTransaction };
        match (&session.transaction, &session.current) {
            (Some(transaction), _) if transaction.phase == Phase::Waiting => {
                match transaction.is_read_only {
                    true => Kind::BeginReadOnly,
                    false => Kind::Begin,
                }
            }
            (Some(_), _) => Kind::InTransaction,
            (None, Some(operation)) if operation.is_read() => {
                let consistency = operation.route.consistency;
                match self.read_floor(session, consistency, service, operation.received_at) {
                    Some(_) => Kind::ReplicaRead,
                    None => Kind::PrimaryOnly,
                }
            }
            _ => Kind::PrimaryOnly,
        }
    }

    fn place(&mut self, service: &ServiceName, id: SessionId) -> Placement {
        let Some(session) = self.sessions.get(&id) else { return Placement::Done };
        if session.serving_group.is_some() && !session.is_accepted {
            return self.place_session(service, id);
        }
        match session.transaction.as_ref().map(|transaction| transaction.phase) {
            Some(Phase::Waiting) => return self.place_begin(service, id),
            Some(Phase::Opening(_) | Phase::Committed | Phase::Failed { .. }) => {
                return Placement::Done;
            }
            Some(Phase::Open(connection)) => {
                return self.place_in_transaction(id, connection);
            }
            None => {}
        }
        match &session.current {
            Some(operation) if operation.stage == Stage::Waiting => {
                self.place_statement(service, id)
            }
            _ => Placement::Done,
        }
    }

    fn place_begin(&mut self, service: &ServiceName, id: SessionId) -> Placement {
        let now = self.now;
        let Some(session) = self.sessions.get(&id) else { return Placement::Done };
        let Some(transaction) = &session.transaction else { return Placement::Done };
        let floor = match transaction.is_read_only {
            true => self.read_floor(
                session,
                transaction.route.consistency,
                service,
                transaction.received_at,
            ),
            false => None,
        };
        let need = floor.map_or(Need::Primary, Need::Position);
        let is_avoided = |endpoint: &EndpointId| {
            transaction.avoided_endpoints.iter().any(|(e, until)| e == endpoint && now < *until)
        };
        let Some(connection) = self.choose_connection(service, need, session, &is_avoided, true)
        else {
            let avoided = avoided_at(&transaction.avoided_endpoints, now);
            let customer = session.customer.clone();
            self.open_best_connection(service, need, &avoided, customer);
            return Placement::StillWaiting;
        };
        self.record_placed(service, id);
        let Some(session) = self.sessions.get(&id) else { return Placement::Done };
        let Some(transaction) = &session.transaction else { return Placement::Done };
        let is_read_only =
            floor.is_some() && (transaction.is_read_only || !self.is_remote(service));
        let begin = Statement::Begin { read_only: is_read_only };
        let command = Command::new(Order::Statement(begin)).with_min_position(floor.filter(is_set));
        let Some(state) = self.connections.get_mut(&connection) else { return Placement::Done };
        let setup = state.setup(&session.values, None);
        let mut commands = with_purpose(setup.commands, Purpose::Setup);
        commands.push((command, Purpose::Begin(id)));
        state.transaction_session = Some(id);
        if let Some(transaction) = self.sessions.get_mut(&id).and_then(|s| s.transaction.as_mut()) {
            transaction.phase = Phase::Opening(connection);
            transaction.floor = floor;
        }
        self.send(connection, commands);
        if let Some(position) = floor {
            self.record_floor_sent(service, connection, position);
        }
        self.record_sent(service, id);
        Placement::Done
    }

    fn place_in_transaction(&mut self, id: SessionId, connection: ConnectionId) -> Placement {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return Placement::Done };
        let Some(operation) = &mut session.current else { return Placement::Done };
        if operation.stage != Stage::Waiting {
            return Placement::Done;
        }
        if operation.avoided_endpoints.iter().any(|(_, until)| now < *until) {
            return Placement::StillWaiting;
        }
        operation.stage = Stage::Sent { connection, sent_at: now };
        operation.need = Need::Transaction;
        operation.attempts += 1;
        let is_write = operation.access == Some(Access::Write);
        if let Some(transaction) = &mut session.transaction {
            transaction.has_written |= is_write;
        }
        let began_at_floor =
            session.transaction.as_ref().is_some_and(|transaction| transaction.floor.is_some());
        let service =
            session.transaction.as_ref().map(|transaction| transaction.route.service.clone());
        if let Some(service) = service
            && !began_at_floor
            && !self.is_remote(&service)
        {
            self.request_evidence_if_old(&service);
        }
        self.send_statement(id, connection, None, false);
        Placement::Done
    }

    fn place_statement(&mut self, service: &ServiceName, id: SessionId) -> Placement {
        let now = self.now;
        let Some(session) = self.sessions.get(&id) else { return Placement::Done };
        let Some(operation) = &session.current else { return Placement::Done };
        let need = match operation.access {
            Some(Access::Read) => {
                let consistency = operation.route.consistency;
                self.read_floor(session, consistency, service, operation.received_at)
                    .map_or(Need::ProvenPrimary, Need::Position)
            }
            _ => Need::Primary,
        };
        let is_avoided = |endpoint: &EndpointId| operation.avoids(endpoint, now);
        let chosen_connection = self.choose_connection(service, need, session, &is_avoided, false);
        let is_remote = self.is_remote(service);
        let avoided = avoided_at(&operation.avoided_endpoints, now);
        let customer = session.customer.clone();
        let Some(operation) = self.sessions.get_mut(&id).and_then(|s| s.current.as_mut()) else {
            return Placement::Done;
        };
        operation.need = need;
        let Some(connection) = chosen_connection else {
            if self.should_fail_fast(service, need) {
                self.abandon_statement(id);
                return Placement::Done;
            }
            self.open_best_connection(service, need, &avoided, customer);
            return Placement::StillWaiting;
        };
        self.record_placed(service, id);
        let Some(operation) = self.sessions.get_mut(&id).and_then(|s| s.current.as_mut()) else {
            return Placement::Done;
        };
        operation.stage = Stage::Sent { connection, sent_at: now };
        operation.attempts += 1;
        if need == Need::ProvenPrimary && !self.is_remote(service) {
            self.request_evidence_if_old(service);
        }
        let min_position = match need {
            Need::Position(position) => {
                self.record_read_sent(service, connection, position);
                Some(position).filter(is_set)
            }
            _ => None,
        };
        self.send_statement(
            id,
            connection,
            min_position,
            need == Need::ProvenPrimary && !is_remote,
        );
        Placement::Done
    }

    fn send_statement(
        &mut self,
        id: SessionId,
        connection: ConnectionId,
        min_position: Option<Position>,
        with_proof: bool,
    ) {
        let Some(session) = self.sessions.get(&id) else { return };
        let Some(operation) = session.current.clone() else { return };
        let Some(state) = self.connections.get_mut(&connection) else { return };
        let setup = state.setup(&session.values, operation.prepared.as_ref());
        let sent_statement = match (setup.prepared_name, &operation.statement) {
            (Some(name), Statement::Execute { arguments, .. }) => {
                debug!(
                    request = %operation.id, connection, prepared = name,
                    "executing a prepared statement"
                );
                Statement::Execute { name, arguments: arguments.clone() }
            }
            (_, other) => other.clone(),
        };
        let mut commands = with_purpose(setup.commands, Purpose::Setup);
        let command = Command::new(Order::Statement(sent_statement))
            .with_id(&operation.id)
            .with_min_position(min_position);
        commands.push((command, Purpose::Statement(id, operation.serial)));
        if with_proof {
            let begin = Statement::Begin { read_only: false };
            let proof_command = Command::new(Order::Statement(begin));
            let rollback_command = Command::new(Order::Statement(Statement::Rollback));
            commands.push((proof_command, Purpose::Proof(id, operation.serial)));
            commands.push((rollback_command, Purpose::Cleanup));
        }
        self.send(connection, commands);
        self.record_sent(&operation.route.service, id);
    }

    /// Returns the floor of a read received at `received_at`: the position that an endpoint must
    /// hold to serve the read. None if only the primary can serve it.
    fn read_floor(
        &self,
        session: &Session,
        consistency: Consistency,
        service: &ServiceName,
        received_at: Time,
    ) -> Option<Position> {
        let max_age = staleness_bound(consistency)?;
        let group = self.groups.get(service)?;
        if !group.is_remote && !self.uses(Mechanism::ReplicaReads) {
            return None;
        }
        if group.is_remote {
            let own_commit = session.last_commits.get(service).copied();
            return Some(own_commit.unwrap_or(Position { term: 0, number: 0 }));
        }
        let position = group.evidence.position_since(received_at.saturating_sub(max_age))?;
        match (consistency, session.last_commits.get(service)) {
            (Consistency::Session(_), Some(own_commit)) => Some(position.max(*own_commit)),
            _ => Some(position),
        }
    }

    /// Returns a free connection to the best endpoint for `need`.
    pub(super) fn choose_connection(
        &self,
        service: &ServiceName,
        need: Need,
        session: &Session,
        is_avoided: &dyn Fn(&EndpointId) -> bool,
        for_transaction: bool,
    ) -> Option<ConnectionId> {
        let group = self.groups.get(service)?;
        let candidates = self.candidates(group, need, is_avoided);
        for id in candidates {
            let Some(endpoint) = group.endpoints.get(&id) else { continue };
            let connections = self.connections_to(endpoint);
            if for_transaction {
                let pinned_count =
                    connections.clone().filter(|c| c.transaction_session.is_some()).count();
                // One connection stays free for statements outside of transactions.
                if !group.is_remote && pinned_count + 1 >= self.max_connections(group) {
                    continue;
                }
            }
            if !group.is_remote
                && self.uses(Mechanism::ConcurrencyWindow)
                && !endpoint.window.admits(self.in_flight(endpoint))
            {
                continue;
            }
            let free_connections = connections
                .filter(|c| c.is_free() && (group.is_remote || c.customer == session.customer));
            if let Some(connection) = free_connections.min_by_key(|c| c.setup_cost(&session.values))
            {
                return Some(connection.id);
            }
        }
        None
    }

    /// Returns the number of connections to an endpoint with unanswered commands.
    fn in_flight(&self, endpoint: &Endpoint) -> usize {
        self.connections_to(endpoint).filter(|c| !c.unanswered.is_empty()).count()
    }

    /// Returns the number of connections to the endpoint `id` with unanswered commands.
    pub(super) fn in_flight_at(&self, service: &ServiceName, id: &EndpointId) -> usize {
        let endpoint = self.groups.get(service).and_then(|group| group.endpoints.get(id));
        endpoint.map_or(0, |endpoint| self.in_flight(endpoint))
    }

    /// Returns the endpoints that can serve `need`, the best first; of a remote group, only the best.
    pub(super) fn candidates(
        &self,
        group: &Group,
        need: Need,
        is_avoided: &dyn Fn(&EndpointId) -> bool,
    ) -> Vec<EndpointId> {
        let now = self.now;
        let is_usable = |id: &EndpointId, endpoint: &Endpoint| {
            endpoint.suspected_since.is_none()
                && !is_avoided(id)
                && !self.is_closed_to_new_work(endpoint)
                && !endpoint.is_backing_off(now)
        };
        if group.is_remote {
            let ids = group
                .endpoints
                .iter()
                .filter(|(id, endpoint)| is_usable(id, endpoint) && !self.is_slow_peer(id));
            // Nodes that do not reach the store come last: their configuration and directory may be
            // old. A channel to the best node is cheap to open, so no other node is used.
            let best = ids.min_by_key(|(id, endpoint)| {
                let is_without_store =
                    self.uses(Mechanism::StoreRank) && self.peers_without_store.contains(*id);
                (is_without_store, endpoint.rank, *id)
            });
            return best.map(|(id, _)| id.clone()).into_iter().collect();
        }
        match need {
            Need::Primary | Need::ProvenPrimary | Need::Transaction => {
                let Some(primary) = &group.primary else { return Vec::new() };
                let endpoint = group.endpoints.get(&primary.endpoint);
                // Work whose answer could not be confirmed is not sent. Replicas receive nothing
                // of a fenced term, so its writes cannot be confirmed.
                let is_fenced = group.fenced_since.is_some();
                let is_unconfirmable =
                    (is_fenced || self.is_isolated(group)) && !group.evidence.covers(now);
                if need != Need::Transaction
                    && (is_unconfirmable || (is_fenced && need == Need::Primary))
                {
                    return Vec::new();
                }
                match endpoint {
                    Some(endpoint) if is_usable(&primary.endpoint, endpoint) => {
                        vec![primary.endpoint.clone()]
                    }
                    _ => Vec::new(),
                }
            }
            Need::Position(position) => {
                let mut candidates: Vec<(Time, EndpointId)> = group
                    .endpoints
                    .iter()
                    .filter(|(id, endpoint)| {
                        is_usable(id, endpoint)
                            && (group.is_primary(id)
                                || (!endpoint.entry.leaving
                                    && (!self.uses(Mechanism::LagTrials)
                                        || endpoint.freshness.may_serve(now, position))))
                    })
                    .map(|(id, endpoint)| {
                        (self.read_cost(endpoint, group.is_primary(id)), id.clone())
                    })
                    .collect();
                candidates.sort();
                let candidates = candidates.into_iter().map(|(_, id)| id).collect();
                self.order_by_standing(group, candidates)
            }
        }
    }

    fn is_slow_peer(&self, id: &EndpointId) -> bool {
        self.uses(Mechanism::SlowPeers) && self.slow_peers.contains(id)
    }

    /// Returns whether this node is isolated and cannot serve `need`, so that the client should
    /// retry at another node at once.
    fn should_fail_fast(&self, service: &ServiceName, need: Need) -> bool {
        let Some(group) = self.groups.get(service) else { return false };
        self.uses(Mechanism::IsolationRefusal)
            && !group.is_remote
            && !matches!(need, Need::Position(_))
            && self.is_isolated(group)
            && !group.evidence.covers(self.now)
    }

    /// Returns whether all endpoints that could confirm the primary have been suspected for
    /// [`ISOLATED_AFTER`].
    pub(super) fn is_isolated(&self, group: &Group) -> bool {
        let since = self.now.saturating_sub(ISOLATED_AFTER);
        let mut other_endpoints =
            group.endpoints.iter().filter(|(id, _)| !group.is_primary(id)).peekable();
        let is_silent = |endpoint: &Endpoint| {
            endpoint.suspected_since.is_some_and(|suspected_since| suspected_since <= since)
        };
        group.is_replicated
            && other_endpoints.peek().is_some()
            && other_endpoints.all(|(_, endpoint)| is_silent(endpoint))
    }

    fn read_cost(&self, endpoint: &Endpoint, is_primary: bool) -> Time {
        let expected_time = self.expected_read_time(&endpoint.entry.failure_domain);
        let is_recent =
            endpoint.freshness.applied().is_some_and(|(at, _)| self.now < at + MAX_RESPONSE_AGE);
        let read_time = match is_recent {
            true => endpoint.average_read_time.max(expected_time / 2),
            false => endpoint.average_read_time.min(expected_time),
        };
        let has_penalty = is_primary && self.uses(Mechanism::PrimaryPenalty);
        read_time + if has_penalty { PRIMARY_PENALTY } else { Time::ZERO }
    }

    /// Returns whether a draining endpoint must get no new work.
    pub(super) fn is_closed_to_new_work(&self, endpoint: &Endpoint) -> bool {
        let limit = self.settings.drain_timeout.mul_f64(DRAIN_SHARE);
        endpoint.draining_since.is_some_and(|draining_since| self.now >= draining_since + limit)
    }
}

fn with_purpose(commands: Vec<Command>, purpose: Purpose) -> Vec<(Command, Purpose)> {
    commands.into_iter().map(|command| (command, purpose.clone())).collect()
}

/// Returns whether a position is set: a floor of term 0 requires nothing.
fn is_set(position: &Position) -> bool {
    position.term > 0
}

/// Returns the endpoints that are avoided at `now`.
fn avoided_at(avoided_endpoints: &[(EndpointId, Time)], now: Time) -> Vec<EndpointId> {
    avoided_endpoints.iter().filter(|(_, until)| now < *until).map(|(id, _)| id.clone()).collect()
}

/// Result of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Placement {
    /// The work no longer waits: it was placed, completed or refused.
    Done,
    /// The work still waits for a connection.
    StillWaiting,
}
