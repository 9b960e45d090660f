//! Waiting work of one group, in the order in which it is placed.
//!
//! Load pattern: more work arrives than the group can serve, for seconds. An order by age then serves
//! all of it late, and sorting thousands of waiting sessions at each event takes the time of the node.
//!
//! The order is:
//!
//! 1. statements of open transactions, which hold connections and locks;
//! 2. work that can still meet its latency objective before work that is late;
//! 3. priority;
//! 4. the customer with the least recent usage (see [`fairness`](super::fairness));
//! 5. age.
//!
//! Late answers still have value, so late work must not starve. Of [`TURNS_PER_OVERDUE`] placements of
//! one priority, the last goes to late work of the same priority that has waited for [`OVERDUE_SHARE`]
//! of its time limit, provided that its customer has used no more than the customer whose fresh work
//! it precedes. A customer above its share thus delays only its own work. Work without a customer has
//! no such turns, and its open transactions do not go first: its order is (late, priority, age). In a
//! replay, open transactions first committed more transactions, but made more statements outside of
//! transactions late.
//!
//! Work of one class (the first three criteria) and customer is kept in one *lane* per kind, ordered by
//! age. A dispatch skips a lane as a whole, so its cost does not grow with the lanes' lengths.

use std::collections::{BTreeMap, BTreeSet};

use super::fairness::{Rank, Usage};
use crate::customer::CustomerName;
use crate::message::{SessionId, Time};

/// Share of the latency objective after which waiting work is unlikely to meet the objective.
const LATE_SHARE: f64 = 0.6;
/// Share of the time limit after which late work is overdue: a quarter is left to serve it.
const OVERDUE_SHARE: f64 = 0.75;
/// Number of placements of one priority of which one goes to overdue work. With 8, four to five percent
/// more of the statements outside of transactions were late in a replay, for about as many commits.
const TURNS_PER_OVERDUE: u32 = 16;

/// Kind of waiting work. Kinds are kept apart because one may find a connection where another does
/// not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Statement of an open transaction, which has its own connection.
    InTransaction,
    /// Begin of a transaction at the primary.
    Begin,
    /// Begin of a read-only transaction, which replicas may serve.
    BeginReadOnly,
    /// Statement that only the primary can serve.
    PrimaryOnly,
    /// Read that replicas may serve.
    ReplicaRead,
}

/// Work of one session that waits for a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The session.
    pub session: SessionId,
    /// Customer of the session.
    pub customer: Option<CustomerName>,
    /// Kind.
    pub kind: Kind,
    /// Largest age of the data that a [`Kind::ReplicaRead`] may see; zero for other kinds. Within one
    /// lane, a floor that is known for some work is then known for all older work.
    pub staleness: Time,
    /// Priority; zero is the most urgent.
    pub priority: u32,
    /// When the work arrived.
    pub since: Time,
    /// When the work turns late.
    pub late_at: Time,
    /// When the work turns overdue.
    pub overdue_at: Time,
}

impl Work {
    /// Returns work that arrived at `since` and must be answered within `objective`, or at least within
    /// `timeout`.
    pub fn new(
        session: SessionId,
        kind: Kind,
        priority: u32,
        since: Time,
        objective: Time,
        timeout: Time,
    ) -> Work {
        Work {
            session,
            customer: None,
            kind,
            staleness: Time::ZERO,
            priority,
            since,
            late_at: since + objective.mul_f64(LATE_SHARE),
            overdue_at: since + timeout.mul_f64(OVERDUE_SHARE),
        }
    }

    /// Returns work that comes after all other work, in the order of arrival.
    pub fn last(session: SessionId) -> Work {
        Work {
            session,
            customer: None,
            kind: Kind::PrimaryOnly,
            staleness: Time::ZERO,
            priority: u32::MAX,
            since: Time::MAX,
            late_at: Time::ZERO,
            overdue_at: Time::MAX,
        }
    }

    /// Sets the customer.
    pub fn with_customer(mut self, customer: Option<CustomerName>) -> Work {
        self.customer = customer;
        self
    }

    /// Sets the largest age of the data that a read may see.
    pub fn with_staleness(mut self, staleness: Time) -> Work {
        self.staleness = staleness;
        self
    }

    fn class(&self, is_late: bool) -> Class {
        let is_open = self.kind == Kind::InTransaction && self.customer.is_some();
        Class { is_not_open: !is_open, is_late, priority: self.priority }
    }
}

/// Waiting work of one group.
#[derive(Debug, Default)]
pub struct Queue {
    entries: BTreeMap<SessionId, Candidate>,
    tiers: BTreeMap<Class, Tier>,
    /// Work that is not late, by the time at which it turns late.
    on_time: BTreeSet<(Time, SessionId)>,
    /// Work that found no connection in the current dispatch.
    held: BTreeSet<SessionId>,
    /// Lanes that the current dispatch skips.
    skipped: Vec<(Class, Option<CustomerName>, Lane)>,
    usage: Usage,
    /// Placements of fresh work since the last one of overdue work.
    turns: BTreeMap<Class, u32>,
    /// Time of the current dispatch.
    now: Time,
    next_sequence: u64,
    visited: u64,
}

