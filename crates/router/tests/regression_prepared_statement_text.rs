//! Guards against a prepared statement whose text becomes part of its name on a connection: names are one
//! word of a message, and a text with blanks is more.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use common::Node;
use tamarackbend_router::Event;
use tamarackbend_router::message::{
    Access, Command, ConnectionId, Order, Request, Role, Statement,
};

const TEXTS: [&str; 12] = [
    "q2 READ oojafzf",
    "a",
    "a b",
    "a  b",
    " a",
    "a ",
    " ",
    "",
    "EXEC r1 x",
    "AFTER 9.9 READ x",
    "a\rb",
    "a\nb",
];
const ACCESSES: [Access; 2] = [Access::Read, Access::Write];
const ARGUMENTS: [&str; 3] = ["1a4", "b c", "c"];

type Prepared = (Access, String);

fn send(node: &mut Node, session: u64, id: &str, statement: Statement) {
    let request = Request::Statement { id: id.to_owned(), statement, floor: None };
    node.step(Event::ClientRequest(session, request));
    node.tick();
}

fn open(node: &mut Node, session: u64) {
    node.step(Event::ClientConnected(session));
    let start = Request::Start { database: "db0".to_owned(), key: None };
    node.step(Event::ClientRequest(session, start));
    node.tick();
}

fn prepare(node: &mut Node, session: u64, access: Access, text: &str) {
    let statement = Statement::Prepare { name: "s1".to_owned(), access, shape: text.to_owned() };
    send(node, session, "prepare", statement);
}

fn execute(node: &mut Node, session: u64, id: &str, arguments: &str) {
    let (name, arguments) = ("s1".to_owned(), arguments.to_owned());
    send(node, session, id, Statement::Execute { name, arguments });
}

/// Prepared statements of a connection, as its endpoint knows them.
#[derive(Default)]
struct Names {
    current: HashMap<String, Prepared>,
    /// All statements since the connection was opened.
    used: HashMap<String, Prepared>,
}

/// Statement that an endpoint executed: its access, text and arguments.
type Execution = (Access, String, String);

/// Follows the commands that the node sent and returns what they executed, by id. Fails if a name is not
/// one word, or stands for two statements.
fn executions(commands: &[(ConnectionId, Command)]) -> HashMap<String, Execution> {
    let mut connections: HashMap<ConnectionId, Names> = HashMap::new();
    let mut executions = HashMap::new();
    for (connection, command) in commands {
        let names = connections.entry(*connection).or_default();
        match &command.order {
            Order::Reset => names.current.clear(),
            Order::Statement(Statement::Prepare { name, access, shape }) => {
                let is_word = !name.is_empty() && name.chars().all(|c| c.is_ascii_graphic());
                assert!(is_word, "the name {name:?} is not one word");
                let prepared = (*access, shape.clone());
                let former = names.used.insert(name.clone(), prepared.clone());
                let is_new = former.as_ref().is_none_or(|former| *former == prepared);
                assert!(is_new, "{name:?} stands for {former:?} and {prepared:?}");
                names.current.insert(name.clone(), prepared);
            }
            Order::Statement(Statement::Execute { name, arguments }) => {
                let id = command.id.clone().expect("executions have the id of a client");
                let Some((access, text)) = names.current.get(name).cloned() else {
                    panic!("{id}: {name:?} is executed, but is not prepared");
                };
                executions.insert(id, (access, text, arguments.clone()));
            }
            Order::Statement(Statement::Close { name }) => {
                names.current.remove(name);
            }
            _ => {}
        }
    }
    executions
}

/// Two sessions that share connections execute each text; if `with_values`, their values differ, so that
/// connections are reset between them.
fn assert_executes_what_was_prepared(with_values: bool) {
    let mut node = Node::new(1, 1);
    node.run_for(Duration::from_secs(1));
    for session in [1, 2] {
        open(&mut node, session);
        if with_values {
            let statement = Statement::Set { name: "lang".to_owned(), value: session.to_string() };
            send(&mut node, session, "set", statement);
        }
    }
    let mut expected = HashMap::new();
    for (index, text) in TEXTS.iter().enumerate() {
        for access in ACCESSES {
            let other_text = TEXTS[(index + 1) % TEXTS.len()];
            prepare(&mut node, 1, access, text);
            prepare(&mut node, 2, Access::Read, other_text);
            for arguments in ARGUMENTS {
                let sessions = [(1, access, *text), (2, Access::Read, other_text)];
                for (session, access, text) in sessions {
                    let id = expected.len().to_string();
                    execute(&mut node, session, &id, arguments);
                    expected.insert(id, (access, text.to_owned(), arguments.to_owned()));
                }
            }
        }
    }
    let resets = node.commands.iter().filter(|(_, command)| command.order == Order::Reset).count();
    assert_eq!(resets > 0, with_values);
    assert_eq!(executions(&node.commands), expected);
}

#[test]
fn sessions_execute_what_they_prepared() {
    assert_executes_what_was_prepared(false);
}

#[test]
fn sessions_execute_what_they_prepared_on_connections_that_are_reset() {
    assert_executes_what_was_prepared(true);
}

/// Guards against a new connection that is believed to know the names of a lost one.
#[test]
fn sessions_execute_what_they_prepared_after_a_loss() {
    let mut node = Node::new(1, 1);
    node.run_for(Duration::from_secs(1));
    open(&mut node, 1);
    let mut expected = HashMap::new();
    for (index, text) in TEXTS.iter().enumerate() {
        prepare(&mut node, 1, Access::Write, text);
        for id in [format!("{index}-before"), format!("{index}-after")] {
            execute(&mut node, 1, &id, "1a4");
            expected.insert(id, (Access::Write, (*text).to_owned(), "1a4".to_owned()));
            node.lose(Some(Role::Primary));
            node.lose(None);
            node.run_for(Duration::from_secs(1));
        }
    }
    assert_eq!(executions(&node.commands), expected);
}

/// Guards against names that are used again after a connection was reset for holding too many statements.
#[test]
fn names_are_not_used_again_for_another_text() {
    let mut node = Node::new(1, 1);
    node.run_for(Duration::from_secs(1));
    open(&mut node, 1);
    let mut expected = HashMap::new();
    for index in 0..600 {
        let text = format!("text{index}");
        prepare(&mut node, 1, Access::Read, &text);
        execute(&mut node, 1, &index.to_string(), "1a4");
        expected.insert(index.to_string(), (Access::Read, text, "1a4".to_owned()));
    }
    assert!(node.commands.iter().any(|(_, command)| command.order == Order::Reset));
    assert_eq!(executions(&node.commands), expected);
}
