//! Floors of one caller's session.
//!
//! A session is read-your-writes and monotonic in each database: its floor rises with every
//! acknowledged write and with every position it has read.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::position::Floor;

/// Name of a database.
pub type DatabaseId = String;

/// What a read may be answered from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The session's floor is not known: a sample of the primary taken after the read arrived.
    Sampled,
    /// Any endpoint that holds the floor.
    Floor(Floor),
}

/// Floors and stated age of a session.
#[derive(Clone, Debug, Default)]
pub struct Session {
    floors: BTreeMap<DatabaseId, Floor>,
    max_age: Option<Duration>,
}

impl Session {
    /// Returns a session with no known floors.
    pub fn new() -> Session {
        Session::default()
    }

    /// Returns a session that goes on from the floors of an earlier connection.
    pub fn with_floors(floors: BTreeMap<DatabaseId, Floor>) -> Session {
        Session { floors, max_age: None }
    }

    /// Returns the known floors.
    pub fn floors(&self) -> &BTreeMap<DatabaseId, Floor> {
        &self.floors
    }

    /// Returns the age of data that the caller accepts.
    pub fn max_age(&self) -> Option<Duration> {
        self.max_age
    }

    /// States the age of data that the caller accepts.
    pub fn set_max_age(&mut self, max_age: Option<Duration>) {
        self.max_age = max_age;
    }

    /// Returns what the next read of `database` may be answered from.
    ///
    /// A stated age takes the place of an unknown floor; a known floor holds in any case.
    pub fn freshness(&self, database: &str) -> Freshness {
        match self.floors.get(database) {
            Some(floor) => Freshness::Floor(*floor),
            None if self.max_age.is_some() => Freshness::Floor(Floor::default()),
            None => Freshness::Sampled,
        }
    }

    /// Raises the floor of `database` to what an answer has shown.
    ///
    /// An answer of a later term replaces a floor of an earlier one whatever their positions.
    pub fn raise_floor(&mut self, database: &str, floor: Floor) {
        let known = self.floors.entry(database.to_owned()).or_default();
        *known = floor.max(*known);
    }
}
