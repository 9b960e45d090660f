//! What callers and endpoints may see.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tamarackbend_router::message::{Fault, Position, Term};

use crate::endpoint::{Effect, Entry};

/// Record of a history, and what was broken in it.
#[derive(Debug, Default)]
pub struct Check {
    /// What was broken.
    pub broken: BTreeSet<String>,
    /// Statements that were answered with success.
    pub served: usize,
    /// Commits that were acknowledged and are not in the log of a promoted endpoint.
    pub lost: BTreeSet<Position>,
    asked: BTreeMap<String, Duration>,
    reads: BTreeMap<String, BTreeSet<Position>>,
    commits: BTreeMap<String, Entry>,
    acknowledged: Vec<(Duration, Position)>,
    rolled_back: BTreeSet<Position>,
    promotions: Vec<(Duration, Term)>,
    last_token: Option<(u64, String)>,
}

/// Which commits a read must see.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// Commits acknowledged longer ago than this.
    pub age: Duration,
}

impl Check {
    /// Notes that a caller sends a statement.
    pub fn asked(&mut self, id: &str, now: Duration) {
        self.asked.insert(id.to_owned(), now);
    }

    /// Notes what an endpoint did.
    pub fn ran(&mut self, effect: &Effect, log: &[Entry]) {
        match effect {
            Effect::Nothing => {}
            Effect::Read { id, holds } => {
                let held = log[..*holds].iter().map(|entry| entry.position).collect();
                self.reads.insert(id.clone(), held);
            }
            Effect::Commit { id, entry } => {
                if self.commits.insert(id.clone(), entry.clone()).is_some() {
                    self.broken.insert(format!("statement {id} took effect twice"));
                }
            }
        }
    }

    /// Notes that a promotion took effect.
    pub fn promoted(&mut self, now: Duration, term: Term, log: &[Entry]) {
        self.promotions.push((now, term));
        let kept: BTreeSet<Position> = log.iter().map(|entry| entry.position).collect();
        let lost = self.commits.values().map(|entry| entry.position).filter(|p| !kept.contains(p));
        self.rolled_back.extend(lost);
        let acknowledged = self.acknowledged.iter().map(|(_, position)| *position);
        self.lost.extend(acknowledged.filter(|position| self.rolled_back.contains(position)));
    }

    /// Notes the token of a promotion that the platform was asked for.
    pub fn token(&mut self, node: &str, token: u64) {
        if let Some((last, holder)) = &self.last_token
            && (token < *last || (token == *last && holder != node))
        {
            self.broken.insert(format!("token {token} came after {last}"));
        }
        self.last_token = Some((token, node.to_owned()));
    }

    /// Notes that a read was answered with success; `began` is the statement that began its
    /// transaction, or the read itself.
    pub fn read_done(&mut self, id: &str, began: &str, freshness: Freshness) {
        self.served += 1;
        let Some(asked) = self.asked.get(began) else { return };
        let Some(held) = self.reads.get(id) else {
            self.broken.insert(format!("read {id} was answered and did not run"));
            return;
        };
        let missing = self.acknowledged.iter().find(|(at, position)| {
            *at + freshness.age < *asked
                && !held.contains(position)
                && !self.rolled_back.contains(position)
        });
        if let Some((at, position)) = missing {
            let age = asked.saturating_sub(*at);
            self.broken.insert(format!("read {id} lacks {position}, acknowledged {age:?} before"));
        }
    }

    /// Notes that a write or commit was acknowledged at `now`.
    pub fn write_done(&mut self, id: &str, now: Duration) {
        self.served += 1;
        let Some(entry) = self.commits.get(id) else {
            self.broken.insert(format!("write {id} was acknowledged and did not run"));
            return;
        };
        let deposed =
            self.promotions.iter().find(|(at, term)| *term > entry.position.term && entry.at > *at);
        if let Some((_, term)) = deposed {
            let position = entry.position;
            self.broken.insert(format!(
                "write {id} at {position} was acknowledged after term {term} began"
            ));
        }
        if self.rolled_back.contains(&entry.position) {
            self.lost.insert(entry.position);
        }
        self.acknowledged.push((now, entry.position));
    }

    /// Notes that a caller was promised that nothing of its write is kept.
    pub fn write_refused(&mut self, id: &str) {
        if self.commits.contains_key(id) {
            self.broken.insert(format!("write {id} was refused and is kept"));
        }
    }
}

/// Returns whether an error says that nothing of the statement is kept.
pub fn is_promise(fault: &Fault) -> bool {
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
