//! Load tests and experiments on a fleet in one process.
//!
//! A [`Fleet`] runs nodes, and stand-ins of the platform and the endpoints, on threads. [`run`]
//! applies the load and the faults of a [`Scenario`] to a fleet, records the history of its clients
//! and checks that history against the guarantees of the proxy. [`capacity`] and [`overhead`]
//! measure the costs of a fleet.
//!
//! ```no_run
//! use tamarackbend_load::{Fleet, Layout};
//!
//! let fleet = Fleet::start(Layout::default())?;
//! println!("{}", fleet.dsns()[0]);
//! # Ok::<(), tamarackbend_load::Error>(())
//! ```

mod capacity;
mod check;
mod client;
mod error;
mod faults;
mod fleet;
mod full_size;
mod history;
mod idle;
mod overhead;
mod plot;
mod report;
mod run;
mod scenario;

pub use capacity::{Capacity, Point, capacity};
pub use error::{Error, Result};
pub use fleet::{ADMIN_TOKEN, Fleet, Layout};
pub use full_size::{FullSize, full_size};
pub use idle::idle;
pub use overhead::{Overhead, Route, overhead};
pub use plot::{plot, plot_capacity};
pub use report::{Gap, Latency, Outlier, Report};
pub use run::{Policy, run};
pub use scenario::{Fault, FaultKind, Peak, Scenario};
