//! Command-line interface for operators.

mod config;
mod demo;
mod endpoint;
mod error;
mod explain;
mod node;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use error::{Code, Error, Result};

/// Operates a federation's database proxy.
///
/// Exit status: 0 success, 1 failure, 2 invalid input, 3 conflict with a concurrent change.
#[derive(Parser)]
#[command(name = "tamarackbend", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Read and change the configuration document.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Take an endpoint out of service or put it back.
    #[command(subcommand)]
    Endpoint(EndpointCommand),
    /// Print one line of status per node.
    Status {
        #[command(flatten)]
        nodes: Nodes,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Print the complete state of a node as JSON.
    State {
        #[command(flatten)]
        node: NodeAddress,
    },
    /// Drain a node: it completes its requests, hands its databases over and stops.
    Drain {
        #[command(flatten)]
        node: NodeAddress,
    },
    /// Print the log lines that explain the outcome of a request.
    Explain {
        /// Id of the request.
        request: String,
        /// Log files of all processes; standard input if absent.
        logs: Vec<PathBuf>,
    },
    /// Run three nodes with a simulated platform and the simulated endpoints of two deployments.
    Demo {
        /// Duration of the run, such as 30s; runs until interrupted if absent.
        #[arg(long = "for", value_name = "TIME", value_parser = humantime::parse_duration)]
        duration: Option<Duration>,
    },
}

#[derive(Args)]
struct Platform {
    /// Address of the platform's object API.
    #[arg(long, env = "TAMARACKBEND_PLATFORM", value_name = "IP:PORT")]
    platform: SocketAddr,
}

#[derive(Args)]
struct NodeAddress {
    /// Admin address of the node.
    #[arg(long, value_name = "IP:PORT")]
    admin: SocketAddr,
    /// Bearer token of operators.
    #[arg(long, env = "TAMARACKBEND_TOKEN", hide_env_values = true)]
    token: String,
}

#[derive(Args)]
struct Nodes {
    /// Admin addresses of the nodes.
    #[arg(long, value_name = "IP:PORT", required = true, num_args = 1..)]
    admin: Vec<SocketAddr>,
    /// Bearer token of operators.
    #[arg(long, env = "TAMARACKBEND_TOKEN", hide_env_values = true)]
    token: String,
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Validate a document without publishing it.
    Check {
        /// YAML file with the configuration document.
        file: PathBuf,
    },
    /// Print the current document. Its first line states the version, which `apply` reads.
    Show {
        #[command(flatten)]
        platform: Platform,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Show the changes that applying a document would make.
    Diff {
        #[command(flatten)]
        platform: Platform,
        /// YAML file with the configuration document.
        file: PathBuf,
    },
    /// Validate and publish a document, unless its base version is no longer current.
    Apply {
        #[command(flatten)]
        platform: Platform,
        /// YAML file with the configuration document.
        file: PathBuf,
        /// Version that was edited; read from the file's first line if absent.
        #[arg(long)]
        base: Option<u64>,
        /// Author recorded in the history.
        #[arg(long, default_value = "operator")]
        author: String,
    },
    /// List the latest changes, oldest first.
    History {
        #[command(flatten)]
        platform: Platform,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
enum EndpointCommand {
    /// Drain an endpoint: it gets no new work. A primary is replaced first.
    Leave {
        #[command(flatten)]
        platform: Platform,
        /// Name of the database.
        database: String,
        /// Index of the endpoint in the document.
        index: usize,
    },
    /// Put a drained endpoint back into service.
    Return {
        #[command(flatten)]
        platform: Platform,
        /// Name of the database.
        database: String,
        /// Index of the endpoint in the document.
        index: usize,
    },
}

fn main() -> ExitCode {
    let command = Arguments::parse().command;
    let result = match command {
        Command::Demo { duration } => demo::run(duration),
        command => {
            let runtime = compio::runtime::Runtime::new();
            let runtime = runtime.map_err(|error| Error::new(Code::Io(error)));
            runtime.and_then(|runtime| runtime.block_on(execute(command)))
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tamarackbend: {error}");
            ExitCode::from(error.exit_status())
        }
    }
}

async fn execute(command: Command) -> Result<()> {
    match command {
        Command::Config(ConfigCommand::Check { file }) => config::check(&file),
        Command::Config(ConfigCommand::Show { platform, json }) => {
            config::show(platform.platform, json).await
        }
        Command::Config(ConfigCommand::Diff { platform, file }) => {
            config::diff(platform.platform, &file).await
        }
        Command::Config(ConfigCommand::Apply { platform, file, base, author }) => {
            config::apply(platform.platform, &file, base, &author).await
        }
        Command::Config(ConfigCommand::History { platform, json }) => {
            config::history(platform.platform, json).await
        }
        Command::Endpoint(EndpointCommand::Leave { platform, database, index }) => {
            endpoint::set_draining(platform.platform, &database, index, true).await
        }
        Command::Endpoint(EndpointCommand::Return { platform, database, index }) => {
            endpoint::set_draining(platform.platform, &database, index, false).await
        }
        Command::Status { nodes, json } => node::status(&nodes.admin, &nodes.token, json).await,
        Command::State { node } => node::state(node.admin, &node.token).await,
        Command::Drain { node } => node::drain(node.admin, &node.token).await,
        Command::Explain { request, logs } => explain::run(&request, &logs),
        Command::Demo { duration } => demo::run(duration),
    }
}
