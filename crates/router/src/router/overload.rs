//! Refusal of waiting work that no endpoint can answer before its time limit.
//!
//! Statements of transactions are never refused here, and nothing is while the primary is unknown or
//! being replaced: the wait then ends with the failover.

use metrics::counter;
use tamarackbend_policy::code::Code;
use tracing::info;

use super::Router;
use super::clients::staleness_bound;
use crate::admission::queue::{self, LATE_SHARE};
use crate::admission::retry::MAX_SPREAD;
use crate::admission::wait::{Kind, Pace};
use crate::configuration::Consistency;
use crate::experiment::Mechanism;
use crate::group::Group;
use crate::message::{EndpointId, Fault, ServiceName, SessionId, Time};
use crate::session::{Operation, Phase, Session, Stage};
use crate::settings::RETRY_AFTER_BUSY;

/// Waiting sessions of a group below which the expected wait is not estimated.
const MIN_QUEUE: usize = 16;
/// Interval of the search for hopeless work: short against time limits, and long against the
/// statements that it looks at.
const CHECK_INTERVAL: Time = Time::from_millis(100);
/// Time after a silence or a failover of the primary in which nothing is refused. A primary that accepts
/// connections without answering is suspected again within this time.
const STEADY_AFTER: Time = Time::from_secs(1);

/// Wait from which on work counts as part of a standing queue: longer than the round trip after which
/// another endpoint is tried.
const MIN_STANDING_WAIT: Time = Time::from_millis(30);
/// Share of the latency objective over which the delays of shed clients are spread, so that they can
/// come back within the objective.
const MAX_RETURN_SHARE: f64 = 0.25;

/// Place of waiting work in the order of service: late, priority, arrival.
type Place = (bool, u32, Time);

impl Router {
    /// Refuses the statement that a session is about to queue, if it cannot be answered in time.
    /// Returns whether it was refused.
    pub(super) fn refuse_if_hopeless(&mut self, service: &ServiceName, id: SessionId) -> bool {
        if self.shed(service, id) {
            return true;
        }
        let Some(group) = self.groups.get(service) else { return false };
        if group.waiting_sessions.len() < MIN_QUEUE || !self.estimates_waits(group) {
            return false;
        }
        let Some(operation) = self.waiting_operation(id) else { return false };
        let kind = kind_of(operation);
        let Some(pace) = self.pace(group, kind) else { return false };
        // Work on time at the last check, of at least this priority, goes first in any order.
        let ahead: usize = group
            .on_time_counts
            .range((kind, 0)..=(kind, operation.route.priority))
            .map(|(_, count)| *count)
            .sum();
        let ahead = ahead.min(group.waiting_sessions.len());
        let in_flight = self.in_flight_count(group, kind);
        let time_left = operation.deadline.saturating_sub(self.now);
        if pace.wait(ahead, in_flight) <= time_left {
            return false;
        }
        self.refuse_overloaded(service, id, ahead, in_flight, pace);
        true
    }

    /// Refuses the statement that a session is about to queue if the group has been overloaded for long and
    /// the statement would be late. Returns whether it was refused.
    fn shed(&mut self, service: &ServiceName, id: SessionId) -> bool {
        if !self.uses(Mechanism::LoadShedding) {
            return false;
        }
        let Some(group) = self.groups.get(service) else { return false };
        let Some((operation, kind)) = self.unplaced_operation(id) else { return false };
        if !self.estimates_waits(group) {
            return false;
        }
        let (objective, priority) = (operation.route.objective, operation.route.priority);
        let ahead = group.waiting_sessions.on_time_count(queued_kinds(kind), priority);
        if group.shedders[kind as usize].admits(ahead, objective) {
            return false;
        }
        let operation = operation.clone();
        let max_spread = objective.mul_f64(MAX_RETURN_SHARE);
        let retry_after = self.retry_delay(service, RETRY_AFTER_BUSY, max_spread, &operation.id);
        info!(
            request = %operation.id, session = id, %service, ?kind, ahead,
            objective_ms = objective.as_millis() as u64,
            retry_after_ms = retry_after.as_millis() as u64,
            "statement would be late in a lasting overload; refusing it"
        );
        counter!("statements_shed_total").increment(1);
        if self.sessions.get(&id).is_some_and(|session| session.transaction.is_some()) {
            self.fail_transaction(id);
        }
        self.refuse(id, Fault::Busy, Code::Shed, Some(retry_after));
        true
    }

