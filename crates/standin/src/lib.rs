//! Stand-ins of the systems that the product meets: the platform's object API and endpoints.
//!
//! Both run on threads of the calling process, speak their published protocols on loopback and
//! take faults at run time. Endpoints answer SQL from an in-memory SQLite and ship their log to
//! replicas with a set lag.
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
