//! Choice of poolers, of the databases that each serves, and of the sessions that a pooler passes on.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tamarackbend_router::configuration::{Configuration, Consistency, Route, Service};
use tamarackbend_router::membership::{
    MAX_DIRECT_FLEET_NODES, POOLERS_PER_DATABASE, Peer, is_responsible, poolers, rank,
};
use tamarackbend_router::message::{Introduction, Request, SessionId};
use tamarackbend_router::settings::Settings;
use tamarackbend_router::{Action, ConnectionLoss, Event, Router};

const START: Duration = Duration::from_secs(50);
const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn peer(name: String, domain: &str, weight: u32) -> Peer {
    Peer {
        name: name.into(),
        failure_domain: domain.to_owned(),
        address: ([127, 0, 0, 1], 7440).into(),
        weight,
    }
}

/// Returns a fleet with three strong nodes in each failure domain.
fn fleet(nodes: usize) -> Vec<Peer> {
    (0..nodes)
        .map(|index| {
            let weight = if index / DOMAINS.len() < 3 { 500 } else { 120 };
            peer(format!("n{index:04}"), DOMAINS[index % DOMAINS.len()], weight)
        })
        .collect()
}

fn database(index: usize) -> String {
    format!("db{index}")
}

fn owned_poolers(fleet: &[Peer]) -> Vec<Peer> {
    poolers(fleet).into_iter().cloned().collect()
}

/// Guards against poolers that are the neck of a large fleet: their number was fixed, so that the
/// share of each grew with the fleet.
#[test]
fn poolers_grow_with_the_fleet() {
    let mut table = BTreeMap::new();
    for nodes in [MAX_DIRECT_FLEET_NODES, 60, 195, 300, 1000, 4067] {
        let fleet = fleet(nodes);
        let weight = |peers: &[Peer]| peers.iter().map(|peer| peer.weight).sum::<u32>();
        let poolers = owned_poolers(&fleet);
        let cpu_share = f64::from(weight(&poolers)) / f64::from(weight(&fleet));
        assert!(cpu_share >= 0.25, "{nodes} nodes: the poolers have {cpu_share} of the CPU");
        table.insert(nodes, poolers.len());
    }
    insta::assert_debug_snapshot!(table, @r"
    {
        28: 28,
        60: 18,
        195: 18,
        300: 36,
        1000: 210,
        4067: 978,
    }
    ");
}

/// Guards against weak poolers that get as much work as strong ones.
#[test]
fn databases_are_spread_by_weight() {
    let peers = [peer("strong".to_owned(), "a", 500), peer("weak".to_owned(), "a", 100)];
    let count = (0..6000)
        .filter(|index| {
            let database = database(*index);
            rank(&peers[1], &database, 0) < rank(&peers[0], &database, 0)
        })
        .count();
    assert!((900..1100).contains(&count), "the weak node is first for {count} of 6000 databases");
}

#[test]
fn each_database_has_two_poolers_in_each_domain() {
    let poolers = owned_poolers(&fleet(300));
    for index in 0..50 {
        let database = database(index);
        let mut counts = BTreeMap::new();
        for peer in poolers.iter().filter(|peer| is_responsible(&poolers, &peer.name, &database)) {
            *counts.entry(&peer.failure_domain).or_insert(0) += 1;
        }
        assert_eq!(counts.into_values().collect::<Vec<_>>(), [POOLERS_PER_DATABASE; 6]);
    }
}

fn configuration() -> Configuration {
    let route = |index: usize| Route {
        service: format!("s{index}").into(),
        consistency: Consistency::Latest,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(400),
        priority: 1,
        is_public: false,
    };
    Configuration {
        version: 1,
        routes: (0..20).map(|index| (database(index), route(index))).collect(),
        services: (0..20)
            .map(|index| Service { name: format!("s{index}").into(), connections: 144 })
            .collect(),
        transaction_idle: Duration::from_secs(3),
        customers: None,
    }
}

/// Returns the router of a pooler, and a database for which it is responsible and one for which it is
/// not.
fn pooler() -> (Router, String, String) {
    let fleet = fleet(195);
    let poolers = owned_poolers(&fleet);
    let node = poolers[0].name.to_string();
    let settings = Settings {
        node: node.clone(),
        failure_domain: "a".to_owned(),
        is_first_start: false,
        regions: HashMap::from([("a".to_owned(), "x".to_owned())]),
        drain_timeout: Duration::from_secs(10),
        stop_timeout: Duration::from_secs(6),
        has_customers: false,
        limit_window: Duration::from_secs(5),
        limit_slack: 20.0,
    };
    let mut router = Router::new(settings, 1, START);
    router.step(START, Event::PeersChanged(fleet));
    router.step(START, Event::ConfigurationRead(configuration()));
    let find = |is_wanted: bool| {
        let mut databases = (0..20).map(database);
        databases.find(|name| is_responsible(&poolers, &node, name) == is_wanted)
    };
    (router, find(true).expect("a database is served"), find(false).expect("a database is not"))
}

fn start(router: &mut Router, connected: Event, id: SessionId, database: &str) -> Vec<Action> {
    router.step(START, connected);
    let request = Request::Start { database: database.to_owned(), key: None };
    router.step(START, Event::ClientRequest(id, request))
}

/// Guards against connections that grow with poolers times databases: each pooler held some to every
/// endpoint for the sake of its own clients.
#[test]
fn pooler_passes_clients_of_other_databases_on() {
    let (mut router, own, other) = pooler();
    let actions = start(&mut router, Event::ClientConnected(1), 1, &own);
    assert!(actions.contains(&Action::AcceptSession(1)), "{actions:?}");
    let actions = start(&mut router, Event::ClientConnected(2), 2, &other);
    assert!(actions.iter().any(|a| matches!(a, Action::OpenChannel { .. })), "{actions:?}");
}

/// Guards against statements that two poolers pass on to each other.
#[test]
fn pooler_serves_every_channel_itself() {
    let (mut router, _, other) = pooler();
    let actions = start(&mut router, Event::ChannelAccepted(1, Introduction::default()), 1, &other);
    assert!(actions.contains(&Action::AcceptSession(1)), "{actions:?}");
}

/// Guards against a pooler that refuses its clients because all other poolers near it have failed.
#[test]
fn pooler_that_is_alone_serves_all_its_clients() {
    let (mut router, _, other) = pooler();
    let mut actions = start(&mut router, Event::ClientConnected(1), 1, &other);
    let mut now = START;
    for _ in 0..40 {
        let opened: Vec<_> = actions
            .iter()
            .filter_map(|action| match action {
                Action::OpenChannel { connection, .. } => Some(*connection),
                _ => None,
            })
            .collect();
        actions.clear();
        for connection in opened {
            let lost = Event::ConnectionLost(connection, ConnectionLoss::Broken);
            actions.extend(router.step(now, lost));
        }
        now += Duration::from_millis(15);
        actions.extend(router.step(now, Event::Tick));
    }
    let actions = start(&mut router, Event::ClientConnected(2), 2, &other);
    assert!(actions.contains(&Action::AcceptSession(2)), "{actions:?}");
}