    /// Records that the waiting work of a session is sent, as long as its connection was not fixed before.
    pub(super) fn record_placed(&mut self, service: &ServiceName, id: SessionId) {
        let Some((operation, kind)) = self.unplaced_operation(id) else { return };
        let waiting_since = operation.received_at;
        if let Some(group) = self.groups.get_mut(service) {
            group.shedders[kind as usize].record_placed(self.now, waiting_since);
        }
    }

    /// Measures the throughput of a group, and refuses waiting work that has become hopeless.
    pub(super) fn check_waits(&mut self, service: &ServiceName) {
        let now = self.now;
        let Some(group) = self.groups.get(service) else { return };
        if !self.has_steady_primary(group)
            && let Some(group) = self.groups.get_mut(service)
        {
            group.wait_estimates_after = now + STEADY_AFTER;
        }
        let Some(group) = self.groups.get(service) else { return };
        let is_steady = self.estimates_waits(group);
        let is_check_due = now >= group.next_wait_check_at;
        let mut queue = Vec::new();
        let mut is_waiting = [false; Kind::ALL.len()];
        let mut is_stuck = [false; Kind::ALL.len()];
        for id in group.waiting_sessions.iter() {
            let Some(operation) = self.waiting_operation(*id) else { continue };
            let kind = kind_of(operation);
            is_waiting[kind as usize] = true;
            is_stuck[kind as usize] |= now >= operation.received_at + MIN_STANDING_WAIT;
            if is_check_due {
                queue.push((place_of(operation, now), *id, kind, operation.deadline));
            } else if is_stuck.iter().all(|is_stuck| *is_stuck) {
                break;
            }
        }
        let in_flight = Kind::ALL.map(|kind| self.in_flight_count(group, kind));
        let is_long = is_steady && queue.len() >= MIN_QUEUE;
        let paces = Kind::ALL.map(|kind| if is_long { self.pace(group, kind) } else { None });
        let is_saturated = Kind::ALL.map(|kind| {
            is_steady && is_waiting[kind as usize] && !self.has_free_connection(group, kind)
        });
        let Some(group) = self.groups.get_mut(service) else { return };
        for kind in Kind::ALL {
            group.waits.observe(now, kind, is_saturated[kind as usize]);
            match is_steady {
                true => group.shedders[kind as usize].observe(now, is_stuck[kind as usize]),
                false => group.shedders[kind as usize].reset(),
            }
        }
        if !is_check_due {
            return;
        }
        group.next_wait_check_at = now + CHECK_INTERVAL;
        group.on_time_counts.clear();
        queue.sort_unstable();
        let mut ahead = [0; Kind::ALL.len()];
        let mut hopeless = Vec::new();
        for ((is_late, priority, _), id, kind, deadline) in queue {
            let pace = paces[kind as usize];
            let (ahead, in_flight) = (&mut ahead[kind as usize], in_flight[kind as usize]);
            let time_left = deadline.saturating_sub(now);
            if let Some(pace) = pace.filter(|pace| pace.wait(*ahead, in_flight) > time_left) {
                hopeless.push((id, *ahead, in_flight, pace));
                continue;
            }
            *ahead += 1;
            if !is_late {
                *group.on_time_counts.entry((kind, priority)).or_default() += 1;
            }
        }
        for (id, ahead, in_flight, pace) in hopeless {
            self.refuse_overloaded(service, id, ahead, in_flight, pace);
        }
    }

    fn refuse_overloaded(
        &mut self,
        service: &ServiceName,
        id: SessionId,
        ahead: usize,
        in_flight: usize,
        pace: Pace,
    ) {
        let now = self.now;
        let Some(operation) = self.waiting_operation(id).cloned() else { return };
        let retry_after = self.retry_delay(service, RETRY_AFTER_BUSY, MAX_SPREAD, &operation.id);
        let Some(group) = self.groups.get(service) else { return };
        info!(
            request = %operation.id, session = id, %service, kind = ?kind_of(&operation),
            waiting = group.waiting_sessions.len(), ahead, in_flight,
            rate_per_s = pace.rate, slots = pace.slots,
            service_ms = pace.service_time.as_millis() as u64,
            expected_ms = pace.wait(ahead, in_flight).as_millis() as u64,
            left_ms = operation.deadline.saturating_sub(now).as_millis() as u64,
            retry_after_ms = retry_after.as_millis() as u64,
            "statement cannot be served before its time limit; refusing it"
        );
        self.refuse(id, Fault::Busy, Code::Overloaded, Some(retry_after));
    }

    /// Returns whether waits can be estimated: the endpoints of a database have a primary that has not
    /// been silent or replaced lately. With customers, work of one may be served before or after that of
    /// another, so the place of a statement in the queue does not tell its wait.
    fn estimates_waits(&self, group: &Group) -> bool {
        !self.settings.has_customers
            && self.now >= group.wait_estimates_after
            && self.has_steady_primary(group)
    }

