//! Commands that take endpoints out of service and back.

use std::net::SocketAddr;

use tamarackbend_objects::{Client, read_group, write_group};
use tamarackbend_policy::failover::{Group, GroupError};

use crate::error::{Code, Error, Result};

/// Maximum number of attempts to update a group object that is updated concurrently.
const MAX_ATTEMPTS: u32 = 10;

/// Adds an endpoint to the draining endpoints of its group object, or removes it.
pub(crate) async fn set_draining(
    platform: SocketAddr,
    database: &str,
    index: usize,
    is_draining: bool,
) -> Result<()> {
    let client = Client::new(platform);
    let no_endpoint = || Error::new(Code::NoEndpoint(database.to_owned(), index));
    for _ in 0..MAX_ATTEMPTS {
        let (group, mut draining) =
            read_group(&client, database).await.map_err(|_| no_endpoint())?;
        draining.retain(|other| *other != index);
        if is_draining {
            draining.push(index);
        }
        let group = Group { attempt: rand::random(), ..group };
        match write_group(&client, database, group, &draining).await {
            Ok(_) => {
                let state = if is_draining { "is draining" } else { "is in service" };
                println!("endpoint {index} of {database} {state}");
                return Ok(());
            }
            Err(GroupError::Conflict(_) | GroupError::Unavailable) => {}
        }
    }
    Err(no_endpoint())
}
