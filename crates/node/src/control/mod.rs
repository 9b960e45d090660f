//! What a node learns from the platform: configuration, VMs and keys.

use std::sync::Arc;
use std::time::Duration;

use compio::runtime::JoinHandle;
use futures_channel::oneshot;
use tamarackbend_config::Document;
use tamarackbend_objects::api::{KIND_CONFIG, KIND_KEY, Keys as KeyObject};
use tamarackbend_objects::{Client, Store};
use tamarackbend_policy::retry::Backoff;
use tracing::warn;

use crate::entry::Keys;
use crate::hub::{Config, Message, Sender};

/// Time that one watch of the configuration waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// Looks at whether a peer has sent a configuration before the platform is asked.
const PEER_POLLS: u32 = 10;
/// Time between two of them.
const PEER_POLL: Duration = Duration::from_millis(50);
/// Time between two looks of a node that does not watch at whether it should.
const IDLE_WAIT: Duration = Duration::from_secs(1);
/// Time between two reads of the list of VMs.
const VMS_INTERVAL: Duration = Duration::from_secs(2);
/// Reads of the list that a node which does not watch leaves out before it repairs its view.
const VMS_REPAIR: u32 = 150;
/// Time between two reads of the keys.
const KEYS_INTERVAL: Duration = Duration::from_secs(600);
/// First delay after a failed call.
const RETRY_BASE: Duration = Duration::from_millis(200);
/// Longest delay after a failed call.
const RETRY_CAP: Duration = Duration::from_secs(10);

/// Starts to follow the platform; returns the keys of session tokens and the tasks.
pub(crate) fn start(client: Client, hub: Sender) -> (Keys, Vec<JoinHandle<()>>) {
    let keys = Keys::default();
    let tasks = vec![
        compio::runtime::spawn(follow_config(client.clone(), hub.clone())),
        compio::runtime::spawn(follow_vms(client.clone(), hub)),
        compio::runtime::spawn(follow_keys(client, keys.clone())),
    ];
    (keys, tasks)
}

async fn follow_config(client: Client, hub: Sender) {
    let mut store = Store::new(client.clone());
    let mut backoff = Backoff::new(RETRY_BASE, RETRY_CAP, rand::random());
    let mut version = await_peers(&hub, &mut store).await;
    loop {
        if version > 0 && !is_watcher(&hub).await {
            compio::time::sleep(IDLE_WAIT).await;
            continue;
        }
        let seen = client.watch(KIND_CONFIG, "head", version, WATCH_WAIT).await;
        let loaded = match seen {
            Ok(seen) if seen == version => continue,
            Ok(_) => {
                if let Some(config) = config(&hub).await {
                    store.remember(&config.sections);
                }
                load(&mut store).await
            }
            Err(_) => None,
        };
        match loaded {
            Some(config) => {
                version = config.version;
                backoff.reset();
                // The hub ends with the node.
                let _ = hub.unbounded_send(Message::Config(Arc::new(config)));
            }
            None => compio::time::sleep(backoff.next_delay()).await,
        }
    }
}

/// Waits a moment for a peer's configuration; returns its version, zero if there is none.
///
/// A node that starts takes the document from a peer: reading its sections one by one from the
/// platform, as the first nodes must, would be thousands of calls.
async fn await_peers(hub: &Sender, store: &mut Store) -> u64 {
    for _ in 0..PEER_POLLS {
        compio::time::sleep(PEER_POLL).await;
        let Some(config) = config(hub).await else {
            return 0;
        };
        if config.version > 0 {
            store.remember(&config.sections);
            return config.version;
        }
    }
    0
}

async fn config(hub: &Sender) -> Option<Arc<Config>> {
    let (reply, answer) = oneshot::channel();
    hub.unbounded_send(Message::GetConfig(reply)).ok()?;
    answer.await.ok()
}

async fn is_watcher(hub: &Sender) -> bool {
    let (reply, answer) = oneshot::channel();
    hub.unbounded_send(Message::IsWatcher(reply)).is_ok() && answer.await.unwrap_or(false)
}

async fn load(store: &mut Store) -> Option<Config> {
    let published = store.load().await.ok()?;
    let document = match Document::from_sections(&published.sections) {
        Ok(document) => document,
        Err(error) => {
            warn!(%error, version = published.version, "configuration is not valid");
            return None;
        }
    };
    Some(Config { version: published.version, document, sections: published.sections })
}

async fn follow_vms(client: Client, hub: Sender) {
    let mut left_out = VMS_REPAIR;
    loop {
        if left_out >= VMS_REPAIR || is_watcher(&hub).await {
            if let Ok(vms) = client.vms().await {
                let _ = hub.unbounded_send(Message::Vms(vms));
                left_out = rand::random_range(0..VMS_REPAIR / 10);
            }
        } else {
            left_out += 1;
        }
        compio::time::sleep(VMS_INTERVAL).await;
    }
}

async fn follow_keys(client: Client, keys: Keys) {
    let mut backoff = Backoff::new(RETRY_BASE, RETRY_CAP, rand::random());
    loop {
        let object = client.get(KIND_KEY, "session-token").await.ok().flatten();
        let found = object.and_then(|o| serde_json::from_value::<KeyObject>(o.value).ok());
        match found {
            Some(found) => {
                keys.set(found.keys);
                backoff.reset();
                compio::time::sleep(KEYS_INTERVAL).await;
            }
            None => compio::time::sleep(backoff.next_delay()).await,
        }
    }
}
