//! Test world: nodes, endpoints of one database, a store, and the links between them.
//!
//! Time advances in steps of one millisecond. A cut link delivers nothing and loses nothing:
//! messages arrive in order once the link is healed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackbend_replica::{Checker, Connection, Endpoint, promote, replication_source};
use tamarackbend_router::configuration::Consistency;
use tamarackbend_router::directory::{Change, Entry};
use tamarackbend_router::failover::{PromotionAnswer, Record, RecordName};
use tamarackbend_router::membership::Peer;
use tamarackbend_router::message::{
    Answer, Command, ConnectionId, Order, Request, Role, SessionId,
};
use tamarackbend_router::revision::{Era, Report, Revision, Tracker, Verdict};
use tamarackbend_router::{Action, ConnectionLoss, Event, FetchResult, Router, WriteResult};

use crate::setup;

pub const SERVICE: &str = "leases";
/// Names of the endpoints; the first is the primary at the start.
pub const ENDPOINTS: [&str; 3] = ["endpoint-a", "endpoint-b", "endpoint-c"];
/// Time from the acceptance of a promotion until the endpoint is primary.
const PROMOTE_DELAY: Duration = Duration::from_millis(300);
/// Time for which a former primary continues after it has reached its successor.
const STEP_DOWN_DELAY: Duration = Duration::from_secs(1);
/// One-way delay between a node and the store.
const ONE_WAY_DELAY: Duration = Duration::from_millis(4);
/// One-way delay between a node and the endpoint near to it, and between the node and the others.
const NEAR_DELAY: Duration = Duration::from_millis(1);
const FAR_DELAY: Duration = Duration::from_millis(9);
/// Longest time for which a status waits for a slot of its endpoint.
const MAX_SLOT_WAIT_MS: u64 = 40;
/// Interval at which endpoints report to the store.
const REPORT_INTERVAL: Duration = Duration::from_millis(1200);
/// Longest time until a node's watch of the store ends, in milliseconds.
const WATCH_MS: u64 = 2500;
/// Interval of replication, in milliseconds.
const REPLICATION_MS: u64 = 8;
/// Interval of the routers' ticks, in milliseconds.
const TICK_MS: u64 = 15;

/// Process at an end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    Node(usize),
    Endpoint(usize),
    Store,
}

struct NodeConnection {
    endpoint: usize,
    is_open: bool,
    endpoint_side: Connection,
    to_endpoint: VecDeque<(Duration, Vec<Command>)>,
    to_node: VecDeque<(Duration, Event)>,
}

struct Node {
    router: Router,
    paused_until: Duration,
    connections: BTreeMap<ConnectionId, NodeConnection>,
    /// Events with the time of their arrival and the era of the store when they were sent.
    from_store: VecDeque<(Duration, Era, Event)>,
    eras: Tracker,
}

/// Content of the store's records at a time.
struct Copy {
    taken_at: Duration,
    revision: u64,
    records: BTreeMap<String, (u64, Record)>,
}

/// Answer that a client received.
#[derive(Clone, Debug)]
pub struct Reply {
    pub node: usize,
    pub session: SessionId,
    pub answer: Answer,
}

pub struct World {
    pub now: Duration,
    pub endpoints: Vec<Endpoint>,
    pub checker: Checker,
    pub replies: Vec<Reply>,
    pub promotions: usize,
    /// Whether endpoints report no fenced term, which makes evidence for the primary worthless.
    pub hides_fencing: bool,
    pub store_is_up: bool,
    /// Whether the store hides its eras, so that nodes do not learn that it was restored.
    hides_eras: bool,
    nodes: Vec<Node>,
    cuts: BTreeSet<(Party, Party)>,
    records: BTreeMap<String, (u64, Record)>,
    revision: u64,
    era: Era,
    /// Copies from which the store may be restored, one for each change.
    copies: Vec<Copy>,
    /// When endpoints report again after a restoration.
    next_report_at: Option<Duration>,
    pending_promotion: Option<(Duration, usize)>,
    entries: Vec<Entry>,
    random: ChaCha8Rng,
}

