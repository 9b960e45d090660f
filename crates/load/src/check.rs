//! Check of a history against the guarantees that the proxy gives its clients.

use std::collections::{BTreeMap, BTreeSet};

use crate::history::{Access, Operation, Outcome};

/// Rows of each database at the end of a run: index of the client, and number.
pub(crate) type Rows = Vec<Vec<(usize, i64)>>;

/// Returns the number of violations of each guarantee.
///
/// - `read_your_writes`: a read returned a lower number than its client's last acknowledged write.
/// - `write_kept`: an acknowledged write is missing at the end.
/// - `at_most_once`: a write took effect more than once.
/// - `not_run_is_true`: a write that was reported as not run took effect.
pub(crate) fn violations(operations: &[Operation], rows: &Rows) -> BTreeMap<String, u64> {
    let mut violations: BTreeMap<String, u64> = BTreeMap::new();
    for guarantee in ["read_your_writes", "write_kept", "at_most_once", "not_run_is_true"] {
        violations.insert(guarantee.to_owned(), 0);
    }
    let mut count = |guarantee: &str, times: u64| {
        *violations.entry(guarantee.to_owned()).or_default() += times;
    };
    let stored_rows: Vec<BTreeSet<(usize, i64)>> =
        rows.iter().map(|rows| rows.iter().copied().collect()).collect();
    for (rows, distinct) in rows.iter().zip(&stored_rows) {
        count("at_most_once", (rows.len() - distinct.len()) as u64);
    }
    for operation in operations {
        let row = (operation.client, operation.number);
        let is_stored = stored_rows[operation.database].contains(&row);
        match (operation.access, operation.outcome) {
            (Access::Read, Outcome::Done) if operation.seen < operation.number => {
                count("read_your_writes", 1);
            }
            (Access::Write, Outcome::Done) if !is_stored => count("write_kept", 1),
            (Access::Write, Outcome::NotRun) if is_stored => count("not_run_is_true", 1),
            _ => {}
        }
    }
    violations
}
