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
//! Late answers still have value, so late work must not starve. Of `TURNS_PER_OVERDUE` placements of
//! one priority, the last goes to late work of the same priority that has waited for `OVERDUE_SHARE`
//! of its time limit, provided that its customer has used no more than the customer whose fresh work
//! it precedes. A customer above its share thus delays only its own work. Work without a customer has
//! no such turns, and its open transactions do not go first: its order is (late, priority, age). In a
//! replay, open transactions first committed more transactions, but made more statements outside of
//! transactions late.
//!
//! Work of one class (the first three criteria) and customer is kept in one *lane* per kind, ordered by
//! age. A dispatch skips a lane as a whole, so its cost does not grow with the lanes' lengths.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use super::fairness::{Rank, Usage};
use crate::customer::CustomerName;
use crate::message::{SessionId, Time};

/// Share of the latency objective after which waiting work is unlikely to meet the objective.
pub const LATE_SHARE: f64 = 0.6;
/// Share of the time limit after which late work is overdue: a quarter is left to serve it.
const OVERDUE_SHARE: f64 = 0.75;
/// Number of placements of one priority of which one goes to overdue work. With 8, 4 to 5
/// percentage points more of the statements outside of transactions were late in a replay, for about as
/// many commits.
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
    entries: BTreeMap<SessionId, Entry>,
    /// Number of entries of each customer.
    counts: BTreeMap<Option<CustomerName>, usize>,
    tiers: BTreeMap<Class, Tier>,
    /// Work that is not late, by the time at which it turns late.
    on_time: BTreeSet<(Time, SessionId)>,
    /// Lanes of which the current dispatch has passed some work.
    passed: Vec<(Class, Option<CustomerName>, LaneKey)>,
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
type LaneKey = (Kind, Time);
/// Age, with the order of arrival for work of the same time.
type Place = (Time, u64, SessionId);

/// Place after all work.
const END: Place = (Time::MAX, u64::MAX, SessionId::MAX);

/// Work that is to be placed next.
#[derive(Debug)]
pub struct Candidate {
    /// The work.
    pub work: Work,
    class: Class,
    place: Place,
    added_at: u64,
    /// Whether the work goes before fresh work because it is overdue.
    has_turn: bool,
}

#[derive(Debug)]
struct Entry {
    work: Work,
    class: Class,
    sequence: u64,
    /// Sequence number of the last [`Queue::add`].
    added_at: u64,
}

impl Work {
    fn lane(&self) -> LaneKey {
        (self.kind, self.staleness)
    }
}

impl Entry {
    fn place(&self) -> Place {
        (self.work.since, self.sequence, self.work.session)
    }
}

/// Work of one class, customer and kind.
#[derive(Debug, Default)]
struct Lane {
    places: BTreeSet<Place>,
    /// Last work that the current dispatch has passed.
    passed: Option<Place>,
}

impl Lane {
    fn next(&self) -> Option<&Place> {
        match self.passed {
            None => self.places.first(),
            Some(passed) => self.places.range((Bound::Excluded(passed), Bound::Unbounded)).next(),
        }
    }
}

/// Work of one class.
#[derive(Debug, Default)]
struct Tier {
    shares: BTreeMap<Option<CustomerName>, Share>,
    /// Customers with work that the current dispatch has not passed.
    order: BTreeSet<(Rank, u64, Option<CustomerName>)>,
}

/// Work of one customer in a tier.
#[derive(Debug)]
struct Share {
    rank: Rank,
    /// Order of arrival among customers of the same rank.
    sequence: u64,
    lanes: BTreeMap<LaneKey, Lane>,
}

impl Share {
    /// Returns the oldest work that the current dispatch has not passed.
    fn head(&self) -> Option<Place> {
        self.lanes.values().filter_map(Lane::next).min().copied()
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
        let added_at = self.next_sequence;
        self.next_sequence += 1;
        let mut sequence = added_at;
        if let Some(entry) = self.entries.get_mut(&session) {
            entry.added_at = added_at;
            if entry.work == work {
                return;
            }
            sequence = entry.sequence;
            self.remove(session);
        }
        if self.usage.set_weight(&work.customer, weight) {
            self.update_rank(&work.customer);
        }
        let class = work.class(now >= work.late_at);
        *self.counts.entry(work.customer.clone()).or_default() += 1;
        self.entries.insert(session, Entry { work, class, sequence, added_at });
        self.insert(session);
    }

