//! Sockets and timers around a [`Router`](tamarackbend_router::Router).
//!
//! One thread runs all tasks of a node. A task reads a caller, another writes to it; the same for
//! each connection to an endpoint. They talk to the task that owns the router by messages. What
//! stands on the sockets is the business of a [`Dialect`].

mod caller;
mod channel;
pub mod clock;
mod dialect;
mod endpoint;
mod link;
mod node;

pub use dialect::{Dialect, Piece};
pub use node::{Dumps, Events, Node};

/// Result of this crate.
pub type Result<T> = std::io::Result<T>;
