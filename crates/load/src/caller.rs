//! One caller: reads, writes and moves between nodes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackbend_policy::position::Role;
use tamarackbend_standin::endpoint::Group;
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

use crate::Scenario;
use crate::history::{Kind, Operation, Outcome};

/// Pause after a login that failed.
const LOGIN_RETRY: Duration = Duration::from_millis(100);

/// What all callers of a run share.
pub(crate) struct Shared {
    pub(crate) scenario: Scenario,
    pub(crate) started: Instant,
    pub(crate) stop: AtomicBool,
    /// Endpoints of each database, to tell whether a replica could have answered.
    pub(crate) groups: Vec<Group>,
    /// Connection strings by node; the list grows when nodes are replaced.
    pub(crate) nodes: std::sync::Mutex<Vec<Option<std::net::SocketAddr>>>,
}

/// Who a caller is.
pub(crate) struct Identity {
    pub(crate) index: usize,
    pub(crate) club: String,
    pub(crate) club_index: usize,
    pub(crate) password: String,
    pub(crate) database: usize,
    pub(crate) database_name: String,
    pub(crate) seed: u64,
}

/// State of a caller.
pub(crate) struct Caller {
    shared: Arc<Shared>,
    identity: Identity,
    random: ChaCha8Rng,
    client: Option<Client>,
    token: Option<String>,
    carries_token: bool,
    next: i64,
    acknowledged: i64,
    /// Position that some replica held when the last write was acknowledged.
    held: u64,
    error: Option<String>,
    /// Whether the node has said that it shuts down.
    told_to_leave: Arc<AtomicBool>,
    operations: Vec<Operation>,
}

impl Caller {
    pub(crate) fn new(shared: Arc<Shared>, identity: Identity) -> Caller {
        let mut random = ChaCha8Rng::seed_from_u64(identity.seed);
        let carries_token = random.random_bool(shared.scenario.token);
        Caller {
            shared,
            identity,
            random,
            client: None,
            token: None,
            carries_token,
            next: 1,
            acknowledged: 0,
            held: 0,
            error: None,
            told_to_leave: Arc::default(),
            operations: Vec::new(),
        }
    }

    /// Works until the run stops; returns what was done.
    pub(crate) async fn run(mut self) -> Vec<Operation> {
        while !self.shared.stop.load(Ordering::Relaxed) {
            self.think().await;
            if self.random.random_bool(self.shared.scenario.roam) {
                self.leave().await;
            }
            if self.client.is_none() && !self.connect().await {
                tokio::time::sleep(LOGIN_RETRY).await;
                continue;
            }
            let roll: f64 = self.random.random();
            let scenario = &self.shared.scenario;
            if roll < scenario.writes {
                self.write(false).await;
            } else if roll < scenario.writes + scenario.transactions {
                self.write(true).await;
            } else {
                self.read().await;
            }
        }
        self.operations
    }

    async fn think(&mut self) {
        let now = self.shared.started.elapsed();
        let scenario = &self.shared.scenario;
        let rushes = |rush: &crate::Rush| now >= rush.at && now < rush.at + rush.time;
        let factor = scenario.rush.filter(|rush| rushes(rush)).map_or(1, |rush| rush.factor);
        let spread: f64 = self.random.random_range(0.5..1.5);
        tokio::time::sleep((scenario.think / factor).mul_f64(spread)).await;
    }

    /// Closes the connection, with the token for the next one.
    async fn leave(&mut self) {
        if let (Some(client), true) = (&self.client, self.carries_token)
            && let Ok(messages) = client.simple_query("SHOW tamarackbend.token").await
        {
            self.token = first_value(&messages).filter(|token| !token.is_empty());
        }
        self.client = None;
    }

    async fn connect(&mut self) -> bool {
        let address = {
            let nodes = self.shared.nodes.lock().expect("no holder panics");
            let live: Vec<_> = nodes.iter().flatten().copied().collect();
            if live.is_empty() {
                return false;
            }
            live[self.random.random_range(0..live.len())]
        };
        let mut config = tokio_postgres::Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(&self.identity.club)
            .password(&self.identity.password)
            .dbname(&self.identity.database_name)
            .connect_timeout(Duration::from_secs(3));
        if let Some(token) = self.token.take() {
            config.options(format!("-c tamarackbend.token={token}"));
        }
        match config.connect(NoTls).await {
            Ok((client, connection)) => {
                let told = Arc::new(AtomicBool::new(false));
                self.told_to_leave = told.clone();
                tokio::spawn(async move {
                    let ended = connection.await.err();
                    let code = ended.as_ref().and_then(|error| error.code());
                    told.store(code == Some(&SqlState::ADMIN_SHUTDOWN), Ordering::Relaxed);
                });
                self.client = Some(client);
                true
            }
            Err(_) => false,
        }
    }

