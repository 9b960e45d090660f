//! Routing of statements to replicated databases, free of I/O.
//!
//! A node holds callers' sessions and connections to the endpoints of every database. The
//! [`Router`] turns events (a request, an answer, a change of the directory, the passing of time)
//! into actions (send, reply, connect, write to the store), so that every decision can be replayed
//! in a test. Time is a [`Duration`] since the VM's start that includes suspension.
//!
//! Consistency rests on what endpoints say and not on leases of nodes: see [`evidence`].
//!
//! [`Duration`]: std::time::Duration

pub mod configuration;
pub mod connection;
pub mod directory;
pub mod endpoint;
pub mod evidence;
pub mod failover;
pub mod group;
pub mod membership;
pub mod message;
pub mod replication;
mod router;
pub mod session;
pub mod settings;

pub use router::{Action, ConnectionLoss, Event, FetchResult, Router, WatchScope, WriteResult};
