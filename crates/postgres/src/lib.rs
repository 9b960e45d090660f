//! PostgreSQL protocol, version 3.0, on compio sockets.
//!
//! The `pgwire` crate provides the messages and their encoding. This crate reads and writes them on
//! sockets, authenticates clients by SCRAM-SHA-256 and executes statements on endpoints.
//!
//! ```
//! use bytes::BytesMut;
//! use tamarackbend_postgres::message::{self, Backend};
//!
//! let mut output = BytesMut::new();
//! message::put_backend(&Backend::ParseComplete(message::ParseComplete::new()), &mut output)?;
//! assert_eq!(&output[..], b"1\0\0\0\x04");
//! # Ok::<(), tamarackbend_postgres::Error>(())
//! ```

mod client;
mod endpoint;
mod error;
pub mod message;
mod scram;

pub use client::ClientReader;
pub use endpoint::{Answer, Completion, Endpoint};
pub use error::{Error, Result};
pub use scram::{Exchange, verifier};
