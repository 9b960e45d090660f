//! Configuration document of a federation and settings of a node.
//!
//! The [`Document`] describes the federation and is edited by operators. It is validated as a whole
//! before it takes effect, and is stored in sections, so that only the sections of changed services
//! are distributed. [`Settings`] configure one node.
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
pub use error::{Category, Error, Result};
pub use section::{Head, Revision, Section, SectionRef};
pub use settings::{Limits, LogFormat, Settings};
