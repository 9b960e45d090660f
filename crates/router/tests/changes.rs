//! Steps of a change of primary.

use std::collections::BTreeMap;
use std::time::Duration;

use tamarackbend_router::directory::Entry;
use tamarackbend_router::endpoint::Endpoint;
use tamarackbend_router::failover::{Failover, Phase, Reason, Step, View};
use tamarackbend_router::group::Primary;
use tamarackbend_router::message::{EndpointId, Order, Position, Role, Status, Time};

const START: Time = Duration::from_secs(50);

fn endpoint(name: &str, suspect: bool) -> (EndpointId, Endpoint) {
    let entry = Entry {
        id: name.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "a".to_owned(),
        leaving: false,
        role: Role::Replica,
        incarnation: 1,
    };
    let mut endpoint = Endpoint::new(entry, Duration::from_millis(20), START);
    endpoint.suspected_since = suspect.then_some(START);
    (name.into(), endpoint)
}

fn lead(name: &str) -> Primary {
    Primary { endpoint: name.into(), term: 1 }
}

/// Votes have decided, the endpoints answer unless they are suspect, and the time passes.
///
/// Returns the last part of the change that was reached before it gave up.
fn play(
    change: &mut Failover,
    endpoints: &mut BTreeMap<EndpointId, Endpoint>,
    size: usize,
) -> Phase {
    change.on_votes_decided(START);
    let mut reached = change.phase.clone();
    for ms in (0..3000).step_by(10) {
        let now = START + Duration::from_millis(ms);
        let view = View { endpoints, primary: None, term: 1, peak_size: size, holds_lease: true };
        let steps = change.advance(now, &view);
        for step in steps {
            match step {
                Step::GiveUp(_) => return reached,
                Step::Promote(_) => return change.phase.clone(),
                Step::Order(id, order) => answer(endpoints, &id, &order, now),
                Step::Finish => {}
            }
        }
        reached = change.phase.clone();
    }
    reached
}

fn answer(
    endpoints: &mut BTreeMap<EndpointId, Endpoint>,
    id: &EndpointId,
    order: &Order,
    now: Time,
) {
    let Some(endpoint) = endpoints.get_mut(id) else { return };
    if endpoint.suspected_since.is_some() {
        return;
    }
    let before = endpoint.status.map_or(0, |(_, status)| status.fenced_term);
    let held = if let Order::FenceTerm(term) = order { *term } else { before };
    let received = Position { term: 1, number: 9 };
    let status = Status {
        role: Role::Replica,
        term: 1,
        received,
        fenced_term: held,
        lag: Duration::ZERO,
        running_statements: 0,
        connections: 1,
    };
    endpoint.status = Some((now, status));
}

#[test]
fn lost_primary_is_replaced_once_both_replicas_are_closed() {
    let mut endpoints =
        BTreeMap::from([endpoint("a", true), endpoint("b", false), endpoint("c", false)]);
    let mut change = Failover::new(Reason::Lost, Some(lead("a")), 1, START);
    let reached = play(&mut change, &mut endpoints, 3);
    assert!(matches!(reached, Phase::Promoting(_)), "{reached:?}");
}

/// A replica that is alive and not listed at this node could vouch for the primary.
#[test]
fn replica_that_is_not_listed_is_closed_before_it_counts_as_gone() {
    let mut endpoints =
        BTreeMap::from([endpoint("a", true), endpoint("b", false), endpoint("c", true)]);
    let mut change = Failover::new(Reason::Lost, Some(lead("a")), 1, START);
    let reached = play(&mut change, &mut endpoints, 3);
    assert_eq!(reached, Phase::Fencing);
}

/// Soak seed 104: nodes that began while the primary was down took a silent replica for it, and
/// left it open to vouch for the primary when that came back.
#[test]
fn replica_that_is_taken_for_the_primary_is_closed_too() {
    let mut endpoints = BTreeMap::from([endpoint("b", false), endpoint("c", true)]);
    let mut change = Failover::new(Reason::Lost, Some(lead("c")), 1, START).with_presumed_primary();
    let reached = play(&mut change, &mut endpoints, 3);
    assert_eq!(reached, Phase::Fencing);
}

#[test]
fn group_without_a_known_primary_gets_one_when_all_but_one_are_closed() {
    let mut endpoints =
        BTreeMap::from([endpoint("a", true), endpoint("b", false), endpoint("c", false)]);
    let mut change = Failover::new(Reason::Lost, Some(lead("a")), 1, START).with_presumed_primary();
    let reached = play(&mut change, &mut endpoints, 3);
    assert!(matches!(reached, Phase::Promoting(_)), "{reached:?}");
}
