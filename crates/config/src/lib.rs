//! Configuration document of a federation and settings of a node.
//!
//! Operators edit one [`Document`]; it is checked as a whole before it takes effect and is kept in
//! sections, so that a change of one service moves that service only. [`Settings`] hold what one
//! process needs to know of itself.
//!
//! ```
//! use tamarackbend_config::Document;
//!
//! let document = Document::from_yaml("federation: amstelweide\nclubs: []\nservices: []\n")?;
//! assert!(document.check().is_empty());
//! # Ok::<(), tamarackbend_config::Error>(())
//! ```

mod diff;
mod document;
mod error;
mod section;
mod settings;

pub use diff::{Change, diff};
pub use document::{Club, Database, Document, Endpoint, FailureDomain, Problem, Service};
pub use error::{Class, Error, Result};
pub use section::{Head, Revision, Section, SectionRef};
pub use settings::{Limits, LogFormat, Settings};
