//! One customer's limit at one holder.

use super::bucket::Bucket;
use super::demand::Demand;
use super::loans::Loans;
use super::{LOAN_VALIDITY, Loan, Request, RetryAfter, Settings, Share};
use crate::admission::retry::Crowd;
use crate::customer::Limit;
use crate::message::{EndpointId, Time};

/// Part of the base share that demand must exceed before loans are requested.
const REQUEST_THRESHOLD: f64 = 0.9;
/// Factor by which a borrower requests more than its demand, for growth until the next renewal.
const NEED_FACTOR: f64 = 1.1;
/// Part by which demand varies from second to second. A loan is renewed unchanged while it is within this part of what
/// is available: the lender counts the largest of the valid loans, so variation would waste some of them.
const DEMAND_NOISE: f64 = 0.15;
/// Factors of the recent demand, and operations per second above the larger, between which a lender takes
/// its usual demand as its demand. The recent demand varies more, but shows a change of load early.
const RECENT_RANGE: (f64, f64, f64) = (1.0 / 1.5, 2.0, 3.0);
/// Longest delay before a retry, besides its spread: the share has changed by then.
const MAX_WAIT: RetryAfter = LOAN_VALIDITY;

/// State of a customer's limit at this node, for logs and dumps. Shares and loans are fractions of the
/// limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// The limit.
    pub limit: Limit,
    /// Share in use: the base share less loans given, and loans taken.
    pub share: f64,
    /// Base share.
    pub base: f64,
    /// Operations that may be admitted now.
    pub tokens: f64,
    /// Operations per second that were requested in the last second.
    pub demand: f64,
    /// Sum of loans taken.
    pub taken: f64,
    /// Time since the oldest of the loans taken was requested.
    pub taken_age: Option<Time>,
    /// Sum of loans given.
    pub given: f64,
}

/// Limit, share, tokens and loans of one customer.
#[derive(Debug)]
pub(super) struct Account {
    /// Limit of the configuration.
    configured: Limit,
    /// The same, with a part of its burst spread over the window.
    limit: Limit,
    share: Share,
    base: f64,
    tolerance: f64,
    /// Base share that no earlier holder can have lent to others.
    settled_base: f64,
    settled_at: Time,
    initial_part: f64,
    bucket: Bucket,
    demand: Demand,
    loans: Loans,
    crowd: Crowd,
}

impl Account {
    /// Returns the account of a node that has just become a holder.
    pub(super) fn new(now: Time, limit: Limit, share: Share, settings: &Settings) -> Account {
        let mut account = Account {
            configured: limit,
            limit: settings.spread(limit),
            base: settings.base(share.rank),
            tolerance: settings.tolerance(share.rank),
            share,
            settled_base: 0.0,
            settled_at: now + LOAN_VALIDITY,
            initial_part: settings.initial_part(),
            bucket: Bucket::new(now),
            demand: Demand::default(),
            loans: Loans::default(),
            crowd: Crowd::default(),
        };
        account.resize(now);
        account
    }

    /// Applies a new limit or share. Loans are fractions of the limit and stay.
    pub(super) fn update(&mut self, now: Time, limit: Limit, share: Share, settings: &Settings) {
        self.advance(now);
        let base = settings.base(share.rank);
        if base != self.base {
            self.settled_base = self.settled_base(now).min(base);
            self.settled_at = now + LOAN_VALIDITY;
            self.base = base;
            self.tolerance = settings.tolerance(share.rank);
        }
        self.configured = limit;
        self.limit = settings.spread(limit);
        self.share = share;
        self.resize(now);
    }

    /// Charges one operation.
    pub(super) fn admit(&mut self, now: Time, key: u64) -> Result<(), RetryAfter> {
        self.advance(now);
        self.demand.record(now);
        if self.bucket.take() {
            self.crowd.record_served(now);
            return Ok(());
        }
        Err(self.crowd.refuse(now, self.bucket.wait(MAX_WAIT), key))
    }

