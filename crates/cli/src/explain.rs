//! The way from a request's id to its cause.

use std::io::Read;
use std::path::PathBuf;

use tamarackbend_telemetry::{Line, explain, parse_line};

use crate::error::{Code, Error, Result};

/// Prints the lines about `request` and what its service went through, in order of time.
///
/// A file whose lines do not name their process counts as the log of the process it is named for.
pub(crate) fn run(request: &str, logs: &[PathBuf]) -> Result<()> {
    let mut lines = Vec::new();
    if logs.is_empty() {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text)?;
        lines.extend(text.lines().filter_map(parse_line));
    }
    for path in logs {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::new(Code::File(name.clone(), error)))?;
        let process = path.file_stem().map(|stem| stem.to_string_lossy().into_owned());
        let named = |line: Line| Line { process: line.process.or_else(|| process.clone()), ..line };
        lines.extend(text.lines().filter_map(parse_line).map(named));
    }
    let found = explain(&lines, request);
    if found.is_empty() {
        return Err(Error::new(Code::NoRequest(request.to_owned())));
    }
    found.iter().for_each(|line| println!("{line}"));
    Ok(())
}
