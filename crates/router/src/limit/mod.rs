//! Limits of customers across the fleet, without a common account.
//!
//! The *holders* of a customer are its poolers, two in each region. A holder owns a *base share* of the
//! limit that depends only on its rank, and lends what it does not use to holders that need more. A
//! *share* is a fraction of the customer's limit: it fills a token bucket at its fraction of the rate up
//! to its fraction of the burst. Fractions hold for any limit, so a change of the limit applies at once
//! to what was lent before.
//!
//! The bound: in the window `w` of the quota rule, all holders together admit at most `rate * w + burst` operations and half
//! of the tolerance.
//!
//! `Settings::spread` moves a part of a large burst to the rate, without a change of that sum; below, rate
//! and burst are those after it.
//!
//! 1. Base shares sum to one, and the operations of the tolerance that belong to the ranks sum to half of
//!    the tolerance. Neither depends on messages.
//! 2. A loan counts for the borrower until [`LOAN_VALIDITY`] after the borrower *sent* the request, and
//!    against the lender until [`LOAN_VALIDITY`] after the lender *sent* the loan, which is later. Of
//!    several loans to one borrower, the lender counts the largest and the borrower uses the newest. The
//!    shares in use therefore sum to at most one at any time.
//! 3. A bucket never holds more than its share of the burst and its operations of the tolerance: the
//!    lender's bucket is cut when it lends, and the borrower's fills only at the rate that was lent.
//!    Tokens that the lender accumulated are spent by the lender before it lends, or by nobody.
//! 4. At the start of a window the buckets hold at most `burst` and half of the tolerance; in the window
//!    they get at most `rate * w`.
//!
//! A process that starts has forgotten its loans and what it spent. Its bucket is empty, and until its
//! forgotten loans have expired it fills at the part of its base share that the quota rule's
//! [`OVERAGE`] covers, and lends nothing.
//!
//! Everything here is free of I/O and clocks. Time includes the suspension of the node: a borrower that
//! was suspended must not use loans that have expired.

mod account;
mod bucket;
mod demand;
mod ledger;
mod loans;

pub use account::Summary;
pub use ledger::Ledger;

use std::rc::Rc;
use std::time::Duration;

use crate::customer::{CustomerName, Limit};
use crate::message::{EndpointId, Time};

/// Delay after which a refused operation may be retried.
pub type RetryAfter = Duration;

/// Time for which a loan is valid: four renewals, of which three may be lost.
pub const LOAN_VALIDITY: Duration = Duration::from_secs(2);
/// Interval at which [`Ledger::tick`] is called, and loans are renewed.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// Part of a window's operations by which the quota rule lets a window exceed the limit.
pub const OVERAGE: f64 = 0.1;
/// Part of a region's share that its first holder owns; the first gets the region's clients, the second
/// takes its place when it is lost.
const FIRST_PART: f64 = 0.8;
/// Part of the tolerance that is used. The rest covers differences between the holders' views.
const USED_TOLERANCE: f64 = 0.5;
/// Part of a large burst that buckets hold. The rest of the operations that the quota rule allows in a
/// window is spread over the window: a customer that is over its limit for longer would otherwise get
/// little more than its rate.
const HELD_BURST_PART: f64 = 0.25;
/// Burst up to which buckets hold all of it. Few operations come at irregular intervals, and need it.
const SMALL_BURST: f64 = 10.0;

/// Settings of a [`Ledger`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of regions that have holders, at least one.
    pub regions: usize,
    /// Length of the windows to which the quota rule applies.
    pub window: Duration,
    /// Operations by which all holders together may exceed a customer's limit in a window.
    pub tolerance: f64,
}

impl Settings {
    /// Returns the fraction of the limit that a holder of `rank` owns.
    fn base(&self, rank: Rank) -> f64 {
        let part = match rank {
            Rank::First => FIRST_PART,
            Rank::Second => 1.0 - FIRST_PART,
        };
        part / self.regions.max(1) as f64
    }

    /// Returns a rate and a burst that allow as many operations in a window as `limit`, with more of them
    /// at the rate.
    fn spread(&self, limit: Limit) -> Limit {
        let burst = (limit.burst * HELD_BURST_PART).max(SMALL_BURST).min(limit.burst);
        let rate = limit.rate + (limit.burst - burst) / self.window.as_secs_f64();
        Limit { rate, burst }
    }

    /// Returns the operations of the tolerance that belong to a holder of `rank`: a whole operation for
    /// a second if there is one for each holder, because a bucket that holds less never admits any, and
    /// the rest for the firsts.
    fn tolerance(&self, rank: Rank) -> f64 {
        let of_region = self.tolerance * USED_TOLERANCE / self.regions.max(1) as f64;
        let second = (of_region / 2.0).min(1.0);
        match rank {
            Rank::First => of_region - second,
            Rank::Second => second,
        }
    }

    /// Returns the part of a new base share that is used until loans that a former holder of the share
    /// gave have expired. All shares used twice at this part stay within the quota rule's overage.
    fn initial_part(&self) -> f64 {
        (OVERAGE * self.window.as_secs_f64() / LOAN_VALIDITY.as_secs_f64()).min(1.0)
    }
}

/// Rank of a holder in its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// The holder that the region's nodes use.
    First,
    /// The holder that takes the place of the first.
    Second,
}

/// Part that this node has in a customer's limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Rank of this node in its region.
    pub rank: Rank,
    /// The customer's other holders, which are asked for loans.
    pub others: Rc<[EndpointId]>,
}

/// Request for a loan.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Customer whose limit is concerned.
    pub customer: CustomerName,
    /// Fraction of the limit that the sender needs from the receiver.
    pub share: f64,
    /// Time of the request on the sender's clock, in whole milliseconds.
    pub requested_at: Time,
}

/// Loan that answers a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Loan {
    /// Customer whose limit is concerned.
    pub customer: CustomerName,
    /// Fraction of the limit that is lent.
    pub share: f64,
    /// Time of the request on the borrower's clock.
    pub requested_at: Time,
}
