//! Explanation of a request's outcome from the logs of all processes.

use std::io::Read;
use std::path::PathBuf;

use tamarackbend_telemetry::{Line, explain, parse_line};

use crate::error::{Code, Error, Result};

/// Prints the log lines about `request` and about events of its service, in order of time.
///
/// Reads standard input if `logs` is empty. Lines that do not name their process are attributed to
/// the process that their file is named after.
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
        let with_process =
            |line: Line| Line { process: line.process.or_else(|| process.clone()), ..line };
        lines.extend(text.lines().filter_map(parse_line).map(with_process));
    }
    let explanation = explain(&lines, request);
    if explanation.is_empty() {
        return Err(Error::new(Code::NoRequest(request.to_owned())));
    }
    explanation.iter().for_each(|line| println!("{line}"));
    Ok(())
}
