//! Consistency checks of a history of statements, commits and promotions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tamarackbend_router::message::{Fault, Position, Term};

use crate::endpoint::{Effect, Entry};

/// Recorder of a history that detects violations of consistency.
#[derive(Debug, Default)]
pub struct Checker {
    /// Descriptions of the violations found so far.
    pub violations: BTreeSet<String>,
    /// Number of reads, writes and commits that were answered with success.
    pub succeeded: usize,
    /// Acknowledged commits that are missing in the log of a promoted endpoint.
    pub lost_commits: BTreeSet<Position>,
    /// Time at which each statement was sent, by statement id.
    sent_at: BTreeMap<String, Duration>,
    /// Commits that were visible to each executed read, by statement id.
    visible_commits: BTreeMap<String, BTreeSet<Position>>,
    /// Log entry of each commit, by statement id.
    commits: BTreeMap<String, Entry>,
    /// Commits with the time of their acknowledgement.
    acknowledged: Vec<(Duration, Position)>,
    rolled_back: BTreeSet<Position>,
    /// Terms with the time at which they began.
    promotions: Vec<(Duration, Term)>,
    /// Newest fencing token, and the node that sent it.
    last_token: Option<(u64, String)>,
}

/// Commits that a read must observe.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// A read must observe commits that were acknowledged longer than this before the read was
    /// sent.
    pub max_staleness: Duration,
}

impl Checker {
    /// Records that a client sent a statement.
    pub fn record_statement(&mut self, id: &str, now: Duration) {
        self.sent_at.insert(id.to_owned(), now);
    }

    /// Records the effect of a command on the endpoint whose log is `log`.
    pub fn record_effect(&mut self, effect: &Effect, log: &[Entry]) {
        match effect {
            Effect::Nothing => {}
            Effect::Read { id, visible_entries } => {
                let visible = log[..*visible_entries].iter().map(|entry| entry.position).collect();
                self.visible_commits.insert(id.clone(), visible);
            }
            Effect::Commit { id, entry } => {
                if self.commits.insert(id.clone(), entry.clone()).is_some() {
                    self.violations.insert(format!("statement {id} took effect twice"));
                }
            }
        }
    }

    /// Records that the endpoint whose log is `log` became the primary of `term`.
    pub fn record_promotion(&mut self, now: Duration, term: Term, log: &[Entry]) {
        self.promotions.push((now, term));
        let retained: BTreeSet<Position> = log.iter().map(|entry| entry.position).collect();
        let missing = self
            .commits
            .values()
            .map(|entry| entry.position)
            .filter(|position| !retained.contains(position));
        self.rolled_back.extend(missing);
        let acknowledged = self.acknowledged.iter().map(|(_, position)| *position);
        self.lost_commits
            .extend(acknowledged.filter(|position| self.rolled_back.contains(position)));
    }

    /// Records the fencing token of a promotion that `node` requested from the platform.
    pub fn record_token(&mut self, node: &str, token: u64) {
        if let Some((last_token, last_node)) = &self.last_token
            && (token < *last_token || (token == *last_token && last_node != node))
        {
            self.violations.insert(format!("fencing token {token} was sent after {last_token}"));
        }
        self.last_token = Some((token, node.to_owned()));
    }

    /// Records that a read was answered with success.
    ///
    /// `begin_id` is the statement that began the read's transaction, or the read itself outside of
    /// a transaction; the read must observe the commits that were due when that statement was sent.
    pub fn record_read(&mut self, id: &str, begin_id: &str, freshness: Freshness) {
        self.succeeded += 1;
        let Some(sent_at) = self.sent_at.get(begin_id) else { return };
        let Some(visible) = self.visible_commits.get(id) else {
            self.violations.insert(format!("read {id} was answered but no endpoint executed it"));
            return;
        };
        let missing = self.acknowledged.iter().find(|(at, position)| {
            *at + freshness.max_staleness < *sent_at
                && !visible.contains(position)
                && !self.rolled_back.contains(position)
        });
        if let Some((at, position)) = missing {
            let age = sent_at.saturating_sub(*at);
            self.violations.insert(format!(
                "read {id} lacks commit {position}, acknowledged {age:?} before the read was sent"
            ));
        }
    }

    /// Records that a write or commit was acknowledged at `now`.
    pub fn record_write(&mut self, id: &str, now: Duration) {
        self.succeeded += 1;
        let Some(entry) = self.commits.get(id) else {
            self.violations
                .insert(format!("write {id} was acknowledged but no endpoint committed it"));
            return;
        };
        let newer_term = self
            .promotions
            .iter()
            .find(|(at, term)| *term > entry.position.term && entry.committed_at > *at);
        if let Some((_, term)) = newer_term {
            let position = entry.position;
            self.violations.insert(format!(
                "write {id}, committed at {position} after term {term} began, was acknowledged"
            ));
        }
        if self.rolled_back.contains(&entry.position) {
            self.lost_commits.insert(entry.position);
        }
        self.acknowledged.push((now, entry.position));
    }

    /// Records that a client was told that its write has no effect.
    pub fn record_refused_write(&mut self, id: &str) {
        if self.commits.contains_key(id) {
            self.violations.insert(format!("write {id} was refused but an endpoint committed it"));
        }
    }
}

/// Returns whether an error guarantees that the statement has no effect.
pub fn guarantees_no_effect(fault: &Fault) -> bool {
    matches!(
        fault,
        Fault::Busy
            | Fault::Aborted
            | Fault::Lagging
            | Fault::ReadOnly
            | Fault::Misrouted
            | Fault::TooMany
    )
}
