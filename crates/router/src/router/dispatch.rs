//! Placement of waiting statements and transactions on endpoints and connections.
//!
//! In a group of database endpoints, work goes to the primary or to a replica whose log is recent
//! enough. In a remote group, whose endpoints are other nodes, work goes to the node that ranks
//! best.

use super::Router;
use super::callers::allows_replicas;
use crate::configuration::Consistency;
use crate::connection::Purpose;
use crate::endpoint::Endpoint;
use crate::group::Group;
use crate::message::{
    Access, Command, ConnectionId, EndpointId, Order, Position, ServiceName, SessionId, Statement,
    Time,
};
use crate::session::{Need, Phase, Session, Stage};
use crate::settings::{
    MAX_CONNECTION_SHARE, MAX_CONNECTIONS_PER_ENDPOINT, MIN_CONNECTIONS_PER_ENDPOINT,
};

/// Added to the cost of the primary for reads that replicas can also serve, which keeps its
/// capacity for writes.
const PRIMARY_PENALTY: Time = Time::from_millis(10);
/// Number of failed placements after which a dispatch skips a group's remaining work of the same
/// kind.
const FAILURES_MOST: usize = 12;
/// Share of the latency objective after which waiting work is unlikely to meet the objective.
const LATE_SHARE: f64 = 0.6;
/// Share of the drain time after which a draining endpoint gets no new work. The directory may
/// report the drain late by one watch of the store, which lasts less than half of the drain time.
const LEAVE_SHARE: f64 = 0.4;
/// Silence of all endpoints that could confirm the primary after which this node counts as isolated
/// and clients are better served by other nodes.
const ISOLATED_AFTER: Time = Time::from_millis(300);
/// Age of the last answer after which an endpoint's average response time is outdated and the
/// endpoint is tried again.
const RESPONSE_AGE: Time = Time::from_millis(1000);

impl Router {
    /// Places the waiting work of all groups that changed, the most urgent first.
    pub(super) fn dispatch_all(&mut self) {
        for service in std::mem::take(&mut self.dirty) {
            self.dispatch(&service);
        }
    }

    fn dispatch(&mut self, service: &ServiceName) {
        let Some(group) = self.groups.get_mut(service) else { return };
        if group.waiting_sessions.is_empty() {
            return;
        }
        let mut waiting = std::mem::take(&mut group.waiting_sessions);
        group.waiting_at_dispatch = waiting.len();
        waiting.sort_by_key(|id| self.urgency(*id));
        let mut left = Vec::new();
        let mut failures = [0; Kind::COUNT];
        for id in waiting {
            let kind = self.kind(service, id);
            // After several placements of one kind have found no connection, the rest would fail
            // too.
            let failed = &mut failures[kind as usize];
            if *failed >= FAILURES_MOST || self.place(service, id) == Placed::Not {
                *failed += 1;
                left.push(id);
            }
        }
        if let Some(group) = self.groups.get_mut(service) {
            group.waiting_sessions.extend(left);
        }
    }

    /// Returns the sort key of waiting work. Work that is unlikely to meet its latency objective
    /// comes after all work that still can.
    fn urgency(&self, id: SessionId) -> (bool, u32, Time) {
        let Some(session) = self.sessions.get(&id) else { return (true, u32::MAX, Time::MAX) };
        let (route, since) = match (&session.current, &session.transaction) {
            (Some(operation), _) => (&operation.route, operation.received_at),
            (None, Some(open)) => (&open.route, open.received_at),
            (None, None) => return (true, u32::MAX, Time::MAX),
        };
        let is_late = self.now >= since + route.objective.mul_f64(LATE_SHARE);
        (is_late, route.priority, since)
    }