impl World {
    pub fn new(nodes: usize, consistency: Consistency) -> World {
        let roles = [Role::Primary, Role::Replica, Role::Replica];
        let endpoints: Vec<Endpoint> =
            ENDPOINTS.iter().zip(roles).map(|(name, role)| Endpoint::new(name, role)).collect();
        let entries: Vec<Entry> = endpoints.iter().map(|e| entry(e, false)).collect();
        let nodes = (0..nodes).map(|index| node(index, consistency, &entries)).collect();
        World {
            now: START,
            endpoints,
            checker: Checker::default(),
            replies: Vec::new(),
            promotions: 0,
            hides_fencing: false,
            store_is_up: true,
            hides_eras: false,
            nodes,
            cuts: BTreeSet::new(),
            records: BTreeMap::new(),
            revision: 1,
            era: 1,
            copies: Vec::new(),
            next_report_at: None,
            pending_promotion: None,
            entries,
            random: ChaCha8Rng::seed_from_u64(1),
        }
    }

    /// Makes the store hide its eras.
    pub fn with_hidden_eras(mut self, hides_eras: bool) -> World {
        self.hides_eras = hides_eras;
        self
    }

    /// Cuts a link in both directions.
    pub fn cut(&mut self, a: Party, b: Party) {
        self.cuts.insert((a.min(b), a.max(b)));
    }

    /// Heals all links.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Deletes an endpoint's directory entry in the view of one node.
    pub fn hide_entry(&mut self, node: usize, endpoint: usize) {
        let absent = Event::DirectoryChanged(Change::Absent(Rc::from(ENDPOINTS[endpoint])));
        self.nodes[node].from_store.push_back((self.now, self.era, absent));
    }

    /// Restores the store from a copy of this age: the records written since then are lost, and the
    /// endpoints' entries show none as draining until the endpoints report again.
    pub fn restore_store(&mut self, age: Duration) {
        let restored_to = self.now.saturating_sub(age);
        self.copies.retain(|copy| copy.taken_at <= restored_to);
        let (revision, records) = match self.copies.last() {
            Some(copy) => (copy.revision, copy.records.clone()),
            None => (1, BTreeMap::new()),
        };
        (self.revision, self.records) = (revision, records);
        self.era += 1;
        let entries = self.entries.iter().map(|e| Entry { leaving: false, ..e.clone() }).collect();
        self.notify_nodes(&Event::DirectoryChanged(Change::Snapshot(entries)));
        self.next_report_at = Some(self.now + REPORT_INTERVAL);
    }

    /// Suspends a node's process for `time`.
    pub fn pause(&mut self, node: usize, time: Duration) {
        self.nodes[node].paused_until = self.now + time;
    }

    /// Stops an endpoint and breaks its connections.
    pub fn crash(&mut self, endpoint: usize) {
        self.endpoints[endpoint].is_up = false;
        for index in 0..self.nodes.len() {
            let lost: Vec<ConnectionId> = self.nodes[index]
                .connections
                .iter()
                .filter(|(_, connection)| connection.endpoint == endpoint)
                .map(|(id, _)| *id)
                .collect();
            for id in lost {
                self.nodes[index].connections.remove(&id);
                self.handle_event(index, Event::ConnectionLost(id, ConnectionLoss::Broken));
            }
        }
    }

    /// Restarts a crashed endpoint with its log.
    pub fn restart(&mut self, endpoint: usize) {
        let newest = self.endpoints.iter().map(|e| e.term).max().unwrap_or(1);
        let state = &mut self.endpoints[endpoint];
        state.is_up = true;
        state.fenced_term = 0;
        if state.term < newest {
            state.role = Role::Replica;
        }
    }

    /// Updates an endpoint's directory entry, which shows whether the endpoint is draining.
    pub fn update_entry(&mut self, endpoint: usize, is_draining: bool) {
        self.entries[endpoint] = entry(&self.endpoints[endpoint], is_draining);
        let present = Event::DirectoryChanged(Change::Present(self.entries[endpoint].clone()));
        self.notify_nodes(&present);
    }

    /// Steps a node's router with an event and carries out the router's actions.
    pub fn handle_event(&mut self, node: usize, event: Event) {
        let now = self.now;
        let actions = self.nodes[node].router.step(now, event);
        for action in actions {
            self.perform(node, action);
        }
    }