    /// Removes the work of a session, if there is any.
    pub fn remove(&mut self, session: SessionId) {
        self.withdraw(session);
        let Some(entry) = self.entries.remove(&session) else { return };
        if let Some(count) = self.counts.get_mut(&entry.work.customer) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&entry.work.customer);
            }
        }
    }

    /// Returns whether no work waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of sessions whose work waits.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of a customer's sessions whose work waits.
    pub fn count(&self, customer: &Option<CustomerName>) -> usize {
        self.counts.get(customer).copied().unwrap_or_default()
    }

    /// Returns the number of customers whose work waits.
    pub fn customer_count(&self) -> usize {
        self.counts.len()
    }

    /// Returns the amount of waiting work of these kinds that is not late and at least as urgent as
    /// `priority`.
    pub fn on_time_count(&self, kinds: &[Kind], priority: u32) -> usize {
        let tiers = self
            .tiers
            .iter()
            .filter(|(class, _)| class.is_not_open && !class.is_late && class.priority <= priority);
        let lanes = tiers
            .flat_map(|(_, tier)| tier.shares.values())
            .flat_map(|share| &share.lanes)
            .filter(|((kind, _), _)| kinds.contains(kind));
        lanes.map(|(_, lane)| lane.places.len()).sum()
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

    /// Returns the work to be placed next. The caller reports the result by [`finish`](Queue::finish),
    /// [`hold`](Queue::hold) or [`skip`](Queue::skip).
    pub fn candidate(&mut self) -> Option<Candidate> {
        let (class, place) = self.first()?;
        let overdue = self.overdue(class);
        let place = overdue.unwrap_or(place);
        let entry = self.entries.get(&place.2)?;
        self.visited += 1;
        Some(Candidate {
            work: entry.work.clone(),
            class: entry.class,
            place,
            added_at: entry.added_at,
            has_turn: overdue.is_some(),
        })
    }

    /// Returns the next work by class, customer and age.
    fn first(&self) -> Option<(Class, Place)> {
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

    /// Removes work that was placed, unless it was added again meanwhile.
    pub fn finish(&mut self, candidate: &Candidate) {
        if candidate.work.customer.is_some() {
            if candidate.has_turn {
                self.turns.remove(&Class { is_late: false, ..candidate.class });
            } else if !candidate.class.is_late {
                *self.turns.entry(candidate.class).or_default() += 1;
            }
        }
        let session = candidate.work.session;
        match self.entries.get(&session) {
            Some(entry) if entry.added_at == candidate.added_at => self.remove(session),
            Some(_) => self.hold(candidate),
            None => {}
        }
    }

    /// Passes work that found no connection in this dispatch.
    pub fn hold(&mut self, candidate: &Candidate) {
        self.pass(candidate, candidate.place);
    }

    /// Passes work, and the rest of its lane, in this dispatch.
    pub fn skip(&mut self, candidate: &Candidate) {
        self.pass(candidate, END);
    }

    fn pass(&mut self, candidate: &Candidate, place: Place) {
        let (customer, key) = (&candidate.work.customer, candidate.work.lane());
        let Some(tier) = self.tiers.get_mut(&candidate.class) else { return };
        let Some(share) = tier.shares.get_mut(customer) else { return };
        let Some(lane) = share.lanes.get_mut(&key) else { return };
        if lane.passed.replace(place).is_none() {
            self.passed.push((candidate.class, customer.clone(), key));
        }
        if share.head().is_none() {
            tier.order.remove(&(share.rank, share.sequence, customer.clone()));
        }
    }

    /// Ends a dispatch: all work can be placed again.
    pub fn end_dispatch(&mut self) {
        for (class, customer, key) in std::mem::take(&mut self.passed) {
            let Some(tier) = self.tiers.get_mut(&class) else { continue };
            let Some(share) = tier.shares.get_mut(&customer) else { continue };
            if let Some(lane) = share.lanes.get_mut(&key) {
                lane.passed = None;
            }
            tier.order.insert((share.rank, share.sequence, customer));
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
        });
        share.lanes.entry(entry.work.lane()).or_default().places.insert(entry.place());
        tier.update(&entry.work.customer, rank);
    }

    /// Removes the entry of a session from its lane.
    fn withdraw(&mut self, session: SessionId) {
        let Some(entry) = self.entries.get(&session) else { return };
        self.on_time.remove(&(entry.work.late_at, session));
        let Some(tier) = self.tiers.get_mut(&entry.class) else { return };
        if let Some(share) = tier.shares.get_mut(&entry.work.customer)
            && let Some(lane) = share.lanes.get_mut(&entry.work.lane())
        {
            lane.places.remove(&entry.place());
            if lane.places.is_empty() {
                share.lanes.remove(&entry.work.lane());
            }
        }
        tier.update(&entry.work.customer, self.usage.rank(&entry.work.customer));
        if tier.shares.is_empty() {
            self.tiers.remove(&entry.class);
        }
    }
}
