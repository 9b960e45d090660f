//! Settings and counters of an owner.

use std::time::Duration;

/// How reads are placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReadPolicy {
    /// On a replica that holds the floor, on the primary when none will in time.
    #[default]
    Floors,
    /// On the primary only.
    PrimaryOnly,
    /// On any replica, whatever it holds.
    RandomReplica,
}

/// Protections that tests switch off to see that their checks find the violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// Reads respect the session's floor.
    pub check_floors: bool,
    /// Writes are answered only when a majority holds them.
    pub await_majority: bool,
    /// Confirmations count only in the term of the write.
    pub check_term: bool,
    /// Statements that may write are never started twice.
    pub dispatch_writes_once: bool,
    /// A statement number is accepted once.
    pub reject_duplicates: bool,
    /// A connection with an open transaction serves its session only.
    pub pin_transactions: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            check_floors: true,
            await_majority: true,
            check_term: true,
            dispatch_writes_once: true,
            reject_duplicates: true,
            pin_transactions: true,
        }
    }
}

/// Settings of one owner.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Endpoints of the database.
    pub endpoint_count: usize,
    /// Connections that may be open to one endpoint.
    pub slots: usize,
    /// Statements of one club that may wait.
    pub queue_limit: usize,
    /// Time between probes of the primary; replicas are probed a quarter as often.
    pub probe_interval: Duration,
    /// Time between probes while statements wait for a position.
    pub sample_interval: Duration,
    /// Longest wait for a replica before a read goes to the primary.
    pub read_wait: Duration,
    /// Time a transaction may sit idle.
    pub idle_in_transaction: Duration,
    /// Time a connection may sit idle.
    pub idle_connection_timeout: Duration,
    /// Time a commit may wait for its confirmation.
    pub confirm_timeout: Duration,
    /// How reads are placed.
    pub read_policy: ReadPolicy,
    /// Rank of each endpoint by distance, nearest first; may be shorter than the group.
    pub distance_ranks: Vec<u32>,
    /// Seed of the random choices.
    pub seed: u64,
    /// Protections.
    pub guards: Guards,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            endpoint_count: 3,
            slots: 5,
            queue_limit: 256,
            probe_interval: Duration::from_millis(300),
            sample_interval: Duration::from_millis(2),
            read_wait: Duration::from_millis(200),
            idle_in_transaction: Duration::from_secs(5),
            idle_connection_timeout: Duration::from_secs(30),
            confirm_timeout: Duration::from_secs(5),
            read_policy: ReadPolicy::Floors,
            distance_ranks: Vec::new(),
            seed: 0,
            guards: Guards::default(),
        }
    }
}

/// Counters since the owner started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reads answered by a replica.
    pub replica_reads: u64,
    /// Reads answered by the primary.
    pub primary_reads: u64,
    /// Writes answered.
    pub writes: u64,
    /// Statements refused before they ran.
    pub not_run: u64,
    /// Statements with an unknown outcome.
    pub unknown: u64,
    /// Statements started again.
    pub retries: u64,
    /// Probes sent.
    pub probes: u64,
}
