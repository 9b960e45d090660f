//! Model of a replicated database, for tests and stand-ins.
//!
//! An [`Endpoint`] keeps a log with terms and runs commands on it without I/O. A [`Check`] judges
//! a history by what endpoints ran and callers were told: stale reads, lost promises, writes that
//! a former primary acknowledged, fencing tokens out of order.

mod check;
mod endpoint;

pub use check::{Check, Freshness, is_promise};
pub use endpoint::{Conversation, Effect, Endpoint, Entry};
