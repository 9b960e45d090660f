//! Sessions of databases that the configuration does not name.

use std::collections::HashMap;
use std::time::Duration;

use tamarackbend_router::configuration::{Configuration, Consistency, Route};
use tamarackbend_router::membership::Peer;
use tamarackbend_router::message::{Request, SessionId};
use tamarackbend_router::settings::Settings;
use tamarackbend_router::{Action, Event, Router};

const START: Duration = Duration::from_secs(50);

fn configuration(version: u64, databases: &[&str]) -> Configuration {
    let route = Route {
        service: "s".into(),
        consistency: Consistency::Latest,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(400),
        priority: 1,
        is_public: false,
    };
    Configuration {
        version,
        routes: databases.iter().map(|name| ((*name).to_owned(), route.clone())).collect(),
        services: Vec::new(),
        transaction_idle: Duration::from_secs(3),
        customers: None,
    }
}

fn router() -> Router {
    let settings = Settings {
        node: "node".to_owned(),
        failure_domain: "a".to_owned(),
        is_first_start: false,
        regions: HashMap::new(),
        drain_timeout: Duration::from_secs(7),
        stop_timeout: Duration::from_secs(6),
        has_customers: false,
        limit_window: Duration::from_secs(5),
        limit_slack: 20.0,
    };
    let mut router = Router::new(settings, 1, START);
    let peer = Peer {
        name: "node".into(),
        failure_domain: "a".to_owned(),
        address: ([127, 0, 0, 1], 2).into(),
        weight: 170,
    };
    router.step(START, Event::PeersChanged(vec![peer]));
    router.step(START, Event::ConfigurationRead(configuration(1, &["known"])));
    router
}

fn start(router: &mut Router, now: Duration, id: SessionId, database: &str) -> Vec<Action> {
    router.step(now, Event::ClientConnected(id));
    router.step(
        now,
        Event::ClientRequest(id, Request::Start { database: database.to_owned(), key: None }),
    )
}

/// Guards against a read of the configuration for every session of an unknown database: clients that
/// keep asking for one made most of the calls to the store.
#[test]
fn repeated_sessions_cause_few_reads() {
    let mut router = router();
    let mut reads = 0;
    let mut rejected_after = Vec::new();
    for step in 1..=1000_u64 {
        let now = START + Duration::from_millis(step * 10);
        let mut actions = match step % 10 {
            0 => start(&mut router, now, step, "unknown"),
            _ => Vec::new(),
        };
        actions.extend(router.step(now, Event::Tick));
        for action in actions {
            match action {
                Action::RefreshConfiguration => {
                    reads += 1;
                    router.step(now, Event::ConfigurationRead(configuration(1, &["known"])));
                }
                Action::RejectSession(id, _) => rejected_after.push((step - id) * 10),
                _ => {}
            }
        }
    }
    assert!(reads <= 5, "{reads} reads in ten seconds");
    assert!(rejected_after.len() >= 95, "{} sessions were rejected", rejected_after.len());
    rejected_after.sort_unstable();
    assert!(rejected_after[rejected_after.len() / 2] <= 60, "{rejected_after:?}");
}

/// A database that the operator has just added is served, also shortly after a read without it.
#[test]
fn database_that_was_just_added_is_served() {
    let mut router = router();
    let now = START + Duration::from_millis(500);
    router.step(now, Event::Tick);
    let actions = start(&mut router, now, 2, "new");
    assert!(!actions.contains(&Action::RefreshConfiguration), "{actions:?}");
    let now = now + Duration::from_millis(20);
    let actions = router.step(now, Event::ConfigurationRead(configuration(2, &["known", "new"])));
    assert!(actions.contains(&Action::AcceptSession(2)), "{actions:?}");
}

/// Guards against the refusal of a database that was added long ago, by a node that does not reach the
/// store and takes a request for the configuration for its read.
#[test]
fn request_without_an_answer_does_not_show_that_a_database_is_missing() {
    let mut router = router();
    let mut requests = 0;
    for step in 0..5 {
        let now = START + Duration::from_millis(3000 + step * 300);
        let actions = start(&mut router, now, step, "new");
        requests += actions.iter().filter(|a| **a == Action::RefreshConfiguration).count();
        let actions = router.step(now + Duration::from_millis(100), Event::Tick);
        let is_rejected =
            actions.iter().any(|a| matches!(a, Action::RejectSession(id, _) if *id == step));
        assert!(!is_rejected, "{actions:?}");
    }
    assert_eq!(requests, 5);
}
