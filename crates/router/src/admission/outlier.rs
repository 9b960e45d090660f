//! Ejection of endpoints that do their work badly while they still answer.
//!
//! Load patterns: an endpoint fails a part of its statements or resets connections, answers several
//! times more slowly than its peers, restarts again and again, or loses answers, while its status
//! and the probes look good. An order by read time alone keeps such an endpoint in use: errors are
//! fast, and a lost answer has no time at all.
//!
//! The evidence is the outcome of statements, decayed over a few seconds and compared with that of
//! the other endpoints of the group. What all endpoints share (a burst, a statement that fails
//! anywhere, a cut link of this node) ejects none of them. Refusals as busy or lagging are no
//! evidence: they are handled by pauses.
//!
//! An ejected endpoint gets no reads until the ejection ends. Then a limited share of the reads tries
//! it until enough of them have been answered well.

use std::collections::BTreeMap;

use crate::message::{Access, EndpointId, Time};

/// Time constant of the decay of evidence.
const DECAY: Time = Time::from_secs(5);
/// Number of samples of an endpoint below which it is not judged.
const MIN_SAMPLES: f64 = 8.0;
/// Number of samples of a peer below which the peer is not compared with.
const MIN_PEER_SAMPLES: f64 = 5.0;
/// Weight of failures from which an endpoint is judged: one crash or one slow statement weighs less.
const MIN_FAILURES: f64 = 2.5;
/// Weight of an unanswered statement. It costs its client a wait, where an error is retried at once.
const UNANSWERED_WEIGHT: f64 = 2.0;
/// Time in which several statements left unanswered count as one failure: a lost endpoint takes all
/// statements on its connections with it.
const SAME_FAILURE: Time = Time::from_millis(100);
/// Time in which unanswered statements count as one incident, whose aftermath may last as long.
const SAME_INCIDENT: Time = Time::from_secs(1);
/// Weight of incidents from which an endpoint is ejected however few its failures are: three within
/// six seconds. An endpoint that restarts every few seconds does most of its work well.
const MIN_INCIDENTS: f64 = 1.85;
/// Weight of incidents up to which the last one is forgotten, after six seconds.
const RECENT_INCIDENTS: f64 = 0.3;
/// Share of failures below which an endpoint is not ejected.
const MIN_FAILURE_SHARE: f64 = 0.025;
/// Ratio to the peers from which failures or response times are outlying. Endpoints under uneven
/// load differ by less.
const MIN_RATIO: f64 = 3.0;
/// Difference to the response time of the peers below which an endpoint is not ejected as slow.
const MIN_EXCESS: Time = Time::from_millis(20);
/// Shortest response time that is distinguished, which bounds ratios.
const MIN_RESPONSE: Time = Time::from_millis(1);
/// Length of the first ejection; each further one is twice as long.
const FIRST_EJECTION: Time = Time::from_secs(1);
/// Number of times that the length of ejections doubles: up to 16 s.
const MAX_DOUBLINGS: u32 = 4;
/// Time in use after which earlier ejections no longer lengthen the next one.
const FORGIVEN_AFTER: Time = Time::from_secs(30);
/// Good answers that end a trial.
const TRIAL_ANSWERS: u32 = 10;
/// Weight of failures from which an endpoint on trial is ejected again: one failure, somewhat decayed.
const MIN_TRIAL_FAILURES: f64 = 0.5;
/// Samples from which an endpoint on trial is ejected as slow.
const MIN_TRIAL_SAMPLES: f64 = 4.0;
/// Reads at other endpoints between two reads that try an endpoint.
const TRIAL_INTERVAL_READS: u32 = 8;
/// Longest time between two reads that try an endpoint, if there are reads.
const TRIAL_INTERVAL: Time = Time::from_millis(500);

/// Waiting sessions for each connection to the endpoints in use from which on ejected endpoints
/// serve reads as well: the wait for the others is then longer than a retry.
pub const OVERFLOW_PER_CONNECTION: usize = 1;

