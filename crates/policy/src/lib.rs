//! Decision logic of a proxy node, without I/O.
//!
//! Every module is a deterministic state machine or a set of pure functions. Time is a
//! [`Duration`] since an arbitrary start and is passed in; random choices take a seed. The tasks
//! of the node translate socket and timer activity into events and carry out the returned
//! actions. A test can therefore replay a failure exactly, or run a reference implementation on
//! the same events.
//!
//! ```
//! use std::time::Duration;
//! use tamarackbend_policy::owner::{Action, Event, Owner, Settings};
//!
//! let mut owner = Owner::new(Settings::default());
//! let actions = owner.step(Duration::ZERO, Event::Tick);
//! assert!(actions.iter().any(|action| matches!(action, Action::ReadGroup)));
//! ```
//!
//! [`Duration`]: std::time::Duration

pub mod code;
pub mod failover;
pub mod owner;
pub mod ownership;
pub mod position;
pub mod queue;
pub mod relay_tree;
pub mod retry;
pub mod session;
