//! Inference of the parameter types that a client leaves unspecified in `Parse`.

use std::collections::BTreeMap;
use std::ops::ControlFlow;

use rusqlite::Connection;
use sqlparser::ast::{
    AssignmentTarget, Expr, SetExpr, Statement, TableObject, Value, visit_expressions,
    visit_relations,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use super::types::{TEXT, declared_type};

/// Returns the type id of each of `count` parameters.
///
/// `specified` holds the type ids of the `Parse` message, 0 where the client leaves a type open.
pub(super) fn parameter_types(
    connection: &Connection,
    sql: &str,
    specified: &[u32],
    count: usize,
) -> Vec<u32> {
    let inferred = infer_types(connection, sql).unwrap_or_default();
    let specified_type =
        |index: usize| specified.get(index).copied().filter(|type_id| *type_id != 0);
    let inferred_type = |index: usize| inferred.get(&(index + 1)).copied().unwrap_or(TEXT);
    (0..count).map(|index| specified_type(index).unwrap_or_else(|| inferred_type(index))).collect()
}

fn infer_types(connection: &Connection, sql: &str) -> Option<BTreeMap<usize, u32>> {
    let statement = Parser::parse_sql(&PostgreSqlDialect {}, sql).ok()?.pop()?;
    let columns = column_types(connection, &statement);
    let mut types = BTreeMap::new();
    let mut infer_type = |column: &Expr, parameter: &Expr| {
        if let (Some(name), Some(number)) = (column_name(column), parameter_number(parameter))
            && let Some(type_id) = columns.get(&name)
        {
            types.insert(number, *type_id);
        }
    };
    // The visitor never breaks off, so its result is always `Continue`.
    let _ = visit_expressions(&statement, |expression| {
        if let Expr::BinaryOp { left, right, .. } = expression {
            infer_type(left, right);
            infer_type(right, left);
        }
        ControlFlow::<()>::Continue(())
    });
    match &statement {
        Statement::Insert(insert) => {
            let TableObject::TableName(_) = &insert.table else {
                return Some(types);
            };
            if let Some(SetExpr::Values(values)) = insert.source.as_ref().map(|s| s.body.as_ref()) {
                for row in &values.rows {
                    for (name, value) in insert.columns.iter().zip(&row.content) {
                        let name = name.to_string().to_lowercase();
                        if let (Some(type_id), Some(number)) =
                            (columns.get(&name), parameter_number(value))
                        {
                            types.insert(number, *type_id);
                        }
                    }
                }
            }
        }
        Statement::Update(update) => {
            for assignment in &update.assignments {
                let AssignmentTarget::ColumnName(name) = &assignment.target else {
                    continue;
                };
                let name = name.to_string().to_lowercase();
                if let (Some(type_id), Some(number)) =
                    (columns.get(&name), parameter_number(&assignment.value))
                {
                    types.insert(number, *type_id);
                }
            }
        }
        _ => {}
    }
    Some(types)
}

/// Returns the type id of each column of the tables that a statement names.
fn column_types(connection: &Connection, statement: &Statement) -> BTreeMap<String, u32> {
    let mut columns = BTreeMap::new();
    let _ = visit_relations(statement, |relation| {
        let table = relation.to_string();
        // An unknown table has no columns.
        let _ = connection.pragma(None, "table_info", &table, |row| {
            let (name, declaration): (String, String) = (row.get(1)?, row.get(2)?);
            columns.insert(name.to_lowercase(), declared_type(&declaration));
            Ok(())
        });
        ControlFlow::<()>::Continue(())
    });
    columns
}

fn column_name(expression: &Expr) -> Option<String> {
    match expression {
        Expr::Identifier(name) => Some(name.value.to_lowercase()),
        Expr::CompoundIdentifier(parts) => parts.last().map(|name| name.value.to_lowercase()),
        _ => None,
    }
}

/// Returns the number of a parameter such as `$1`.
fn parameter_number(expression: &Expr) -> Option<usize> {
    match expression {
        Expr::Value(value) => match &value.value {
            Value::Placeholder(name) => name.strip_prefix('$')?.parse().ok(),
            _ => None,
        },
        _ => None,
    }
}
