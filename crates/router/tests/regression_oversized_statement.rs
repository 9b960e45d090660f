//! Guards against a statement that is too large for endpoints and ends more than itself.

mod fleet;

use fleet::{START, read, replies, router_in_fleet, start, statement};
use tamarackbend_router::message::{Fault, Outcome, Request, Statement, TransactionState};
use tamarackbend_router::{Action, Event};

#[test]
fn statement_that_is_too_big_is_refused_and_the_session_goes_on() {
    let mut router = router_in_fleet();
    let (channel, _) = start(&mut router, 1, START);
    router.step(START, Event::EndpointConnected(channel, None));
    let too_big = Event::ClientRequest(1, Request::TooBig { id: Some("1".to_owned()) });
    let actions = router.step(START, too_big);
    let refusals = replies(&actions, 1);
    assert!(
        matches!(&refusals[..], [Outcome::Error { fault: Fault::TooBig, .. }])
            && actions.len() == 1,
        "{actions:?}"
    );
    let actions = statement(&mut router, START, 1, "2", read());
    let is_sent = |action: &Action| matches!(action, Action::SendCommands(to, _) if *to == channel);
    assert!(actions.iter().any(is_sent), "{actions:?}");
}

#[test]
fn statement_that_is_too_big_fails_its_transaction() {
    let mut router = router_in_fleet();
    let (channel, _) = start(&mut router, 1, START);
    router.step(START, Event::EndpointConnected(channel, None));
    statement(&mut router, START, 1, "1", Statement::Begin { read_only: false });
    let too_big = Event::ClientRequest(1, Request::TooBig { id: Some("2".to_owned()) });
    let actions = router.step(START, too_big);
    let states = actions.iter().filter_map(|action| match action {
        Action::Reply(1, answer) => Some((answer.state, answer.outcome.fault().cloned())),
        _ => None,
    });
    let expected = [(TransactionState::Failed, Some(Fault::TooBig))];
    assert_eq!(states.collect::<Vec<_>>(), expected);
}
