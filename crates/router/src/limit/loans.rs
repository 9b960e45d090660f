//! Loans of one customer's limit that a holder gave and took.

use std::collections::BTreeMap;

use super::{LOAN_VALIDITY, Loan, RENEWAL_INTERVAL};
use crate::message::{EndpointId, Time};

/// Age up to which a request counts when a share is divided: a holder whose last two requests are
/// missing no longer asks.
const NEED_VALIDITY: Time = RENEWAL_INTERVAL.saturating_mul(2);

#[derive(Debug)]
struct Grant {
    borrower: EndpointId,
    share: f64,
    sent_at: Time,
}

#[derive(Debug)]
struct Need {
    share: f64,
    received_at: Time,
}

/// Loans given and taken, and the requests behind them.
#[derive(Debug, Default)]
pub(super) struct Loans {
    /// Loans taken, one for each lender.
    taken: BTreeMap<EndpointId, Loan>,
    /// Loans given. A borrower may have several whose answers may or may not have arrived; a later one
    /// is always smaller.
    given: Vec<Grant>,
    /// Last request of each other holder.
    needs: BTreeMap<EndpointId, Need>,
    /// Times of this holder's requests whose loans are still valid.
    requests: Vec<Time>,
}

impl Loans {
    /// Returns the sum of the loans taken.
    pub(super) fn taken(&self) -> f64 {
        self.taken.values().map(|loan| loan.share).sum()
    }

    /// Returns the loan taken from `lender`.
    pub(super) fn taken_from(&self, lender: &EndpointId) -> f64 {
        self.taken.get(lender).map_or(0.0, |loan| loan.share)
    }

    /// Returns the sum of the largest valid loans of each borrower.
    pub(super) fn given(&self) -> f64 {
        self.given_except(None)
    }

    fn given_except(&self, excluded: Option<&EndpointId>) -> f64 {
        let mut largest: BTreeMap<&EndpointId, f64> = BTreeMap::new();
        for grant in self.given.iter().filter(|grant| Some(&grant.borrower) != excluded) {
            let share = largest.entry(&grant.borrower).or_default();
            *share = share.max(grant.share);
        }
        largest.into_values().sum()
    }

    /// Returns when the oldest of the loans taken was requested.
    pub(super) fn oldest_taken_at(&self) -> Option<Time> {
        self.taken.values().map(|loan| loan.requested_at).min()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.taken.is_empty() && self.given.is_empty() && self.requests.is_empty()
    }

    /// Returns the next time at which a loan expires.
    pub(super) fn next_expiry(&self) -> Option<Time> {
        let taken = self.taken.values().map(|loan| loan.requested_at);
        let given = self.given.iter().map(|grant| grant.sent_at);
        taken.chain(given).min().map(|start| start + LOAN_VALIDITY)
    }

    /// Removes what has expired at `now`.
    pub(super) fn expire(&mut self, now: Time) {
        self.taken.retain(|_, loan| now < loan.requested_at + LOAN_VALIDITY);
        self.given.retain(|grant| now < grant.sent_at + LOAN_VALIDITY);
        self.needs.retain(|_, need| now < need.received_at + NEED_VALIDITY);
        self.requests.retain(|requested_at| now < *requested_at + LOAN_VALIDITY);
    }

    pub(super) fn record_request(&mut self, requested_at: Time) {
        self.requests.push(requested_at);
    }

    /// Takes a loan in place of an earlier one of the same lender; returns whether it is taken.
    ///
    /// Loans that answer no request of this process are not: the clock may have restarted since, so
    /// their age is not known. Late loans do not replace newer ones.
    pub(super) fn take(&mut self, lender: &EndpointId, loan: Loan) -> bool {
        let is_known = self.requests.contains(&loan.requested_at);
        let is_late = self.taken.get(lender).is_some_and(|t| t.requested_at > loan.requested_at);
        let is_valid = is_known && !is_late && (0.0..=1.0).contains(&loan.share);
        if is_valid {
            self.taken.insert(lender.clone(), loan);
        }
        is_valid
    }

    /// Records that `borrower` needs a share, and lends it a part of `available`, the share that this
    /// holder does not need, in proportion to the needs of all that asked. A loan that exceeds that part
    /// by less than `noise` is renewed unchanged. Returns the share lent.
    pub(super) fn lend(
        &mut self,
        now: Time,
        borrower: &EndpointId,
        share: f64,
        available: f64,
        noise: f64,
    ) -> f64 {
        self.needs.insert(borrower.clone(), Need { share, received_at: now });
        let needed: f64 = self.needs.values().map(|need| need.share).sum();
        let proportional = available * share / needed;
        let left = available - self.given_except(Some(borrower));
        let former = self.given.iter().filter(|grant| grant.borrower == *borrower);
        let former = former.map(|grant| grant.share).fold(0.0, f64::max);
        let is_noise = (proportional..proportional + noise).contains(&former);
        let lent = share.min(if is_noise { former } else { proportional }).min(left + noise);
        if lent <= 0.0 {
            return 0.0;
        }
        // The new loan outlasts those that are not larger.
        self.given.retain(|grant| grant.borrower != *borrower || grant.share > lent);
        self.given.push(Grant { borrower: borrower.clone(), share: lent, sent_at: now });
        lent
    }
}
