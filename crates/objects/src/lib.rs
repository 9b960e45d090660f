//! Client of the platform's object API.
//!
//! The platform stores versioned objects, updates them conditionally and lists VMs. A response may
//! be lost after the write took effect, so writes carry an id by which their writer recognizes
//! them.
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
pub mod one_shot;

pub use client::Client;
pub use document::{Publication, Published, Store};
pub use error::{Error, Result};
pub use group::{read_group, write_group};
