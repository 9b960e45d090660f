//! Settings and counters of an owner.

use std::time::Duration;

/// Policy for choosing the endpoint of a read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// A replica that holds the session's floor; the primary if no replica does in time.
    #[default]
    Floors,
    /// The primary only.
    PrimaryOnly,
    /// Any replica, without regard to the floor.
    RandomReplica,
}

/// Safety checks, all on in production. Tests switch single checks off to prove that the tests'
/// own checks detect the violation that follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// Reads are answered only by endpoints that hold the session's floor.
    pub check_floors: bool,
    /// Writes are answered only after a majority of endpoints holds them.
    pub await_majority: bool,
    /// Confirmations of a write count only if they come from the term of the write.
    pub check_term: bool,
    /// Statements that may write are never dispatched twice.
    pub dispatch_writes_once: bool,
    /// A statement number is accepted only once per session.
    pub reject_duplicates: bool,
    /// A connection with an open transaction serves only the session of the transaction.
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
    /// Number of endpoints in the database group.
    pub endpoint_count: usize,
    /// Maximum number of open connections to one endpoint.
    pub slots: usize,
    /// Maximum number of waiting statements per club.
    pub queue_limit: usize,
    /// Interval between probes of the primary; replicas are probed a quarter as often.
    pub probe_interval: Duration,
    /// Interval between probes while a write awaits confirmation or a read awaits a sample.
    pub sample_interval: Duration,
    /// Maximum time that a read waits for a replica before it goes to the primary.
    pub read_wait: Duration,
    /// Maximum time that a transaction may be idle.
    pub idle_in_transaction: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_connection_timeout: Duration,
    /// Maximum time that a write may wait for confirmation by a majority.
    pub confirm_timeout: Duration,
    /// Policy for choosing the endpoint of a read.
    pub policy: Policy,
    /// Distance rank of each endpoint, by index; lower is nearer. Missing entries count as zero.
    pub distance_ranks: Vec<u32>,
    /// Seed of random choices.
    pub seed: u64,
    /// Safety checks.
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
            policy: Policy::Floors,
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
    /// Writes confirmed and answered.
    pub writes: u64,
    /// Statements that ended without having run.
    pub not_run: u64,
    /// Statements with an unknown outcome.
    pub unknown: u64,
    /// Statements that were queued again after a failed attempt.
    pub retries: u64,
    /// Probes sent.
    pub probes: u64,
}
