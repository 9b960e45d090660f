//! Proxy node: serves PostgreSQL clients, pools connections to endpoints and links to other nodes.
//!
//! A *peer* is another node of the federation; a *link* is the connection to one. The *owner* of a
//! database is the node that runs its statements; the task that does so is also called its owner.
//!
//! A [`Node`] runs on one thread. Its tasks own their sockets and communicate by messages: client
//! sessions and links send to the hub, the hub sends to the owners of databases, and owners drive
//! the connections to endpoints.
//!
//! ```no_run
//! use tamarackbend_config::Settings;
//! use tamarackbend_node::Node;
//!
//! let settings = Settings::load("node.yaml".as_ref())?;
//! let node = Node::start(settings)?;
//! println!("clients connect to {}", node.addresses().client);
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
