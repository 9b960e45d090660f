//! Network I/O and timers of a node around its [`Router`](tamarackbend_router::Router).
//!
//! One thread runs all tasks of a node. Each client connection and each connection to an endpoint
//! has a task that reads and a task that writes. They exchange messages with the task that owns the
//! router. A [`Protocol`] encodes and decodes the data on these connections. A link multiplexes the
//! sessions that this node opens on another node, called channels, over one connection.

mod channel;
mod client;
pub mod clock;
mod endpoint;
mod link;
mod node;
mod protocol;

pub use node::{DumpRequests, Events, Node};
pub use protocol::{EndpointMessage, Protocol};

/// Result of this crate.
pub type Result<T> = std::io::Result<T>;
