//! The failover lease.
//!
//! Only the node that holds the lease may replace primaries. A node acquires the lease when one of
//! its failovers needs it, renews it while the failover runs, and releases it afterwards. The lease
//! is a record in the store, and its fencing token is the record's revision at the acquisition.

use tracing::{info, warn};

use super::{Action, FetchResult, Router, WriteResult};
use crate::failover::{
    Ballot, LEASE_EXPIRY, LEASE_RENEWAL, LEASE_VALIDITY, Lease, Record, RecordName,
};
use crate::message::{ServiceName, Time};

/// Time between two reads of a lease that another node holds.
const READ_INTERVAL: Time = Time::from_millis(150);
/// Time without an answer of the store after which a read or write of the lease is repeated.
const STORE_TIMEOUT: Time = Time::from_millis(600);
/// Remaining validity below which the lease no longer allows a promotion, so that a promotion that
/// was sent reaches the platform while the lease is valid.
const PROMOTION_MARGIN: Time = Time::from_millis(250);

/// State of the lease as this node knows it.
#[derive(Debug)]
pub(super) struct State {
    /// Incarnation of this node's process.
    incarnation: u64,
    phase: Phase,
    /// Last revision of the record that was read, and when it was first read.
    observed: Option<(u64, Time)>,
    next_read_at: Time,
    /// Unanswered write, and when it was sent.
    pending_write: Option<(Time, Lease)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The lease is neither held nor being acquired.
    Idle,
    /// The record is being read since this time.
    Reading(Time),
    /// The record is being written since this time to acquire the lease.
    Acquiring(Time),
    /// The lease is held; `since` is when its last successful write was sent, and `renewal_sent_at`
    /// when the unanswered renewal was.
    Held { since: Time, revision: u64, token: u64, renewal_sent_at: Option<Time> },
}

impl State {
    pub(super) fn new(incarnation: u64) -> State {
        State {
            incarnation,
            phase: Phase::Idle,
            observed: None,
            next_read_at: Time::ZERO,
            pending_write: None,
        }
    }

    /// Returns the fencing token if the lease is held and valid long enough for a promotion.
    pub(super) fn token(&self, now: Time) -> Option<u64> {
        match self.phase {
            Phase::Held { since, token, .. } if now + PROMOTION_MARGIN < since + LEASE_VALIDITY => {
                Some(token)
            }
            _ => None,
        }
    }
}

impl Router {
    /// Acquires, renews or releases the lease, depending on whether a failover needs it.
    pub(super) fn maintain_lease(&mut self) {
        let now = self.now;
        let is_needed = self
            .groups
            .values()
            .any(|group| group.failover.as_ref().is_some_and(|failover| failover.needs_lease()));
        match self.lease.phase {
            Phase::Idle if is_needed && now >= self.lease.next_read_at => {
                self.lease.phase = Phase::Reading(now);
                self.actions.push(Action::FetchRecord(RecordName::Lease));
            }
            Phase::Idle => {}
            Phase::Reading(since) | Phase::Acquiring(since) if now >= since + STORE_TIMEOUT => {
                self.lease.phase = Phase::Idle;
            }
            Phase::Reading(_) | Phase::Acquiring(_) => {}
            Phase::Held { since, .. } if now >= since + LEASE_VALIDITY => {
                warn!("failover lease expired before it was renewed; giving it up");
                self.lease.phase = Phase::Idle;
            }
            Phase::Held { revision, .. } if !is_needed => {
                info!(revision, "no failover needs the lease; releasing it");
                self.lease.phase = Phase::Idle;
                let released = Record::Lease(Lease::default());
                self.actions.push(Action::WriteRecord(RecordName::Lease, Some(revision), released));
            }
            Phase::Held { since, revision, token, renewal_sent_at } => {
                let is_due = now >= since + LEASE_RENEWAL;
                if is_due && renewal_sent_at.is_none_or(|at| now >= at + STORE_TIMEOUT) {
                    self.lease.phase =
                        Phase::Held { since, revision, token, renewal_sent_at: Some(now) };
                    self.write_lease(Some(revision), token);
                }
            }
        }
    }

