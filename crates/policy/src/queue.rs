//! Fair queue of waiting statements across clubs.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, 1996) with slot time as the cost: the club
//! that has used the least slot time relative to its weight is served first. Slot time is the time
//! for which a statement occupies a connection. The cost of a statement is estimated when the
//! statement starts and corrected when the statement ends, so a club with running statements is
//! not taken for an idle one.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Name of a club.
pub type ClubId = String;

/// Maximum number of jobs per club that one pop offers for placement.
const MAX_SCANNED_JOBS: usize = 16;
/// Estimated slot time of a statement before the first one has ended.
const INITIAL_COST: Duration = Duration::from_millis(5);

/// The club's backlog has reached the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

#[derive(Debug)]
struct Entry<T> {
    deadline: Duration,
    job: T,
}

#[derive(Debug)]
struct Backlog<T> {
    weight: f64,
    virtual_time: f64,
    slot_time: Duration,
    jobs: VecDeque<Entry<T>>,
}

/// Queue that orders jobs by the slot time their clubs have used.
#[derive(Debug)]
pub struct Queue<T> {
    max_jobs_per_club: usize,
    estimated_cost: Duration,
    virtual_time: f64,
    clubs: BTreeMap<ClubId, Backlog<T>>,
}

impl<T> Queue<T> {
    /// Returns an empty queue that holds at most `max_jobs_per_club` jobs of each club.
    pub fn new(max_jobs_per_club: usize) -> Queue<T> {
        Queue {
            max_jobs_per_club,
            estimated_cost: INITIAL_COST,
            virtual_time: 0.0,
            clubs: BTreeMap::new(),
        }
    }

    /// Sets the weight of `club` relative to the other clubs; zero counts as one.
    pub fn set_weight(&mut self, club: &str, weight: u32) {
        self.backlog(club).weight = f64::from(weight.max(1));
    }

    /// Returns the number of waiting jobs.
    pub fn len(&self) -> usize {
        self.clubs.values().map(|backlog| backlog.jobs.len()).sum()
    }

    /// Returns whether no job is waiting.
    pub fn is_empty(&self) -> bool {
        self.clubs.values().all(|backlog| backlog.jobs.is_empty())
    }

    /// Returns the estimated slot time of one statement: a moving average.
    pub fn estimated_cost(&self) -> Duration {
        self.estimated_cost
    }

    /// Returns the slot time that each club has used.
    pub fn slot_times(&self) -> impl Iterator<Item = (&str, Duration)> {
        self.clubs.iter().map(|(club, backlog)| (club.as_str(), backlog.slot_time))
    }

    /// Returns the waiting jobs in no particular order.
    pub fn jobs(&self) -> impl Iterator<Item = &T> {
        self.clubs.values().flat_map(|backlog| backlog.jobs.iter().map(|entry| &entry.job))
    }

    /// Appends a job that expires at `deadline`.
    ///
    /// # Errors
    ///
    /// Returns the job if the club already has `max_jobs_per_club` waiting jobs.
    pub fn push(&mut self, club: &str, deadline: Duration, job: T) -> Result<(), (Full, T)> {
        let (max_jobs, virtual_now) = (self.max_jobs_per_club, self.virtual_time);
        let backlog = self.backlog(club);
        if backlog.jobs.len() >= max_jobs {
            return Err((Full, job));
        }
        if backlog.jobs.is_empty() {
            backlog.virtual_time = backlog.virtual_time.max(virtual_now);
        }
        backlog.jobs.push_back(Entry { deadline, job });
        Ok(())
    }

    /// Returns a job to the head of its club's backlog, even beyond the limit.
    pub fn push_front(&mut self, club: &str, deadline: Duration, job: T) {
        self.backlog(club).jobs.push_front(Entry { deadline, job });
    }

    /// Removes the first job for which `place` returns a placement; returns both.
    ///
    /// Clubs are visited in ascending order of virtual time.
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
            let placeable =
                backlog.jobs.iter().take(MAX_SCANNED_JOBS).enumerate().find_map(
                    |(index, entry)| place(&entry.job).map(|placement| (index, placement)),
                );
            if let Some((index, placement)) = placeable {
                let entry = backlog.jobs.remove(index)?;
                backlog.virtual_time += self.estimated_cost.as_secs_f64() / backlog.weight;
                self.virtual_time = self.virtual_time.max(virtual_time);
                return Some((entry.job, placement));
            }
        }
        None
    }

    /// Replaces the estimated cost charged for a job of `club` by the job's actual slot time.
    ///
    /// `estimate` is the [`Queue::estimated_cost`] at which the job was popped.
    pub fn charge(&mut self, club: &str, estimate: Duration, actual: Duration) {
        let backlog = self.backlog(club);
        backlog.slot_time += actual;
        let correction = actual.as_secs_f64() - estimate.as_secs_f64();
        backlog.virtual_time += correction / backlog.weight;
        self.estimated_cost = (self.estimated_cost * 7 + actual) / 8;
    }

    /// Removes and returns the jobs whose deadline has passed.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<T> {
        self.remove_if(|entry| entry.deadline <= now)
    }

    /// Removes and returns the jobs for which `matches` holds.
    pub fn remove_matching(&mut self, matches: impl Fn(&T) -> bool) -> Vec<T> {
        self.remove_if(|entry| matches(&entry.job))
    }

    /// Returns the earliest deadline of the waiting jobs.
    pub fn next_deadline(&self) -> Option<Duration> {
        let jobs = self.clubs.values().flat_map(|backlog| backlog.jobs.iter());
        jobs.map(|entry| entry.deadline).min()
    }

    fn remove_if(&mut self, matches: impl Fn(&Entry<T>) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for backlog in self.clubs.values_mut() {
            let (matching, kept) = backlog.jobs.drain(..).partition::<Vec<_>, _>(&matches);
            backlog.jobs = kept.into();
            removed.extend(matching.into_iter().map(|entry| entry.job));
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
