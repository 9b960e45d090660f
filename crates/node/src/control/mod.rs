//! Data that a node reads from the platform: configuration, list of VMs and keys of session tokens.
//!
//! Only a few nodes of each failure domain, the *watchers*, watch the platform all the time; they
//! send changes on to the others.

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

/// Time that one watch request for the configuration waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Checks for a configuration from a peer before a starting node reads the platform.
const MAX_PEER_CONFIG_CHECKS: u32 = 10;
/// Time between two checks for a configuration from a peer.
const PEER_CONFIG_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a node that is no watcher checks whether it has become one.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two reads of the list of VMs by a watcher.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Intervals of [`VM_LIST_INTERVAL`] after which a node that is no watcher reads the list of VMs
/// all the same, so that its view of the fleet recovers from a missed change.
const MAX_SKIPPED_VM_LISTS: u32 = 150;
/// Time between two reads of the keys of session tokens.
const KEY_READ_INTERVAL: Duration = Duration::from_secs(600);
/// First delay after a failed call of the platform.
const RETRY_BASE_DELAY: Duration = Duration::from_millis(200);
/// Longest delay after a failed call of the platform.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Starts the tasks that read the platform; returns them with the keys of session tokens.
pub(crate) fn start(platform: Client, hub: Sender) -> (Keys, Vec<JoinHandle<()>>) {
    let keys = Keys::default();
    let tasks = vec![
        compio::runtime::spawn(follow_config(platform.clone(), hub.clone())),
        compio::runtime::spawn(follow_vms(platform.clone(), hub)),
        compio::runtime::spawn(follow_keys(platform, keys.clone())),
    ];
    (keys, tasks)
}

async fn follow_config(platform: Client, hub: Sender) {
    let mut store = Store::new(platform.clone());
    let mut backoff = Backoff::new(RETRY_BASE_DELAY, MAX_RETRY_DELAY, rand::random());
    let mut version = wait_for_peer_config(&hub, &mut store).await;
    loop {
        if version > 0 && !is_watcher(&hub).await {
            compio::time::sleep(WATCHER_CHECK_INTERVAL).await;
            continue;
        }
        let head = platform.watch(KIND_CONFIG, "head", version, WATCH_TIMEOUT).await;
        let loaded = match head {
            Ok(head) if head == version => continue,
            Ok(_) => {
                if let Some(config) = current_config(&hub).await {
                    store.cache_sections(&config.sections);
                }
                load_config(&mut store).await
            }
            Err(_) => None,
        };
        match loaded {
            Some(config) => {
                version = config.version;
                backoff.reset();
                // The hub stops only with the node.
                let _ = hub.unbounded_send(Message::Config(Arc::new(config)));
            }
            None => compio::time::sleep(backoff.next_delay()).await,
        }
    }
}

/// Waits briefly for a configuration from a peer; returns its version, zero if none arrives.
///
/// A starting node prefers a peer's copy of the document, because reading all sections from the
/// platform takes thousands of calls. Only the first nodes of a federation must read the sections from there.
async fn wait_for_peer_config(hub: &Sender, store: &mut Store) -> u64 {
    for _ in 0..MAX_PEER_CONFIG_CHECKS {
        compio::time::sleep(PEER_CONFIG_CHECK_INTERVAL).await;
        let Some(config) = current_config(hub).await else {
            return 0;
        };
        if config.version > 0 {
            store.cache_sections(&config.sections);
            return config.version;
        }
    }
    0
}

async fn current_config(hub: &Sender) -> Option<Arc<Config>> {
    let (reply, answer) = oneshot::channel();
    hub.unbounded_send(Message::GetConfig(reply)).ok()?;
    answer.await.ok()
}

async fn is_watcher(hub: &Sender) -> bool {
    let (reply, answer) = oneshot::channel();
    hub.unbounded_send(Message::IsWatcher(reply)).is_ok() && answer.await.unwrap_or(false)
}

async fn load_config(store: &mut Store) -> Option<Config> {
    let published = store.load().await.ok()?;
    let document = match Document::from_sections(&published.sections) {
        Ok(document) => document,
        Err(error) => {
            warn!(
                %error,
                version = published.version,
                "platform holds a configuration that is not valid; the previous one stays in force"
            );
            return None;
        }
    };
    Some(Config { version: published.version, document, sections: published.sections })
}

async fn follow_vms(platform: Client, hub: Sender) {
    let mut skipped_lists = MAX_SKIPPED_VM_LISTS;
    loop {
        if skipped_lists >= MAX_SKIPPED_VM_LISTS || is_watcher(&hub).await {
            if let Ok(vms) = platform.vms().await {
                let _ = hub.unbounded_send(Message::Vms(vms));
                skipped_lists = rand::random_range(0..MAX_SKIPPED_VM_LISTS / 10);
            }
        } else {
            skipped_lists += 1;
        }
        compio::time::sleep(VM_LIST_INTERVAL).await;
    }
}

async fn follow_keys(platform: Client, keys: Keys) {
    let mut backoff = Backoff::new(RETRY_BASE_DELAY, MAX_RETRY_DELAY, rand::random());
    loop {
        let object = platform.get(KIND_KEY, "session-token").await.ok().flatten();
        let key_object =
            object.and_then(|object| serde_json::from_value::<KeyObject>(object.value).ok());
        match key_object {
            Some(key_object) => {
                keys.replace(key_object.keys);
                backoff.reset();
                compio::time::sleep(KEY_READ_INTERVAL).await;
            }
            None => compio::time::sleep(backoff.next_delay()).await,
        }
    }
}
