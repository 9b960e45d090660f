//! Calls of the platform for a database's group object.

use std::time::Duration;

use compio::runtime::JoinHandle;
use tamarackbend_objects::api::KIND_GROUP;
use tamarackbend_objects::{Client, read_group, write_group};
use tamarackbend_policy::failover::Group;
use tamarackbend_policy::owner::Event;
use tamarackbend_policy::position::EndpointIndex;
use tamarackbend_policy::retry::Backoff;

use super::{Message, Sender};

/// Time that one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(60);
/// First delay after a failed watch.
const RETRY_BASE: Duration = Duration::from_millis(500);
/// Longest delay after a failed watch.
const RETRY_CAP: Duration = Duration::from_secs(30);

/// Reads the group object once.
pub(super) fn read(client: Client, database: String, owner: Sender) {
    compio::runtime::spawn(async move {
        read_and_tell(&client, &database, &owner).await;
    })
    .detach();
}

/// Writes the group object if it has not changed.
pub(super) fn write(
    client: Client,
    database: String,
    group: Group,
    leaving: Vec<EndpointIndex>,
    owner: Sender,
) {
    compio::runtime::spawn(async move {
        let result = write_group(&client, &database, group, &leaving).await;
        // The owner may have stopped.
        let _ = owner.unbounded_send(Message::Event(Event::GroupWritten(result)));
    })
    .detach();
}

/// Watches the group object for changes by others.
pub(super) fn watch(client: Client, database: String, owner: Sender) -> JoinHandle<()> {
    compio::runtime::spawn(async move {
        let mut backoff = Backoff::new(RETRY_BASE, RETRY_CAP, rand::random());
        let mut version = 0;
        loop {
            match client.watch(KIND_GROUP, &database, version, WATCH_WAIT).await {
                Ok(seen) if seen == version => {}
                Ok(seen) => {
                    version = seen;
                    backoff.reset();
                    read_and_tell(&client, &database, &owner).await;
                }
                Err(_) => compio::time::sleep(backoff.next_delay()).await,
            }
        }
    })
}

async fn read_and_tell(client: &Client, database: &str, owner: &Sender) {
    let message = match read_group(client, database).await {
        Ok((group, leaving)) => Message::Group(Event::GroupRead(Ok(group)), leaving),
        Err(error) => Message::Event(Event::GroupRead(Err(error))),
    };
    // The owner may have stopped.
    let _ = owner.unbounded_send(message);
}
