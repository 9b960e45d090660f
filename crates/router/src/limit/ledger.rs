//! Accounts of all customers at one node.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::account::Account;
use super::{Loan, Request, RetryAfter, Settings, Share, Summary};
use crate::admission::retry::Crowd;
use crate::customer::{CustomerName, Limit};
use crate::message::{EndpointId, Time};

/// Shortest delay before a retry at a node that owns no share: the node's view of the holders, or the
/// sender's, has changed by then.
const RETRY_WITHOUT_SHARE: Duration = Duration::from_millis(500);

/// Limited customers of a node, and its share of their limits.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    /// Customers of whose limits this node owns a share.
    accounts: HashMap<CustomerName, Account>,
    /// Customers of whose limits this node owns no share, and those that it refused lately.
    without_share: HashMap<CustomerName, Crowd>,
    /// Customers with demand or loans.
    active: BTreeSet<CustomerName>,
}

impl Ledger {
    /// Returns a ledger without customers.
    pub fn new(settings: Settings) -> Ledger {
        Ledger {
            settings,
            accounts: HashMap::new(),
            without_share: HashMap::new(),
            active: BTreeSet::new(),
        }
    }

    /// Replaces the limited customers. The share is none if this node is no holder of the customer.
    ///
    /// A customer that is new, or of which this node becomes a holder, starts with an empty bucket.
    pub fn set_limits(
        &mut self,
        now: Time,
        customers: impl IntoIterator<Item = (CustomerName, Limit, Option<Share>)>,
    ) {
        let mut accounts = std::mem::take(&mut self.accounts);
        let mut without_share = std::mem::take(&mut self.without_share);
        for (name, limit, share) in customers {
            let Some(share) = share else {
                let crowd = without_share.remove(&name).unwrap_or_default();
                self.without_share.insert(name, crowd);
                continue;
            };
            let account = match accounts.remove(&name) {
                Some(mut account) => {
                    account.update(now, limit, share, &self.settings);
                    account
                }
                None => Account::new(now, limit, share, &self.settings),
            };
            self.accounts.insert(name, account);
        }
        self.active.retain(|name| self.accounts.contains_key(name));
    }

    /// Charges one operation of a customer; customers without a limit are always admitted.
    ///
    /// # Errors
    ///
    /// Returns the delay before a retry if this node's share is used up, or if it owns none. `key`
    /// spreads the delays and differs between operations.
    pub fn admit(
        &mut self,
        now: Time,
        customer: &CustomerName,
        key: u64,
    ) -> Result<(), RetryAfter> {
        if let Some(account) = self.accounts.get_mut(customer) {
            if !self.active.contains(customer) {
                self.active.insert(customer.clone());
            }
            return account.admit(now, key);
        }
        match self.without_share.get_mut(customer) {
            Some(crowd) => Err(crowd.refuse(now, RETRY_WITHOUT_SHARE, key)),
            None => Ok(()),
        }
    }

    /// Returns the requests to send, each with the holder to which it is sent. Call this every
    /// [`RENEWAL_INTERVAL`](super::RENEWAL_INTERVAL); the cost grows with the customers that have
    /// demand or loans.
    pub fn tick(&mut self, now: Time) -> Vec<(EndpointId, Request)> {
        // Messages carry whole milliseconds; a loan ends by up to one earlier for the borrower.
        let requested_at = Duration::from_millis(now.as_millis() as u64);
        let mut requests = Vec::new();
        let accounts = &mut self.accounts;
        self.active.retain(|customer| {
            let Some(account) = accounts.get_mut(customer) else { return false };
            requests.extend(account.request(now, requested_at).into_iter().map(|(to, share)| {
                (to, Request { customer: customer.clone(), share, requested_at })
            }));
            !account.is_idle(now)
        });
        requests
    }

    /// Answers a request of the holder `from`; returns none if nothing is lent.
    pub fn on_request(&mut self, now: Time, from: &EndpointId, request: Request) -> Option<Loan> {
        let account = self.accounts.get_mut(&request.customer)?;
        let loan = account.lend(now, from, request)?;
        self.active.insert(loan.customer.clone());
        Some(loan)
    }

    /// Takes a loan of the holder `from`; returns whether it answers a request that is still valid.
    pub fn on_loan(&mut self, now: Time, from: &EndpointId, loan: Loan) -> bool {
        let Some(account) = self.accounts.get_mut(&loan.customer) else { return false };
        account.take(now, from, loan)
    }

    /// Returns the state of a customer's limit; none if this node owns no share of it.
    pub fn summary(&mut self, now: Time, customer: &CustomerName) -> Option<Summary> {
        Some(self.accounts.get_mut(customer)?.summary(now))
    }

    /// Returns the customers that had demand or loans at the last tick or since.
    pub fn active(&self) -> impl Iterator<Item = &CustomerName> {
        self.active.iter()
    }

    /// Returns the number of customers of whose limits this node owns a share, and of the other limited
    /// customers.
    pub fn counts(&self) -> (usize, usize) {
        (self.accounts.len(), self.without_share.len())
    }
}
