//! Differences between two documents.

use serde_json::Value;

use crate::Document;

/// One value that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Path of the value; entries of lists go by their name.
    pub path: String,
    /// Old value as JSON, none if it was added.
    pub old: Option<String>,
    /// New value as JSON, none if it was removed.
    pub new: Option<String>,
}

/// Returns the values in which `new` differs from `old`, by path.
pub fn diff(old: &Document, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    let value = |document| serde_json::to_value(document).unwrap_or_default();
    compare(String::new(), Some(&value(old)), Some(&value(new)), &mut changes);
    changes
}

fn compare(path: String, old: Option<&Value>, new: Option<&Value>, changes: &mut Vec<Change>) {
    if old == new {
        return;
    }
    let (Some(old_entries), Some(new_entries)) = (old.and_then(entries), new.and_then(entries))
    else {
        let text = |value: &Value| value.to_string();
        return changes.push(Change { path, old: old.map(text), new: new.map(text) });
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

fn entries(value: &Value) -> Option<Vec<(String, Value)>> {
    match value {
        Value::Object(map) => Some(map.iter().map(|(k, v)| (k.clone(), v.clone())).collect()),
        Value::Array(list) => {
            let name = |(index, entry): (usize, &Value)| {
                let name = entry.get("name").and_then(Value::as_str);
                (name.map_or(index.to_string(), str::to_owned), entry.clone())
            };
            Some(list.iter().enumerate().map(name).collect())
        }
        _ => None,
    }
}
