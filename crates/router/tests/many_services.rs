//! A node with a thousand services, most of which it rarely uses.

mod common;

use std::time::Duration;

use common::{Node, TICK};
use tamarackbend_router::message::{Request, Role, Statement};
use tamarackbend_router::{Action, Event};

const SERVICES: usize = 1000;

fn send(node: &mut Node, session: u64, id: &str) {
    let statement = Statement::Write { arguments: "item x".to_owned() };
    let request = Request::Statement { id: id.to_owned(), statement, floor: None };
    node.step(Event::ClientRequest(session, request));
}

/// Lets ticks pass until the session is answered; returns the time.
fn time_to_reply(node: &mut Node, session: u64) -> Duration {
    let start = node.now;
    while node.now < start + Duration::from_secs(2) {
        let replied =
            node.actions.iter().any(|a| matches!(a, Action::Reply(id, _) if *id == session));
        if replied {
            break;
        }
        node.tick();
    }
    node.now - start
}

/// Guards against a fleet that spends its processors on services without requests: at 300 nodes, each
/// pooler connected to a thousand endpoints and looked at each of them in every tick.
#[test]
fn unused_services_cost_no_connections() {
    let mut node = Node::new(1, SERVICES);
    node.run_for(Duration::from_secs(3));
    assert_eq!(node.connections.len(), 0);
    node.step(Event::ClientConnected(1));
    node.step(Event::ClientRequest(1, Request::Start { database: "db7".to_owned(), key: None }));
    send(&mut node, 1, "1");
    let elapsed = time_to_reply(&mut node, 1);
    assert!(elapsed <= Duration::from_millis(300), "answered after {elapsed:?}");
    assert!(node.connections.len() <= 6, "{} connections", node.connections.len());
}

/// The loss of a primary is still noticed soon while the group is in use.
#[test]
fn lost_primary_of_a_used_service_is_noticed() {
    let mut node = Node::new(1, SERVICES);
    node.run_for(Duration::from_secs(1));
    node.step(Event::ClientConnected(1));
    node.step(Event::ClientRequest(1, Request::Start { database: "db7".to_owned(), key: None }));
    send(&mut node, 1, "1");
    time_to_reply(&mut node, 1);
    node.lose(Some(Role::Primary));
    node.actions.clear();
    let lost_at = node.now;
    while !node.actions.iter().any(|action| matches!(action, Action::FetchRecord(_))) {
        node.tick();
        let elapsed = node.now - lost_at;
        assert!(elapsed <= Duration::from_millis(600), "no vote after {elapsed:?}");
    }
    assert!(TICK < node.now - lost_at);
}
