//! Selects from the logs of all processes the lines that explain the outcome of one request.

use std::collections::BTreeSet;
use std::fmt::{self, Formatter};

use serde_json::{Map, Value};

/// Fields that every line has.
const STANDARD_FIELDS: [&str; 3] = ["timestamp", "level", "message"];
/// Time before the request's arrival in which an event may have caused its failure, in seconds.
const CONTEXT_SECONDS: f64 = 3.0;

/// Parsed log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Process that wrote the line, if the log collector put its name before the JSON object.
    pub process: Option<String>,
    /// Time of day in seconds since midnight, from the line's timestamp.
    pub time_of_day: f64,
    /// Text of the log message.
    pub message: String,
    /// Fields other than the timestamp, level and message.
    pub fields: Map<String, Value>,
}

/// Parses a line of JSON; the last word before the JSON object, if any, is taken as the process.
///
/// Returns none if the text is not a log line.
pub fn parse_line(text: &str) -> Option<Line> {
    let start = text.find('{')?;
    let object: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
    let string_field = |name: &str| object.get(name).and_then(Value::as_str);
    let process = text[..start].split_whitespace().last().map(str::to_owned);
    let time_of_day = parse_time_of_day(string_field("timestamp")?)?;
    let message = string_field("message")?.to_owned();
    let fields =
        object.into_iter().filter(|(name, _)| !STANDARD_FIELDS.contains(&name.as_str())).collect();
    Some(Line { process, time_of_day, message, fields })
}

/// Returns, in order of time, the lines of `request` and the lines around its time that may explain
/// its outcome: those of the same service, and those without a service from the same processes.
/// Lines of other requests are left out.
pub fn explain<'a>(lines: &'a [Line], request: &str) -> Vec<&'a Line> {
    let request_lines: Vec<&Line> =
        lines.iter().filter(|line| field(line, "request") == Some(request)).collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return Vec::new();
    };
    let waits_ms = request_lines.iter().filter_map(|line| line.fields.get("waited_ms")?.as_f64());
    let longest_wait_seconds = waits_ms.fold(0.0, f64::max) / 1000.0;
    let (from, to) = (first.time_of_day - longest_wait_seconds - CONTEXT_SECONDS, last.time_of_day);
    let services: BTreeSet<&str> =
        request_lines.iter().filter_map(|line| field(line, "service")).collect();
    let processes: BTreeSet<&str> =
        request_lines.iter().filter_map(|line| line.process.as_deref()).collect();
    let mut selected: Vec<&Line> = lines
        .iter()
        .filter(|line| {
            let is_same_service =
                field(line, "service").is_some_and(|service| services.contains(service));
            let is_same_process = !line.fields.contains_key("service")
                && line.process.as_deref().is_none_or(|process| processes.contains(process));
            let is_context =
                !line.fields.contains_key("request") && (is_same_service || is_same_process);
            field(line, "request") == Some(request)
                || (is_context && line.time_of_day >= from && line.time_of_day <= to)
        })
        .collect();
    selected.sort_by(|a, b| a.time_of_day.total_cmp(&b.time_of_day));
    selected
}

fn field<'a>(line: &'a Line, name: &str) -> Option<&'a str> {
    line.fields.get(name)?.as_str()
}

/// Returns the seconds since midnight of a timestamp such as `2026-01-02T03:04:05.6Z`.
fn parse_time_of_day(timestamp: &str) -> Option<f64> {
    let time = timestamp.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = time.split(':');
    let hours: f64 = parts.next()?.parse().ok()?;
    let minutes: f64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(hours * 3600.0 + minutes * 60.0 + seconds)
}

/// Returns whether `text` is one word that cannot be taken for several fields or another value.
fn is_plain(text: &str) -> bool {
    let is_special = |c: char| c.is_whitespace() || c.is_control() || "\"\\=".contains(c);
    !text.is_empty() && !text.contains(is_special) && serde_json::from_str::<Value>(text).is_err()
}

fn write_text(formatter: &mut Formatter<'_>, text: &str, is_plain: bool) -> fmt::Result {
    if is_plain { formatter.write_str(text) } else { write!(formatter, "{text:?}") }
}

impl fmt::Display for Line {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let process = self.process.as_deref().unwrap_or("-");
        write!(formatter, "{:.3} {process} ", self.time_of_day)?;
        let is_one_line = !self.message.contains(char::is_control);
        write_text(formatter, &self.message, is_one_line)?;
        for (name, value) in &self.fields {
            formatter.write_str(" ")?;
            write_text(formatter, name, is_plain(name))?;
            formatter.write_str("=")?;
            match value {
                Value::String(text) => write_text(formatter, text, is_plain(text))?,
                other => write!(formatter, "{other}")?,
            }
        }
        Ok(())
    }
}
