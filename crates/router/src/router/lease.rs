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
const LOOK_INTERVAL: Time = Time::from_millis(150);
/// Time without an answer of the store after which a read or write of the lease is repeated.
const ANSWER_TIMEOUT: Time = Time::from_millis(600);
/// Remaining validity below which the lease no longer allows a promotion, so that a promotion that
/// was sent reaches the platform while the lease is valid.
const LAST_CALL: Time = Time::from_millis(250);

/// State of the lease as this node knows it.
#[derive(Debug)]
pub(super) struct Holding {
    run: u64,
    state: State,
    seen: Option<(u64, Time)>,
    next: Time,
    written: Option<(Time, Lease)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The lease is neither held nor being acquired.
    None,
    /// The record is being read since this time.
    Reading(Time),
    /// The record is being written since this time to acquire the lease.
    Taking(Time),
    /// The lease is held; `since` is when its last successful write was sent.
    Held { since: Time, revision: u64, token: u64, renewing: Option<Time> },
}

impl Holding {
    pub(super) fn new(run: u64) -> Holding {
        Holding { run, state: State::None, seen: None, next: Time::ZERO, written: None }
    }

    /// Returns the fencing token if the lease is held and valid long enough for a promotion.
    pub(super) fn token(&self, now: Time) -> Option<u64> {
        match self.state {
            State::Held { since, token, .. } if now + LAST_CALL < since + LEASE_VALIDITY => {
                Some(token)
            }
            _ => None,
        }
    }
}

impl Router {
    /// Acquires, renews or releases the lease, depending on whether a failover needs it.
    pub(super) fn keep_lease(&mut self) {
        let now = self.now;
        let wanted = self
            .groups
            .values()
            .any(|group| group.failover.as_ref().is_some_and(|change| change.needs_lease()));
        match self.holding.state {
            State::None if wanted && now >= self.holding.next => {
                self.holding.state = State::Reading(now);
                self.actions.push(Action::FetchRecord(RecordName::Lease));
            }
            State::None => {}
            State::Reading(since) | State::Taking(since) if now >= since + ANSWER_TIMEOUT => {
                self.holding.state = State::None;
            }
            State::Reading(_) | State::Taking(_) => {}
            State::Held { since, .. } if now >= since + LEASE_VALIDITY => {
                warn!("failover lease expired before it was renewed; giving it up");
                self.holding.state = State::None;
            }
            State::Held { revision, .. } if !wanted => {
                info!(revision, "no failover needs the lease; releasing it");
                self.holding.state = State::None;
                let free = Record::Lease(Lease::default());
                self.actions.push(Action::WriteRecord(RecordName::Lease, Some(revision), free));
            }
            State::Held { since, revision, token, renewing } => {
                let due = now >= since + LEASE_RENEWAL;
                if due && renewing.is_none_or(|at| now >= at + ANSWER_TIMEOUT) {
                    let state = State::Held { since, revision, token, renewing: Some(now) };
                    self.holding.state = state;
                    self.write_lease(Some(revision), token);
                }
            }
        }
    }

    fn write_lease(&mut self, revision: Option<u64>, token: u64) {
        let holder = self.settings.node.clone();
        let lease = Lease { holder, incarnation: self.holding.run, token };
        self.holding.written = Some((self.now, lease.clone()));
        self.actions.push(Action::WriteRecord(RecordName::Lease, revision, Record::Lease(lease)));
    }

    pub(super) fn fetched(&mut self, name: &RecordName, fetch: FetchResult) {
        match name {
            RecordName::Lease => self.lease_read(fetch),
            RecordName::Ballot(service) => {
                let (revision, ballot) = match fetch {
                    FetchResult::Found(revision, Record::Ballot(ballot)) => {
                        (Some(revision), ballot)
                    }
                    FetchResult::Found(revision, _) => (Some(revision), Ballot::default()),
                    FetchResult::Missing => (None, Ballot::default()),
                    FetchResult::Failed => return,
                };
                self.ballot_read(service, revision, &ballot);
            }
        }
    }

    fn lease_read(&mut self, fetch: FetchResult) {
        let now = self.now;
        if !matches!(self.holding.state, State::Reading(_)) {
            return;
        }
        self.holding.state = State::None;
        self.holding.next = now + LOOK_INTERVAL;
        let (revision, lease) = match fetch {
            FetchResult::Found(revision, Record::Lease(lease)) => (Some(revision), lease),
            FetchResult::Found(revision, _) => (Some(revision), Lease::default()),
            FetchResult::Missing => (None, Lease::default()),
            FetchResult::Failed => return,
        };
        let since = match (self.holding.seen, revision) {
            (Some((seen, since)), Some(revision)) if seen == revision => since,
            (_, Some(revision)) => {
                self.holding.seen = Some((revision, now));
                now
            }
            (_, None) => now,
        };
        let free = lease.holder.is_empty();
        let mine = lease.holder == self.settings.node;
        let over = now >= since + LEASE_EXPIRY;
        if free || mine || over {
            info!(
                holder = lease.holder,
                revision, over, "failover lease is free or expired; acquiring it"
            );
            self.holding.state = State::Taking(now);
            self.write_lease(revision, 0);
        }
    }

    pub(super) fn written(&mut self, name: &RecordName, write: &WriteResult) {
        match name {
            RecordName::Lease => self.lease_written(write),
            RecordName::Ballot(service) => self.ballot_written(service, write),
        }
    }

    fn lease_written(&mut self, write: &WriteResult) {
        let Some((at, lease)) = self.holding.written.take() else { return };
        let is_renewal = matches!(self.holding.state, State::Held { .. });
        if !is_renewal && !matches!(self.holding.state, State::Taking(_)) {
            return;
        }
        match write {
            WriteResult::Done(revision) => {
                let token = if lease.token == 0 { *revision } else { lease.token };
                self.holding.state =
                    State::Held { since: at, revision: *revision, token, renewing: None };
                if !is_renewal {
                    info!(token, "failover lease acquired");
                }
                let services: Vec<ServiceName> = self.groups.keys().cloned().collect();
                for service in services {
                    self.advance_change(&service);
                }
            }
            WriteResult::Conflict => {
                self.holding.state = State::None;
                self.holding.next = self.now;
            }
            WriteResult::Failed if is_renewal => {}
            WriteResult::Failed => self.holding.state = State::None,
        }
    }
}
