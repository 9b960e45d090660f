//! Demo of the proxy: nodes, platform and endpoints in one process.

use std::io::Write;
use std::time::Duration;

use tamarackbend_load::{ADMIN_TOKEN, Fleet, Layout};

use crate::error::Result;

/// Runs the demo for `duration`, or until the process is interrupted.
///
/// Prints the addresses and DSNs to connect to, then `ready`.
pub(crate) fn run(duration: Option<Duration>) -> Result<()> {
    let fleet = Fleet::start(Layout::default())?;
    let mut output = std::io::stdout().lock();
    for node in fleet.nodes() {
        writeln!(output, "entry {}", node.addresses().client)?;
    }
    for node in fleet.nodes() {
        writeln!(output, "admin {}", node.addresses().admin)?;
    }
    writeln!(output, "admin-token {ADMIN_TOKEN}")?;
    writeln!(output, "platform {}", fleet.platform().address())?;
    for dsn in fleet.dsns() {
        writeln!(output, "dsn {dsn}")?;
    }
    writeln!(output, "ready")?;
    output.flush()?;
    match duration {
        Some(duration) => std::thread::sleep(duration),
        None => loop {
            std::thread::park();
        },
    }
    Ok(())
}
