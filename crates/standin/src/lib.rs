//! Stand-ins of the systems that a node connects to: the platform's object API and the endpoints.
//!
//! A stand-in replaces the real system in tests and experiments. Both run on threads of the calling
//! process and speak the protocols of the real systems on loopback; faults are set at run time.
//! Endpoints execute SQL on an in-memory SQLite database and replicate their log with a configured
//! lag.
//!
//! ```
//! use tamarackbend_standin::platform::Platform;
//!
//! let platform = Platform::start(([127, 0, 0, 1], 0).into())?;
//! assert_ne!(platform.address().port(), 0);
//! # Ok::<(), std::io::Error>(())
//! ```

pub mod deployment;
pub mod endpoint;
pub mod latency;
pub mod platform;
