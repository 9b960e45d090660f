//! Guards against an endpoint of the tests that runs a commit in a transaction that has failed.

use std::time::Duration;

use tamarackbend_replica::{Connection, Effect, Endpoint};
use tamarackbend_router::message::{
    Command, Fault, Order, Outcome, Role, Statement, TransactionState,
};

const NOW: Duration = Duration::from_secs(1);

fn execute(
    endpoint: &mut Endpoint,
    connection: &mut Connection,
    order: Order,
) -> (Option<Fault>, TransactionState) {
    let (answer, effect) = endpoint.execute(connection, &Command::new(order).with_id("1"), NOW);
    assert_eq!(effect, Effect::Nothing);
    let fault = match answer.outcome {
        Outcome::Error { fault, .. } => Some(fault),
        Outcome::Complete(_) => None,
    };
    (fault, answer.state)
}

#[test]
fn transaction_that_lost_its_primary_can_only_be_rolled_back() {
    let set = Statement::Set { name: "zone".to_owned(), value: "x".to_owned() };
    let read = Statement::Read { arguments: "item".to_owned() };
    for (end, fault) in [(Statement::Commit, Some(Fault::Aborted)), (Statement::Rollback, None)] {
        let mut endpoint = Endpoint::new("a", Role::Primary);
        let mut connection = Connection::default();
        let begin = Order::Statement(Statement::Begin { read_only: false });
        let mut run = |order| execute(&mut endpoint, &mut connection, order);
        assert_eq!(run(begin), (None, TransactionState::Transaction));
        run(Order::Demote(2));
        let set = Order::Statement(set.clone());
        assert_eq!(run(set), (Some(Fault::ReadOnly), TransactionState::Failed));
        let read = Order::Statement(read.clone());
        assert_eq!(run(read), (Some(Fault::Malformed), TransactionState::Failed));
        assert_eq!(run(Order::Statement(end)), (fault, TransactionState::Idle));
        assert!(connection.values.is_empty());
    }
}
