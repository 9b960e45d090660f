//! Settings, limits and intervals of the router.

use std::time::Duration;

/// Settings of a [`Router`](crate::Router).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this node.
    pub node: String,
    /// Failure domain of this node.
    pub failure_domain: String,
    /// Whether the fleet starts for the first time; the node then watches nothing in the store yet.
    pub is_first_start: bool,
    /// Region of each failure domain.
    pub regions: std::collections::HashMap<String, String>,
    /// Time from the start of an endpoint's draining until it may get no more work.
    pub drain_timeout: Duration,
    /// Time from the stop signal until the process is killed.
    pub stop_timeout: Duration,
    /// Whether clients are identified by keys, and work is limited by customer.
    pub has_customers: bool,
    /// Length of the windows to which limits of customers apply.
    pub limit_window: Duration,
    /// Operations in a window that a customer may run beyond its limit.
    pub limit_slack: f64,
}

impl Settings {
    /// Returns the region of a failure domain; a domain without a region is one of its own.
    pub fn region_of<'a>(&'a self, failure_domain: &'a str) -> &'a str {
        self.regions.get(failure_domain).map_or(failure_domain, String::as_str)
    }
}

/// Time for which the status of another endpoint is evidence for the primary; a failover waits at
/// least this long between fencing the old term and the promotion.
pub const EVIDENCE_VALIDITY: Duration = Duration::from_millis(600);
/// Age of the newest evidence at which work for the primary requests more: a quarter of the
/// validity then remains, which is longer than most statements take.
pub const EVIDENCE_REFRESH_AGE: Duration = Duration::from_millis(450);
/// Sampling interval of the primary's position: half of the usual staleness bounds.
pub const POSITION_INTERVAL: Duration = Duration::from_millis(700);
/// Age of the newest position at which evidence is requested for the sake of a new position; reads
/// with the usual staleness bounds would otherwise have to go to the primary.
pub const MAX_POSITION_AGE: Duration = Duration::from_millis(1100);
/// Pause after a position sample that failed: a few round trips between regions.
pub const POSITION_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Time without an answer to a probe after which an endpoint is suspected: many round trips between
/// regions.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without an answer to a statement after which its endpoint is probed: some round trips
/// between regions.
pub const PROBE_AFTER: Duration = Duration::from_millis(100);
/// Longest wait for a connection to an endpoint to be established: a connection waits for a slot,
/// which takes long after a restart of all nodes.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest wait for a channel to another node to be opened.
pub const CHANNEL_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause between attempts to connect to an endpoint that has failed.
pub const RECONNECT_PAUSE: Duration = Duration::from_millis(250);
/// First pause of an endpoint that refused work as busy; doubled by each consecutive refusal.
pub const BUSY_PAUSE: Duration = Duration::from_millis(15);
/// Longest pause of an endpoint that refused work as busy.
pub const MAX_BUSY_PAUSE: Duration = Duration::from_millis(120);
/// Pause before a replica that lagged is asked for newer data again.
pub const LAGGING_PAUSE: Duration = Duration::from_millis(60);
/// Connections that a node may always open to one endpoint.
pub const MIN_CONNECTIONS_PER_ENDPOINT: usize = 2;
/// Limit of a node's connections to one endpoint; an endpoint runs fewer statements than this at
/// once.
pub const MAX_CONNECTIONS_PER_ENDPOINT: usize = 6;
/// Limit of a node's connections to one endpoint where each connection carries the work of one
/// customer: a node then needs more connections than it runs statements at once.
pub const MAX_CUSTOMER_CONNECTIONS_PER_ENDPOINT: usize = 24;
/// Share of an endpoint's connections that all nodes together open; the rest is left for nodes that
/// restart.
pub const MAX_CONNECTION_SHARE: f64 = 0.8;
/// Time limit for a statement that a pooler serves; the pooler applies the route's own limit.
pub const REMOTE_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait of a new session for a node that serves the session.
pub const SESSION_START_TIMEOUT: Duration = Duration::from_millis(1700);
/// Time for which an endpoint is kept after its directory entry went missing: the delay of the
/// directory after an outage.
pub const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(2500);
/// Gap between two router steps from which on the process counts as having been suspended.
pub const PAUSE_GAP: Duration = Duration::from_millis(250);
/// Time after the stop signal in which new clients still arrive: two probes of the load balancer.
pub const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2300);
/// Shortest delay that clients are told to wait before they retry after a refusal for load.
pub const RETRY_AFTER_BUSY: Duration = Duration::from_millis(100);
/// Shortest delay that clients are told to wait before they retry while no primary is known.
pub const RETRY_AFTER_NO_PRIMARY: Duration = Duration::from_millis(500);