/// Outcome of a statement at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The statement was answered after this time, without the usual distance to the endpoint.
    Answered(Time),
    /// The endpoint ran the statement and failed, or gave up at its own time limit.
    Failed,
    /// The connection was lost, or no answer came in time.
    Unanswered,
}

/// How an endpoint may be used for reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// Like any other.
    InUse,
    /// For the next read, which tries it.
    Trial,
    /// Only if no other endpoint can serve the read.
    Ejected,
}

/// Evidence for an ejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reason {
    /// Share of failures of the endpoint, and of its best peer, with the prior that guards against
    /// few samples.
    Failures {
        /// Share of the endpoint.
        share: f64,
        /// Share of the peer.
        peer_share: f64,
    },
    /// Typical response times of the endpoint and of its peers.
    Slow {
        /// Kind of the statements that were compared.
        access: Access,
        /// Time of the endpoint.
        response: Time,
        /// Time of the peers.
        peer_response: Time,
    },
}

impl Reason {
    /// Returns a number by which the worst endpoint is found. Failures are worse than slow answers,
    /// which still serve the client.
    fn severity(&self) -> f64 {
        match self {
            Reason::Failures { share, .. } => 1.0 + share,
            Reason::Slow { response, peer_response, .. } => {
                1.0 - peer_response.as_secs_f64() / response.as_secs_f64()
            }
        }
    }
}

/// Change of an endpoint's standing.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The endpoint gets no reads for this time.
    Ejected(EndpointId, Reason, Time),
    /// Some reads try the endpoint.
    Trial(EndpointId),
    /// The endpoint is in use again.
    Readmitted(EndpointId),
}

/// Ejection of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ejection {
    /// When reads try the endpoint, or have begun to.
    pub until: Time,
    /// Number of ejections, this one included, without a longer time in use.
    pub count: u32,
    /// Evidence.
    pub reason: Reason,
    /// Good answers of the trial; none before the trial.
    pub trial_answers: Option<u32>,
}

/// Endpoints of one group, as their answers show them.
#[derive(Debug, Default)]
pub struct Monitor {
    records: BTreeMap<EndpointId, Record>,
}

#[derive(Debug, Default)]
struct Record {
    updated_at: Time,
    answered: f64,
    failed: f64,
    /// Response times of reads and of writes.
    timings: [Timing; 2],
    last_unanswered_at: Option<Time>,
    incidents: f64,
    last_incident_at: Option<Time>,
    ejection: Option<Ejection>,
    ejection_count: u32,
    readmitted_at: Time,
    reads_since_trial: u32,
    last_trial_at: Option<Time>,
}

/// Number of response times, and the sum of their logarithms: one slow statement hardly moves the
/// geometric mean.
#[derive(Clone, Copy, Debug, Default)]
struct Timing {
    count: f64,
    log_sum: f64,
}

impl Timing {
    fn log_mean(&self) -> f64 {
        self.log_sum / self.count
    }
}

impl Monitor {
    /// Records the outcome of a statement that `endpoint` got.
    pub fn record(&mut self, now: Time, endpoint: &EndpointId, access: Access, attempt: Attempt) {
        let record = self.records.entry(endpoint.clone()).or_default();
        record.decay(now);
        if let Some(Ejection { trial_answers: None, .. }) = record.ejection {
            return;
        }
        match attempt {
            Attempt::Answered(response) => {
                record.answered += 1.0;
                let timing = &mut record.timings[access as usize];
                timing.count += 1.0;
                timing.log_sum += response.max(MIN_RESPONSE).as_secs_f64().ln();
                if let Some(answers) = record.trial_answers() {
                    *answers += 1;
                }
            }
            Attempt::Failed => record.failed += 1.0,
            Attempt::Unanswered => {
                if record.last_unanswered_at.is_none_or(|last| now >= last + SAME_FAILURE) {
                    record.failed += UNANSWERED_WEIGHT;
                    record.last_unanswered_at = Some(now);
                }
                if record.last_incident_at.is_none_or(|last| now >= last + SAME_INCIDENT) {
                    record.incidents += 1.0;
                    record.last_incident_at = Some(now);
                }
            }
        }
    }

