//! Limits and intervals of the router.

use std::time::Duration;

/// Settings of a [`Router`](crate::Router).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this node.
    pub node: String,
    /// Failure domain of this node.
    pub failure_domain: String,
    /// Whether the fleet starts for the first time, so that nothing is followed yet.
    pub is_first_start: bool,
    /// Region of each failure domain.
    pub regions: std::collections::HashMap<String, String>,
    /// Time within which an endpoint that is leaving must get no more work.
    pub drain_timeout: Duration,
    /// Time from the order to stop until the process is killed.
    pub stop_timeout: Duration,
}

/// How long a sample of another endpoint vouches for the primary; promotion waits at least this
/// long after it has closed the old term.
pub const EVIDENCE_VALIDITY: Duration = Duration::from_millis(600);
/// Age of a sample at which work for the primary asks for another: a quarter of the validity is
/// left, more than most statements take.
pub const EVIDENCE_REFRESH_AGE: Duration = Duration::from_millis(450);
/// Interval of samples of the primary's position; half of the usual staleness bounds.
pub const POSITION_INTERVAL: Duration = Duration::from_millis(700);
/// Age of the newest position at which evidence is asked for to get another; later, reads with the
/// usual staleness bounds would have to go to the primary.
pub const MAX_POSITION_AGE: Duration = Duration::from_millis(1100);
/// Pause between two samples that failed: a few round trips between regions.
pub const POSITION_RETRY: Duration = Duration::from_millis(150);
/// Silence of an endpoint after which it is suspected: many round trips between regions.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Unanswered time of a statement after which its endpoint is probed: some round trips between
/// regions.
pub const PROBE_AFTER: Duration = Duration::from_millis(100);
/// Longest wait for a connection to an endpoint to be established: it waits for a slot, which
/// takes long after a restart of all nodes.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest wait for a channel to another node to be opened.
pub const CHANNEL_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause between attempts to connect to an endpoint that fails.
pub const RECONNECT_PAUSE: Duration = Duration::from_millis(250);
/// Pause of an endpoint that turned work away; doubled each time in a row.
pub const BUSY_PAUSE: Duration = Duration::from_millis(15);
/// Longest pause of an endpoint that turned work away.
pub const MAX_BUSY_PAUSE: Duration = Duration::from_millis(120);
/// Pause before a replica that lagged is asked for newer data again.
pub const LAGGING_PAUSE: Duration = Duration::from_millis(60);
/// Least connections that a node may open to one endpoint.
pub const MIN_CONNECTIONS_PER_ENDPOINT: usize = 2;
/// Most connections of a node to one endpoint; endpoints run fewer statements than this at once.
pub const MAX_CONNECTIONS_PER_ENDPOINT: usize = 6;
/// Share of an endpoint's connections that all nodes together open, so that restarts find room.
pub const MAX_CONNECTION_SHARE: f64 = 0.8;
/// Limit for a statement that another node serves, which has limits of its own.
pub const REMOTE_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait of a new session for a node that serves it.
pub const SESSION_START_TIMEOUT: Duration = Duration::from_millis(1700);
/// How long an endpoint that vanished from the directory is kept: the directory's own delay after
/// an outage.
pub const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(2500);
/// Gap between two steps after which the process was not running.
pub const PAUSE_GAP: Duration = Duration::from_millis(250);
/// Time after the order to stop in which new callers still arrive: two probes of the balancer.
pub const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2300);
/// Hint for callers of when to come back after a refusal for load.
pub const RETRY_AFTER_BUSY: Duration = Duration::from_millis(100);
/// Hint for callers of when to come back while no primary is known.
pub const RETRY_AFTER_NO_PRIMARY: Duration = Duration::from_millis(500);
