//! Client of the platform's object API.
//!
//! The platform keeps versioned objects, updates them conditionally and lists VMs. An answer may be
//! lost after its change took effect: every write carries an id by which its writer recognizes it.
//!
//! ```
//! let client = tamarackbend_objects::Client::new(([127, 0, 0, 1], 7000).into());
//! assert_eq!(client.address().port(), 7000);
//! ```

pub mod api;
mod client;
mod document;
mod error;
mod group;
pub mod http;

pub use client::Client;
pub use document::{Publish, Published, Store};
pub use error::{Error, Result};
pub use group::{read_group, write_group};
