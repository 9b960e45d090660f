//! Command line of operators.

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
/// Exit status: 0 done, 1 failed, 2 input not valid, 3 conflict with another change.
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
    /// Take an endpoint out of service or back in.
    #[command(subcommand)]
    Endpoint(EndpointCommand),
    /// Show one line for each node.
    Status {
        #[command(flatten)]
        nodes: Nodes,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Print the whole state of a node as JSON.
    State {
        #[command(flatten)]
        node: NodeAddress,
    },
    /// Let a node finish its requests, hand its databases over and stop.
    Drain {
        #[command(flatten)]
        node: NodeAddress,
    },
    /// Print the lines that lead from a request's id to its cause.
    Explain {
        /// The request's id.
        request: String,
        /// Files with the log lines of all processes; standard input if none is given.
        logs: Vec<PathBuf>,
    },
    /// Run three nodes on stand-ins of the platform and of both deployments' endpoints.
    Demo {
        /// Time to run, such as 30s; until interrupted if absent.
        #[arg(long = "for", value_name = "TIME", value_parser = humantime::parse_duration)]
        time: Option<Duration>,
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
    /// Credential of operators.
    #[arg(long, env = "TAMARACKBEND_TOKEN", hide_env_values = true)]
    token: String,
}

#[derive(Args)]
struct Nodes {
    /// Admin addresses of the nodes.
    #[arg(long, value_name = "IP:PORT", required = true, num_args = 1..)]
    admin: Vec<SocketAddr>,
    /// Credential of operators.
    #[arg(long, env = "TAMARACKBEND_TOKEN", hide_env_values = true)]
    token: String,
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Check a document as a whole; nothing is changed.
    Check {
        /// File with the document, in YAML.
        file: PathBuf,
    },
    /// Print the document in force. Its first line names the version, for apply.
    Show {
        #[command(flatten)]
        platform: Platform,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Show what applying a file would change.
    Diff {
        #[command(flatten)]
        platform: Platform,
        /// File with the document, in YAML.
        file: PathBuf,
    },
    /// Check a document and put it in force if its base still is.
    Apply {
        #[command(flatten)]
        platform: Platform,
        /// File with the document, in YAML.
        file: PathBuf,
        /// Version that was edited; taken from the file's first line if absent.
        #[arg(long)]
        base: Option<u64>,
        /// Name that the history shows.
        #[arg(long, default_value = "operator")]
        author: String,
    },
    /// List the latest changes, newest last.
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
    /// Give an endpoint no new work; a primary is replaced first.
    Leave {
        #[command(flatten)]
        platform: Platform,
        /// Name of the database.
        database: String,
        /// Index of the endpoint in the document.
        index: usize,
    },
    /// Give an endpoint work again.
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
        Command::Demo { time } => demo::run(time),
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
            endpoint::set_leaving(platform.platform, &database, index, true).await
        }
        Command::Endpoint(EndpointCommand::Return { platform, database, index }) => {
            endpoint::set_leaving(platform.platform, &database, index, false).await
        }
        Command::Status { nodes, json } => node::status(&nodes.admin, &nodes.token, json).await,
        Command::State { node } => node::state(node.admin, &node.token).await,
        Command::Drain { node } => node::drain(node.admin, &node.token).await,
        Command::Explain { request, logs } => explain::run(&request, &logs),
        Command::Demo { time } => demo::run(time),
    }
}
