//! Simulated client: reads, writes and reconnects to other nodes.
//!
//! Each client inserts rows with increasing numbers and reads the highest of its own numbers, so a
//! read that misses an acknowledged write is recognized by its result.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackbend_policy::position::Role;
use tamarackbend_standin::endpoint::Group;
use tokio_postgres::error::SqlState;
use tokio_postgres::{NoTls, SimpleQueryMessage};

use crate::Scenario;
use crate::history::{Access, Operation, Outcome};

/// Pause after a failed login.
const LOGIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// State that all clients of a run share.
pub(crate) struct Shared {
    pub(crate) scenario: Scenario,
    pub(crate) started_at: Instant,
    pub(crate) should_stop: AtomicBool,
    /// Database groups, by the index of the database.
    pub(crate) groups: Vec<Group>,
    /// Address for clients of each node by its index; `None` for a node that is draining or gone.
    /// Nodes that replace others are appended.
    pub(crate) addresses: std::sync::Mutex<Vec<Option<std::net::SocketAddr>>>,
}

/// Identity of a client: its index in the run, its club and its database.
pub(crate) struct Identity {
    pub(crate) index: usize,
    pub(crate) club: String,
    pub(crate) club_index: usize,
    pub(crate) password: String,
    pub(crate) database_index: usize,
    pub(crate) database_name: String,
    pub(crate) seed: u64,
}

/// Simulated client with its connection and its history.
pub(crate) struct Client {
    shared: Arc<Shared>,
    identity: Identity,
    random: ChaCha8Rng,
    connection: Option<tokio_postgres::Client>,
    /// Session token for the next connection.
    token: Option<String>,
    /// Whether the client passes its session token on to its next connection.
    carries_token: bool,
    next_number: i64,
    /// Number of the last acknowledged write.
    acknowledged_number: i64,
    /// Highest position of a replica when the last write was acknowledged.
    replica_position_at_write: u64,
    /// Result code or SQLSTATE of the last error that is not yet recorded.
    error: Option<String>,
    /// Whether the node ended the connection because it shuts down.
    is_shutdown_announced: Arc<AtomicBool>,
    operations: Vec<Operation>,
}

impl Client {
    pub(crate) fn new(shared: Arc<Shared>, identity: Identity) -> Client {
        let mut random = ChaCha8Rng::seed_from_u64(identity.seed);
        let carries_token = random.random_bool(shared.scenario.token_share);
        Client {
            shared,
            identity,
            random,
            connection: None,
            token: None,
            carries_token,
            next_number: 1,
            acknowledged_number: 0,
            replica_position_at_write: 0,
            error: None,
            is_shutdown_announced: Arc::default(),
            operations: Vec::new(),
        }
    }

    /// Executes statements until the run ends; returns their history.
    pub(crate) async fn run(mut self) -> Vec<Operation> {
        while !self.shared.should_stop.load(Ordering::Relaxed) {
            self.pause().await;
            if self.random.random_bool(self.shared.scenario.reconnect_share) {
                self.disconnect().await;
            }
            if self.connection.is_none() && !self.connect().await {
                tokio::time::sleep(LOGIN_RETRY_DELAY).await;
                continue;
            }
            let choice: f64 = self.random.random();
            let scenario = &self.shared.scenario;
            if choice < scenario.write_share {
                self.write(false).await;
            } else if choice < scenario.write_share + scenario.transaction_share {
                self.write(true).await;
            } else {
                self.read().await;
            }
        }
        self.operations
    }

    /// Sleeps for the think time, which a peak shortens and a random factor varies.
    async fn pause(&mut self) {
        let now = self.shared.started_at.elapsed();
        let scenario = &self.shared.scenario;
        let is_in_peak = |peak: &crate::Peak| now >= peak.start && now < peak.start + peak.duration;
        let factor = scenario.peak.filter(|peak| is_in_peak(peak)).map_or(1, |peak| peak.factor);
        let variation: f64 = self.random.random_range(0.5..1.5);
        tokio::time::sleep((scenario.think_time / factor).mul_f64(variation)).await;
    }

    /// Closes the connection; keeps the session token if the client passes tokens on.
    async fn disconnect(&mut self) {
        if let (Some(connection), true) = (&self.connection, self.carries_token)
            && let Ok(messages) = connection.simple_query("SHOW tamarackbend.token").await
        {
            self.token = first_value(&messages).filter(|token| !token.is_empty());
        }
        self.connection = None;
    }

