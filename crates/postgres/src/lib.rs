//! PostgreSQL protocol on compio sockets.
//!
//! Messages come from the codec library; this crate reads and writes them on a socket, logs
//! callers in by SCRAM-SHA-256 and runs statements on endpoints.
//!
//! ```
//! use bytes::BytesMut;
//! use tamarackbend_postgres::message::{self, Backend};
//!
//! let mut output = BytesMut::new();
//! message::put(&Backend::ParseComplete(message::ParseComplete::new()), &mut output)?;
//! assert_eq!(&output[..], b"1\0\0\0\x04");
//! # Ok::<(), tamarackbend_postgres::Error>(())
//! ```

mod caller;
mod endpoint;
mod error;
pub mod message;
mod scram;

pub use caller::CallerReader;
pub use endpoint::{Answer, Endpoint, Run};
pub use error::{Error, Result};
pub use scram::{Exchange, verifier};