    async fn write(&mut self, transaction: bool) {
        let number = self.next;
        self.next += 1;
        let insert = format!(
            "INSERT INTO entry (caller, number) VALUES ({}, {number})",
            self.identity.index
        );
        let start = self.shared.started.elapsed();
        let result = match transaction {
            false => self.ask(&insert).await.map(|_| ()),
            true => self.transact(&insert).await,
        };
        let outcome = result.err().unwrap_or(Outcome::Done);
        if outcome == Outcome::Done {
            self.acknowledged = number;
            self.held = self.replica_position();
        }
        self.record(Kind::Write, number, 0, outcome, start, true);
    }

    async fn transact(&mut self, insert: &str) -> Result<(), Outcome> {
        // Before COMMIT nothing of a transaction takes effect.
        self.ask("BEGIN").await.map_err(|_| Outcome::NotRun)?;
        if self.ask(insert).await.is_err() {
            // The transaction may be gone already.
            let _ = self.ask("ROLLBACK").await;
            return Err(Outcome::NotRun);
        }
        self.ask("COMMIT").await.map(|_| ())
    }

    async fn read(&mut self) {
        let sql = format!("SELECT max(number) FROM entry WHERE caller = {}", self.identity.index);
        let possible = self.replica_position() >= self.held;
        let must_see = self.acknowledged;
        let start = self.shared.started.elapsed();
        let (seen, outcome) = match self.ask(&sql).await {
            Ok(value) => (value.and_then(|text| text.parse().ok()).unwrap_or(0), Outcome::Done),
            Err(outcome) => (0, outcome),
        };
        self.record(Kind::Read, must_see, seen, outcome, start, possible);
    }

    /// Runs one statement; returns its first value.
    async fn ask(&mut self, sql: &str) -> Result<Option<String>, Outcome> {
        let Some(client) = &self.client else {
            return Err(Outcome::NotRun);
        };
        match client.simple_query(sql).await {
            Ok(messages) => Ok(first_value(&messages)),
            Err(error) => {
                let Some(error) = error.as_db_error() else {
                    self.client = None;
                    tokio::task::yield_now().await;
                    if self.told_to_leave.load(Ordering::Relaxed) {
                        self.error = Some("57P01".to_owned());
                        return Err(Outcome::NotRun);
                    }
                    self.error = Some("connection lost".to_owned());
                    return Err(Outcome::Unknown);
                };
                let text = error.message();
                let code = text.split(':').next().filter(|code| code.starts_with('T'));
                self.error = Some(code.unwrap_or(error.code().code()).to_owned());
                if text.starts_with("T2") || text.starts_with("T1") {
                    return Err(Outcome::NotRun);
                }
                if text.starts_with("T3") {
                    return Err(Outcome::Unknown);
                }
                // An endpoint's own error: the statement had no effect.
                Err(Outcome::NotRun)
            }
        }
    }

    /// Returns the highest position of a replica that answers.
    fn replica_position(&self) -> u64 {
        let group = &self.shared.groups[self.identity.database];
        let live = |(index, report): (usize, tamarackbend_standin::endpoint::Report)| {
            let faults = group.faults(index);
            let answers = !faults.crashed && !faults.paused && !faults.unreachable;
            (answers && report.status.role == Role::Replica).then_some(report.status.position)
        };
        group.reports().into_iter().enumerate().filter_map(live).max().unwrap_or(0)
    }

    fn record(
        &mut self,
        kind: Kind,
        number: i64,
        seen: i64,
        outcome: Outcome,
        start: Duration,
        replica_possible: bool,
    ) {
        self.operations.push(Operation {
            caller: self.identity.index,
            club: self.identity.club_index,
            database: self.identity.database,
            kind,
            number,
            seen,
            outcome,
            error: self.error.take(),
            start,
            end: self.shared.started.elapsed(),
            replica_possible,
        });
    }
}

fn first_value(messages: &[SimpleQueryMessage]) -> Option<String> {
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}
