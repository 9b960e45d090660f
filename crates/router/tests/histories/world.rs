//! Test world: nodes, endpoints of one database, a store, and the links between them.
//!
//! Time goes on in milliseconds. A cut link delivers nothing and loses nothing: what was sent
//! arrives when it heals, in order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tamarackbend_replica::{Checker, Connection, Endpoint};
use tamarackbend_router::configuration::{Configuration, Consistency, Route, Service};
use tamarackbend_router::directory::{Change, Entry};
use tamarackbend_router::failover::{PromotionAnswer, Record, RecordName};
use tamarackbend_router::membership::Peer;
use tamarackbend_router::message::{Answer, Command, ConnectionId, Request, Role, SessionId};
use tamarackbend_router::settings::Settings;
use tamarackbend_router::{Action, ConnectionLoss, Event, FetchResult, Router, WriteResult};

pub const SERVICE: &str = "leases";
/// Names of the endpoints; the first one leads at the start.
pub const ENDPOINTS: [&str; 3] = ["endpoint-a", "endpoint-b", "endpoint-c"];
/// Time from a promotion's acceptance until it takes effect.
const PROMOTE_DELAY: Duration = Duration::from_millis(300);
/// Time for which a former primary goes on after it has met its successor.
const YIELD_DELAY: Duration = Duration::from_secs(1);
/// One way between a node and an endpoint, and to the store.
const DELAY: Duration = Duration::from_millis(4);
/// Interval of replication.
const REPLICATION_MS: u64 = 8;
/// Interval of ticks.
const TICK_MS: u64 = 15;

/// Something that links connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    Node(usize),
    Endpoint(usize),
    Store,
}

struct Pipe {
    endpoint: usize,
    is_open: bool,
    conversation: Connection,
    to_endpoint: VecDeque<(Duration, Vec<Command>)>,
    to_node: VecDeque<(Duration, Event)>,
}

struct Node {
    router: Router,
    paused_until: Duration,
    pipes: BTreeMap<ConnectionId, Pipe>,
    from_store: VecDeque<(Duration, Event)>,
}

/// Reply that a caller got.
#[derive(Clone, Debug)]
pub struct Reply {
    pub node: usize,
    pub session: SessionId,
    pub answer: Answer,
}

pub struct World {
    pub now: Duration,
    pub endpoints: Vec<Endpoint>,
    pub check: Checker,
    pub replies: Vec<Reply>,
    pub promotions: usize,
    /// Endpoints report that no term is closed: the protection is off.
    pub hides_closing: bool,
    pub store_is_up: bool,
    nodes: Vec<Node>,
    cuts: BTreeSet<(Party, Party)>,
    records: BTreeMap<String, (u64, Record)>,
    revision: u64,
    promoting: Option<(Duration, usize)>,
    listed: Vec<Entry>,
}

impl World {
    pub fn new(nodes: usize, consistency: Consistency) -> World {
        let roles = [Role::Primary, Role::Replica, Role::Replica];
        let endpoints: Vec<Endpoint> =
            ENDPOINTS.iter().zip(roles).map(|(name, role)| Endpoint::new(name, role)).collect();
        let listed: Vec<Entry> = endpoints.iter().map(|e| entry(e, false)).collect();
        let nodes = (0..nodes).map(|index| node(index, consistency, &listed)).collect();
        World {
            now: START,
            endpoints,
            check: Checker::default(),
            replies: Vec::new(),
            promotions: 0,
            hides_closing: false,
            store_is_up: true,
            nodes,
            cuts: BTreeSet::new(),
            records: BTreeMap::new(),
            revision: 1,
            promoting: None,
            listed,
        }
    }

    /// Cuts a link both ways.
    pub fn cut(&mut self, a: Party, b: Party) {
        self.cuts.insert((a.min(b), a.max(b)));
    }

    /// Heals all links.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Makes an endpoint's entry vanish for one node.
    pub fn hide(&mut self, node: usize, endpoint: usize) {
        let absent = Event::DirectoryChanged(Change::Absent(Rc::from(ENDPOINTS[endpoint])));
        self.nodes[node].from_store.push_back((self.now, absent));
    }

