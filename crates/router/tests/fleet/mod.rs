//! A weak node of a large fleet, whose clients poolers serve.

#![allow(dead_code, reason = "each test uses a part of the functions")]

use std::collections::HashMap;
use std::time::Duration;

use tamarackbend_router::customer::KeyDigest;
use tamarackbend_router::membership::Peer;
use tamarackbend_router::message::{ConnectionId, Outcome, Request, SessionId, Statement};
use tamarackbend_router::settings::Settings;
use tamarackbend_router::{Action, Event, Router};

pub const START: Duration = Duration::from_secs(50);

fn peer(name: &str, domain: &str, weight: u32) -> Peer {
    Peer {
        name: name.into(),
        failure_domain: domain.to_owned(),
        address: ([127, 0, 0, 1], 7440).into(),
        weight,
    }
}

/// Returns a large fleet: in each of two failure domains, two strong nodes and twenty weak nodes.
pub fn fleet() -> Vec<Peer> {
    let mut peers = Vec::new();
    for domain in ["a", "b"] {
        peers.extend((0..2).map(|n| peer(&format!("strong-{domain}-{n}"), domain, 500)));
        peers.extend((0..20).map(|n| peer(&format!("weak-{domain}-{n}"), domain, 84)));
    }
    peers
}

/// Returns the settings of `node` in failure domain `a`.
pub fn settings(node: &str) -> Settings {
    Settings {
        node: node.to_owned(),
        failure_domain: "a".to_owned(),
        is_first_start: false,
        regions: HashMap::from([
            ("a".to_owned(), "x".to_owned()),
            ("b".to_owned(), "y".to_owned()),
        ]),
        drain_timeout: Duration::from_secs(7),
        stop_timeout: Duration::from_secs(6),
        has_customers: false,
        limit_window: Duration::from_secs(5),
        limit_slack: 20.0,
    }
}

/// Returns the router of a weak node in the fleet, which is not a pooler.
pub fn router_in_fleet() -> Router {
    let mut router = Router::new(settings("weak-a-3"), 1, START);
    router.step(START, Event::PeersChanged(fleet()));
    router
}

/// Returns the router of `node` in a fleet whose clients are identified by keys.
pub fn router_with_customers(node: &str) -> Router {
    let settings = Settings { has_customers: true, ..settings(node) };
    let mut router = Router::new(settings, 1, START);
    router.step(START, Event::PeersChanged(fleet()));
    router
}

/// Requests the start of a connected session for the database `db`.
pub fn request_start(router: &mut Router, now: Duration, session: SessionId) -> Vec<Action> {
    request_start_with_key(router, now, session, None)
}

/// Requests the start of a connected session for the database `db` by a client that presents `key`.
pub fn request_start_with_key(
    router: &mut Router,
    now: Duration,
    session: SessionId,
    key: Option<&str>,
) -> Vec<Action> {
    let key = key.map(KeyDigest::new);
    let request = Request::Start { database: "db".to_owned(), key };
    router.step(now, Event::ClientRequest(session, request))
}

/// Opens a session; returns the channel that the session waits for, and the channel's node.
pub fn start(router: &mut Router, session: SessionId, now: Duration) -> (ConnectionId, String) {
    router.step(now, Event::ClientConnected(session));
    let actions = request_start(router, now, session);
    opened_channels(&actions).pop().expect("a channel is opened")
}

/// Sends a statement of a client.
pub fn statement(
    router: &mut Router,
    now: Duration,
    session: SessionId,
    id: &str,
    statement: Statement,
) -> Vec<Action> {
    let request = Request::Statement { id: id.to_owned(), statement, floor: None };
    router.step(now, Event::ClientRequest(session, request))
}

/// Returns the channels that `actions` open, and the node of each.
pub fn opened_channels(actions: &[Action]) -> Vec<(ConnectionId, String)> {
    let opened = actions.iter().filter_map(|action| match action {
        Action::OpenChannel { connection, entry, .. } => Some((*connection, entry.id.to_string())),
        _ => None,
    });
    opened.collect()
}

/// Returns the outcomes that `actions` report to the client of a session.
pub fn replies(actions: &[Action], session: SessionId) -> Vec<Outcome> {
    let replies = actions.iter().filter_map(|action| match action {
        Action::Reply(id, answer) if *id == session => Some(answer.outcome.clone()),
        _ => None,
    });
    replies.collect()
}

pub fn read() -> Statement {
    Statement::Read { arguments: "item".to_owned() }
}
