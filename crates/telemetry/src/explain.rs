//! The way from a request's id to its cause, from the lines of all processes.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// Fields that every line has.
const COMMON: [&str; 3] = ["timestamp", "level", "message"];
/// Time before a request's first line in which changes may have caused its failure, in seconds.
const CONTEXT_SECONDS: f64 = 3.0;

/// Line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Process that wrote it, if the collector put it before the line.
    pub process: Option<String>,
    /// Time of day of the process, in seconds since midnight.
    pub second: f64,
    /// What happened.
    pub message: String,
    /// The other fields.
    pub fields: Map<String, Value>,
}

/// Returns the line that `text` holds; words before the object name the process.
pub fn parse(text: &str) -> Option<Line> {
    let start = text.find('{')?;
    let object: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
    let word = |name: &str| object.get(name).and_then(Value::as_str);
    let process = text[..start].split_whitespace().last().map(str::to_owned);
    let second = seconds(word("timestamp")?)?;
    let message = word("message")?.to_owned();
    let fields = object.into_iter().filter(|(name, _)| !COMMON.contains(&name.as_str())).collect();
    Some(Line { process, second, message, fields })
}

/// Returns the lines about `request`, and those that tell what its service went through, in order
/// of their times.
pub fn explain<'a>(lines: &'a [Line], request: &str) -> Vec<&'a Line> {
    let own: Vec<&Line> =
        lines.iter().filter(|line| field(line, "request") == Some(request)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let waited = own.iter().filter_map(|line| line.fields.get("waited_ms")?.as_f64());
    let waited = waited.fold(0.0, f64::max) / 1000.0;
    let (from, to) = (first.second - waited - CONTEXT_SECONDS, last.second);
    let services: BTreeSet<&str> = own.iter().filter_map(|line| field(line, "service")).collect();
    let processes: BTreeSet<&str> = own.iter().filter_map(|l| l.process.as_deref()).collect();
    let mut found: Vec<&Line> = lines
        .iter()
        .filter(|line| {
            let about_service = field(line, "service").is_some_and(|s| services.contains(s));
            let about_process = !line.fields.contains_key("service")
                && line.process.as_deref().is_none_or(|process| processes.contains(process));
            let context = !line.fields.contains_key("request") && (about_service || about_process);
            field(line, "request") == Some(request)
                || (context && line.second >= from && line.second <= to)
        })
        .collect();
    found.sort_by(|a, b| a.second.total_cmp(&b.second));
    found
}

fn field<'a>(line: &'a Line, name: &str) -> Option<&'a str> {
    line.fields.get(name)?.as_str()
}

/// Returns the seconds since midnight of a time such as `2026-01-02T03:04:05.6Z`.
fn seconds(timestamp: &str) -> Option<f64> {
    let time = timestamp.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = time.split(':');
    let hours: f64 = parts.next()?.parse().ok()?;
    let minutes: f64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(hours * 3600.0 + minutes * 60.0 + seconds)
}

impl std::fmt::Display for Line {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let process = self.process.as_deref().unwrap_or("-");
        write!(formatter, "{:.3} {process} {}", self.second, self.message)?;
        for (name, value) in &self.fields {
            match value {
                Value::String(text) => write!(formatter, " {name}={text}")?,
                other => write!(formatter, " {name}={other}")?,
            }
        }
        Ok(())
    }
}