    /// Connects to a random node; returns whether the login succeeded.
    async fn connect(&mut self) -> bool {
        let address = {
            let addresses = self.shared.addresses.lock().expect("the lock is not poisoned");
            let available: Vec<_> = addresses.iter().flatten().copied().collect();
            if available.is_empty() {
                return false;
            }
            available[self.random.random_range(0..available.len())]
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
                let is_shutdown = Arc::new(AtomicBool::new(false));
                self.is_shutdown_announced = is_shutdown.clone();
                tokio::spawn(async move {
                    let error = connection.await.err();
                    let code = error.as_ref().and_then(|error| error.code());
                    is_shutdown.store(code == Some(&SqlState::ADMIN_SHUTDOWN), Ordering::Relaxed);
                });
                self.connection = Some(client);
                true
            }
            Err(_) => false,
        }
    }

    /// Inserts the next number, alone or in a transaction.
    async fn write(&mut self, in_transaction: bool) {
        let number = self.next_number;
        self.next_number += 1;
        let insert = format!(
            "INSERT INTO entry (caller, number) VALUES ({}, {number})",
            self.identity.index
        );
        let start = self.shared.started_at.elapsed();
        let result = match in_transaction {
            false => self.execute(&insert).await.map(|_| ()),
            true => self.write_in_transaction(&insert).await,
        };
        let outcome = result.err().unwrap_or(Outcome::Done);
        if outcome == Outcome::Done {
            self.acknowledged_number = number;
            self.replica_position_at_write = self.replica_position();
        }
        self.record(Access::Write, number, 0, outcome, start, true);
    }

    async fn write_in_transaction(&mut self, insert: &str) -> Result<(), Outcome> {
        // A transaction has no effect before COMMIT.
        self.execute("BEGIN").await.map_err(|_| Outcome::NotRun)?;
        if self.execute(insert).await.is_err() {
            // The rollback fails if the transaction has already ended.
            let _ = self.execute("ROLLBACK").await;
            return Err(Outcome::NotRun);
        }
        self.execute("COMMIT").await.map(|_| ())
    }

    async fn read(&mut self) {
        let sql = format!("SELECT max(number) FROM entry WHERE caller = {}", self.identity.index);
        let is_replica_possible = self.replica_position() >= self.replica_position_at_write;
        let expected = self.acknowledged_number;
        let start = self.shared.started_at.elapsed();
        let (seen, outcome) = match self.execute(&sql).await {
            Ok(value) => (value.and_then(|text| text.parse().ok()).unwrap_or(0), Outcome::Done),
            Err(outcome) => (0, outcome),
        };
        self.record(Access::Read, expected, seen, outcome, start, is_replica_possible);
    }

    /// Executes one statement; returns the first value of its first row.
    async fn execute(&mut self, sql: &str) -> Result<Option<String>, Outcome> {
        let Some(connection) = &self.connection else {
            return Err(Outcome::NotRun);
        };
        match connection.simple_query(sql).await {
            Ok(messages) => Ok(first_value(&messages)),
            Err(error) => {
                let Some(error) = error.as_db_error() else {
                    self.connection = None;
                    // Lets the connection's task store whether the node shuts down.
                    tokio::task::yield_now().await;
                    if self.is_shutdown_announced.load(Ordering::Relaxed) {
                        self.error = Some("57P01".to_owned());
                        return Err(Outcome::NotRun);
                    }
                    self.error = Some("connection lost".to_owned());
                    return Err(Outcome::Unknown);
                };
                let text = error.message();
                let code = text.split(':').next().filter(|code| code.starts_with('T'));
                self.error = Some(code.unwrap_or(error.code().code()).to_owned());
                // Codes of class T1 and T2 mean that the statement was not run, codes of class T3
                // that its outcome is unknown.
                if text.starts_with("T2") || text.starts_with("T1") {
                    return Err(Outcome::NotRun);
                }
                if text.starts_with("T3") {
                    return Err(Outcome::Unknown);
                }
                // An error of the endpoint: the statement had no effect.
                Err(Outcome::NotRun)
            }
        }
    }

    /// Returns the highest position of a replica that answers; 0 if none does.
    fn replica_position(&self) -> u64 {
        let group = &self.shared.groups[self.identity.database_index];
        let answering_position =
            |(index, report): (usize, tamarackbend_standin::endpoint::Report)| {
                let faults = group.faults(index);
                let is_answering = !faults.crashed && !faults.paused && !faults.unreachable;
                (is_answering && report.status.role == Role::Replica)
                    .then_some(report.status.position)
            };
        group.reports().into_iter().enumerate().filter_map(answering_position).max().unwrap_or(0)
    }

    fn record(
        &mut self,
        access: Access,
        number: i64,
        seen: i64,
        outcome: Outcome,
        start: Duration,
        is_replica_possible: bool,
    ) {
        self.operations.push(Operation {
            client: self.identity.index,
            club: self.identity.club_index,
            database: self.identity.database_index,
            access,
            number,
            seen,
            outcome,
            error: self.error.take(),
            start,
            end: self.shared.started_at.elapsed(),
            is_replica_possible,
        });
    }
}

fn first_value(messages: &[SimpleQueryMessage]) -> Option<String> {
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}
