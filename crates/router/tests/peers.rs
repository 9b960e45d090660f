//! Sessions that poolers serve for a node without connections of its own.

use std::collections::HashMap;
use std::time::Duration;

use tamarackbend_router::membership::{MAX_DIRECT_FLEET_NODES, Peer, poolers};
use tamarackbend_router::message::{
    Answer, Command, ConnectionId, Fault, Order, Outcome, Position, Request, Statement,
    TransactionState,
};
use tamarackbend_router::settings::Settings;
use tamarackbend_router::{Action, ConnectionLoss, Event, Router};

const START: Duration = Duration::from_secs(50);

fn peer(name: &str, domain: &str, weight: u32) -> Peer {
    Peer {
        name: name.into(),
        failure_domain: domain.to_owned(),
        address: ([127, 0, 0, 1], 7440).into(),
        weight,
    }
}

/// Returns a large fleet: in each of two failure domains, two strong nodes and twenty weak nodes.
fn fleet() -> Vec<Peer> {
    let mut peers = Vec::new();
    for domain in ["a", "b"] {
        peers.extend((0..2).map(|n| peer(&format!("strong-{domain}-{n}"), domain, 500)));
        peers.extend((0..20).map(|n| peer(&format!("weak-{domain}-{n}"), domain, 84)));
    }
    peers
}

fn router(node: &str) -> Router {
    let settings = Settings {
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
    };
    Router::new(settings, 1, START)
}

/// Returns the router of a weak node in the fleet, which is not a pooler.
fn router_in_fleet() -> Router {
    let mut router = router("weak-a-3");
    let actions = router.step(START, Event::PeersChanged(fleet()));
    assert!(!actions.iter().any(|action| matches!(action, Action::WatchStore(_))));
    router
}

/// Opens a session; returns the channel that the session waits for, and the channel's node.
fn start(router: &mut Router, session: u64, now: Duration) -> (ConnectionId, String) {
    router.step(now, Event::ClientConnected(session));
    let request = Request::Start { database: "db".to_owned(), key: None };
    let actions = router.step(now, Event::ClientRequest(session, request));
    let opened = actions.into_iter().find_map(|action| match action {
        Action::OpenChannel { connection, entry, .. } => Some((connection, entry.id.to_string())),
        _ => None,
    });
    opened.expect("a channel is opened")
}

fn statement(router: &mut Router, now: Duration, id: &str, statement: Statement) -> Vec<Action> {
    let request = Request::Statement { id: id.to_owned(), statement, floor: None };
    router.step(now, Event::ClientRequest(1, request))
}

fn sent_commands(actions: &[Action]) -> Vec<(ConnectionId, Vec<Command>)> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::SendCommands(connection, commands) => Some((*connection, commands.clone())),
        _ => None,
    });
    sent.collect()
}

fn complete(position: Option<Position>) -> Answer {
    let outcome = Outcome::Complete(Some("proof".to_owned()));
    Answer { rows: Vec::new(), outcome, state: TransactionState::Idle, position, status: None }
}

fn read() -> Statement {
    Statement::Read { arguments: "item".to_owned() }
}

/// Guards against a statement that waits in vain because it was sent together with the startup message: the
/// session left the queue when it was accepted, and the statement with it.
#[test]
fn statement_before_acceptance_is_sent_when_the_channel_opens() {
    let mut router = router_in_fleet();
    let (channel, _) = start(&mut router, 1, START);
    assert_eq!(statement(&mut router, START, "r1", read()), []);
    let actions =
        router.step(START + Duration::from_millis(15), Event::EndpointConnected(channel, None));
    assert!(actions.contains(&Action::AcceptSession(1)), "{actions:?}");
    let is_sent = actions.iter().any(|action| match action {
        Action::SendCommands(to, commands) => {
            *to == channel && commands.iter().any(|command| command.id.as_deref() == Some("r1"))
        }
        _ => false,
    });
    assert!(is_sent, "{actions:?}");
}

#[test]
fn every_node_of_a_small_fleet_is_a_pooler() {
    let all: Vec<Peer> =
        (0..MAX_DIRECT_FLEET_NODES).map(|n| peer(&format!("n{n:02}"), "a", 170)).collect();
    assert_eq!(poolers(&all).len(), MAX_DIRECT_FLEET_NODES);
}

#[test]
fn strong_nodes_of_each_domain_are_poolers_of_a_large_fleet() {
    let fleet = fleet();
    let names: Vec<&str> = poolers(&fleet).iter().map(|peer| &*peer.name).collect();
    assert_eq!(names, ["strong-a-0", "strong-a-1", "strong-b-0", "strong-b-1"]);
}

