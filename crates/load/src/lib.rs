//! Load and experiments on a whole fleet in one process.
//!
//! [`Fleet`] runs the stand-ins and nodes on threads. Scenarios put load and faults on it, record
//! what callers saw and check it against the promises.
//!
//! ```no_run
//! use tamarackbend_load::{Fleet, Layout};
//!
//! let fleet = Fleet::start(Layout::default())?;
//! println!("{}", fleet.dsns()[0]);
//! # Ok::<(), tamarackbend_load::Error>(())
//! ```

mod error;
mod fleet;

pub use error::{Error, Result};
pub use fleet::{ADMIN_TOKEN, Fleet, Layout};
