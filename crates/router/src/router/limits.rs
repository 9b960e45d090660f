//! Limits of customers, and loans between their holders.
//!
//! The decisions are those of [`limit::Ledger`]; this module passes it the configuration, the time and
//! the messages of other holders. Without customers it does nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use metrics::{counter, gauge};
use serde_json::{Value, json};
use tracing::{info, warn};

use super::{Action, Router};
use crate::customer::{CustomerName, Limit};
use crate::experiment::Mechanism;
use crate::limit::{self, Ledger, Loan, RENEWAL_INTERVAL, Request, RetryAfter, Summary};
use crate::message::{EndpointId, Time};
use crate::settings::Settings;

/// Customers that metrics and the dump name; a metric with a label for each of thousands of customers
/// would be too large.
const MAX_NAMED_CUSTOMERS: usize = 20;
/// Label of the customers that metrics do not name.
const OTHER_CUSTOMERS: &str = "other";

/// Limits of customers at this node.
#[derive(Debug)]
pub(super) struct State {
    ledger: Ledger,
    ticked_at: Option<Time>,
    /// Customers that metrics name. A name stays until the process ends, as its metrics do.
    named: BTreeSet<CustomerName>,
}

impl State {
    pub(super) fn new(settings: &Settings) -> State {
        let regions: BTreeSet<&String> = settings.regions.values().collect();
        let ledger = Ledger::new(limit::Settings {
            regions: regions.len(),
            window: settings.limit_window,
            tolerance: settings.limit_slack,
        });
        State { ledger, ticked_at: None, named: BTreeSet::new() }
    }

    fn label(&self, customer: &CustomerName) -> CustomerName {
        self.named.get(customer).cloned().unwrap_or_else(|| Rc::from(OTHER_CUSTOMERS))
    }
}

impl Router {
    /// Applies the limits of the current configuration and this node's shares of them, which `share_of`
    /// returns for the customers of which this node is a holder. Call it when either has changed.
    pub fn refresh_limits(&mut self, share_of: impl Fn(&CustomerName) -> Option<limit::Share>) {
        let configuration = self.configuration.as_ref();
        let Some(table) = configuration.and_then(|c| c.customers.as_ref()) else { return };
        let limited = table.customers().iter();
        let limited = limited.filter_map(|customer| Some((&customer.name, customer.limit?)));
        let mut by_rate: Vec<(&CustomerName, Limit)> = limited.collect();
        let limits = by_rate.iter().map(|(name, limit)| {
            let name = CustomerName::clone(name);
            let share = share_of(&name);
            (name, *limit, share)
        });
        self.limits.ledger.set_limits(self.now, limits);
        by_rate.sort_by(|(_, a), (_, b)| b.rate.total_cmp(&a.rate));
        for (name, _) in by_rate {
            if self.limits.named.len() < MAX_NAMED_CUSTOMERS {
                self.limits.named.insert(name.clone());
            }
        }
        let (held, others) = self.limits.ledger.counts();
        info!(held, others, "limits of customers applied");
    }

    /// Charges one operation of `customer` to this node's share of the customer's limit. `key` is a hash
    /// of the operation's id, which spreads the retries of refused operations.
    ///
    /// # Errors
    ///
    /// Returns the delay before a retry if the customer is over its limit at this node.
    pub fn admit_operation(&mut self, customer: &CustomerName, key: u64) -> Result<(), RetryAfter> {
        if !self.settings.has_customers {
            return Ok(());
        }
        let result = self.limits.ledger.admit(self.now, customer, key);
        let outcome = if result.is_ok() { "admitted" } else { "refused" };
        let label = self.limits.label(customer).to_string();
        counter!("customer_operations_total", "customer" => label, "outcome" => outcome)
            .increment(1);
        if let Err(retry_after) = result {
            self.log_over_limit(customer, retry_after);
        }
        result
    }

