//! Classification of SQL text.
//!
//! Only what surely reads is a [`Class::Read`]; text that the parser does not know, functions that
//! are not known to be free of effects and locking reads count as writes.
//!
//! ```
//! use tamarackbend_sql::{classify, Class};
//!
//! assert_eq!(classify("SELECT title FROM book WHERE id = $1").class, Class::Read);
//! assert_eq!(classify("SELECT nextval('loan_id')").class, Class::Write);
//! ```

mod functions;

use std::ops::ControlFlow;
use std::time::Duration;

use sqlparser::ast::{
    Expr, Query, Set, SetExpr, Statement, TableFactor, TransactionAccessMode, TransactionMode,
    Visit, Visitor,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

/// Comment that states the age of data which a statement accepts.
const AGE_HINT: &str = "tamarackbend.max_age=";

/// What a text does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Class {
    /// Nothing.
    Empty,
    /// Reads only.
    Read,
    /// May write.
    Write,
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is declared read-only.
        read_only: bool,
    },
    /// Ends a transaction.
    End,
    /// Sets a session parameter.
    Set {
        /// Lower-case name.
        name: String,
        /// Value without quotes.
        value: String,
    },
    /// Shows a session parameter.
    Show {
        /// Lower-case name.
        name: String,
    },
    /// Leaves state behind on the connection, which others share.
    Stateful,
}

/// Classified text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Text {
    /// What it does.
    pub class: Class,
    /// Age of data that it states.
    pub max_age: Option<Duration>,
}

/// Classifies a text of one or more statements.
pub fn classify(sql: &str) -> Text {
    let class = match Parser::parse_sql(&PostgreSqlDialect {}, sql) {
        Ok(statements) => combine(&statements),
        Err(_) => Class::Write,
    };
    Text { class, max_age: age_hint(sql) }
}

/// Reads a duration such as `5s` or `200ms`.
pub fn parse_age(text: &str) -> Option<Duration> {
    humantime::parse_duration(text.trim()).ok()
}

fn age_hint(sql: &str) -> Option<Duration> {
    let (_, comment) = sql.split_once("/*")?;
    let (comment, _) = comment.split_once("*/")?;
    parse_age(comment.trim().strip_prefix(AGE_HINT)?)
}

fn combine(statements: &[Statement]) -> Class {
    match statements {
        [] => Class::Empty,
        [statement] => class(statement),
        many => {
            let classes: Vec<Class> = many.iter().map(class).collect();
            let sets = |class: &Class| matches!(class, Class::Set { .. } | Class::Show { .. });
            if classes.iter().any(|class| *class == Class::Stateful || sets(class)) {
                Class::Stateful
            } else if classes.iter().all(|class| *class == Class::Read) {
                Class::Read
            } else {
                Class::Write
            }
        }
    }
}

fn class(statement: &Statement) -> Class {
    match statement {
        Statement::Query(_) if reads_only(statement) => Class::Read,
        Statement::StartTransaction { modes, .. } => {
            let access = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
            Class::Begin { read_only: modes.contains(&access) }
        }
        Statement::Commit { .. } | Statement::Rollback { savepoint: None, .. } => Class::End,
        Statement::Set(set) => set_class(set),
        Statement::ShowVariable { variable } => {
            let names: Vec<String> =
                variable.iter().map(|part| part.value.to_lowercase()).collect();
            Class::Show { name: names.join(".") }
        }
        Statement::Prepare { .. }
        | Statement::Execute { .. }
        | Statement::Deallocate { .. }
        | Statement::Declare { .. }
        | Statement::LISTEN { .. }
        | Statement::UNLISTEN { .. }
        | Statement::Discard { .. }
        | Statement::Copy { .. }
        | Statement::Reset(_) => Class::Stateful,
        Statement::CreateTable(table) if table.temporary => Class::Stateful,
        Statement::CreateView(view) if view.temporary => Class::Stateful,
        _ => Class::Write,
    }
}

fn set_class(set: &Set) -> Class {
    match set {
        Set::SingleAssignment { variable, values, scope: None, .. } => {
            let value = values.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
            let value = value.trim_matches('\'').to_owned();
            Class::Set { name: variable.to_string().to_lowercase(), value }
        }
        Set::SetNames { .. } => {
            Class::Set { name: "client_encoding".to_owned(), value: "UTF8".to_owned() }
        }
        _ => Class::Stateful,
    }
}

fn reads_only(statement: &Statement) -> bool {
    statement.visit(&mut EffectFinder { statements: 0 }).is_continue()
}

/// Stops at the first part of a statement that may have an effect.
struct EffectFinder {
    statements: usize,
}

impl Visitor for EffectFinder {
    type Break = ();

    fn pre_visit_statement(&mut self, _: &Statement) -> ControlFlow<()> {
        self.statements += 1;
        stop_if(self.statements > 1)
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        stop_if(!query.locks.is_empty() || !is_plain(&query.body))
    }

    fn pre_visit_table_factor(&mut self, table: &TableFactor) -> ControlFlow<()> {
        match table {
            TableFactor::Table { name, args: Some(_), .. } | TableFactor::Function { name, .. } => {
                stop_if(!functions::is_pure(&name.to_string()))
            }
            TableFactor::TableFunction { .. } => ControlFlow::Break(()),
            _ => ControlFlow::Continue(()),
        }
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        match expression {
            Expr::Function(function) => stop_if(!functions::is_pure(&function.name.to_string())),
            _ => ControlFlow::Continue(()),
        }
    }
}

fn stop_if(found: bool) -> ControlFlow<()> {
    if found { ControlFlow::Break(()) } else { ControlFlow::Continue(()) }
}

fn is_plain(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => select.into.is_none(),
        SetExpr::SetOperation { left, right, .. } => is_plain(left) && is_plain(right),
        SetExpr::Query(_) | SetExpr::Values(_) | SetExpr::Table(_) => true,
        _ => false,
    }
}
