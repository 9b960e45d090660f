//! Command line of operators.

mod demo;

use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};

/// Operates a federation's database proxy.
#[derive(Parser)]
#[command(name = "tamarackbend", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run three nodes on stand-ins of the platform and of both deployments' endpoints.
    Demo {
        /// Time to run, such as 30s; until interrupted if absent.
        #[arg(long = "for", value_name = "TIME", value_parser = duration)]
        time: Option<Duration>,
    },
}

fn duration(text: &str) -> Result<Duration, String> {
    let (number, unit) = text.split_at(text.trim_end_matches(char::is_alphabetic).len());
    let number: f64 = number.parse().map_err(|_| format!("{text} is no duration"))?;
    let seconds = match unit {
        "s" => number,
        "ms" => number / 1000.0,
        "m" => number * 60.0,
        _ => return Err(format!("{text} has no unit of ms, s or m")),
    };
    Ok(Duration::from_secs_f64(seconds))
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Demo { time } => demo::run(time),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tamarackbend: {error}");
            ExitCode::FAILURE
        }
    }
}