    /// Sends a client's request to a node.
    pub fn request(&mut self, node: usize, session: SessionId, request: Request) {
        if let Request::Statement { id, .. } = &request {
            self.checker.record_statement(id, self.now);
        }
        self.handle_event(node, Event::ClientRequest(session, request));
    }

    pub fn is_paused(&self, node: usize) -> bool {
        self.now < self.nodes[node].paused_until
    }

    /// Advances the world by one millisecond.
    pub fn step(&mut self) {
        self.now += Duration::from_millis(1);
        if (self.now.as_millis() as u64).is_multiple_of(REPLICATION_MS) {
            self.replicate();
        }
        self.finish_promotion();
        if self.next_report_at.is_some_and(|at| self.now >= at) && self.store_is_up {
            self.next_report_at = None;
            let entries = Change::Snapshot(self.entries.clone());
            self.notify_nodes(&Event::DirectoryChanged(entries));
        }
        for index in 0..self.nodes.len() {
            self.serve_endpoints(index);
            if self.is_paused(index) {
                continue;
            }
            self.deliver(index);
            let ms = self.now.as_millis() as u64;
            if (ms + index as u64 * WATCH_MS / 4).is_multiple_of(WATCH_MS)
                && self.is_linked(Party::Node(index), Party::Store)
            {
                self.observe_era(index, self.era);
            }
            if (self.now.as_millis() as u64 + index as u64).is_multiple_of(TICK_MS) {
                self.handle_event(index, Event::Tick);
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
        let is_up = |party: Party| match party {
            Party::Endpoint(index) => self.endpoints[index].is_up,
            Party::Store => self.store_is_up,
            Party::Node(_) => true,
        };
        is_up(a) && is_up(b) && !self.cuts.contains(&(a.min(b), a.max(b)))
    }

    fn replicate(&mut self) {
        for index in 0..self.endpoints.len() {
            let source = replication_source(&self.endpoints, index, self.now, |other| {
                self.is_linked(Party::Endpoint(index), Party::Endpoint(other))
            });
            if let Some(primary) = source {
                let primary = self.endpoints[primary].clone();
                let follower = &mut self.endpoints[index];
                let reachable_since = *follower.reaches_primary_since.get_or_insert(self.now);
                let may_follow =
                    follower.role == Role::Replica || self.now >= reachable_since + STEP_DOWN_DELAY;
                if may_follow && (follower.role == Role::Replica || follower.term < primary.term) {
                    follower.replicate_from(&primary, self.now);
                }
            } else {
                self.endpoints[index].reaches_primary_since = None;
            }
        }
    }

    fn finish_promotion(&mut self) {
        let Some((at, target)) = self.pending_promotion.filter(|(at, _)| self.now >= *at) else {
            return;
        };
        self.pending_promotion = None;
        let Some(term) = promote(&mut self.endpoints, target, self.now) else { return };
        self.promotions += 1;
        self.checker.record_promotion(at, term, &self.endpoints[target].log);
        self.update_entry(target, false);
    }

    fn serve_endpoints(&mut self, index: usize) {
        let ids: Vec<ConnectionId> = self.nodes[index].connections.keys().copied().collect();
        for id in ids {
            let Some(connection) = self.nodes[index].connections.get(&id) else { continue };
            let endpoint = connection.endpoint;
            if !self.is_linked(Party::Node(index), Party::Endpoint(endpoint)) {
                continue;
            }
            let (now, delay) = (self.now, delay(index, endpoint));
            while let Some(connection) = self.nodes[index].connections.get_mut(&id)
                && let Some((at, _)) = connection.to_endpoint.front()
                && *at <= now
                && let Some((_, commands)) = connection.to_endpoint.pop_front()
            {
                for command in commands {
                    let slot_wait = match command.order {
                        Order::Status => self.random.random_range(0..MAX_SLOT_WAIT_MS),
                        _ => 0,
                    };
                    let slot_wait = Duration::from_millis(slot_wait);
                    let state = &mut self.endpoints[endpoint];
                    let (mut answer, effect) =
                        state.execute(&mut connection.endpoint_side, &command, now);
                    if self.hides_fencing
                        && let Some(status) = &mut answer.status
                    {
                        status.fenced_term = 0;
                    }
                    self.checker.record_effect(&effect, &state.log);
                    connection
                        .to_node
                        .push_back((now + delay + slot_wait, Event::EndpointAnswered(id, answer)));
                }
            }
        }
    }

    fn deliver(&mut self, index: usize) {
        let now = self.now;
        let ids: Vec<ConnectionId> = self.nodes[index].connections.keys().copied().collect();
        for id in ids {
            let Some(connection) = self.nodes[index].connections.get(&id) else { continue };
            if !self.is_linked(Party::Node(index), Party::Endpoint(connection.endpoint)) {
                continue;
            }
            while let Some(connection) = self.nodes[index].connections.get_mut(&id)
                && connection.to_node.front().is_some_and(|(at, _)| *at <= now)
                && let Some((_, event)) = connection.to_node.pop_front()
            {
                connection.is_open = true;
                self.handle_event(index, event);
            }
        }
        if !self.is_linked(Party::Node(index), Party::Store) {
            return;
        }
        while self.nodes[index].from_store.front().is_some_and(|(at, _, _)| *at <= now) {
            let Some((_, era, event)) = self.nodes[index].from_store.pop_front() else { return };
            let is_usable = self.observe_era(index, era);
            match event {
                _ if is_usable => self.handle_event(index, event),
                Event::RecordFetched(name, _) => {
                    self.handle_event(index, Event::RecordFetched(name, FetchResult::Failed));
                }
                Event::RecordWritten(name, _) => {
                    self.handle_event(index, Event::RecordWritten(name, WriteResult::Failed));
                }
                Event::DirectoryChanged(_) => {}
                other => self.handle_event(index, other),
            }
        }
    }

    /// Tells a node's router of a new era; returns whether an answer of `era` may be used.
    fn observe_era(&mut self, index: usize, era: Era) -> bool {
        let report = if self.hides_eras { Report::Missing } else { Report::Era(era) };
        match self.nodes[index].eras.observe(report) {
            Verdict::Current(_) => true,
            Verdict::Entered(era) => {
                self.handle_event(index, Event::StoreEra(era));
                true
            }
            Verdict::Rejected(_) => false,
        }
    }

    /// Returns a revision as the store's answers report it.
    fn reported(&self, number: u64) -> Revision {
        Revision { era: if self.hides_eras { 0 } else { self.era }, number }
    }

    fn notify_nodes(&mut self, event: &Event) {
        let at = self.now + ONE_WAY_DELAY;
        for node in &mut self.nodes {
            node.from_store.push_back((at, self.era, event.clone()));
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        let now = self.now;
        match action {
            Action::Reply(session, answer) => {
                self.replies.push(Reply { node, session, answer });
            }
            Action::Connect { connection, entry, .. } => self.connect(node, connection, &entry),
            Action::SendCommands(id, commands) => {
                if let Some(connection) = self.nodes[node].connections.get_mut(&id) {
                    let due_at = now + delay(node, connection.endpoint);
                    connection.to_endpoint.push_back((due_at, commands));
                }
            }
            Action::Disconnect(id) => {
                // Commands in flight still reach the endpoint; their answers are lost.
                if let Some(mut connection) = self.nodes[node].connections.remove(&id)
                    && self.is_linked(Party::Node(node), Party::Endpoint(connection.endpoint))
                {
                    let state = &mut self.endpoints[connection.endpoint];
                    for (_, commands) in connection.to_endpoint {
                        for command in commands {
                            let (_, effect) =
                                state.execute(&mut connection.endpoint_side, &command, now);
                            self.checker.record_effect(&effect, &state.log);
                        }
                    }
                }
            }
            Action::FetchRecord(name) => {
                let fetch = match self.is_linked(Party::Node(node), Party::Store) {
                    false => FetchResult::Failed,
                    true => match self.records.get(&key(&name)) {
                        Some((revision, record)) => {
                            FetchResult::Found(self.reported(*revision), record.clone())
                        }
                        None => FetchResult::Missing,
                    },
                };
                self.answer_later(node, Event::RecordFetched(name, fetch));
            }
            Action::WriteRecord(name, revision, record) => {
                let write = self.write_record(node, &name, revision, record);
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
        let at = self.now + ONE_WAY_DELAY * 2;
        self.nodes[node].from_store.push_back((at, self.era, event));
    }

    fn connect(&mut self, node: usize, id: ConnectionId, entry: &Entry) {
        let Some(endpoint) = ENDPOINTS.iter().position(|name| **name == *entry.id) else { return };
        if !self.endpoints[endpoint].is_up {
            let refused = Event::ConnectionLost(id, ConnectionLoss::Broken);
            let at = self.now + ONE_WAY_DELAY;
            self.nodes[node].from_store.push_back((at, self.era, refused));
            return;
        }
        let position = Some(self.endpoints[endpoint].applied_position());
        let opened = (self.now + delay(node, endpoint) * 2, Event::EndpointConnected(id, position));
        let connection = NodeConnection {
            endpoint,
            is_open: false,
            endpoint_side: Connection::default(),
            to_endpoint: VecDeque::new(),
            to_node: VecDeque::from([opened]),
        };
        self.nodes[node].connections.insert(id, connection);
    }

    fn write_record(
        &mut self,
        node: usize,
        name: &RecordName,
        revision: Option<Revision>,
        record: Record,
    ) -> WriteResult {
        if !self.is_linked(Party::Node(node), Party::Store) {
            return WriteResult::Failed;
        }
        let stored = self.records.get(&key(name));
        if stored.map(|(number, _)| *number) != revision.map(|revision| revision.number) {
            return WriteResult::Conflict;
        }
        // The store neither raises the revision nor reports an event for a write that changes nothing.
        if let Some((number, stored)) = stored
            && *stored == record
        {
            return WriteResult::Done(self.reported(*number));
        }
        self.revision += 1;
        self.records.insert(key(name), (self.revision, record));
        let (revision, records) = (self.revision, self.records.clone());
        self.copies.push(Copy { taken_at: self.now, revision, records });
        WriteResult::Done(self.reported(self.revision))
    }

    fn promote(&mut self, node: usize, endpoint: &str, token: u64) -> PromotionAnswer {
        if !self.is_linked(Party::Node(node), Party::Store) {
            return PromotionAnswer::Unknown;
        }
        self.checker.record_token(&format!("node-{node}"), token);
        let Some(target) = ENDPOINTS.iter().position(|name| *name == endpoint) else {
            return PromotionAnswer::Refused;
        };
        if !self.endpoints[target].is_up {
            return PromotionAnswer::Refused;
        }
        if self.pending_promotion.is_none() && self.endpoints[target].role != Role::Primary {
            self.pending_promotion = Some((self.now + PROMOTE_DELAY, target));
        }
        PromotionAnswer::Accepted
    }
}

/// Time at which a world starts; clocks of nodes do not start at zero.
pub const START: Duration = Duration::from_secs(100);

fn node(index: usize, consistency: Consistency, entries: &[Entry]) -> Node {
    let mut router = Router::new(setup::settings(index), index as u64 + 1, START);
    let peer = Peer {
        name: format!("node-{index}").into(),
        failure_domain: "near".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 2)),
        weight: 170,
    };
    let initial_events = VecDeque::from([
        (START, 1, Event::PeersChanged(vec![peer])),
        (START, 1, Event::ConfigurationRead(setup::configuration(consistency))),
        (START, 1, Event::DirectoryChanged(Change::Snapshot(entries.to_vec()))),
    ]);
    let _ = router.step(START, Event::Tick);
    Node {
        router,
        paused_until: Duration::ZERO,
        connections: BTreeMap::new(),
        from_store: initial_events,
        eras: Tracker::default(),
    }
}

/// Returns the one-way delay between a node and an endpoint.
fn delay(node: usize, endpoint: usize) -> Duration {
    if node % ENDPOINTS.len() == endpoint { NEAR_DELAY } else { FAR_DELAY }
}

fn entry(endpoint: &Endpoint, is_draining: bool) -> Entry {
    Entry {
        id: Rc::from(endpoint.name.as_str()),
        service: SERVICE.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "near".to_owned(),
        leaving: is_draining,
        role: endpoint.role,
        incarnation: 1,
    }
}

fn key(name: &RecordName) -> String {
    format!("{name:?}")
}
