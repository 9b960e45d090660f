//! Guards against sessions of different databases or keys that share the channels of one remote group.

mod fleet;

use fleet::{START, read, router_in_fleet, router_with_customers, statement};
use tamarackbend_router::customer::KeyDigest;
use tamarackbend_router::message::{Order, Request};
use tamarackbend_router::{Action, Event, Router};

/// Opens a session for each database and key; each is to open a channel of its own for just these.
fn open_sessions(router: &mut Router, targets: &[(String, Option<KeyDigest>)]) {
    let mut channels = Vec::new();
    for (session, target) in (1..).zip(targets) {
        router.step(START, Event::ClientConnected(session));
        let request = Request::Start { database: target.0.clone(), key: target.1 };
        let actions = router.step(START, Event::ClientRequest(session, request));
        let opened = actions.iter().find_map(|action| match action {
            Action::OpenChannel { connection, database, key, .. } => {
                Some((*connection, database.clone(), *key))
            }
            _ => None,
        });
        let (channel, database, key) =
            opened.unwrap_or_else(|| panic!("{target:?} opens no channel: {actions:?}"));
        assert_eq!((&database, key), (&target.0, target.1));
        router.step(START, Event::EndpointConnected(channel, None));
        channels.push(channel);
    }
    for (session, channel) in (1..).zip(channels) {
        let actions = statement(router, START, session, "r1", read());
        let is_sent = actions.iter().any(|action| match action {
            Action::SendCommands(to, commands) => {
                *to == channel
                    && commands.iter().any(|command| command.order == Order::Statement(read()))
            }
            _ => false,
        });
        assert!(
            is_sent,
            "session {session} of {:?} uses another channel",
            targets[session as usize - 1]
        );
    }
    let dump = router.dump();
    let mut databases: Vec<&str> = dump["groups"]
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|group| group["database_of_other_nodes"].as_str())
        .collect();
    let mut expected: Vec<&str> = targets.iter().map(|(database, _)| &**database).collect();
    databases.sort_unstable();
    expected.sort_unstable();
    assert_eq!(databases, expected);
}

/// Returns names that hold what the names of groups are built from.
fn databases() -> Vec<String> {
    let hex: String = KeyDigest::new("k").as_bytes().iter().map(|b| format!("{b:02x}")).collect();
    let mut names: Vec<String> =
        ["db", "", "db\0", "db\0any", "\0", "/db", "1/db", "db/", "db 1/db"]
            .map(str::to_owned)
            .to_vec();
    names.extend(
        ["\0peers/db", "\0peers/1/db", "db\r\n", "STARTUP db", "peers/db"].map(str::to_owned),
    );
    names.extend([format!("db\0{hex}"), format!("{hex}/db"), format!("\0{hex}/db"), hex]);
    names.push("x".repeat(1 << 20));
    names
}

#[test]
fn every_database_has_its_own_channel() {
    let targets: Vec<_> = databases().into_iter().map(|database| (database, None)).collect();
    open_sessions(&mut router_in_fleet(), &targets);
}

#[test]
fn every_database_and_key_has_its_own_channel() {
    let keys = [None, Some(KeyDigest::new("k")), Some(KeyDigest::new("other"))];
    let targets: Vec<_> = databases()
        .into_iter()
        .flat_map(|database| keys.map(|key| (database.clone(), key)))
        .collect();
    open_sessions(&mut router_with_customers("weak-a-3"), &targets);
}

/// Guards against digests of keys in logs, which hold the names of groups.
#[test]
fn names_of_groups_hold_no_digest() {
    let mut router = router_with_customers("weak-a-3");
    let key = KeyDigest::new("k");
    router.step(START, Event::ClientConnected(1));
    let request = Request::Start { database: "db".to_owned(), key: Some(key) };
    let actions = router.step(START, Event::ClientRequest(1, request));
    let hex: String = key.as_bytes()[..4].iter().map(|byte| format!("{byte:02x}")).collect();
    assert!(!format!("{actions:?}").contains(&hex), "{actions:?}");
}