/// Criteria that come before the customer, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    /// Whether the work is no statement of a customer's open transaction.
    is_not_open: bool,
    is_late: bool,
    priority: u32,
}

/// Kind and largest age of the data.
type Lane = (Kind, Time);
/// Age, with the order of arrival for work of the same time.
type Place = (Time, u64, SessionId);

/// Work that was taken out of the queue.
#[derive(Debug)]
pub struct Candidate {
    /// The work.
    pub work: Work,
    class: Class,
    sequence: u64,
    /// Whether the work was taken as overdue, before fresh work.
    has_turn: bool,
}

impl Candidate {
    fn lane(&self) -> Lane {
        (self.work.kind, self.work.staleness)
    }

    fn place(&self) -> Place {
        (self.work.since, self.sequence, self.work.session)
    }
}

/// Work of one class.
#[derive(Debug, Default)]
struct Tier {
    shares: BTreeMap<Option<CustomerName>, Share>,
    /// Customers with a lane that is not skipped.
    order: BTreeSet<(Rank, u64, Option<CustomerName>)>,
}

/// Work of one customer in a tier.
#[derive(Debug)]
struct Share {
    rank: Rank,
    /// Order of arrival among customers of the same rank.
    sequence: u64,
    lanes: BTreeMap<Lane, BTreeSet<Place>>,
    skipped: Vec<Lane>,
}

impl Share {
    /// Returns the oldest work of the lanes that are not skipped.
    fn head(&self) -> Option<Place> {
        let lanes = self.lanes.iter().filter(|(lane, _)| !self.skipped.contains(lane));
        lanes.filter_map(|(_, places)| places.first()).min().copied()
    }
}

impl Tier {
    /// Updates the place of a customer in the order.
    fn update(&mut self, customer: &Option<CustomerName>, rank: Rank) {
        let Some(share) = self.shares.get_mut(customer) else { return };
        self.order.remove(&(share.rank, share.sequence, customer.clone()));
        share.rank = rank;
        if share.lanes.is_empty() {
            self.shares.remove(customer);
        } else if share.head().is_some() {
            self.order.insert((rank, share.sequence, customer.clone()));
        }
    }
}

impl Queue {
    /// Adds the work of a session, or replaces it, at `now`. `weight` is the weight of its customer.
    pub fn add(&mut self, now: Time, work: Work, weight: f64) {
        let session = work.session;
        let mut sequence = self.next_sequence;
        if let Some(entry) = self.entries.get(&session) {
            if entry.work == work && !self.held.contains(&session) {
                return;
            }
            sequence = entry.sequence;
            self.remove(session);
        }
        self.next_sequence += 1;
        if self.usage.set_weight(&work.customer, weight) {
            self.update_rank(&work.customer);
        }
        let class = work.class(now >= work.late_at);
        let candidate = Candidate { work, class, sequence, has_turn: false };
        self.entries.insert(session, candidate);
        self.insert(session);
    }

    /// Removes the work of a session, if there is any.
    pub fn remove(&mut self, session: SessionId) {
        if !self.held.remove(&session) {
            self.withdraw(session);
        }
        self.entries.remove(&session);
    }

    /// Returns whether no work waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of sessions whose work waits.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the sessions whose work waits.
    pub fn iter(&self) -> impl Iterator<Item = &SessionId> {
        self.entries.keys()
    }

    /// Returns the number of entries that were handed out, moved or skipped since the start.
    pub fn visited(&self) -> u64 {
        self.visited
    }

    /// Starts a dispatch at `now`: moves work that has turned late.
    pub fn start_dispatch(&mut self, now: Time) {
        self.now = now;
        while let Some((late_at, session)) = self.on_time.first().copied() {
            if now < late_at {
                break;
            }
            self.visited += 1;
            self.withdraw(session);
            if let Some(entry) = self.entries.get_mut(&session) {
                entry.class.is_late = true;
            }
            self.insert(session);
        }
    }

    /// Takes the next work out of the queue.
    pub fn take(&mut self) -> Option<Candidate> {
        let (class, place) = self.next()?;
        let overdue = self.overdue(class);
        let (_, _, session) = overdue.unwrap_or(place);
        self.visited += 1;
        self.withdraw(session);
        let mut candidate = self.entries.remove(&session)?;
        candidate.has_turn = overdue.is_some();
        if candidate.work.customer.is_some() && !class.is_late {
            let turns = self.turns.entry(class).or_default();
            *turns = if candidate.has_turn { 0 } else { *turns + 1 };
        }
        Some(candidate)
    }

    /// Returns the next work by class, customer and age.
    fn next(&self) -> Option<(Class, Place)> {
        self.tiers.iter().find_map(|(class, tier)| {
            let (_, _, customer) = tier.order.first()?;
            Some((*class, tier.shares.get(customer)?.head()?))
        })
    }

