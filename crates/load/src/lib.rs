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

mod caller;
mod capacity;
mod check;
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
pub use overhead::{Overhead, Path, overhead};
pub use plot::{plot, plot_capacity};
pub use report::{Gap, Latency, Report, Slow};
pub use run::{Policy, run};
pub use scenario::{Fault, FaultKind, Rush, Scenario};
