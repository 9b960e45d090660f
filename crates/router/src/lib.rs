//! Routing of client statements to replicated databases, free of I/O.
//!
//! A node accepts client sessions and shares a limited pool of connections to the endpoints of
//! every database. The [`Router`] turns an [`Event`] (a request, an answer, a change of the
//! directory, the passing of time) into [`Action`]s (send, reply, connect, write to the store), so
//! that a test can replay every decision. Time is a [`Duration`] since the VM's start that includes
//! suspension.
//!
//! The endpoints of one database form a *group*. One of them is the *primary* of a *term*; the
//! others are replicas that receive its log. An endpoint with a *fenced term* refuses the log of
//! lower terms; a primary is fenced once other endpoints have a fenced term above its own. A
//! *pooler* is a node that holds connections to endpoints; in large fleets the other nodes pass
//! their clients' statements on to poolers over *channels*, each of which is one multiplexed
//! session on a link between two nodes.
//!
//! The *floor* of a read is the least log position that the read must observe.
//!
//! Consistency rests on the answers of endpoints and not on leases between nodes: see
//! [`evidence`].
//!
//! [`Duration`]: std::time::Duration

pub mod admission;
pub mod configuration;
pub mod connection;
pub mod customer;
pub mod departure;
pub mod directory;
pub mod endpoint;
pub mod evidence;
pub mod experiment;
pub mod failover;
pub mod group;
pub mod limit;
pub mod membership;
pub mod message;
pub mod replication;
pub mod revision;
mod router;
pub mod session;
pub mod settings;

pub use router::{Action, ConnectionLoss, Event, FetchResult, Router, WatchScope, WriteResult};
