//! Customers of a deployment, and the keys that identify them.
//!
//! A client presents a key, which belongs to one customer. Keys are secrets: outside of the adapter that
//! decodes a client's message, a key is represented by its [`KeyDigest`]. The [`Table`] of all customers
//! is part of a configuration and is validated as a whole.

mod table;

pub use table::{Customer, Error, Limit, Result, Table};

use std::fmt;
use std::rc::Rc;

use sha2::{Digest, Sha256};

/// Name of a customer.
pub type CustomerName = Rc<str>;

/// Length of a digest: long enough that two keys never share one.
const DIGEST_BYTES: usize = 16;

/// Digest of a key. Keys are random, so the digest does not reveal the key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of `key`.
    pub fn new(key: &str) -> KeyDigest {
        let hash = Sha256::digest(key.as_bytes());
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash[..DIGEST_BYTES]);
        KeyDigest(digest)
    }

    /// Returns the digest that another node sent as `bytes`; none if the length is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<KeyDigest> {
        Some(KeyDigest(bytes.try_into().ok()?))
    }

    /// Returns the digest for a message to another node.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Prints nothing of the digest: logs and dumps are read by more people than configurations.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}