    fn kind(&self, service: &ServiceName, id: SessionId) -> Kind {
        let Some(session) = self.sessions.get(&id) else { return Kind::Inside };
        match (&session.transaction, &session.current) {
            (Some(open), _) if open.phase == Phase::Waiting => match open.is_read_only {
                true => Kind::BeginReadOnly,
                false => Kind::Begin,
            },
            (Some(_), _) => Kind::Inside,
            (None, Some(operation)) if operation.is_read() => {
                let consistency = operation.route.consistency;
                match self.floor(session, consistency, service, operation.received_at) {
                    Some(_) => Kind::Read,
                    None => Kind::AtPrimary,
                }
            }
            _ => Kind::AtPrimary,
        }
    }

    fn place(&mut self, service: &ServiceName, id: SessionId) -> Placed {
        let Some(session) = self.sessions.get(&id) else { return Placed::Done };
        if session.serving_group.is_some() && !session.is_accepted {
            return self.place_start(service, id);
        }
        match session.transaction.as_ref().map(|open| open.phase) {
            Some(Phase::Waiting) => return self.place_begin(service, id),
            Some(Phase::Opening(_) | Phase::Committed | Phase::Failed { .. }) => {
                return Placed::Done;
            }
            Some(Phase::Open(connection)) => return self.place_inside(id, connection),
            None => {}
        }
        match &session.current {
            Some(operation) if operation.stage == Stage::Waiting => self.place_single(service, id),
            _ => Placed::Done,
        }
    }

    fn place_begin(&mut self, service: &ServiceName, id: SessionId) -> Placed {
        let now = self.now;
        let Some(session) = self.sessions.get(&id) else { return Placed::Done };
        let Some(open) = &session.transaction else { return Placed::Done };
        let position = match open.is_read_only {
            true => self.floor(session, open.route.consistency, service, open.received_at),
            false => None,
        };
        let need = position.map_or(Need::Primary, Need::Position);
        let avoids = |endpoint: &EndpointId| {
            open.avoided_endpoints.iter().any(|(e, until)| e == endpoint && now < *until)
        };
        let Some(connection) = self.choose(service, need, session, &avoids, true) else {
            self.open_connections(service, need, &avoids_of(&open.avoided_endpoints, now));
            return Placed::Not;
        };
        let read_only = position.is_some() && (open.is_read_only || !self.is_remote(service));
        let begin = Statement::Begin { read_only };
        let command =
            Command::new(Order::Statement(begin)).with_min_position(position.filter(is_known));
        let mut commands = self.setup(connection, id, None);
        commands.push((command, Purpose::Begin(id)));
        if let Some(state) = self.connections.get_mut(&connection) {
            state.transaction_session = Some(id);
        }
        if let Some(open) = self.sessions.get_mut(&id).and_then(|s| s.transaction.as_mut()) {
            open.phase = Phase::Opening(connection);
            open.has_replica_position = position.is_some();
        }
        self.send(connection, commands);
        Placed::Done
    }

