//! Selection of the log lines that explain a request's outcome.

use tamarackbend_telemetry::{explain, parse_line};

const LOG: &str = r#"
node-1 {"timestamp":"2026-01-02T03:04:01.000Z","level":"INFO","message":"endpoint is the primary; requesting evidence","service":"leases","endpoint":"a","term":1}
node-2 {"timestamp":"2026-01-02T03:04:04.100Z","level":"INFO","message":"endpoint does not answer; retrying its reads at other endpoints","service":"leases","endpoint":"a","silent_ms":380}
node-1 {"timestamp":"2026-01-02T03:04:04.500Z","level":"INFO","message":"failover entered another phase","service":"leases","phase":"Closing"}
node-1 {"timestamp":"2026-01-02T03:04:04.600Z","level":"INFO","message":"endpoint does not answer; retrying its reads at other endpoints","service":"roster","endpoint":"z","silent_ms":380}
node-2 {"timestamp":"2026-01-02T03:04:04.700Z","level":"WARN","message":"store is unreachable; retrying","kind":"config"}
node-2 {"timestamp":"2026-01-02T03:04:05.050Z","level":"WARN","message":"statement failed","request":"5c0e","service":"leases","stage":"Waiting","waited_ms":1000,"fault":"Busy"}
node-2 {"timestamp":"2026-01-02T03:04:05.100Z","level":"WARN","message":"statement failed","request":"77aa","service":"leases","stage":"Waiting","waited_ms":1000,"fault":"Busy"}
not a line
"#;

/// Guards against explanations that miss events of the request's service or node shortly before its
/// failure, or that include other services and requests.
#[test]
fn explanation_includes_lines_about_a_request_and_its_service() {
    let lines: Vec<_> = LOG.lines().filter_map(parse_line).collect();
    assert_eq!(lines.len(), 7);
    let selected: Vec<String> = explain(&lines, "5c0e").iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(selected.join("\n"), @r"
    11044.100 node-2 endpoint does not answer; retrying its reads at other endpoints endpoint=a service=leases silent_ms=380
    11044.500 node-1 failover entered another phase phase=Closing service=leases
    11044.700 node-2 store is unreachable; retrying kind=config
    11045.050 node-2 statement failed fault=Busy request=5c0e service=leases stage=Waiting waited_ms=1000
    ");
    assert!(explain(&lines, "unknown").is_empty());
}
