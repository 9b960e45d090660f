//! Differences between two configuration documents.

use serde_json::Value;

use crate::Document;

/// Value that differs between two documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Dotted path of the value. List entries are identified by their `name`, or by their index if
    /// they have none.
    pub path: String,
    /// Old value as JSON, `None` if the value was added.
    pub old: Option<String>,
    /// New value as JSON, `None` if the value was removed.
    pub new: Option<String>,
}

/// Returns the values in which `new` differs from `old`, in path order.
pub fn diff(old: &Document, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    let to_value = |document| serde_json::to_value(document).unwrap_or_default();
    compare(String::new(), Some(&to_value(old)), Some(&to_value(new)), &mut changes);
    changes
}

fn compare(path: String, old: Option<&Value>, new: Option<&Value>, changes: &mut Vec<Change>) {
    if old == new {
        return;
    }
    let (Some(old_entries), Some(new_entries)) =
        (old.and_then(named_entries), new.and_then(named_entries))
    else {
        let to_json = |value: &Value| value.to_string();
        return changes.push(Change { path, old: old.map(to_json), new: new.map(to_json) });
    };
    let mut keys: Vec<&String> = old_entries.iter().chain(&new_entries).map(|(k, _)| k).collect();
    keys.sort_unstable();
    keys.dedup();
    for key in keys {
        let find = |list: &[(String, Value)]| list.iter().find(|(k, _)| k == key).cloned();
        let (old, new) = (find(&old_entries), find(&new_entries));
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        compare(path, old.as_ref().map(|(_, v)| v), new.as_ref().map(|(_, v)| v), changes);
    }
}

/// Returns the entries of an object or a list with their names; `None` for a scalar value.
fn named_entries(value: &Value) -> Option<Vec<(String, Value)>> {
    match value {
        Value::Object(map) => Some(map.iter().map(|(k, v)| (k.clone(), v.clone())).collect()),
        Value::Array(list) => {
            let with_name = |(index, entry): (usize, &Value)| {
                let name = entry.get("name").and_then(Value::as_str);
                (name.map_or(index.to_string(), str::to_owned), entry.clone())
            };
            Some(list.iter().enumerate().map(with_name).collect())
        }
        _ => None,
    }
}
