//! Guards against a write that runs within a transaction unknown to its session. The session
//! doesn't know of the open transaction when the answer to the transaction's begin was lost.

mod common;

use common::{NOW, opened, owner, status, write};
use tamarackbend_policy::owner::{Action, Event, Execution, Settings};
use tamarackbend_policy::position::Role;

#[test]
fn autocommit_write_does_not_join_a_transaction_unknown_to_the_session() {
    let mut owner = owner(Settings::default());
    let first = opened(&owner.step(NOW, Event::Submit(write(1)))).expect("a connection is opened");
    let actions = owner.step(NOW, Event::ConnectionOpened(first));
    assert!(actions.contains(&Action::Dispatch(1, first)));
    let begun = Execution::Completed { status: Some(status(Role::Primary)), in_transaction: true };
    owner.step(NOW, Event::StatementFinished(1, begun));

    let actions = owner.step(NOW, Event::Submit(write(2)));

    assert!(actions.contains(&Action::CloseConnection(first)));
    assert!(!actions.iter().any(|action| matches!(action, Action::Dispatch(2, _))));
}