    /// Stops a node's process for a while.
    pub fn pause(&mut self, node: usize, time: Duration) {
        self.nodes[node].paused_until = self.now + time;
    }

    /// Stops an endpoint; its connections break.
    pub fn crash(&mut self, endpoint: usize) {
        self.endpoints[endpoint].is_up = false;
        for index in 0..self.nodes.len() {
            let broken: Vec<ConnectionId> = self.nodes[index]
                .pipes
                .iter()
                .filter(|(_, pipe)| pipe.endpoint == endpoint)
                .map(|(id, _)| *id)
                .collect();
            for id in broken {
                self.nodes[index].pipes.remove(&id);
                self.give(index, Event::ConnectionLost(id, ConnectionLoss::Broken));
            }
        }
    }

    /// Starts a crashed endpoint again with its log.
    pub fn restart(&mut self, endpoint: usize) {
        let newest = self.endpoints.iter().map(|e| e.term).max().unwrap_or(1);
        let state = &mut self.endpoints[endpoint];
        state.is_up = true;
        state.fenced_term = 0;
        if state.term < newest {
            state.role = Role::Replica;
        }
    }

    /// Announces in the directory whether an endpoint is leaving.
    pub fn list(&mut self, endpoint: usize, leaving: bool) {
        self.listed[endpoint] = entry(&self.endpoints[endpoint], leaving);
        let present = Event::DirectoryChanged(Change::Present(self.listed[endpoint].clone()));
        self.tell_all(&present);
    }

    /// Gives an event to a node's router.
    pub fn give(&mut self, node: usize, event: Event) {
        let now = self.now;
        let actions = self.nodes[node].router.step(now, event);
        for action in actions {
            self.carry_out(node, action);
        }
    }

    /// Sends a caller's request to a node.
    pub fn request(&mut self, node: usize, session: SessionId, request: Request) {
        if let Request::Statement { id, .. } = &request {
            self.check.record_statement(id, self.now);
        }
        self.give(node, Event::ClientRequest(session, request));
    }

    pub fn is_paused(&self, node: usize) -> bool {
        self.now < self.nodes[node].paused_until
    }

