//! Node of the system: callers in front, endpoints behind, peers beside it.
//!
//! A [`Node`] runs on one thread. Its tasks own their sockets and talk by messages: sessions of
//! callers and links to peers send to the hub, the hub sends to the owners of databases, owners
//! drive connections to endpoints.
//!
//! ```no_run
//! use tamarackbend_config::Settings;
//! use tamarackbend_node::Node;
//!
//! let settings = Settings::load("node.yaml".as_ref())?;
//! let node = Node::start(settings)?;
//! println!("callers connect to {}", node.addresses().caller);
//! node.join();
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod admin;
mod control;
mod entry;
mod error;
mod hub;
mod link;
mod node;
mod owner;

pub use error::{Error, Result};
pub use node::{Addresses, Node, Variant};
