//! The failover lease.
//!
//! Only the node that holds the lease may replace primaries. A node acquires the lease when one of
//! its failovers needs it, renews it while the failover runs, and releases it afterwards. The lease
//! is a record in the store, and its fencing token is derived from the record's revision at the
//! acquisition.
//!
//! A store that is restored from an older copy forgets who holds the lease. A node therefore gives
//! the lease up when it learns of a restoration, and a lease that was not written in the present era
//! counts as held until any node that may hold it has stopped trusting it.

use tracing::{info, warn};

use super::{Action, FetchResult, Router, WriteResult};
use crate::failover::{
    Ballot, LEASE_EXPIRY, LEASE_RENEWAL, LEASE_VALIDITY, Lease, Record, RecordName,
};
use crate::message::{ServiceName, Time};
use crate::revision::{Era, Revision};

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
    /// Era of the store, and when this node first learned of it.
    era: Option<(Era, Time)>,
    /// Last revision of the record that was read, and when it was first read.
    observed: Option<(Revision, Time)>,
    next_read_at: Time,
    /// Unanswered write, and when it was sent.
    pending_write: Option<(Time, Lease)>,
    /// Number of writes so far.
    writes: u64,
    /// Number of writes without an answer, and when the last one was sent. An answer does not tell which
    /// write it belongs to.
    unanswered: u32,
    last_write_at: Time,
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
    Held { since: Time, revision: Revision, token: u64, renewal_sent_at: Option<Time> },
}

impl State {
    pub(super) fn new(incarnation: u64) -> State {
        State {
            incarnation,
            phase: Phase::Idle,
            era: None,
            observed: None,
            next_read_at: Time::ZERO,
            pending_write: None,
            writes: 0,
            unanswered: 0,
            last_write_at: Time::ZERO,
        }
    }

    /// Returns whether an answer to an earlier write may still arrive.
    fn awaits_answer(&self, now: Time) -> bool {
        self.unanswered > 0 && now < self.last_write_at + STORE_TIMEOUT
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

impl State {
    /// Records the era of the store; returns whether the store was restored. The lease is then no
    /// longer held, and unanswered writes of it no longer count.
    pub(super) fn enter_era(&mut self, now: Time, era: Era) -> bool {
        let is_restored = match self.era {
            Some((known, _)) if known >= era => return false,
            known => known.is_some(),
        };
        self.era = Some((era, now));
        if is_restored {
            self.phase = Phase::Idle;
            self.observed = None;
            self.pending_write = None;
            self.next_read_at = now;
        }
        is_restored
    }

    fn current_era(&self) -> Era {
        self.era.map_or(0, |(era, _)| era)
    }

    /// Returns whether a lease that was read at `now` may be acquired, and why; the record has been
    /// unchanged since `unchanged_since`.
    fn availability(
        &self,
        now: Time,
        node: &str,
        record: Option<&Lease>,
        unchanged_since: Time,
    ) -> Option<&'static str> {
        let is_unchanged = now >= unchanged_since + LEASE_EXPIRY;
        match record {
            Some(_) if is_unchanged => Some("expired"),
            Some(lease) if lease.era != self.current_era() => None,
            Some(lease) if lease.holder.is_empty() => Some("free"),
            Some(lease) if lease.holder == node => Some("already held by this node"),
            Some(_) => None,
            // A store that reports no era has never lost a record.
            None => match self.era {
                Some((era, since)) if era > 0 && now < since + LEASE_EXPIRY => None,
                _ => Some("missing"),
            },
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
            Phase::Idle if self.lease.awaits_answer(now) => {}
            Phase::Idle if is_needed && now >= self.lease.next_read_at => {
                self.lease.unanswered = 0;
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
                info!(revision = revision.number, "no failover needs the lease; releasing it");
                self.lease.phase = Phase::Idle;
                let era = self.lease.current_era();
                self.send_lease(Some(revision), Lease { era, ..Lease::default() });
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

    fn write_lease(&mut self, revision: Option<Revision>, token: u64) {
        self.lease.writes += 1;
        let lease = Lease {
            holder: self.settings.node.clone(),
            incarnation: self.lease.incarnation,
            token,
            era: self.lease.current_era(),
            serial: self.lease.writes,
        };
        self.lease.pending_write = Some((self.now, lease.clone()));
        self.send_lease(revision, lease);
    }

    fn send_lease(&mut self, revision: Option<Revision>, lease: Lease) {
        self.lease.unanswered += 1;
        self.lease.last_write_at = self.now;
        self.actions.push(Action::WriteRecord(RecordName::Lease, revision, Record::Lease(lease)));
    }

    pub(super) fn on_record_fetched(&mut self, name: &RecordName, result: FetchResult) {
        match name {
            RecordName::Lease => self.on_lease_read(result),
            RecordName::Ballot(service) => {
                if let Some(group) = self.groups.get_mut(service) {
                    group.ballot_requested_at = None;
                }
                let (revision, ballot) = match result {
                    FetchResult::Found(revision, Record::Ballot(ballot)) => {
                        (Some(revision), ballot)
                    }
                    FetchResult::Found(revision, _) => (Some(revision), Ballot::default()),
                    FetchResult::Missing => (None, Ballot::default()),
                    FetchResult::Failed => return,
                };
                self.on_ballot_read(service, revision, &ballot);
                self.read_ballots();
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
            FetchResult::Found(revision, Record::Lease(lease)) => (Some(revision), Some(lease)),
            FetchResult::Found(revision, _) => (Some(revision), Some(Lease::default())),
            FetchResult::Missing => (None, None),
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
        let node = &self.settings.node;
        if let Some(why) = self.lease.availability(now, node, lease.as_ref(), unchanged_since) {
            let holder = lease.map(|lease| lease.holder);
            info!(
                holder,
                revision = revision.map(|r| r.number),
                why,
                "acquiring the failover lease"
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
        self.lease.unanswered = self.lease.unanswered.saturating_sub(1);
        let Some((sent_at, lease)) = self.lease.pending_write.take() else { return };
        let is_renewal = matches!(self.lease.phase, Phase::Held { .. });
        if !is_renewal && !matches!(self.lease.phase, Phase::Acquiring(_)) {
            return;
        }
        match result {
            WriteResult::Done(revision) if revision.era != lease.era => {
                warn!(%revision, "store was restored while the failover lease was written");
                self.lease.phase = Phase::Idle;
            }
            WriteResult::Done(revision) => {
                let token = if lease.token == 0 { revision.token() } else { lease.token };
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
