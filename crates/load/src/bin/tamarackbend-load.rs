//! Command line of the load tests and experiments.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use tamarackbend_load::{Policy, Scenario, capacity, overhead, plot, plot_capacity, run};

/// Exit status of a run that violated a guarantee.
const EXIT_VIOLATION: u8 = 3;

/// Runs load and faults on a fleet in one process and measures the fleet.
#[derive(Parser)]
#[command(name = "tamarackbend-load", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario; exits with status 3 if a guarantee was violated.
    Run {
        /// File with the scenario, in YAML.
        #[arg(long, value_name = "FILE")]
        scenario: PathBuf,
        /// Policy of the nodes: product, primary-only, random-replica or asynchronous.
        #[arg(long, default_value = "product")]
        policy: Policy,
        /// Seed of the clients' random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// File for the figures, as JSON.
        #[arg(long, value_name = "OUT")]
        json: PathBuf,
        /// File for a plot, as SVG.
        #[arg(long, value_name = "OUT.svg")]
        plot: Option<PathBuf>,
    },
    /// Measure the cost of an idle fleet at several sizes.
    Capacity {
        /// File for the figures, as JSON.
        #[arg(long, value_name = "OUT")]
        json: PathBuf,
        /// Sizes as NODES:DATABASES.
        #[arg(long, value_delimiter = ',', default_value = "10:9,40:9,120:9,1:9,1:30,1:90")]
        sizes: Vec<Size>,
        /// File for a plot, as SVG.
        #[arg(long, value_name = "OUT.svg")]
        plot: Option<PathBuf>,
    },
    /// Compare reads through a node with reads directly at an endpoint.
    Overhead {
        /// File for the figures, as JSON.
        #[arg(long, value_name = "OUT")]
        json: PathBuf,
    },
    /// Hold idle connections open, to measure the memory of a node from outside.
    Idle {
        /// Connection string.
        #[arg(long)]
        dsn: String,
        /// Number of connections.
        #[arg(long)]
        count: usize,
        /// Time to hold the connections open.
        #[arg(long, default_value = "10s", value_parser = humantime::parse_duration)]
        time: std::time::Duration,
    },
}

/// Size of a fleet: number of nodes and of databases.
#[derive(Clone, Copy, Debug)]
struct Size {
    nodes: usize,
    databases: usize,
}

impl std::str::FromStr for Size {
    type Err = String;

    fn from_str(text: &str) -> Result<Size, String> {
        let format_error = || format!("{text} is not of the form NODES:DATABASES");
        let (nodes, databases) = text.split_once(':').ok_or_else(format_error)?;
        let nodes = nodes.parse().map_err(|_| format_error())?;
        Ok(Size { nodes, databases: databases.parse().map_err(|_| format_error())? })
    }
}

fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::from_default_env();
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    match execute(Arguments::parse().command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("tamarackbend-load: {error}");
            ExitCode::FAILURE
        }
    }
}

fn execute(command: Command) -> Result<ExitCode, Box<dyn std::error::Error>> {
    match command {
        Command::Run { scenario, policy, seed, json, plot } => {
            run_scenario(&scenario, policy, seed, &json, plot.as_deref())
        }
        Command::Capacity { json, sizes, plot } => {
            let sizes: Vec<_> = sizes.iter().map(|size| (size.nodes, size.databases)).collect();
            let capacity = capacity(&sizes)?;
            std::fs::write(json, serde_json::to_string_pretty(&capacity)?)?;
            if let Some(file) = plot {
                plot_capacity(&capacity, &file)?;
            }
            print!("{}", capacity.full_size);
            for point in &capacity.points {
                println!("{point}");
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Overhead { json } => {
            let overhead = overhead()?;
            std::fs::write(json, serde_json::to_string_pretty(&overhead)?)?;
            print!("{overhead}");
            Ok(ExitCode::SUCCESS)
        }
        Command::Idle { dsn, count, time } => {
            tamarackbend_load::idle(&dsn, count, time)?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn run_scenario(
    scenario: &Path,
    policy: Policy,
    seed: u64,
    json: &Path,
    plot_file: Option<&Path>,
) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let scenario = Scenario::from_yaml(&std::fs::read_to_string(scenario)?)?;
    let report = run(&scenario, policy, seed)?;
    std::fs::write(json, serde_json::to_string_pretty(&report)?)?;
    if let Some(file) = plot_file {
        plot(&report, file)?;
    }
    println!(
        "{} {}: {} statements, replica reads {:.3} of {:.3}, gap median {:.0} ms max {:.0} ms, \
         violations {:?}",
        report.scenario,
        report.policy,
        report.statements,
        report.replica_read_share,
        report.replica_read_share_possible,
        report.failover_gap_ms.median,
        report.failover_gap_ms.max,
        report.violations
    );
    let violations: u64 = report.violations.values().sum();
    Ok(if violations > 0 { ExitCode::from(EXIT_VIOLATION) } else { ExitCode::SUCCESS })
}
