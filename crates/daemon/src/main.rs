//! Daemon that runs one proxy node.
//!
//! Exits with status 2 before opening any socket if the settings are invalid. SIGTERM and SIGINT
//! drain the node before the process exits; further ones change nothing.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use tamarackbend_config::{LogFormat, Settings};
use tamarackbend_net::signal::Signal;
use tamarackbend_node::Node;
use tracing::info;

/// Number of the signal by which the platform stops a VM.
const SIGTERM: i32 = 15;
/// Number of the signal that a terminal sends.
const SIGINT: i32 = 2;
/// Exit status for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Runs a node of a federation's database proxy.
#[derive(Parser)]
#[command(name = "tamarackbendd", version)]
struct Arguments {
    /// YAML file with the settings of this node.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Validate the settings and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let settings = match Settings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            match error.line() {
                Some(line) => eprintln!("{}:{line}: {error}", arguments.settings.display()),
                None => eprintln!("{}: {error}", arguments.settings.display()),
            }
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if arguments.check {
        println!("settings of {} are valid", settings.vm);
        return ExitCode::SUCCESS;
    }
    init_logging(settings.log_format);
    let signals = match (Signal::new(SIGTERM), Signal::new(SIGINT)) {
        (Ok(terminate), Ok(interrupt)) => [terminate, interrupt],
        (Err(error), _) | (_, Err(error)) => {
            eprintln!("tamarackbendd: cannot handle signals: {error}");
            return ExitCode::FAILURE;
        }
    };
    match Node::start(settings) {
        Ok(node) => run(node, signals),
        Err(error) => {
            eprintln!("tamarackbendd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn init_logging(format: LogFormat) {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match format {
        LogFormat::Text => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
}

fn run(node: Node, [mut terminate, mut interrupt]: [Signal; 2]) -> ExitCode {
    let addresses = node.addresses();
    info!(
        caller = %addresses.client,
        peer = %addresses.peer,
        admin = %addresses.admin,
        "node is listening for clients, peers and operators"
    );
    let runtime = compio::runtime::Runtime::new().expect("a runtime can be created");
    runtime.block_on(async {
        let terminated = terminate.receive();
        let interrupted = interrupt.receive();
        futures_util::pin_mut!(terminated, interrupted);
        futures_util::future::select(terminated, interrupted).await;
    });
    // The signals stay handled until the process ends.
    node.drain();
    node.join();
    ExitCode::SUCCESS
}