#[test]
fn poolers_among_equal_nodes_are_chosen_by_name() {
    let fleet: Vec<Peer> = (0..40).map(|n| peer(&format!("n{n:02}"), "a", 170)).collect();
    let names: Vec<&str> = poolers(&fleet).iter().map(|peer| &*peer.name).collect();
    assert_eq!(names, (0..10).map(|n| format!("n{n:02}")).collect::<Vec<_>>());
}

#[test]
fn session_is_served_by_a_near_node() {
    let mut router = router_in_fleet();
    let (channel, node) = start(&mut router, 1, START);
    assert!(node.starts_with("strong-a"), "{node}");
    let actions = router.step(START, Event::EndpointConnected(channel, None));
    assert!(actions.contains(&Action::AcceptSession(1)));
    let actions = statement(&mut router, START, "5c", read());
    let expected = Command::new(Order::Statement(read())).with_id("5c");
    assert_eq!(sent_commands(&actions), [(channel, vec![expected])]);
    let actions = router.step(START, Event::EndpointAnswered(channel, complete(None)));
    assert!(matches!(&actions[..], [Action::Reply(1, _)]), "{actions:?}");
}

/// Guards against preferring a pooler that does not reach the store: such poolers refused databases
/// that had just been added.
#[test]
fn node_that_does_not_reach_the_store_comes_last() {
    let mut router = router_in_fleet();
    let (_, first) = start(&mut router, 1, START);
    router.step(START, Event::PeerStoreNotice(first.as_str().into(), true));
    let (_, second) = start(&mut router, 2, START);
    assert!(second.starts_with("strong-a") && second != first, "{second}");
    router.step(START, Event::PeerStoreNotice(second.as_str().into(), true));
    let (_, third) = start(&mut router, 3, START);
    assert!(third.starts_with("strong-b"), "{third}");
    router.step(START, Event::PeerStoreNotice(first.as_str().into(), false));
    assert_eq!(start(&mut router, 4, START).1, first);
}

#[test]
fn reads_of_a_lost_node_go_to_another_with_values_and_floor() {
    let mut router = router_in_fleet();
    let (channel, first) = start(&mut router, 1, START);
    router.step(START, Event::EndpointConnected(channel, None));
    let set = Statement::Set { name: "tz".to_owned(), value: "utc".to_owned() };
    statement(&mut router, START, "1", set.clone());
    statement(&mut router, START, "2", Statement::Write { arguments: "item x".to_owned() });
    let position = Position { term: 3, number: 9 };
    // Two answers are due: the session value is set before the write.
    router.step(START, Event::EndpointAnswered(channel, complete(None)));
    router.step(START, Event::EndpointAnswered(channel, complete(Some(position))));
    statement(&mut router, START, "3", read());
    let actions = router.step(START, Event::ConnectionLost(channel, ConnectionLoss::Broken));
    let opened = actions.iter().find_map(|action| match action {
        Action::OpenChannel { connection, entry, .. } => Some((*connection, entry.id.to_string())),
        _ => None,
    });
    let (other, second) = opened.expect("a channel to another node is opened");
    assert_ne!(first, second);
    let actions = router.step(START, Event::EndpointConnected(other, None));
    let expected = vec![
        Command::new(Order::Statement(set)),
        Command::new(Order::Statement(read())).with_id("3").with_min_position(Some(position)),
    ];
    assert_eq!(sent_commands(&actions), [(other, expected)]);
}

#[test]
fn write_at_a_lost_node_is_in_doubt_at_once() {
    let mut router = router_in_fleet();
    let (channel, _) = start(&mut router, 1, START);
    router.step(START, Event::EndpointConnected(channel, None));
    statement(&mut router, START, "1", Statement::Write { arguments: "item x".to_owned() });
    let actions = router.step(START, Event::ConnectionLost(channel, ConnectionLoss::Broken));
    let fault = actions.iter().find_map(|action| match action {
        Action::Reply(1, answer) => answer.outcome.fault().cloned(),
        _ => None,
    });
    assert_eq!(fault, Some(Fault::InDoubt));
}

/// Guards against a write in doubt that has not run: it crossed the closing of its idle channel when
/// the pooler was stopped.
#[test]
fn write_that_crossed_the_closing_of_its_channel_is_sent_to_another_node() {
    let mut router = router_in_fleet();
    let (channel, first) = start(&mut router, 1, START);
    router.step(START, Event::EndpointConnected(channel, None));
    let write = Statement::Write { arguments: "item x".to_owned() };
    statement(&mut router, START, "1", write.clone());
    let actions = router.step(START, Event::ConnectionLost(channel, ConnectionLoss::Closed));
    let (other, second) = opened_channels(&actions).pop().expect("another channel is opened");
    assert_ne!(first, second);
    let actions = router.step(START, Event::EndpointConnected(other, None));
    let expected = Command::new(Order::Statement(write)).with_id("1");
    assert_eq!(sent_commands(&actions), [(other, vec![expected])]);
}

