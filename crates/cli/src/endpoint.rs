//! Commands on endpoints.

use std::net::SocketAddr;

use tamarackbend_objects::{Client, read_group, write_group};
use tamarackbend_policy::failover::{Group, GroupError};

use crate::error::{Code, Error, Result};

/// Times that an update is tried against others of the same object.
const ATTEMPTS: u32 = 10;

/// Lists an endpoint as leaving in its group object, or takes it off the list.
pub(crate) async fn set_leaving(
    platform: SocketAddr,
    database: &str,
    index: usize,
    leaving: bool,
) -> Result<()> {
    let client = Client::new(platform);
    let missing = || Error::new(Code::NoEndpoint(database.to_owned(), index));
    for _ in 0..ATTEMPTS {
        let (group, mut list) = read_group(&client, database).await.map_err(|_| missing())?;
        list.retain(|other| *other != index);
        if leaving {
            list.push(index);
        }
        let group = Group { attempt: rand::random(), ..group };
        match write_group(&client, database, group, &list).await {
            Ok(_) => {
                let now = if leaving { "gets no new work" } else { "is in service" };
                println!("endpoint {index} of {database} {now}");
                return Ok(());
            }
            Err(GroupError::Conflict(_) | GroupError::Unavailable) => {}
        }
    }
    Err(missing())
}