    /// Records that a read was sent to `endpoint`.
    pub fn record_sent(&mut self, now: Time, endpoint: &EndpointId) {
        for (id, record) in &mut self.records {
            if record.trial_answers().is_none() {
                continue;
            }
            if id == endpoint {
                record.reads_since_trial = 0;
                record.last_trial_at = Some(now);
            } else {
                record.reads_since_trial += 1;
            }
        }
    }

    /// Returns how `endpoint` may be used for a read at `now`.
    fn standing(&self, now: Time, endpoint: &EndpointId) -> Standing {
        let Some(record) = self.records.get(endpoint) else { return Standing::InUse };
        let is_due = record.reads_since_trial >= TRIAL_INTERVAL_READS
            || record.last_trial_at.is_none_or(|last| now >= last + TRIAL_INTERVAL);
        match record.ejection {
            None => Standing::InUse,
            Some(Ejection { trial_answers: Some(_), .. }) if is_due => Standing::Trial,
            Some(_) => Standing::Ejected,
        }
    }

    /// Orders the endpoints that can serve a read, of which the cheapest is first: an endpoint that the
    /// read is to try, then those in use. Ejected ones follow only if there are no others, or if
    /// `is_overloaded` says of the others that work waits long for them.
    pub fn order(
        &self,
        now: Time,
        candidates: Vec<EndpointId>,
        is_overloaded: &dyn Fn(&[EndpointId]) -> bool,
    ) -> Vec<EndpointId> {
        if self.ejected_count() == 0 {
            return candidates;
        }
        let (mut tried, mut in_use, mut ejected) = (Vec::new(), Vec::new(), Vec::new());
        for id in candidates {
            match self.standing(now, &id) {
                Standing::Trial => tried.push(id),
                Standing::InUse => in_use.push(id),
                Standing::Ejected => ejected.push(id),
            }
        }
        if !in_use.is_empty() && !is_overloaded(&in_use) {
            ejected.clear();
        }
        tried.into_iter().chain(in_use).chain(ejected).collect()
    }

    /// Forgets the endpoints for which `exists` returns false.
    pub fn retain(&mut self, exists: impl Fn(&EndpointId) -> bool) {
        self.records.retain(|id, _| exists(id));
    }

    /// Returns whether `endpoint` has left statements unanswered lately.
    pub fn has_unanswered(&self, endpoint: &EndpointId) -> bool {
        self.records.get(endpoint).is_some_and(|record| record.incidents >= RECENT_INCIDENTS)
    }

    /// Returns the ejection of `endpoint`, until its trial has ended.
    pub fn ejection(&self, endpoint: &EndpointId) -> Option<&Ejection> {
        self.records.get(endpoint)?.ejection.as_ref()
    }

    /// Returns the number of endpoints that are ejected or on trial.
    pub fn ejected_count(&self) -> usize {
        self.records.values().filter(|record| record.ejection.is_some()).count()
    }

