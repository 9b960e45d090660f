//! Loan requests and loans of a router.

use std::collections::HashMap;
use std::time::Duration;

use tamarackbend_router::configuration::Configuration;
use tamarackbend_router::customer::{Customer, CustomerName, Limit, Table};
use tamarackbend_router::limit::{Loan, Rank, Request, Share};
use tamarackbend_router::membership::Peer;
use tamarackbend_router::settings::Settings;
use tamarackbend_router::{Action, Event, Router};

const START: Duration = Duration::from_secs(50);
const TICK: Duration = Duration::from_millis(40);

/// Returns the router of `node-0`, a holder of the customer, whose share has filled its bucket.
fn router(has_customers: bool) -> Router {
    let settings = Settings {
        node: "node-0".to_owned(),
        failure_domain: "a".to_owned(),
        is_first_start: false,
        regions: HashMap::from([("a".to_owned(), "x".to_owned())]),
        drain_timeout: Duration::from_secs(7),
        stop_timeout: Duration::from_secs(6),
        has_customers,
        limit_window: Duration::from_secs(5),
        limit_slack: 20.0,
    };
    let mut router = Router::new(settings, 1, START);
    let peer = |index: u16| Peer {
        name: format!("node-{index}").into(),
        failure_domain: "a".to_owned(),
        address: ([127, 0, 0, 1], 7440 + index).into(),
        weight: 500,
    };
    router.step(START, Event::PeersChanged(vec![peer(0), peer(1)]));
    let limit = Some(Limit { rate: 20.0, burst: 10.0 });
    let customer = Customer { name: "club".into(), keys: Vec::new(), limit };
    router.step(
        START,
        Event::ConfigurationRead(Configuration {
            version: 1,
            routes: HashMap::new(),
            services: Vec::new(),
            transaction_idle: Duration::from_secs(3),
            customers: Some(Table::new(vec![customer]).expect("valid table")),
        }),
    );
    let share = Share { rank: Rank::Second, others: ["node-1".into(), "gone".into()].into() };
    router.refresh_limits(|_| Some(share.clone()));
    router
}

fn loan_actions(actions: Vec<Action>) -> Vec<Action> {
    let is_of_loans = |action: &Action| {
        matches!(action, Action::SendLoanRequests { .. } | Action::SendLoans { .. })
    };
    actions.into_iter().filter(is_of_loans).collect()
}

/// Sends operations for two seconds; returns the actions that concern loans, and refused operations.
fn load(router: &mut Router) -> (Vec<Action>, usize) {
    let customer = CustomerName::from("club");
    let (mut actions, mut refused) = (Vec::new(), 0);
    for tick in 0..50 {
        actions.extend(loan_actions(router.step(START + TICK * tick, Event::Tick)));
        refused += usize::from(router.admit_operation(&customer, u64::MAX / 50).is_err());
    }
    (actions, refused)
}

fn request(requested_at: Duration) -> Request {
    Request { customer: "club".into(), share: 0.5, requested_at }
}

/// Guards against messages of deployments without customers.
#[test]
fn without_customers_there_are_no_messages_and_no_refusals() {
    let mut router = router(false);
    assert_eq!(load(&mut router), (Vec::new(), 0));
    let event = Event::LoanRequestsReceived("node-1".into(), vec![request(START)]);
    assert_eq!(loan_actions(router.step(START + TICK * 50, event)), []);
    assert_eq!(router.dump().get("limits"), None);
}

/// Guards against requests at every tick, against requests to nodes that have left, and against loans
/// that do not raise the share.
#[test]
fn loans_are_requested_and_taken() {
    let mut router = router(true);
    let (actions, refused) = load(&mut router);
    assert!(refused > 30, "{refused}");
    assert!((2..=4).contains(&actions.len()), "{actions:?}");
    let Some(Action::SendLoanRequests { to, address, sender, requests }) = actions.last() else {
        panic!("{actions:?}");
    };
    assert_eq!((&**to, address.port(), &**sender), ("node-1", 7441, "node-0"));
    let requested_at = requests[0].requested_at;
    let loan = Loan { customer: "club".into(), share: 0.5, requested_at };
    router.step(START + TICK * 50, Event::LoansReceived(to.clone(), vec![loan]));
    assert_eq!(router.dump()["limits"]["customers"][0]["loans_taken"], 0.5);
}

/// Guards against a borrower that takes a link for broken when nothing is lent.
#[test]
fn requests_are_answered_even_if_nothing_is_lent() {
    let mut router = router(true);
    let mut answer = |now| {
        let event = Event::LoanRequestsReceived("node-1".into(), vec![request(START)]);
        loan_actions(router.step(now, event))
    };
    assert_eq!(answer(START), [Action::SendLoans("node-1".into(), Vec::new())]);
    let answers = answer(START + Duration::from_secs(5));
    let [Action::SendLoans(_, loans)] = &answers[..] else { panic!("{answers:?}") };
    assert_eq!(loans.len(), 1);
}
