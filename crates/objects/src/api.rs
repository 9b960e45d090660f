//! Request and response bodies of the object API.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Kind of the objects that make up the configuration document.
pub const KIND_CONFIG: &str = "config";
/// Kind of the objects that hold the state of database groups, one per database.
pub const KIND_GROUP: &str = "group";
/// Kind of the objects that hold signing keys.
pub const KIND_KEY: &str = "key";

/// Object as stored by the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Increases with every update; zero before the object is created.
    pub version: u64,
    /// JSON content.
    pub value: Value,
}

/// Response to a watch request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Current version of the object.
    pub version: u64,
}

/// Response to an update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateResponse {
    /// Version of the object after the update.
    pub version: u64,
}

/// Entry of the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Failure domain in which the VM runs.
    pub failure_domain: String,
    /// Address at which the node on this VM accepts connections from its peers.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to stop the VM.
    #[serde(rename = "leaving")]
    pub draining: bool,
}

/// Content of a database group's object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Newest term of the database group.
    pub term: u64,
    /// Index of the primary; none during a failover.
    pub primary: Option<usize>,
    /// Id of the write attempt, by which a writer recognizes its own update after a lost response.
    pub attempt: u64,
    /// Indexes of the endpoints that are draining and get no new work.
    #[serde(default, rename = "leaving")]
    pub draining: Vec<usize>,
}

/// Content of the object that holds the keys of session tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    /// The last key signs new tokens; all keys verify.
    pub keys: Vec<Key>,
}

/// Key that signs and verifies session tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Number of the key, which tokens carry.
    pub number: u64,
    /// Secret, hexadecimal.
    pub secret: String,
}
