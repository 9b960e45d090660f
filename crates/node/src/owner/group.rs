//! Reads, writes and watches of a database's group object on the platform.

use std::time::Duration;

use compio::runtime::JoinHandle;
use tamarackbend_objects::api::KIND_GROUP;
use tamarackbend_objects::{Client, read_group, write_group};
use tamarackbend_policy::failover::Group;
use tamarackbend_policy::owner::Event;
use tamarackbend_policy::position::EndpointIndex;
use tamarackbend_policy::retry::Backoff;

use super::{Message, Sender};

/// Time that one watch request waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(60);
/// First delay after a failed watch.
const RETRY_BASE_DELAY: Duration = Duration::from_millis(500);
/// Longest delay after a failed watch.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Reads the group object once; the owner gets the result.
pub(super) fn read(platform: Client, database: String, owner: Sender) {
    compio::runtime::spawn(async move {
        read_and_send(&platform, &database, &owner).await;
    })
    .detach();
}

/// Writes the group object if it still has the version in `group`; the owner gets the result.
pub(super) fn write(
    platform: Client,
    database: String,
    group: Group,
    draining_endpoints: Vec<EndpointIndex>,
    owner: Sender,
) {
    compio::runtime::spawn(async move {
        let result = write_group(&platform, &database, group, &draining_endpoints).await;
        // The owner may have stopped.
        let _ = owner.unbounded_send(Message::Event(Event::GroupWritten(result)));
    })
    .detach();
}

/// Watches the group object for changes by other nodes; the owner gets each.
pub(super) fn watch(platform: Client, database: String, owner: Sender) -> JoinHandle<()> {
    compio::runtime::spawn(async move {
        let mut backoff = Backoff::new(RETRY_BASE_DELAY, MAX_RETRY_DELAY, rand::random());
        let mut version = 0;
        loop {
            match platform.watch(KIND_GROUP, &database, version, WATCH_TIMEOUT).await {
                Ok(current_version) if current_version == version => {}
                Ok(current_version) => {
                    version = current_version;
                    backoff.reset();
                    read_and_send(&platform, &database, &owner).await;
                }
                Err(_) => compio::time::sleep(backoff.next_delay()).await,
            }
        }
    })
}

async fn read_and_send(platform: &Client, database: &str, owner: &Sender) {
    let message = match read_group(platform, database).await {
        Ok((group, draining_endpoints)) => {
            Message::GroupRead(Event::GroupRead(Ok(group)), draining_endpoints)
        }
        Err(error) => Message::Event(Event::GroupRead(Err(error))),
    };
    // The owner may have stopped.
    let _ = owner.unbounded_send(message);
}