/// Guards against requests without an answer around a planned stop: a client that sends just as its
/// idle session is closed is told that the statement has not run.
#[test]
fn idle_sessions_of_a_stopping_node_end_with_an_error() {
    let mut router = router_in_fleet();
    let (channel, _) = start(&mut router, 1, START);
    router.step(START, Event::EndpointConnected(channel, None));
    router.step(START, Event::Stop);
    let actions = router.step(START + Duration::from_millis(2400), Event::Tick);
    let rejected = actions.iter().find_map(|action| match action {
        Action::RejectSession(1, answer) => answer.outcome.fault().cloned(),
        _ => None,
    });
    assert_eq!(rejected, Some(Fault::Busy));
    let actions = statement(&mut router, START + Duration::from_millis(2401), "1", read());
    assert!(sent_commands(&actions).is_empty(), "{actions:?}");
}

/// Guards against sessions that a stopping node accepts and then cuts: only poolers refused them.
#[test]
fn stopping_node_refuses_new_sessions() {
    let mut router = router_in_fleet();
    router.step(START, Event::Stop);
    let now = START + Duration::from_millis(2400);
    router.step(now, Event::ClientConnected(1));
    let request = Request::Start { database: "db".to_owned(), key: None };
    let actions = router.step(now, Event::ClientRequest(1, request));
    assert!(matches!(&actions[..], [Action::RejectSession(1, _)]), "{actions:?}");
}

/// Guards against a reset that is answered in place of the statement that was sent before it.
#[test]
fn reset_waits_for_the_statement_in_flight() {
    let mut router = router_in_fleet();
    let (channel, _) = start(&mut router, 1, START);
    router.step(START, Event::EndpointConnected(channel, None));
    statement(&mut router, START, "1", read());
    assert_eq!(router.step(START, Event::ClientRequest(1, Request::Reset)), []);
    let actions = router.step(START, Event::EndpointAnswered(channel, complete(None)));
    let outcomes: Vec<&Outcome> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Reply(1, answer) => Some(&answer.outcome),
            _ => None,
        })
        .collect();
    let proof = Outcome::Complete(Some("proof".to_owned()));
    assert_eq!(outcomes, [&proof, &Outcome::Complete(None)]);
}

#[test]
fn session_is_rejected_when_the_pooler_does_not_know_the_database() {
    let mut router = router_in_fleet();
    let (channel, _) = start(&mut router, 1, START);
    let refused = Event::ConnectionLost(channel, ConnectionLoss::Refused(Fault::NoDatabase));
    let actions = router.step(START, refused);
    let is_rejected = actions.iter().any(|action| {
        matches!(action, Action::RejectSession(1, answer)
            if answer.outcome.fault() == Some(&Fault::NoDatabase))
    });
    assert!(is_rejected, "{actions:?}");
}

#[test]
fn sessions_wait_until_the_fleet_is_known() {
    let mut router = router("weak-a-3");
    router.step(START, Event::ClientConnected(1));
    let request = Request::Start { database: "db".to_owned(), key: None };
    assert_eq!(router.step(START, Event::ClientRequest(1, request)), []);
    router.step(START + Duration::from_millis(100), Event::PeersChanged(fleet()));
    let actions = router.step(START + Duration::from_millis(115), Event::Tick);
    assert!(
        actions.iter().any(|action| matches!(action, Action::OpenChannel { .. })),
        "{actions:?}"
    );
}

/// Guards against nodes that connect to endpoints although they are not poolers: at the first start
/// of a large fleet, every node connected to every endpoint.
#[test]
fn node_that_is_not_a_pooler_opens_no_connections() {
    let mut router = router("weak-a-3");
    router.step(START, Event::PeersChanged(fleet()));
    let entry = tamarackbend_router::directory::Entry {
        id: "endpoint".into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "a".to_owned(),
        leaving: false,
        role: tamarackbend_router::message::Role::Primary,
        incarnation: 1,
    };
    let change = tamarackbend_router::directory::Change::Snapshot(vec![entry]);
    let mut actions = router.step(START, Event::DirectoryChanged(change));
    for step in 0..200 {
        actions.extend(router.step(START + Duration::from_millis(step * 15), Event::Tick));
    }
    let has_connected = actions.iter().any(|action| matches!(action, Action::Connect { .. }));
    assert!(!has_connected, "{actions:?}");
}

