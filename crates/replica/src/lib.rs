//! Model of a replicated database and a consistency checker, for tests and stand-ins.
//!
//! An [`Endpoint`] keeps a log whose entries are positioned by term and number, and executes
//! commands on the log without I/O. A [`Checker`] compares what the endpoints executed with the
//! answers that clients received. It detects stale reads, refused writes that took effect,
//! acknowledged commits that were lost, commits of a former primary that were acknowledged, and
//! fencing tokens out of order.

mod checker;
mod endpoint;
mod replication;

pub use checker::{Checker, Freshness, guarantees_no_effect};
pub use endpoint::{Connection, Effect, Endpoint, Entry, Prepared, Values};
pub use replication::{promote, replication_source};
