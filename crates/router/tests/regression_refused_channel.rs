//! Guards against a refusal as not run of statements that were sent: a pooler with an older
//! configuration refused one channel for an unknown database, and the node then refused all statements
//! of the database, also those that ran at other poolers.

mod fleet;

use fleet::{opened_channels, read, replies, router_in_fleet, start, statement};
use tamarackbend_router::message::{Fault, Statement};
use tamarackbend_router::{Action, ConnectionLoss, Event, Router};

use fleet::START;

/// Returns a router with a session whose `sent` statement is unanswered, and a second channel that is
/// refused for an unknown database; also returns the actions of the refusal.
fn refuse_second_channel(sent: Statement) -> (Router, Vec<Action>) {
    let mut router = router_in_fleet();
    let (channel, _) = start(&mut router, 1, START);
    router.step(START, Event::EndpointConnected(channel, None));
    statement(&mut router, START, 1, "1", sent);
    router.step(START, Event::ClientConnected(2));
    let actions = fleet::request_start(&mut router, START, 2);
    let (second, _) = opened_channels(&actions).pop().expect("another channel is opened");
    let refused = Event::ConnectionLost(second, ConnectionLoss::Refused(Fault::NoDatabase));
    let actions = router.step(START, refused);
    (router, actions)
}

#[test]
fn read_in_flight_is_not_refused() {
    let (_, actions) = refuse_second_channel(read());
    assert_eq!(replies(&actions, 1), []);
}

#[test]
fn write_in_flight_is_not_refused() {
    let (_, actions) = refuse_second_channel(Statement::Write { arguments: "item x".to_owned() });
    assert_eq!(replies(&actions, 1), []);
}

#[test]
fn session_that_waits_for_the_refused_channel_is_rejected() {
    let (_, actions) = refuse_second_channel(read());
    let is_rejected = |action: &Action| matches!(action, Action::RejectSession(2, _));
    assert!(actions.iter().any(is_rejected), "{actions:?}");
}