/// Returns each channel that `actions` open, and the channel's node.
fn opened_channels(actions: &[Action]) -> Vec<(ConnectionId, String)> {
    let opened = actions.iter().filter_map(|action| match action {
        Action::OpenChannel { connection, entry, .. } => Some((*connection, entry.id.to_string())),
        _ => None,
    });
    opened.collect()
}

/// Guards against a session that waits for one silent pooler after another, as happens when the
/// clients of each database have to detect by themselves that a pooler is unreachable.
#[test]
fn sessions_do_not_wait_for_one_silent_node_after_another() {
    let mut router = router_in_fleet();
    let mut accepted_after_ms = None;
    let mut tried_nodes = std::collections::BTreeSet::new();
    router.step(START, Event::ClientConnected(1));
    let request = Request::Start { database: "db".to_owned(), key: None };
    let mut actions = router.step(START, Event::ClientRequest(1, request));
    for step in 1..100 {
        // Of the four poolers, only the last to be tried answers.
        let now = START + Duration::from_millis(step * 15);
        for (channel, node) in opened_channels(&actions) {
            tried_nodes.insert(node);
            if tried_nodes.len() == 4 {
                actions = router.step(now, Event::EndpointConnected(channel, None));
                accepted_after_ms =
                    actions.contains(&Action::AcceptSession(1)).then_some(step * 15);
            }
        }
        if accepted_after_ms.is_some() {
            break;
        }
        actions = router.step(now, Event::Tick);
    }
    let accepted_after_ms = accepted_after_ms.expect("the session is accepted");
    assert!(accepted_after_ms <= 500, "the session was accepted after {accepted_after_ms} ms");
}

/// Guards against avoiding a pooler that answers for one database while a channel for an unknown
/// database is still waiting to be opened.
#[test]
fn node_that_answers_for_one_database_is_not_slow_for_another() {
    let mut router = router_in_fleet();
    let (known_channel, node) = start(&mut router, 1, START);
    router.step(START, Event::EndpointConnected(known_channel, None));
    let mut unknown = "unknown".to_owned();
    for session in 2..40 {
        unknown = format!("unknown-{session}");
        router.step(START, Event::ClientConnected(session));
        let request = Request::Start { database: unknown.clone(), key: None };
        let actions = router.step(START, Event::ClientRequest(session, request));
        if opened_channels(&actions).iter().any(|(_, other)| *other == node) {
            break;
        }
    }
    let mut repeated_opens = Vec::new();
    for step in 1..20 {
        let now = START + Duration::from_millis(step * 15);
        statement(&mut router, now, &format!("{step}"), read());
        router.step(now, Event::EndpointAnswered(known_channel, complete(None)));
        repeated_opens.extend(router.step(now, Event::Tick).into_iter().filter(
            |action| matches!(action, Action::OpenChannel { database, .. } if *database == unknown),
        ));
    }
    assert_eq!(repeated_opens, Vec::new());
}

/// Guards against sessions that wait for an unreachable near pooler each time it is retried, about
/// once a second.
#[test]
fn unreachable_pooler_is_retried_without_clients() {
    let mut router = router_in_fleet();
    let (_, first) = start(&mut router, 1, START);
    let mut attempts = 0;
    let mut delayed_sessions = Vec::new();
    for step in 1..600 {
        let now = START + Duration::from_millis(step * 15);
        let mut actions = router.step(now, Event::Tick);
        // Sessions start every 300 ms, the first after the silent pooler is suspected.
        let session_starts = step > 60 && step % 20 == 0;
        if session_starts {
            router.step(now, Event::ClientConnected(step));
            let request = Request::Start { database: "db".to_owned(), key: None };
            actions.extend(router.step(now, Event::ClientRequest(step, request)));
        }
        let mut next = 0;
        while next < actions.len() {
            if let Some((channel, node)) = opened_channels(&actions[next..=next]).pop() {
                if node == first {
                    attempts += 1;
                } else {
                    actions.extend(router.step(now, Event::EndpointConnected(channel, None)));
                }
            }
            next += 1;
        }
        if session_starts && !actions.contains(&Action::AcceptSession(step)) {
            delayed_sessions.push(step * 15);
        }
    }
    assert!(attempts >= 3, "the silent pooler was tried {attempts} times");
    assert_eq!(delayed_sessions, Vec::<u64>::new(), "sessions that had to wait, by time in ms");
}
