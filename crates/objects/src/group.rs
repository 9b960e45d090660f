//! Reads and writes of group objects, converted to the failover's types.

use tamarackbend_policy::failover::{Group, GroupError};

use crate::Client;
use crate::api::{self, KIND_GROUP};

/// Reads a database's group object and the indexes of its draining endpoints.
///
/// # Errors
///
/// Fails when the platform does not answer or has no valid object of that name.
pub async fn read_group(
    client: &Client,
    database: &str,
) -> Result<(Group, Vec<usize>), GroupError> {
    let result = client.get(KIND_GROUP, database).await;
    let object = result.ok().flatten().ok_or(GroupError::Unavailable)?;
    let content = serde_json::from_value(object.value).map_err(|_| GroupError::Unavailable)?;
    let api::Group { term, primary, attempt, draining } = content;
    Ok((Group { version: object.version, term, primary, attempt }, draining))
}

/// Writes a database's group object if it still has the version in `group`.
///
/// # Errors
///
/// Fails with the current content if the object has another version, or when the platform does not
/// answer.
pub async fn write_group(
    client: &Client,
    database: &str,
    group: Group,
    draining: &[usize],
) -> Result<Group, GroupError> {
    let Group { version, term, primary, attempt } = group;
    let content = api::Group { term, primary, attempt, draining: draining.to_vec() };
    let value = serde_json::to_value(content).map_err(|_| GroupError::Unavailable)?;
    match client.put(KIND_GROUP, database, version, &value).await {
        Ok(version) => Ok(Group { version, ..group }),
        Err(error) if error.is_conflict() => {
            Err(GroupError::Conflict(read_group(client, database).await?.0))
        }
        Err(_) => Err(GroupError::Unavailable),
    }
}
