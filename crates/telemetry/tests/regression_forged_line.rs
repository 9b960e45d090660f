//! Guards against a text in a log line that is shown as further fields or lines.

use std::collections::BTreeSet;

use serde_json::json;
use tamarackbend_telemetry::parse_line;

fn show(name: &str, text: &str) -> String {
    let object = json!({
        "timestamp": "2026-01-02T03:04:05.000Z",
        "level": "INFO",
        "message": "statement failed",
        name: text,
    });
    parse_line(&object.to_string()).expect("it is a log line").to_string()
}

#[test]
fn text_is_shown_as_one_field() {
    assert_eq!(show("database", "pacht-1"), "11045.000 - statement failed database=pacht-1");
    assert_eq!(show("request", "café/5c0e:1"), "11045.000 - statement failed request=café/5c0e:1");
    let long = "x".repeat(100_000);
    let texts = [
        "",
        " ",
        "a b",
        "a service=b",
        "a\r\n11045.000 - statement failed",
        "a\nb",
        "a\\nb",
        "\"",
        "\"a b\"",
        "a=b",
        "a\u{85}b",
        "a\u{2028}b",
        "\u{1b}[2Jb",
        "1",
        "true",
        "null",
        &long,
    ];
    let shown: BTreeSet<String> = texts.iter().map(|text| show("database", text)).collect();
    assert_eq!(shown.len(), texts.len());
    for line in shown {
        let field = line.strip_prefix("11045.000 - statement failed database=").expect("its name");
        let is_quoted = field.len() > 1 && field.starts_with('"') && field.ends_with('"');
        let is_plain = !field.contains(|c: char| c.is_whitespace() || c == '"' || c == '=');
        let is_one_line = !field.contains(|c: char| c.is_control() || c == '\u{2028}');
        assert!((is_plain || is_quoted) && is_one_line, "{field}");
    }
    assert!(!show("a\nb c", "x").contains('\n'));
}

#[test]
fn message_is_shown_on_one_line() {
    let line = r#"node-1 {"timestamp":"2026-01-02T03:04:05.000Z","message":"a\n11045.000 - b"}"#;
    let shown = parse_line(line).expect("it is a log line").to_string();
    assert!(!shown.contains('\n'), "{shown}");
}
