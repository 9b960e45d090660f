//! Shapes of the object API.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Kind of the objects that hold the configuration document.
pub const KIND_CONFIG: &str = "config";
/// Kind of the objects that hold database groups.
pub const KIND_GROUP: &str = "group";
/// Kind of the objects that hold keys.
pub const KIND_KEY: &str = "key";

/// Object as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Grows with every update; zero before the first.
    pub version: u64,
    /// Content.
    pub value: Value,
}

/// Answer to a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watched {
    /// Version now.
    pub version: u64,
}

/// Answer to an update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// Version that the update made.
    pub version: u64,
}

/// Entry of the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// Place.
    pub failure_domain: String,
    /// Address of the system's process for its peers.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
}

/// Content of a group object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Newest term.
    pub term: u64,
    /// Index of the primary, none while it is being chosen.
    pub primary: Option<usize>,
    /// Identifies the writer's attempt.
    pub attempt: u64,
    /// Endpoints that get no new work, by index.
    #[serde(default)]
    pub leaving: Vec<usize>,
}

/// Content of the key object that signs session tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    /// Keys by number; the last one signs, all of them verify.
    pub keys: Vec<Key>,
}

/// One key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Number.
    pub number: u64,
    /// Hexadecimal secret.
    pub secret: String,
}
