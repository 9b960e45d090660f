//! Idle connections, to measure the memory of a node from outside.

use std::time::Duration;

use tokio_postgres::NoTls;

use crate::error::Code;
use crate::{Error, Result};

/// Opens `count` connections, holds them for `time` and closes them.
///
/// # Errors
///
/// Fails when a connection cannot be opened.
pub fn idle(dsn: &str, count: usize, time: Duration) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut clients = Vec::with_capacity(count);
        for _ in 0..count {
            let result = tokio_postgres::connect(dsn, NoTls).await;
            let (client, connection) = result.map_err(|error| {
                Error::new(Code::Step(format!("connection cannot be opened: {error}")))
            })?;
            tokio::spawn(connection);
            clients.push(client);
        }
        println!("{count} connections are open");
        tokio::time::sleep(time).await;
        Ok(())
    })
}
