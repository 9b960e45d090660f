//! Judgement of a recorded history against the promises.

use std::collections::{BTreeMap, BTreeSet};

use crate::history::{Kind, Operation, Outcome};

/// Rows of each database at the end: caller and number.
pub(crate) type Rows = Vec<Vec<(usize, i64)>>;

/// Returns how often each promise was broken.
pub(crate) fn violations(operations: &[Operation], rows: &Rows) -> BTreeMap<String, u64> {
    let mut found: BTreeMap<String, u64> = BTreeMap::new();
    for promise in ["read_your_writes", "write_kept", "at_most_once", "not_run_is_true"] {
        found.insert(promise.to_owned(), 0);
    }
    let mut count = |promise: &str, times: u64| {
        *found.entry(promise.to_owned()).or_default() += times;
    };
    let kept: Vec<BTreeSet<(usize, i64)>> =
        rows.iter().map(|rows| rows.iter().copied().collect()).collect();
    for (rows, kept) in rows.iter().zip(&kept) {
        count("at_most_once", (rows.len() - kept.len()) as u64);
    }
    for operation in operations {
        let row = (operation.caller, operation.number);
        let is_kept = kept[operation.database].contains(&row);
        match (operation.kind, operation.outcome) {
            (Kind::Read, Outcome::Done) if operation.seen < operation.number => {
                count("read_your_writes", 1);
            }
            (Kind::Write, Outcome::Done) if !is_kept => count("write_kept", 1),
            (Kind::Write, Outcome::NotRun) if is_kept => count("not_run_is_true", 1),
            _ => {}
        }
    }
    found
}