    /// Ejects and readmits endpoints by the evidence until `now`, and returns the changes. At least
    /// one of the endpoints that can serve reads now, as `is_usable` says, stays in use.
    pub fn review(&mut self, now: Time, is_usable: &dyn Fn(&EndpointId) -> bool) -> Vec<Change> {
        let mut changes = Vec::new();
        for (id, record) in &mut self.records {
            record.decay(now);
            record.advance(now, id, &mut changes);
        }
        let mut outliers: Vec<(f64, EndpointId, Reason)> = self
            .records
            .iter()
            .filter_map(|(id, record)| {
                let reason = self.judge(id, record)?;
                Some((reason.severity(), id.clone(), reason))
            })
            .collect();
        outliers.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, id, reason) in outliers {
            let is_other_in_use = self.records.iter().any(|(other, record)| {
                *other != id && record.ejection.is_none() && is_usable(other)
            });
            if let Some(record) = self.records.get_mut(&id)
                && is_other_in_use
            {
                let length = record.eject(now, reason);
                changes.push(Change::Ejected(id, reason, length));
            }
        }
        changes
    }

    /// Returns why `id` is an outlier; none if it is not, or if that is not known.
    fn judge(&self, id: &EndpointId, record: &Record) -> Option<Reason> {
        let is_on_trial = match record.ejection {
            Some(Ejection { trial_answers: None, .. }) => return None,
            Some(_) => true,
            None => false,
        };
        let peers = || self.records.iter().filter(|(other, _)| *other != id).map(|(_, peer)| peer);
        let (min_samples, min_failures) = match is_on_trial {
            true => (0.0, MIN_TRIAL_FAILURES),
            false => (MIN_SAMPLES, MIN_FAILURES),
        };
        // The prior of one failure in five statements guards against peers with few samples.
        let peer_share = peers()
            .filter(|peer| peer.total() >= MIN_PEER_SAMPLES)
            .map(|peer| (peer.failed + 1.0) / (peer.total() + 5.0))
            .min_by(f64::total_cmp);
        if let Some(peer_share) = peer_share
            && record.total() >= min_samples
            && record.failed >= min_failures
        {
            let share = record.failed / record.total();
            let is_frequent = share >= MIN_FAILURE_SHARE || record.incidents >= MIN_INCIDENTS;
            if is_frequent && share >= peer_share * MIN_RATIO {
                return Some(Reason::Failures { share, peer_share });
            }
        }
        let min_samples = if is_on_trial { MIN_TRIAL_SAMPLES } else { MIN_SAMPLES };
        [Access::Read, Access::Write].into_iter().find_map(|access| {
            let timing = record.timings[access as usize];
            let means: Vec<f64> = peers()
                .map(|peer| peer.timings[access as usize])
                .filter(|peer| peer.count >= MIN_PEER_SAMPLES)
                .map(|peer| peer.log_mean())
                .collect();
            if timing.count < min_samples || means.is_empty() {
                return None;
            }
            let response = Time::from_secs_f64(timing.log_mean().exp());
            let peer_mean = means.iter().sum::<f64>() / means.len() as f64;
            let peer_response = Time::from_secs_f64(peer_mean.exp());
            let is_slow = response >= peer_response.mul_f64(MIN_RATIO)
                && response >= peer_response + MIN_EXCESS;
            is_slow.then_some(Reason::Slow { access, response, peer_response })
        })
    }
}

impl Record {
    fn total(&self) -> f64 {
        self.answered + self.failed
    }

    fn trial_answers(&mut self) -> Option<&mut u32> {
        self.ejection.as_mut()?.trial_answers.as_mut()
    }

    fn decay(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.updated_at);
        let factor = (-elapsed.as_secs_f64() / DECAY.as_secs_f64()).exp();
        self.updated_at = self.updated_at.max(now);
        self.answered *= factor;
        self.failed *= factor;
        self.incidents *= factor;
        for timing in &mut self.timings {
            timing.count *= factor;
            timing.log_sum *= factor;
        }
    }

    /// Starts the trial after an ejection, and ends it after enough good answers.
    fn advance(&mut self, now: Time, id: &EndpointId, changes: &mut Vec<Change>) {
        match &mut self.ejection {
            Some(ejection) if ejection.trial_answers.is_none() && now >= ejection.until => {
                ejection.trial_answers = Some(0);
                self.last_trial_at = None;
                self.reads_since_trial = 0;
                changes.push(Change::Trial(id.clone()));
            }
            Some(Ejection { trial_answers: Some(answers), .. }) if *answers >= TRIAL_ANSWERS => {
                self.ejection = None;
                self.readmitted_at = now;
                changes.push(Change::Readmitted(id.clone()));
            }
            None if now >= self.readmitted_at + FORGIVEN_AFTER => self.ejection_count = 0,
            _ => {}
        }
    }

    fn eject(&mut self, now: Time, reason: Reason) -> Time {
        let length = FIRST_EJECTION * (1 << self.ejection_count.min(MAX_DOUBLINGS));
        self.ejection_count += 1;
        self.ejection = Some(Ejection {
            until: now + length,
            count: self.ejection_count,
            reason,
            trial_answers: None,
        });
        (self.answered, self.failed, self.incidents) = (0.0, 0.0, 0.0);
        self.timings = Default::default();
        length
    }
}