    /// Lets a millisecond pass.
    pub fn step(&mut self) {
        self.now += Duration::from_millis(1);
        if (self.now.as_millis() as u64).is_multiple_of(REPLICATION_MS) {
            self.replicate();
        }
        self.finish_promotion();
        for index in 0..self.nodes.len() {
            self.serve_endpoints(index);
            if self.is_paused(index) {
                continue;
            }
            self.deliver(index);
            if (self.now.as_millis() as u64 + index as u64).is_multiple_of(TICK_MS) {
                self.give(index, Event::Tick);
            }
        }
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn is_linked(&self, a: Party, b: Party) -> bool {
        let up = |party: Party| match party {
            Party::Endpoint(index) => self.endpoints[index].is_up,
            Party::Store => self.store_is_up,
            Party::Node(_) => true,
        };
        up(a) && up(b) && !self.cuts.contains(&(a.min(b), a.max(b)))
    }

    fn replicate(&mut self) {
        for index in 0..self.endpoints.len() {
            let here = Party::Endpoint(index);
            let newest = (0..self.endpoints.len())
                .filter(|other| *other != index && self.endpoints[*other].role == Role::Primary)
                .filter(|other| self.is_linked(here, Party::Endpoint(*other)))
                .max_by_key(|other| self.endpoints[*other].term);
            if let Some(primary) = newest {
                let primary = self.endpoints[primary].clone();
                let follower = &mut self.endpoints[index];
                let since = *follower.reaches_primary_since.get_or_insert(self.now);
                let yields = follower.role == Role::Replica || self.now >= since + YIELD_DELAY;
                if yields && (follower.role == Role::Replica || follower.term < primary.term) {
                    follower.replicate_from(&primary, self.now);
                }
            } else {
                self.endpoints[index].reaches_primary_since = None;
            }
        }
    }

    fn finish_promotion(&mut self) {
        let Some((at, target)) = self.promoting.filter(|(at, _)| self.now >= *at) else { return };
        self.promoting = None;
        let term = self.endpoints.iter().map(|e| e.term).max().unwrap_or(1) + 1;
        if !self.endpoints[target].is_up {
            return;
        }
        self.endpoints[target].promote(term);
        self.promotions += 1;
        self.check.record_promotion(at, term, &self.endpoints[target].log);
        self.list(target, false);
    }

    fn serve_endpoints(&mut self, index: usize) {
        let ids: Vec<ConnectionId> = self.nodes[index].pipes.keys().copied().collect();
        for id in ids {
            let Some(pipe) = self.nodes[index].pipes.get(&id) else { continue };
            let endpoint = pipe.endpoint;
            if !self.is_linked(Party::Node(index), Party::Endpoint(endpoint)) {
                continue;
            }
            let now = self.now;
            while let Some(pipe) = self.nodes[index].pipes.get_mut(&id)
                && let Some((at, _)) = pipe.to_endpoint.front()
                && *at <= now
                && let Some((_, commands)) = pipe.to_endpoint.pop_front()
            {
                for command in commands {
                    let state = &mut self.endpoints[endpoint];
                    let (mut answer, effect) = state.execute(&mut pipe.conversation, &command, now);
                    if self.hides_closing
                        && let Some(status) = &mut answer.status
                    {
                        status.fenced_term = 0;
                    }
                    self.check.record_effect(&effect, &state.log);
                    pipe.to_node.push_back((now + DELAY, Event::EndpointAnswered(id, answer)));
                }
            }
        }
    }

    fn deliver(&mut self, index: usize) {
        let now = self.now;
        let ids: Vec<ConnectionId> = self.nodes[index].pipes.keys().copied().collect();
        for id in ids {
            let Some(pipe) = self.nodes[index].pipes.get(&id) else { continue };
            if !self.is_linked(Party::Node(index), Party::Endpoint(pipe.endpoint)) {
                continue;
            }
            while let Some(pipe) = self.nodes[index].pipes.get_mut(&id)
                && pipe.to_node.front().is_some_and(|(at, _)| *at <= now)
                && let Some((_, event)) = pipe.to_node.pop_front()
            {
                pipe.is_open = true;
                self.give(index, event);
            }
        }
        if !self.is_linked(Party::Node(index), Party::Store) {
            return;
        }
        while self.nodes[index].from_store.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, event)) = self.nodes[index].from_store.pop_front() {
                self.give(index, event);
            }
        }
    }

    fn tell_all(&mut self, event: &Event) {
        let at = self.now + DELAY;
        for node in &mut self.nodes {
            node.from_store.push_back((at, event.clone()));
        }
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        let now = self.now;
        match action {
            Action::Reply(session, answer) => {
                self.replies.push(Reply { node, session, answer });
            }
            Action::Connect { connection, entry } => self.connect(node, connection, &entry),
            Action::SendCommands(connection, commands) => {
                if let Some(pipe) = self.nodes[node].pipes.get_mut(&connection) {
                    pipe.to_endpoint.push_back((now + DELAY, commands));
                }
            }
            Action::Disconnect(connection) => {
                // What is on its way still arrives at the endpoint, the answer is lost.
                if let Some(mut pipe) = self.nodes[node].pipes.remove(&connection)
                    && self.is_linked(Party::Node(node), Party::Endpoint(pipe.endpoint))
                {
                    let state = &mut self.endpoints[pipe.endpoint];
                    for (_, commands) in pipe.to_endpoint {
                        for command in commands {
                            let (_, effect) = state.execute(&mut pipe.conversation, &command, now);
                            self.check.record_effect(&effect, &state.log);
                        }
                    }
                }
            }
            Action::FetchRecord(name) => {
                let fetch = match self.is_linked(Party::Node(node), Party::Store) {
                    false => FetchResult::Failed,
                    true => match self.records.get(&key(&name)) {
                        Some((revision, record)) => FetchResult::Found(*revision, record.clone()),
                        None => FetchResult::Missing,
                    },
                };
                self.answer_later(node, Event::RecordFetched(name, fetch));
            }
            Action::WriteRecord(name, revision, record) => {
                let write = self.write(node, &name, revision, record);
                self.answer_later(node, Event::RecordWritten(name, write));
            }
            Action::Promote { service, endpoint, token } => {
                let promotion = self.promote(node, &endpoint, token);
                self.answer_later(node, Event::PromotionAnswered(service, promotion));
            }
            _ => {}
        }
    }

    fn answer_later(&mut self, node: usize, event: Event) {
        let at = self.now + DELAY * 2;
        self.nodes[node].from_store.push_back((at, event));
    }

    fn connect(&mut self, node: usize, connection: ConnectionId, entry: &Entry) {
        let Some(endpoint) = ENDPOINTS.iter().position(|name| **name == *entry.id) else { return };
        if !self.endpoints[endpoint].is_up {
            let refused = Event::ConnectionLost(connection, ConnectionLoss::Broken);
            self.nodes[node].from_store.push_back((self.now + DELAY, refused));
            return;
        }
        let position = Some(self.endpoints[endpoint].position());
        let opened = (self.now + DELAY * 2, Event::EndpointConnected(connection, position));
        let pipe = Pipe {
            endpoint,
            is_open: false,
            conversation: Connection::default(),
            to_endpoint: VecDeque::new(),
            to_node: VecDeque::from([opened]),
        };
        self.nodes[node].pipes.insert(connection, pipe);
    }

    fn write(
        &mut self,
        node: usize,
        name: &RecordName,
        revision: Option<u64>,
        record: Record,
    ) -> WriteResult {
        if !self.is_linked(Party::Node(node), Party::Store) {
            return WriteResult::Failed;
        }
        let known = self.records.get(&key(name)).map(|(revision, _)| *revision);
        if known != revision {
            return WriteResult::Conflict;
        }
        self.revision += 1;
        self.records.insert(key(name), (self.revision, record));
        WriteResult::Done(self.revision)
    }

    fn promote(&mut self, node: usize, endpoint: &str, token: u64) -> PromotionAnswer {
        if !self.is_linked(Party::Node(node), Party::Store) {
            return PromotionAnswer::Unknown;
        }
        self.check.record_token(&format!("node-{node}"), token);
        let Some(target) = ENDPOINTS.iter().position(|name| *name == endpoint) else {
            return PromotionAnswer::Refused;
        };
        if !self.endpoints[target].is_up {
            return PromotionAnswer::Refused;
        }
        if self.promoting.is_none() && self.endpoints[target].role != Role::Primary {
            self.promoting = Some((self.now + PROMOTE_DELAY, target));
        }
        PromotionAnswer::Accepted
    }
}