    fn place_inside(&mut self, id: SessionId, connection: ConnectionId) -> Placed {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return Placed::Done };
        let Some(operation) = &mut session.current else { return Placed::Done };
        if operation.stage != Stage::Waiting {
            return Placed::Done;
        }
        if operation.avoided_endpoints.iter().any(|(_, until)| now < *until) {
            return Placed::Not;
        }
        operation.stage = Stage::Sent { connection, sent_at: now };
        operation.need = Need::Transaction;
        operation.attempts += 1;
        let writes = operation.access == Some(Access::Write);
        if let Some(open) = &mut session.transaction {
            open.has_written |= writes;
        }
        let proven = session.transaction.as_ref().is_some_and(|open| open.has_replica_position);
        let service = session.transaction.as_ref().map(|open| open.route.service.clone());
        if let Some(service) = service
            && !proven
            && !self.is_remote(&service)
        {
            self.renew_evidence(&service);
        }
        self.send_statement(id, connection, None, false);
        Placed::Done
    }

    fn place_single(&mut self, service: &ServiceName, id: SessionId) -> Placed {
        let now = self.now;
        let Some(session) = self.sessions.get(&id) else { return Placed::Done };
        let Some(operation) = &session.current else { return Placed::Done };
        let need = match operation.access {
            Some(Access::Read) => {
                let consistency = operation.route.consistency;
                self.floor(session, consistency, service, operation.received_at)
                    .map_or(Need::ProvenPrimary, Need::Position)
            }
            _ => Need::Primary,
        };
        let avoids = |endpoint: &EndpointId| operation.avoids(endpoint, now);
        let chosen = self.choose(service, need, session, &avoids, false);
        let pass_on = self.is_remote(service);
        let avoid = avoids_of(&operation.avoided_endpoints, now);
        let Some(operation) = self.sessions.get_mut(&id).and_then(|s| s.current.as_mut()) else {
            return Placed::Done;
        };
        operation.need = need;
        let Some(connection) = chosen else {
            if self.is_hopeless(service, need) {
                self.give_up(id);
                return Placed::Done;
            }
            self.open_connections(service, need, &avoid);
            return Placed::Not;
        };
        operation.stage = Stage::Sent { connection, sent_at: now };
        operation.attempts += 1;
        if need == Need::ProvenPrimary && !self.is_remote(service) {
            self.renew_evidence(service);
        }
        let after = match need {
            Need::Position(position) => Some(position).filter(is_known),
            _ => None,
        };
        self.send_statement(id, connection, after, need == Need::ProvenPrimary && !pass_on);
        Placed::Done
    }

    fn send_statement(
        &mut self,
        id: SessionId,
        connection: ConnectionId,
        after: Option<Position>,
        proven: bool,
    ) {
        let Some(session) = self.sessions.get(&id) else { return };
        let Some(operation) = session.current.clone() else { return };
        let sent = match &operation.statement {
            Statement::Execute { name, arguments } => {
                let shared = session.prepared.get(name).map(|prepared| prepared.shared_name());
                Statement::Execute {
                    name: shared.unwrap_or_else(|| name.clone()),
                    arguments: arguments.clone(),
                }
            }
            other => other.clone(),
        };
        let mut commands = self.setup(connection, id, Some(&operation.statement));
        let command =
            Command::new(Order::Statement(sent)).with_id(&operation.id).with_min_position(after);
        commands.push((command, Purpose::Statement(id, operation.serial)));
        if proven {
            let begin = Statement::Begin { read_only: false };
            let proof = Command::new(Order::Statement(begin));
            let end = Command::new(Order::Statement(Statement::Rollback));
            commands.push((proof, Purpose::Proof(id, operation.serial)));
            commands.push((end, Purpose::Cleanup));
        }
        self.send(connection, commands);
    }

    fn setup(
        &mut self,
        connection: ConnectionId,
        id: SessionId,
        statement: Option<&Statement>,
    ) -> Vec<(Command, Purpose)> {
        let Some(state) = self.connections.get_mut(&connection) else { return Vec::new() };
        let Some(session) = self.sessions.get(&id) else { return Vec::new() };
        let commands = state.setup_commands(session, statement);
        commands.into_iter().map(|command| (command, Purpose::Setup)).collect()
    }

    /// Returns the floor of a read received at `received`: the position that an endpoint must hold
    /// to serve the read. None if only the primary can serve it.
    fn floor(
        &self,
        session: &Session,
        consistency: Consistency,
        service: &ServiceName,
        received: Time,
    ) -> Option<Position> {
        let age = allows_replicas(consistency)?;
        let group = self.groups.get(service)?;
        if group.is_remote {
            let own = session.last_commits.get(service).copied();
            return Some(own.unwrap_or(Position { term: 0, number: 0 }));
        }
        let position = group.evidence.position_since(received.saturating_sub(age))?;
        match (consistency, session.last_commits.get(service)) {
            (Consistency::Session(_), Some(own)) => Some(position.max(*own)),
            _ => Some(position),
        }
    }

    /// Returns a free connection to the best endpoint for `need`.
    pub(super) fn choose(
        &self,
        service: &ServiceName,
        need: Need,
        session: &Session,
        avoids: &dyn Fn(&EndpointId) -> bool,
        pins: bool,
    ) -> Option<ConnectionId> {
        let group = self.groups.get(service)?;
        let mut candidates = self.candidates(group, need, avoids);
        if group.is_remote {
            // A channel to the best node is cheap to open, so lower-ranked nodes are not used.
            candidates.truncate(1);
        }
        for id in candidates {
            let Some(endpoint) = group.endpoints.get(&id) else { continue };
            let connections = self.connections_to(endpoint);
            if pins {
                let pinned =
                    connections.clone().filter(|c| c.transaction_session.is_some()).count();
                // One connection stays free for statements outside of transactions.
                if !group.is_remote && pinned + 1 >= self.connections_most(group) {
                    continue;
                }
            }
            let free = connections.filter(|c| c.is_free());
            if let Some(found) = free.min_by_key(|c| c.value_mismatch(&session.values)) {
                return Some(found.id);
            }
        }
        None
    }

    /// Returns the endpoints that can serve `need`, the best first.
    fn candidates(
        &self,
        group: &Group,
        need: Need,
        avoids: &dyn Fn(&EndpointId) -> bool,
    ) -> Vec<EndpointId> {
        let now = self.now;
        let usable = |id: &EndpointId, endpoint: &Endpoint| {
            endpoint.suspected_since.is_none()
                && !avoids(id)
                && !self.has_left(endpoint)
                && !endpoint.is_backing_off(now)
        };
        if group.is_remote {
            let ids = group
                .endpoints
                .iter()
                .filter(|(id, endpoint)| usable(id, endpoint) && !self.slow_peers.contains(*id));
            let mut ranked: Vec<_> =
                ids.map(|(id, _)| (self.peer_rank(group, id), id.clone())).collect();
            ranked.sort();
            return ranked.into_iter().map(|(_, id)| id).collect();
        }
        match need {
            Need::Primary | Need::ProvenPrimary | Need::Transaction => {
                let Some(lead) = &group.primary else { return Vec::new() };
                let primary = group.endpoints.get(&lead.endpoint);
                // Work whose answer could not be confirmed is not sent. Replicas receive nothing
                // of a fenced term, so its writes cannot be confirmed.
                let closed = group.fenced_since.is_some();
                let lost = (closed || self.is_isolated(group)) && !group.evidence.covers(now);
                if need != Need::Transaction && (lost || (closed && need == Need::Primary)) {
                    return Vec::new();
                }
                match primary {
                    Some(primary) if usable(&lead.endpoint, primary) => vec![lead.endpoint.clone()],
                    _ => Vec::new(),
                }
            }
            Need::Position(position) => {
                let mut found: Vec<(Time, EndpointId)> = group
                    .endpoints
                    .iter()
                    .filter(|(id, endpoint)| {
                        usable(id, endpoint)
                            && (group.is_primary(id)
                                || (!endpoint.entry.leaving
                                    && endpoint.may_have_applied(position, now)))
                    })
                    .map(|(id, endpoint)| (self.cost(endpoint, group.is_primary(id)), id.clone()))
                    .collect();
                found.sort();
                found.into_iter().map(|(_, id)| id).collect()
            }
        }
    }

    /// Returns whether this node is isolated and cannot serve `need`, so that the client should
    /// retry at another node at once.
    fn is_hopeless(&self, service: &ServiceName, need: Need) -> bool {
        let Some(group) = self.groups.get(service) else { return false };
        !group.is_remote
            && !matches!(need, Need::Position(_))
            && self.is_isolated(group)
            && !group.evidence.covers(self.now)
    }

    /// Returns whether all endpoints that could confirm the primary have been suspected for
    /// [`ISOLATED_AFTER`].
    pub(super) fn is_isolated(&self, group: &Group) -> bool {
        let since = self.now.saturating_sub(ISOLATED_AFTER);
        let mut others = group.endpoints.iter().filter(|(id, _)| !group.is_primary(id)).peekable();
        let silent = |endpoint: &Endpoint| endpoint.suspected_since.is_some_and(|at| at <= since);
        group.is_replicated
            && others.peek().is_some()
            && others.all(|(_, endpoint)| silent(endpoint))
    }

    fn cost(&self, endpoint: &Endpoint, leads: bool) -> Time {
        let distance = self.distance(&endpoint.entry.failure_domain);
        let recent = endpoint.applied.is_some_and(|(at, _)| self.now < at + RESPONSE_AGE);
        let response = match recent {
            true => endpoint.average_read_time.max(distance / 2),
            false => endpoint.average_read_time.min(distance),
        };
        response + if leads { PRIMARY_PENALTY } else { Time::ZERO }
    }

    /// Returns whether a draining endpoint must get no new work.
    pub(super) fn has_left(&self, endpoint: &Endpoint) -> bool {
        let within = self.settings.drain_timeout.mul_f64(LEAVE_SHARE);
        endpoint.draining_since.is_some_and(|since| self.now >= since + within)
    }

    /// Opens a connection to the best endpoint for `need` if the limit allows one more.
    pub(super) fn open_connections(
        &mut self,
        service: &ServiceName,
        need: Need,
        avoid: &[EndpointId],
    ) {
        let Some(group) = self.groups.get(service) else { return };
        let candidates = self.candidates(group, need, &|id| avoid.contains(id));
        let Some(best) = candidates.into_iter().next() else { return };
        let most = self.connections_most(group);
        self.open_connection(service, &best, most);
    }

    /// Returns the maximum number of connections of this node to one endpoint of a group.
    pub(super) fn connections_most(&self, group: &Group) -> usize {
        let share =
            f64::from(group.max_connections) * MAX_CONNECTION_SHARE / self.holders.max(1) as f64;
        (share as usize).clamp(MIN_CONNECTIONS_PER_ENDPOINT, MAX_CONNECTIONS_PER_ENDPOINT)
    }

    /// Opens a connection to an endpoint unless another is being opened or the limit is reached.
    pub(super) fn open_connection(&mut self, service: &ServiceName, id: &EndpointId, most: usize) {
        let now = self.now;
        let Some(group) = self.groups.get(service) else { return };
        let Some(endpoint) = group.endpoints.get(id) else { return };
        let may_hold = group.is_remote || (!self.awaits_role() && self.holds != Some(false));
        if now < endpoint.connect_after || !may_hold {
            return;
        }
        let opening = self.connections_to(endpoint).filter(|c| !c.is_established).count();
        let enough = match group.is_remote {
            true => opening >= group.waiting_at_dispatch.max(1),
            false => opening > 0 || endpoint.connections.len() >= most,
        };
        if enough {
            return;
        }
        self.connect(service, id);
    }
}

/// Returns whether a position is set: a floor of term 0 requires nothing.
fn is_known(position: &Position) -> bool {
    position.term > 0
}

fn avoids_of(avoid: &[(EndpointId, Time)], now: Time) -> Vec<EndpointId> {
    avoid.iter().filter(|(_, until)| now < *until).map(|(id, _)| id.clone()).collect()
}

/// Kind of waiting work. Kinds are counted separately because one may find a connection where
/// another does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Statement of an open transaction, which has its own connection.
    Inside,
    /// Begin of a transaction at the primary.
    Begin,
    /// Begin of a read-only transaction, which replicas may serve.
    BeginReadOnly,
    /// Statement that only the primary can serve.
    AtPrimary,
    /// Read that replicas may serve.
    Read,
}

impl Kind {
    const COUNT: usize = 5;
}

/// Result of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Placed {
    /// The work no longer waits: it was placed, completed or refused.
    Done,
    /// The work still waits for a connection.
    Not,
}
