//! Validated table of customers.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;

use super::{CustomerName, KeyDigest};

/// Result of building a table.
pub type Result<T> = std::result::Result<T, Error>;

/// Fault of a table; names the customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    customer: CustomerName,
    reason: &'static str,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "customer {:?} {}", self.customer, self.reason)
    }
}

impl std::error::Error for Error {}

/// Number of operations that a customer may start on all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Operations per second.
    pub rate: f64,
    /// Operations at once, after a pause.
    pub burst: f64,
}

/// Customer of a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name, which endpoints are told.
    pub name: CustomerName,
    /// Digests of the customer's keys.
    pub keys: Vec<KeyDigest>,
    /// Limit; none if the customer is not limited.
    pub limit: Option<Limit>,
}

/// Customers of a configuration, by name and by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    customers: Vec<Customer>,
    by_key: HashMap<KeyDigest, usize>,
}

impl Table {
    /// Returns the table of `customers`.
    ///
    /// # Errors
    ///
    /// Fails when a name is empty or occurs twice, when a key is empty or belongs to two customers, and
    /// when a rate is not a positive number or a burst is below one.
    pub fn new(customers: Vec<Customer>) -> Result<Table> {
        let empty_key = KeyDigest::new("");
        let mut by_key = HashMap::new();
        let mut names = HashSet::new();
        for (index, customer) in customers.iter().enumerate() {
            let fail = |reason| Err(Error { customer: Rc::clone(&customer.name), reason });
            if customer.name.is_empty() {
                return fail("has no name");
            }
            if !names.insert(Rc::clone(&customer.name)) {
                return fail("is listed twice");
            }
            for key in &customer.keys {
                if *key == empty_key {
                    return fail("has an empty key");
                }
                if by_key.insert(*key, index).is_some_and(|other| other != index) {
                    return fail("has a key of another customer");
                }
            }
            if let Some(Limit { rate, burst }) = customer.limit {
                if !rate.is_finite() || rate <= 0.0 {
                    return fail("has a rate that is not a positive number");
                }
                if !burst.is_finite() || burst < 1.0 {
                    return fail("has a burst below one");
                }
            }
        }
        Ok(Table { customers, by_key })
    }

    /// Returns the customer that a key belongs to.
    pub fn identify(&self, key: &KeyDigest) -> Option<&Customer> {
        self.by_key.get(key).map(|index| &self.customers[*index])
    }

    /// Returns all customers, in the order of the configuration.
    pub fn customers(&self) -> &[Customer] {
        &self.customers
    }
}