    /// Returns the overdue work that goes before the fresh work of `class`, if it is its turn.
    fn overdue(&self, class: Class) -> Option<Place> {
        let turns = self.turns.get(&class).copied().unwrap_or_default();
        if class.is_late || turns + 1 < TURNS_PER_OVERDUE {
            return None;
        }
        let (fresh_rank, _, fresh_customer) = self.tiers.get(&class)?.order.first()?;
        let late = self.tiers.get(&Class { is_late: true, ..class })?;
        let (rank, _, customer) = late.order.first()?;
        if customer.is_none() || fresh_customer.is_none() || rank > fresh_rank {
            return None;
        }
        let place = late.shares.get(customer)?.head()?;
        let is_overdue = self.now >= self.entries.get(&place.2)?.work.overdue_at;
        is_overdue.then_some(place)
    }

    /// Puts back work that found no connection. It is not taken again in this dispatch.
    pub fn hold(&mut self, candidate: Candidate) {
        let session = candidate.work.session;
        if self.put_back(candidate) {
            self.held.insert(session);
        }
    }

    /// Puts back work, and skips the rest of its lane in this dispatch.
    pub fn skip(&mut self, candidate: Candidate) {
        let (class, lane) = (candidate.class, candidate.lane());
        let (session, customer) = (candidate.work.session, candidate.work.customer.clone());
        if self.put_back(candidate) {
            self.insert(session);
        }
        if let Some(tier) = self.tiers.get_mut(&class) {
            if let Some(share) = tier.shares.get_mut(&customer) {
                share.skipped.push(lane);
            }
            tier.update(&customer, self.usage.rank(&customer));
        }
        self.skipped.push((class, customer, lane));
    }

    /// Returns whether the work was put back; newer work of the session may have been added meanwhile.
    fn put_back(&mut self, mut candidate: Candidate) -> bool {
        let fresh_class = Class { is_late: false, ..candidate.class };
        if let Some(turns) = self.turns.get_mut(&fresh_class) {
            match std::mem::take(&mut candidate.has_turn) {
                true => *turns = TURNS_PER_OVERDUE - 1,
                false if candidate.class.is_late || candidate.work.customer.is_none() => {}
                false => *turns = turns.saturating_sub(1),
            }
        }
        let session = candidate.work.session;
        if self.entries.contains_key(&session) {
            return false;
        }
        self.entries.insert(session, candidate);
        true
    }

    /// Ends a dispatch: all work can be taken again.
    pub fn end_dispatch(&mut self) {
        for session in std::mem::take(&mut self.held) {
            self.insert(session);
        }
        for (class, customer, lane) in std::mem::take(&mut self.skipped) {
            if let Some(tier) = self.tiers.get_mut(&class) {
                if let Some(share) = tier.shares.get_mut(&customer) {
                    share.skipped.retain(|other| *other != lane);
                }
                tier.update(&customer, self.usage.rank(&customer));
            }
        }
    }

    /// Records that a statement of a customer was sent at `now`.
    pub fn record_sent(&mut self, now: Time, customer: &Option<CustomerName>) {
        self.usage.start(now, customer);
        self.update_rank(customer);
    }

    /// Records that a statement of a customer was answered at `now`, `slot_time` after it was sent.
    pub fn record_answered(&mut self, now: Time, customer: &Option<CustomerName>, slot_time: Time) {
        self.usage.finish(now, customer, slot_time);
        self.update_rank(customer);
    }

    fn update_rank(&mut self, customer: &Option<CustomerName>) {
        let rank = self.usage.rank(customer);
        for tier in self.tiers.values_mut() {
            tier.update(customer, rank);
        }
    }

    /// Adds the entry of a session to its lane.
    fn insert(&mut self, session: SessionId) {
        let Some(entry) = self.entries.get(&session) else { return };
        if !entry.class.is_late {
            self.on_time.insert((entry.work.late_at, session));
        }
        let rank = self.usage.rank(&entry.work.customer);
        let tier = self.tiers.entry(entry.class).or_default();
        let share = tier.shares.entry(entry.work.customer.clone()).or_insert_with(|| Share {
            rank,
            sequence: entry.sequence,
            lanes: BTreeMap::new(),
            skipped: Vec::new(),
        });
        share.lanes.entry(entry.lane()).or_default().insert(entry.place());
        tier.update(&entry.work.customer, rank);
    }

    /// Removes the entry of a session from its lane.
    fn withdraw(&mut self, session: SessionId) {
        let Some(entry) = self.entries.get(&session) else { return };
        self.on_time.remove(&(entry.work.late_at, session));
        let Some(tier) = self.tiers.get_mut(&entry.class) else { return };
        if let Some(share) = tier.shares.get_mut(&entry.work.customer)
            && let Some(places) = share.lanes.get_mut(&entry.lane())
        {
            places.remove(&entry.place());
            if places.is_empty() {
                share.lanes.remove(&entry.lane());
            }
        }
        tier.update(&entry.work.customer, self.usage.rank(&entry.work.customer));
        if tier.shares.is_empty() {
            self.tiers.remove(&entry.class);
        }
    }
}