    /// Returns the share to request from each of the other holders, or nothing if loans are not needed;
    /// `requested_at` is the time that the requests carry.
    pub(super) fn request(&mut self, now: Time, requested_at: Time) -> Vec<(EndpointId, f64)> {
        self.advance(now);
        let own = self.base - self.loans.given();
        // A bucket that is at least half full covers a peak of one second. One that is not shows that
        // the demand was above the share, and is refilled within a second.
        let shortage = (0.5 - self.bucket.filled_part()).max(0.0) * self.bucket.capacity();
        let demand = match shortage > 0.0 {
            true => (self.demand.recent(now) + shortage) / self.limit.rate,
            false => self.demand.usual(now) / self.limit.rate,
        };
        let is_over = demand > REQUEST_THRESHOLD * self.base || (shortage > 0.0 && demand > own);
        let needed = (demand * NEED_FACTOR - own).min(1.0);
        if !is_over || needed <= 0.0 || self.share.others.is_empty() {
            return Vec::new();
        }
        self.loans.record_request(requested_at);
        // Loans beyond the need shrink in proportion; what is missing is requested from each holder,
        // because it is not known which of them can lend.
        let taken = self.loans.taken();
        let kept_part = if taken > needed { needed / taken } else { 1.0 };
        let missing = (needed - taken).max(0.0);
        let share_of = |other: &EndpointId| self.loans.taken_from(other) * kept_part + missing;
        let requests = self.share.others.iter().map(|other| (other.clone(), share_of(other)));
        requests.filter(|(_, share)| *share > 0.0).collect()
    }

    /// Lends a share to `from`.
    pub(super) fn lend(&mut self, now: Time, from: &EndpointId, request: Request) -> Option<Loan> {
        if !(request.share > 0.0 && request.share.is_finite()) {
            return None;
        }
        self.advance(now);
        let recent = self.demand.recent(now);
        let (low, high, excess) = RECENT_RANGE;
        let usual = self.demand.usual(now).clamp(recent * low, recent * high + excess);
        let demand = usual / self.limit.rate;
        // A bucket less than half full shows that the demand is higher than its rate of the last seconds, which is
        // inexact for small customers.
        let lendable_part = (self.bucket.filled_part() * 2.0).min(1.0);
        let available = (self.settled_base(now) - demand) * lendable_part;
        let noise = if lendable_part < 1.0 { 0.0 } else { demand * DEMAND_NOISE };
        let share = self.loans.lend(now, from, request.share, available, noise);
        self.resize(now);
        (share > 0.0).then_some(Loan { share, ..Loan::from(request) })
    }

    /// Takes a loan; returns whether it is valid.
    pub(super) fn take(&mut self, now: Time, from: &EndpointId, loan: Loan) -> bool {
        self.advance(now);
        let is_taken = self.loans.take(from, loan);
        self.resize(now);
        is_taken
    }

    /// Returns whether the account has neither demand nor loans.
    pub(super) fn is_idle(&mut self, now: Time) -> bool {
        self.advance(now);
        self.loans.is_empty() && self.demand.usual(now) == 0.0
    }

    pub(super) fn summary(&mut self, now: Time) -> Summary {
        self.advance(now);
        let taken_at = self.loans.oldest_taken_at();
        Summary {
            limit: self.configured,
            share: self.share_in_use(now),
            base: self.base,
            tokens: self.bucket.level(),
            demand: self.demand.recent(now),
            taken: self.loans.taken(),
            taken_age: taken_at.map(|taken_at| now.saturating_sub(taken_at)),
            given: self.loans.given(),
        }
    }

    /// Fills the bucket until `now`, with each share that was in use for the time of its validity.
    fn advance(&mut self, now: Time) {
        loop {
            let settling = (self.settled_at > self.bucket.filled_at()).then_some(self.settled_at);
            let next = self.loans.next_expiry().into_iter().chain(settling).min();
            let Some(next) = next.filter(|next| *next <= now) else { break };
            self.bucket.fill(next);
            self.loans.expire(next);
            self.resize(next);
        }
        self.bucket.fill(now);
        self.loans.expire(now);
    }

    fn resize(&mut self, now: Time) {
        let share = self.share_in_use(now);
        self.bucket.resize(share * self.limit.rate, share * self.limit.burst + self.tolerance);
    }

    fn share_in_use(&self, now: Time) -> f64 {
        let settled = self.settled_base(now);
        let base = settled + (self.base - settled) * self.initial_part;
        (base - self.loans.given() + self.loans.taken()).max(0.0)
    }

    fn settled_base(&self, now: Time) -> f64 {
        if now < self.settled_at { self.settled_base } else { self.base }
    }
}

impl From<Request> for Loan {
    fn from(request: Request) -> Loan {
        Loan {
            customer: request.customer,
            share: request.share,
            requested_at: request.requested_at,
        }
    }
}
