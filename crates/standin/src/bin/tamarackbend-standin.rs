//! Stand-ins of the platform and of the endpoints of both deployments in one process.

use std::net::SocketAddr;

use clap::Parser;
use tamarackbend_standin::deployment::{Plan, publish};
use tamarackbend_standin::platform::Platform;

/// Runs the platform and the endpoints of both deployments on loopback.
///
/// Faults are set over HTTP at the platform's address: PUT /standin/faults,
/// POST /standin/endpoints/DATABASE/INDEX, PUT and DELETE /standin/vms/NAME.
#[derive(Parser)]
#[command(name = "tamarackbend-standin", version)]
struct Arguments {
    /// Address at which the object API listens.
    #[arg(long, default_value = "127.0.0.1:0")]
    platform: SocketAddr,
    /// Number of databases of each deployment.
    #[arg(long, default_value_t = 3)]
    databases: usize,
}

fn main() -> std::io::Result<()> {
    let arguments = Arguments::parse();
    let platform = Platform::start(arguments.platform)?;
    let mut documents = Vec::new();
    for plan in [Plan::amstelweide(), Plan::vukovic()] {
        let deployment = plan.with_databases(arguments.databases).start(&platform)?;
        for group in &deployment.groups {
            for (index, address) in group.addresses().iter().enumerate() {
                println!("endpoint {} {index} {address}", group.database());
            }
        }
        documents.push(deployment.document);
    }
    publish(&platform, &documents);
    println!("platform {}", platform.address());
    loop {
        std::thread::park();
    }
}