    fn has_steady_primary(&self, group: &Group) -> bool {
        !group.is_remote
            && group.failover.is_none()
            && group.fenced_since.is_none()
            && !self.is_isolated(group)
            && group.primary_endpoint().is_some_and(|primary| primary.suspected_since.is_none())
    }

    /// Returns the best pace of a group; an endpoint that is silent now counts as if it answered,
    /// unless it never has.
    fn pace(&self, group: &Group, kind: Kind) -> Option<Pace> {
        let limit = self.max_connections(group);
        if !self.uses(Mechanism::ExpectedWait) {
            return None;
        }
        let endpoints: Vec<(EndpointId, usize)> = group
            .endpoints
            .iter()
            .filter(|(id, endpoint)| match kind {
                Kind::Primary => group.is_primary(id),
                Kind::Any => endpoint.suspected_since.is_none() || group.waits.knows(kind, id),
            })
            .map(|(id, endpoint)| (id.clone(), endpoint.connections.len().max(limit)))
            .collect();
        group.waits.pace(self.now, kind, &endpoints)
    }

    /// Returns whether an endpoint that works has a free connection. Work that still waits then waits
    /// for something else, such as a replica that lags.
    fn has_free_connection(&self, group: &Group, kind: Kind) -> bool {
        let mut endpoints = group.endpoints.iter().filter(|(id, endpoint)| {
            (kind == Kind::Any || group.is_primary(id))
                && endpoint.suspected_since.is_none()
                && !endpoint.is_backing_off(self.now)
                && !self.is_closed_to_new_work(endpoint)
                && (group.is_primary(id) || !endpoint.freshness.is_behind())
        });
        endpoints.any(|(_, endpoint)| self.connections_to(endpoint).any(|c| c.is_free()))
    }

    /// Returns the number of connections in use to the endpoints that serve the kind.
    fn in_flight_count(&self, group: &Group, kind: Kind) -> usize {
        let endpoints = group
            .endpoints
            .iter()
            .filter(|(id, _)| kind == Kind::Any || group.is_primary(id))
            .map(|(_, endpoint)| endpoint);
        let connections = endpoints.flat_map(|endpoint| self.connections_to(endpoint));
        connections.filter(|c| c.is_established && !c.is_free()).count()
    }

    /// Returns the statement of a session that waits outside of a transaction.
    fn waiting_operation(&self, id: SessionId) -> Option<&Operation> {
        let session: &Session = self.sessions.get(&id)?;
        let operation = session.current.as_ref()?;
        let is_waiting = operation.stage == Stage::Waiting
            && session.transaction.is_none()
            && session.serving_group.is_none();
        is_waiting.then_some(operation)
    }

    /// Returns the statement of a session that waits for any connection, and its kind. Of a transaction,
    /// this is the first statement.
    fn unplaced_operation(&self, id: SessionId) -> Option<(&Operation, Kind)> {
        let session = self.sessions.get(&id)?;
        let operation = session.current.as_ref()?;
        if operation.stage != Stage::Waiting || session.serving_group.is_some() {
            return None;
        }
        let kind = match &session.transaction {
            None => kind_of(operation),
            Some(transaction) if transaction.phase != Phase::Waiting => return None,
            Some(transaction) if transaction.is_read_only => {
                kind_of_read(transaction.route.consistency)
            }
            Some(_) => Kind::Primary,
        };
        Some((operation, kind))
    }
}

/// Returns the kinds under which the queue keeps work of a kind.
fn queued_kinds(kind: Kind) -> &'static [queue::Kind] {
    match kind {
        Kind::Primary => &[queue::Kind::PrimaryOnly, queue::Kind::Begin],
        Kind::Any => &[queue::Kind::ReplicaRead, queue::Kind::BeginReadOnly],
    }
}

fn kind_of_read(consistency: Consistency) -> Kind {
    match staleness_bound(consistency) {
        Some(_) => Kind::Any,
        None => Kind::Primary,
    }
}

/// Returns the kind of an operation outside of a transaction.
pub(super) fn kind_of(operation: &Operation) -> Kind {
    match operation.is_read() {
        true => kind_of_read(operation.route.consistency),
        false => Kind::Primary,
    }
}

fn place_of(operation: &Operation, now: Time) -> Place {
    let is_late = now >= operation.waiting_since + operation.route.objective.mul_f64(LATE_SHARE);
    (is_late, operation.route.priority, operation.waiting_since)
}
