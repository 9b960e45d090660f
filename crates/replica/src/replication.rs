//! Promotion and replication within a group of endpoints.

use std::time::Duration;

use tamarackbend_router::message::{Role, Term};

use crate::endpoint::Endpoint;

/// Promotes an endpoint to the next term, which ends the fences of all endpoints. A replica keeps its
/// term until it receives the log of the new primary.
///
/// Returns the new term; none if the endpoint is down.
pub fn promote(endpoints: &mut [Endpoint], target: usize, now: Duration) -> Option<Term> {
    if !endpoints[target].is_up {
        return None;
    }
    let term = endpoints.iter().map(|endpoint| endpoint.term).max()? + 1;
    endpoints[target].promote(term, now);
    for endpoint in endpoints {
        endpoint.fenced_term = 0;
    }
    Some(term)
}

/// Returns the primary whose log the endpoint `index` receives, among those that `is_linked` connects to
/// it. The log of a new primary arrives with the delay of replication, that of a former one until then.
pub fn replication_source(
    endpoints: &[Endpoint],
    index: usize,
    now: Duration,
    is_linked: impl Fn(usize) -> bool,
) -> Option<usize> {
    let delay = endpoints[index].apply_delay;
    (0..endpoints.len())
        .filter(|other| *other != index && endpoints[*other].is_up && is_linked(*other))
        .filter(|other| endpoints[*other].role == Role::Primary)
        .filter(|other| now >= endpoints[*other].promoted_at + delay)
        .max_by_key(|other| endpoints[*other].term)
}
