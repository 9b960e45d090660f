//! Fair queue of waiting statements over clubs.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, 1996) with slot time as the cost: the club
//! that has used the least slot time for its weight goes first. The cost of a statement is
//! estimated when it starts and corrected when it ends, so a club with statements in progress
//! does not look idle.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Name of a club.
pub type ClubId = String;

/// Jobs of one backlog that are looked at for one that can be placed.
const SCAN_LIMIT: usize = 16;
/// Estimate of a statement's slot time before any was seen.
const INITIAL_COST: Duration = Duration::from_millis(5);

/// Why a job was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

#[derive(Debug)]
struct Waiting<T> {
    deadline: Duration,
    job: T,
}

#[derive(Debug)]
struct Backlog<T> {
    weight: f64,
    virtual_time: f64,
    slot_time: Duration,
    jobs: VecDeque<Waiting<T>>,
}

/// Queue that orders jobs by the slot time their clubs have used.
#[derive(Debug)]
pub struct FairQueue<T> {
    limit: usize,
    cost: Duration,
    virtual_time: f64,
    clubs: BTreeMap<ClubId, Backlog<T>>,
}

impl<T> FairQueue<T> {
    /// Returns an empty queue that holds at most `limit` jobs a club.
    pub fn new(limit: usize) -> FairQueue<T> {
        FairQueue { limit, cost: INITIAL_COST, virtual_time: 0.0, clubs: BTreeMap::new() }
    }

    /// Sets the share of `club` relative to the others; at least one.
    pub fn set_weight(&mut self, club: &str, weight: u32) {
        self.backlog(club).weight = f64::from(weight.max(1));
    }

    /// Returns the number of waiting jobs.
    pub fn len(&self) -> usize {
        self.clubs.values().map(|backlog| backlog.jobs.len()).sum()
    }

    /// Returns whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.clubs.values().all(|backlog| backlog.jobs.is_empty())
    }

    /// Returns the estimated slot time of a statement.
    pub fn estimated_cost(&self) -> Duration {
        self.cost
    }

    /// Returns the slot time that each club has used.
    pub fn slot_times(&self) -> impl Iterator<Item = (&str, Duration)> {
        self.clubs.iter().map(|(club, backlog)| (club.as_str(), backlog.slot_time))
    }

    /// Returns the waiting jobs in no particular order.
    pub fn jobs(&self) -> impl Iterator<Item = &T> {
        self.clubs.values().flat_map(|backlog| backlog.jobs.iter().map(|waiting| &waiting.job))
    }

    /// Appends a job that is worth nothing after `deadline`.
    ///
    /// # Errors
    ///
    /// Returns the job when the club already has as many waiting as the limit allows.
    pub fn push(&mut self, club: &str, deadline: Duration, job: T) -> Result<(), (QueueFull, T)> {
        let (limit, now) = (self.limit, self.virtual_time);
        let backlog = self.backlog(club);
        if backlog.jobs.len() >= limit {
            return Err((QueueFull, job));
        }
        if backlog.jobs.is_empty() {
            backlog.virtual_time = backlog.virtual_time.max(now);
        }
        backlog.jobs.push_back(Waiting { deadline, job });
        Ok(())
    }

    /// Puts a job back at the head of its club's backlog, past the limit if need be.
    pub fn push_front(&mut self, club: &str, deadline: Duration, job: T) {
        self.backlog(club).jobs.push_front(Waiting { deadline, job });
    }

    /// Removes the next job that `place` accepts and returns it with what `place` gave.
    pub fn pop<P>(&mut self, mut place: impl FnMut(&T) -> Option<P>) -> Option<(T, P)> {
        let mut order: Vec<(f64, ClubId)> = self
            .clubs
            .iter()
            .filter(|(_, backlog)| !backlog.jobs.is_empty())
            .map(|(club, backlog)| (backlog.virtual_time, club.clone()))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        for (virtual_time, club) in order {
            let backlog = self.clubs.get_mut(&club)?;
            let found = backlog
                .jobs
                .iter()
                .take(SCAN_LIMIT)
                .enumerate()
                .find_map(|(index, waiting)| place(&waiting.job).map(|placed| (index, placed)));
            if let Some((index, placed)) = found {
                let waiting = backlog.jobs.remove(index)?;
                backlog.virtual_time += self.cost.as_secs_f64() / backlog.weight;
                self.virtual_time = self.virtual_time.max(virtual_time);
                return Some((waiting.job, placed));
            }
        }
        None
    }

    /// Replaces the estimate charged for a job of `club` by the slot time it really took.
    ///
    /// `estimate` is [`FairQueue::estimated_cost`] at the time the job was popped.
    pub fn charge(&mut self, club: &str, estimate: Duration, actual: Duration) {
        let backlog = self.backlog(club);
        backlog.slot_time += actual;
        let correction = actual.as_secs_f64() - estimate.as_secs_f64();
        backlog.virtual_time += correction / backlog.weight;
        self.cost = (self.cost * 7 + actual) / 8;
    }

    /// Removes and returns the jobs whose deadline has passed.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<T> {
        self.remove_if(|waiting| waiting.deadline <= now)
    }

    /// Removes and returns the jobs for which `matches` holds.
    pub fn remove_matching(&mut self, matches: impl Fn(&T) -> bool) -> Vec<T> {
        self.remove_if(|waiting| matches(&waiting.job))
    }

    /// Returns the earliest deadline of a waiting job.
    pub fn next_deadline(&self) -> Option<Duration> {
        let jobs = self.clubs.values().flat_map(|backlog| backlog.jobs.iter());
        jobs.map(|waiting| waiting.deadline).min()
    }

    fn remove_if(&mut self, matches: impl Fn(&Waiting<T>) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for backlog in self.clubs.values_mut() {
            let (gone, kept) = backlog.jobs.drain(..).partition::<Vec<_>, _>(&matches);
            backlog.jobs = kept.into();
            removed.extend(gone.into_iter().map(|waiting| waiting.job));
        }
        removed
    }

    fn backlog(&mut self, club: &str) -> &mut Backlog<T> {
        let virtual_time = self.virtual_time;
        self.clubs.entry(club.to_owned()).or_insert_with(|| Backlog {
            weight: 1.0,
            virtual_time,
            slot_time: Duration::ZERO,
            jobs: VecDeque::new(),
        })
    }
}
