//! Mapping between PostgreSQL types and SQLite values.

use bytes::{BufMut, Bytes, BytesMut};
use rusqlite::types::Value;
use tamarackbend_postgres::message::FieldDescription;

use super::engine::Column;

// Object ids of PostgreSQL types.
const BOOL: u32 = 16;
const BYTEA: u32 = 17;
const INT8: u32 = 20;
const INT2: u32 = 21;
const INT4: u32 = 23;
pub(super) const TEXT: u32 = 25;
const FLOAT8: u32 = 701;
const VARCHAR: u32 = 1043;
/// Format code of binary values.
const BINARY: i16 = 1;

/// Returns the type id of a column, from its declared type or, for a computed column, its name.
pub(super) fn column_type(column: &Column) -> u32 {
    match &column.declared_type {
        Some(declaration) => declared_type(declaration),
        None => computed_type(&column.name),
    }
}

/// Returns the type id of a declared type.
pub(super) fn declared_type(declaration: &str) -> u32 {
    match declaration.to_uppercase().as_str() {
        "BIGINT" | "INT8" | "BIGSERIAL" => INT8,
        "INTEGER" | "INT" | "INT4" | "SERIAL" => INT4,
        "SMALLINT" | "INT2" => INT2,
        "BOOLEAN" | "BOOL" => BOOL,
        "REAL" | "DOUBLE PRECISION" | "FLOAT8" | "NUMERIC" => FLOAT8,
        "BYTEA" => BYTEA,
        _ => TEXT,
    }
}

fn computed_type(name: &str) -> u32 {
    let name = name.to_lowercase();
    let numeric_functions = ["count(", "sum(", "max(", "min(", "coalesce(max(", "coalesce(sum("];
    if numeric_functions.iter().any(|prefix| name.starts_with(prefix)) { INT8 } else { TEXT }
}

/// Returns the field description of a column for `RowDescription`.
pub(super) fn field(column: &Column, format: i16) -> FieldDescription {
    let type_id = column_type(column);
    let size = match type_id {
        BOOL => 1,
        INT2 => 2,
        INT4 => 4,
        INT8 | FLOAT8 => 8,
        _ => -1,
    };
    FieldDescription::new(column.name.clone(), 0, 0, type_id, size, -1, format)
}

/// Appends a value with its length prefix.
pub(super) fn put_value(value: &Value, type_id: u32, format: i16, output: &mut BytesMut) {
    let bytes = match value {
        Value::Null => return output.put_i32(-1),
        value if format == BINARY => encode_binary(value, type_id),
        value => encode_text(value, type_id).into_bytes(),
    };
    output.put_i32(i32::try_from(bytes.len()).unwrap_or(i32::MAX));
    output.put_slice(&bytes);
}

fn encode_text(value: &Value, type_id: u32) -> String {
    match value {
        Value::Null => String::new(),
        Value::Integer(number) if type_id == BOOL => if *number == 0 { "f" } else { "t" }.into(),
        Value::Integer(number) => number.to_string(),
        Value::Real(number) => number.to_string(),
        Value::Text(text) => text.clone(),
        Value::Blob(bytes) => {
            let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
            format!("\\x{hex}")
        }
    }
}

fn encode_binary(value: &Value, type_id: u32) -> Vec<u8> {
    let integer = match value {
        Value::Integer(number) => *number,
        Value::Real(number) => *number as i64,
        _ => 0,
    };
    match (type_id, value) {
        (INT8, _) => integer.to_be_bytes().to_vec(),
        (INT4, _) => (integer as i32).to_be_bytes().to_vec(),
        (INT2, _) => (integer as i16).to_be_bytes().to_vec(),
        (BOOL, _) => vec![u8::from(integer != 0)],
        (FLOAT8, Value::Real(number)) => number.to_be_bytes().to_vec(),
        (FLOAT8, _) => (integer as f64).to_be_bytes().to_vec(),
        (_, Value::Blob(bytes)) => bytes.clone(),
        (_, value) => encode_text(value, type_id).into_bytes(),
    }
}

/// Returns the SQLite value of a bound parameter.
pub(super) fn decode_parameter(bytes: Option<&Bytes>, type_id: u32, format: i16) -> Value {
    let Some(bytes) = bytes else {
        return Value::Null;
    };
    if format == BINARY {
        return decode_binary(bytes, type_id);
    }
    let text = String::from_utf8_lossy(bytes).into_owned();
    match type_id {
        INT2 | INT4 | INT8 => text.parse().map_or(Value::Text(text), Value::Integer),
        FLOAT8 => text.parse().map_or(Value::Text(text), Value::Real),
        BOOL => Value::Integer(i64::from(text.starts_with('t'))),
        _ => Value::Text(text),
    }
}

fn decode_binary(bytes: &Bytes, type_id: u32) -> Value {
    match (type_id, &bytes[..]) {
        (INT8, &[a, b, c, d, e, f, g, h]) => {
            Value::Integer(i64::from_be_bytes([a, b, c, d, e, f, g, h]))
        }
        (INT4, &[a, b, c, d]) => Value::Integer(i32::from_be_bytes([a, b, c, d]).into()),
        (INT2, &[a, b]) => Value::Integer(i16::from_be_bytes([a, b]).into()),
        (BOOL, &[a]) => Value::Integer(a.into()),
        (FLOAT8, &[a, b, c, d, e, f, g, h]) => {
            Value::Real(f64::from_be_bytes([a, b, c, d, e, f, g, h]))
        }
        (TEXT | VARCHAR | 0, bytes) => Value::Text(String::from_utf8_lossy(bytes).into_owned()),
        (_, bytes) => Value::Blob(bytes.to_vec()),
    }
}
