//! Guards against a reset in the middle of a transaction, after a session has changed one of its values or
//! has prepared many statements.

mod common;

use std::time::Duration;

use common::Node;
use tamarackbend_router::Event;
use tamarackbend_router::message::{Access, Command, Order, Request, Statement};

const SESSION: u64 = 1;

struct Client {
    node: Node,
    count: usize,
}

impl Client {
    /// Returns a client whose transaction is open after a write.
    fn in_transaction() -> Client {
        let mut node = Node::new(1, 1);
        node.run_for(Duration::from_secs(1));
        node.step(Event::ClientConnected(SESSION));
        let start = Request::Start { database: "db0".to_owned(), key: None };
        node.step(Event::ClientRequest(SESSION, start));
        let mut client = Client { node, count: 0 };
        client.send(set("first"));
        client.send(Statement::Begin { read_only: false });
        client.send(Statement::Write { arguments: "item x".to_owned() });
        client
    }

    fn send(&mut self, statement: Statement) {
        self.count += 1;
        let request = Request::Statement { id: self.count.to_string(), statement, floor: None };
        self.node.step(Event::ClientRequest(SESSION, request));
        self.node.tick();
    }

    /// Returns the orders to endpoints since the client began its transaction, without those of other
    /// connections.
    fn orders(&self) -> Vec<&Order> {
        let is_write = |command: &Command| command.id.as_deref() == Some("3");
        let commands = &self.node.commands;
        let first = commands.iter().position(|(_, command)| is_write(command));
        let first = first.expect("the first write is sent");
        let connection = commands[first].0;
        let later = commands[first + 1..].iter().filter(|(to, _)| *to == connection);
        later.map(|(_, command)| &command.order).collect()
    }
}

fn set(value: &str) -> Statement {
    Statement::Set { name: "lang".to_owned(), value: value.to_owned() }
}

#[test]
fn changed_value_is_set_without_a_reset() {
    let mut client = Client::in_transaction();
    client.send(set("second"));
    let write = Statement::Write { arguments: "item y".to_owned() };
    client.send(write.clone());
    assert_eq!(client.orders(), [&Order::Statement(set("second")), &Order::Statement(write)]);
}

#[test]
fn many_prepared_statements_cause_no_reset() {
    let mut client = Client::in_transaction();
    for index in 0..300 {
        let (name, shape) = ("s1".to_owned(), format!("text{index}"));
        client.send(Statement::Prepare { name: name.clone(), access: Access::Write, shape });
        client.send(Statement::Execute { name, arguments: "1a4 x".to_owned() });
    }
    client.send(Statement::Commit);
    let orders = client.orders();
    let end = orders.iter().position(|order| **order == Order::Statement(Statement::Commit));
    let end = end.expect("the commit is sent");
    assert!(!orders[..end].contains(&&Order::Reset));
    let is_execution =
        |order: &&&Order| matches!(order, Order::Statement(Statement::Execute { .. }));
    assert_eq!(orders[..end].iter().filter(is_execution).count(), 300);
}
