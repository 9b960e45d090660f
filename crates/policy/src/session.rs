//! Read consistency of one client's session.
//!
//! In each database, a session reads its own writes and its reads are monotonic: the session's
//! floor, the least log position that its reads must observe, rises with every acknowledged write
//! and with every position that a read observed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::position::Floor;

/// Name of a database.
pub type DatabaseId = String;

/// How fresh an endpoint must be to answer a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The session's floor is unknown: the endpoint must hold the position of the primary as
    /// sampled after the read arrived.
    Sampled,
    /// The endpoint must hold this floor.
    Floor(Floor),
}

/// Floors and maximum data age of a session.
#[derive(Clone, Debug, Default)]
pub struct Session {
    floors: BTreeMap<DatabaseId, Floor>,
    max_age: Option<Duration>,
}

impl Session {
    /// Returns a session without known floors.
    pub fn new() -> Session {
        Session::default()
    }

    /// Returns a session that continues with the floors of an earlier connection.
    pub fn with_floors(floors: BTreeMap<DatabaseId, Floor>) -> Session {
        Session { floors, max_age: None }
    }

    /// Returns the known floors.
    pub fn floors(&self) -> &BTreeMap<DatabaseId, Floor> {
        &self.floors
    }

    /// Returns the maximum age of data that the client accepts.
    pub fn max_age(&self) -> Option<Duration> {
        self.max_age
    }

    /// Sets the maximum age of data that the client accepts.
    pub fn set_max_age(&mut self, max_age: Option<Duration>) {
        self.max_age = max_age;
    }

    /// Returns the freshness that the next read of `database` requires.
    ///
    /// A maximum age replaces an unknown floor; a known floor always applies.
    pub fn freshness(&self, database: &str) -> Freshness {
        match self.floors.get(database) {
            Some(floor) => Freshness::Floor(*floor),
            None if self.max_age.is_some() => Freshness::Floor(Floor::default()),
            None => Freshness::Sampled,
        }
    }

    /// Raises the floor of `database` to the position that an answer reported.
    ///
    /// A floor of a later term is higher than any floor of an earlier term.
    pub fn raise_floor(&mut self, database: &str, floor: Floor) {
        let current = self.floors.entry(database.to_owned()).or_default();
        *current = floor.max(*current);
    }
}
