//! Types of parameters that a client leaves open.

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

/// Returns the type of each of `count` parameters; `given` are those that the client states.
pub(super) fn parameter_types(
    connection: &Connection,
    sql: &str,
    given: &[u32],
    count: usize,
) -> Vec<u32> {
    let inferred = infer(connection, sql).unwrap_or_default();
    let open = |index: usize| given.get(index).copied().filter(|type_id| *type_id != 0);
    let known = |index: usize| inferred.get(&(index + 1)).copied().unwrap_or(TEXT);
    (0..count).map(|index| open(index).unwrap_or_else(|| known(index))).collect()
}

fn infer(connection: &Connection, sql: &str) -> Option<BTreeMap<usize, u32>> {
    let statement = Parser::parse_sql(&PostgreSqlDialect {}, sql).ok()?.pop()?;
    let columns = columns(connection, &statement);
    let mut types = BTreeMap::new();
    let mut note = |column: &Expr, parameter: &Expr| {
        if let (Some(name), Some(number)) = (column_name(column), number(parameter))
            && let Some(type_id) = columns.get(&name)
        {
            types.insert(number, *type_id);
        }
    };
    // The visitor is never stopped early.
    let _ = visit_expressions(&statement, |expression| {
        if let Expr::BinaryOp { left, right, .. } = expression {
            note(left, right);
            note(right, left);
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
                        if let (Some(type_id), Some(number)) = (columns.get(&name), number(value)) {
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
                if let (Some(id), Some(number)) = (columns.get(&name), number(&assignment.value)) {
                    types.insert(number, *id);
                }
            }
        }
        _ => {}
    }
    Some(types)
}

fn columns(connection: &Connection, statement: &Statement) -> BTreeMap<String, u32> {
    let mut columns = BTreeMap::new();
    let _ = visit_relations(statement, |relation| {
        let table = relation.to_string();
        // A table that does not exist has no columns.
        let _ = connection.pragma(None, "table_info", &table, |row| {
            let (name, declared): (String, String) = (row.get(1)?, row.get(2)?);
            columns.insert(name.to_lowercase(), declared_type(&declared));
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

fn number(expression: &Expr) -> Option<usize> {
    match expression {
        Expr::Value(value) => match &value.value {
            Value::Placeholder(name) => name.strip_prefix('$')?.parse().ok(),
            _ => None,
        },
        _ => None,
    }
}
