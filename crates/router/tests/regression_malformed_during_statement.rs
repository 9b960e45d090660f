//! Guards against a refusal of a malformed message, or of a request too many, that answers the statement in
//! flight.

mod fleet;

use fleet::{START, replies, router_in_fleet, start, statement};
use tamarackbend_router::message::{
    Answer, ConnectionId, Fault, Outcome, Request, Statement, TransactionState,
};
use tamarackbend_router::{Action, Event, Router};

const SESSION: u64 = 1;

/// Returns a router with a write of the session in flight, and the channel over which it was sent.
fn router_with_write_in_flight() -> (Router, ConnectionId) {
    let mut router = router_in_fleet();
    let (channel, _) = start(&mut router, SESSION, START);
    router.step(START, Event::EndpointConnected(channel, None));
    let write = Statement::Write { arguments: "item x".to_owned() };
    let actions = statement(&mut router, START, SESSION, "1", write);
    assert!(actions.iter().any(|action| matches!(action, Action::SendCommands(..))), "{actions:?}");
    (router, channel)
}

fn malformed() -> Request {
    Request::Malformed { id: Some("2".to_owned()), reason: "no statement".to_owned() }
}

fn served() -> Answer {
    Answer {
        rows: Vec::new(),
        outcome: Outcome::Complete(Some("proof".to_owned())),
        state: TransactionState::Idle,
        position: None,
        status: None,
    }
}

#[test]
fn malformed_message_is_refused_after_the_statement_before_it() {
    let too_big = Request::TooBig { id: None };
    for (request, fault) in [(malformed(), Fault::Malformed), (too_big, Fault::TooBig)] {
        let (mut router, channel) = router_with_write_in_flight();
        let actions = router.step(START, Event::ClientRequest(SESSION, request));
        assert_eq!(replies(&actions, SESSION), []);
        let actions = router.step(START, Event::EndpointAnswered(channel, served()));
        let replies = replies(&actions, SESSION);
        assert_eq!(replies[0], Outcome::Complete(Some("proof".to_owned())));
        assert_eq!(replies[1].fault(), Some(&fault));
        assert_eq!(replies.len(), 2);
    }
}

#[test]
fn request_beyond_the_backlog_does_not_complete_the_statement_in_flight() {
    for request in [malformed(), Request::TooBig { id: None }, Request::Reset] {
        let (mut router, _) = router_with_write_in_flight();
        let mut actions = Vec::new();
        for _ in 0..40 {
            actions.extend(router.step(START, Event::ClientRequest(SESSION, request.clone())));
        }
        assert_eq!(replies(&actions, SESSION), []);
        let is_rejected = |action: &Action| matches!(action, Action::RejectSession(SESSION, _));
        assert!(actions.iter().any(is_rejected), "{actions:?}");
    }
}