    fn log_over_limit(&mut self, customer: &CustomerName, retry_after: RetryAfter) {
        let summary = self.limits.ledger.summary(self.now, customer);
        let retry_ms = retry_after.as_millis() as u64;
        let version = self.configuration.as_ref().map(|configuration| configuration.version);
        let Some(summary) = summary else {
            warn!(
                %customer, retry_ms, configuration = version,
                "operation refused: this node owns no share of the customer's limit"
            );
            return;
        };
        warn!(
            %customer,
            retry_ms,
            configuration = version,
            rate = summary.limit.rate,
            burst = summary.limit.burst,
            share = summary.share,
            base_share = summary.base,
            tokens = summary.tokens,
            demand = summary.demand,
            loans_taken = summary.taken,
            loans_taken_ms = summary.taken_age.map(|age| age.as_millis() as u64),
            loans_given = summary.given,
            "operation refused: customer is over its limit at this node"
        );
    }

    /// Requests loans for the customers whose demand exceeds this node's share.
    pub(super) fn tick_limits(&mut self) {
        let is_due = self.limits.ticked_at.is_none_or(|at| self.now >= at + RENEWAL_INTERVAL);
        if !self.settings.has_customers || !is_due || !self.uses(Mechanism::LimitLoans) {
            return;
        }
        self.limits.ticked_at = Some(self.now);
        let mut requests: BTreeMap<EndpointId, Vec<Request>> = BTreeMap::new();
        for (to, request) in self.limits.ledger.tick(self.now) {
            requests.entry(to).or_default().push(request);
        }
        for (to, requests) in requests {
            // A holder that has left the fleet is replaced at the next refresh of the shares.
            let Some(peer) = self.peers.iter().find(|peer| peer.name == to) else { continue };
            let (address, sender) = (peer.address, Rc::from(&*self.settings.node));
            self.actions.push(Action::SendLoanRequests { to, address, sender, requests });
        }
        for customer in &self.limits.named {
            if let Some(summary) = self.limits.ledger.summary(self.now, customer) {
                let label = || customer.to_string();
                gauge!("customer_share", "customer" => label()).set(summary.share);
                gauge!("customer_loans_taken", "customer" => label()).set(summary.taken);
                gauge!("customer_loans_given", "customer" => label()).set(summary.given);
            }
        }
    }

    pub(super) fn on_loan_requests(&mut self, from: &EndpointId, requests: Vec<Request>) {
        if !self.settings.has_customers {
            return;
        }
        let answer = |request| self.limits.ledger.on_request(self.now, from, request);
        let loans: Vec<Loan> = requests.into_iter().filter_map(answer).collect();
        counter!("customer_loans_total", "direction" => "given").increment(loans.len() as u64);
        self.actions.push(Action::SendLoans(from.clone(), loans));
    }

    pub(super) fn on_loans(&mut self, from: &EndpointId, loans: Vec<Loan>) {
        if !self.settings.has_customers {
            return;
        }
        for loan in loans {
            let customer = loan.customer.clone();
            let direction = match self.limits.ledger.on_loan(self.now, from, loan) {
                true => "taken",
                false => {
                    info!(%customer, lender = %from, "loan ignored: it came too late");
                    "late"
                }
            };
            counter!("customer_loans_total", "direction" => direction).increment(1);
        }
    }

    /// Returns the state of the limits: the first active customers, with shares and loans as parts of
    /// the limit.
    pub(super) fn dump_limits(&mut self) -> Value {
        let active: Vec<CustomerName> = self.limits.ledger.active().cloned().collect();
        let mut summaries: Vec<(CustomerName, Summary)> = active
            .into_iter()
            .filter_map(|name| {
                let summary = self.limits.ledger.summary(self.now, &name)?;
                Some((name, summary))
            })
            .collect();
        let active_count = summaries.len();
        summaries.sort_by(|(_, a), (_, b)| b.demand.total_cmp(&a.demand));
        summaries.truncate(MAX_NAMED_CUSTOMERS);
        let (held, others) = self.limits.ledger.counts();
        let customers = summaries.iter().map(|(name, summary)| {
            json!({
                "customer": &**name,
                "rate": summary.limit.rate,
                "burst": summary.limit.burst,
                "base_share": summary.base,
                "share": summary.share,
                "tokens": summary.tokens,
                "demand": summary.demand,
                "loans_taken": summary.taken,
                "loans_taken_ms": summary.taken_age.map(|age| age.as_millis() as u64),
                "loans_given": summary.given,
            })
        });
        json!({
            "held": held,
            "not_held": others,
            "active": active_count,
            "customers": customers.collect::<Vec<Value>>(),
        })
    }
}