    fn write_lease(&mut self, revision: Option<u64>, token: u64) {
        let holder = self.settings.node.clone();
        let lease = Lease { holder, incarnation: self.lease.incarnation, token };
        self.lease.pending_write = Some((self.now, lease.clone()));
        self.actions.push(Action::WriteRecord(RecordName::Lease, revision, Record::Lease(lease)));
    }

    pub(super) fn on_record_fetched(&mut self, name: &RecordName, result: FetchResult) {
        match name {
            RecordName::Lease => self.on_lease_read(result),
            RecordName::Ballot(service) => {
                let (revision, ballot) = match result {
                    FetchResult::Found(revision, Record::Ballot(ballot)) => {
                        (Some(revision), ballot)
                    }
                    FetchResult::Found(revision, _) => (Some(revision), Ballot::default()),
                    FetchResult::Missing => (None, Ballot::default()),
                    FetchResult::Failed => return,
                };
                self.on_ballot_read(service, revision, &ballot);
            }
        }
    }

    fn on_lease_read(&mut self, result: FetchResult) {
        let now = self.now;
        if !matches!(self.lease.phase, Phase::Reading(_)) {
            return;
        }
        self.lease.phase = Phase::Idle;
        self.lease.next_read_at = now + READ_INTERVAL;
        let (revision, lease) = match result {
            FetchResult::Found(revision, Record::Lease(lease)) => (Some(revision), lease),
            FetchResult::Found(revision, _) => (Some(revision), Lease::default()),
            FetchResult::Missing => (None, Lease::default()),
            FetchResult::Failed => return,
        };
        let unchanged_since = match (self.lease.observed, revision) {
            (Some((observed_revision, unchanged_since)), Some(revision))
                if observed_revision == revision =>
            {
                unchanged_since
            }
            (_, Some(revision)) => {
                self.lease.observed = Some((revision, now));
                now
            }
            (_, None) => now,
        };
        let is_free = lease.holder.is_empty();
        let is_own = lease.holder == self.settings.node;
        let is_expired = now >= unchanged_since + LEASE_EXPIRY;
        if is_free || is_own || is_expired {
            info!(
                holder = lease.holder,
                revision,
                over = is_expired,
                "failover lease is free, expired or already held by this node; acquiring it"
            );
            self.lease.phase = Phase::Acquiring(now);
            self.write_lease(revision, 0);
        }
    }

    pub(super) fn on_record_written(&mut self, name: &RecordName, result: &WriteResult) {
        match name {
            RecordName::Lease => self.on_lease_written(result),
            RecordName::Ballot(service) => self.on_ballot_written(service, result),
        }
    }

    fn on_lease_written(&mut self, result: &WriteResult) {
        let Some((sent_at, lease)) = self.lease.pending_write.take() else { return };
        let is_renewal = matches!(self.lease.phase, Phase::Held { .. });
        if !is_renewal && !matches!(self.lease.phase, Phase::Acquiring(_)) {
            return;
        }
        match result {
            WriteResult::Done(revision) => {
                let token = if lease.token == 0 { *revision } else { lease.token };
                self.lease.phase = Phase::Held {
                    since: sent_at,
                    revision: *revision,
                    token,
                    renewal_sent_at: None,
                };
                if !is_renewal {
                    info!(token, "failover lease acquired");
                }
                let services: Vec<ServiceName> = self.groups.keys().cloned().collect();
                for service in services {
                    self.advance_failover(&service);
                }
            }
            WriteResult::Conflict => {
                self.lease.phase = Phase::Idle;
                self.lease.next_read_at = self.now;
            }
            WriteResult::Failed if is_renewal => {}
            WriteResult::Failed => self.lease.phase = Phase::Idle,
        }
    }
}