/// Time at which worlds begin; a node's clock does not begin at zero.
pub const START: Duration = Duration::from_secs(100);

fn node(index: usize, consistency: Consistency, listed: &[Entry]) -> Node {
    let settings = Settings {
        node: format!("node-{index}"),
        failure_domain: "near".to_owned(),
        is_first_start: false,
        regions: [("near".to_owned(), "region".to_owned())].into(),
        drain_timeout: Duration::from_secs(7),
        stop_timeout: Duration::from_secs(6),
    };
    let mut router = Router::new(settings, index as u64 + 1, START);
    let route = Route {
        service: SERVICE.into(),
        consistency,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(400),
        priority: 1,
    };
    let configuration = Configuration {
        version: 1,
        routes: [("db".to_owned(), route)].into(),
        services: vec![Service { name: SERVICE.into(), connections: 76 }],
        transaction_idle: Duration::from_secs(3),
    };
    let peer = Peer {
        name: format!("node-{index}").into(),
        failure_domain: "near".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 2)),
        weight: 170,
        incarnation: index as u64 + 1,
    };
    let start = VecDeque::from([
        (START, Event::PeersChanged(vec![peer])),
        (START, Event::ConfigurationRead(configuration)),
        (START, Event::DirectoryChanged(Change::Snapshot(listed.to_vec()))),
    ]);
    let _ = router.step(START, Event::Tick);
    Node { router, paused_until: Duration::ZERO, pipes: BTreeMap::new(), from_store: start }
}

fn entry(endpoint: &Endpoint, leaving: bool) -> Entry {
    Entry {
        id: Rc::from(endpoint.name.as_str()),
        service: SERVICE.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "near".to_owned(),
        leaving,
        role: endpoint.role,
        incarnation: 1,
    }
}

fn key(name: &RecordName) -> String {
    format!("{name:?}")
}
