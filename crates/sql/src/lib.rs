//! Classification of SQL text.
//!
//! A text is a [`Class::Read`] only if it certainly has no side effects. Text that cannot be
//! parsed, calls of functions that may have side effects and locking reads count as writes.
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
use sqlparser::tokenizer::{Token, Tokenizer, Whitespace};

/// Start of a hint comment, before the maximum staleness that the statement accepts.
const MAX_AGE_HINT: &str = "tamarackbend.max_age=";

/// Effect of a text on the database and the session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Class {
    /// Contains no statement.
    Empty,
    /// Reads without side effects.
    Read,
    /// May have side effects.
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
        /// Name of the parameter, in lower case.
        name: String,
        /// Value of the parameter, without quotes.
        value: String,
    },
    /// Shows a session parameter.
    Show {
        /// Name of the parameter, in lower case.
        name: String,
    },
    /// Changes or uses state of the server connection, which sessions share.
    Stateful,
}

/// Result of [`classify`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Classification {
    /// Class of the text.
    pub class: Class,
    /// Maximum staleness from a hint comment, such as `/* tamarackbend.max_age=5s */`.
    pub max_age: Option<Duration>,
}

/// Classifies a text of one or more statements.
pub fn classify(sql: &str) -> Classification {
    let class = match Parser::parse_sql(&PostgreSqlDialect {}, sql) {
        Ok(statements) => classify_all(&statements),
        Err(_) => Class::Write,
    };
    Classification { class, max_age: max_age_hint(sql) }
}

/// Parses a maximum staleness such as `5s` or `200ms`.
pub fn parse_age(text: &str) -> Option<Duration> {
    humantime::parse_duration(text.trim()).ok()
}

fn max_age_hint(sql: &str) -> Option<Duration> {
    if !sql.contains(MAX_AGE_HINT) {
        return None;
    }
    let tokens = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize().ok()?;
    tokens.iter().find_map(|token| match token {
        Token::Whitespace(Whitespace::MultiLineComment(comment)) => {
            parse_age(comment.trim().strip_prefix(MAX_AGE_HINT)?)
        }
        _ => None,
    })
}

fn classify_all(statements: &[Statement]) -> Class {
    match statements {
        [] => Class::Empty,
        [statement] => classify_statement(statement),
        statements => {
            let classes: Vec<Class> = statements.iter().map(classify_statement).collect();
            let is_parameter =
                |class: &Class| matches!(class, Class::Set { .. } | Class::Show { .. });
            if classes.iter().any(|class| *class == Class::Stateful || is_parameter(class)) {
                Class::Stateful
            } else if classes.iter().all(|class| *class == Class::Read) {
                Class::Read
            } else {
                Class::Write
            }
        }
    }
}

fn classify_statement(statement: &Statement) -> Class {
    match statement {
        Statement::Query(_) if has_no_effects(statement) => Class::Read,
        Statement::StartTransaction { modes, .. } => {
            let access = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
            Class::Begin { read_only: modes.contains(&access) }
        }
        Statement::Commit { .. } | Statement::Rollback { savepoint: None, .. } => Class::End,
        Statement::Set(set) => classify_set(set),
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

fn classify_set(set: &Set) -> Class {
    match set {
        Set::SingleAssignment { variable, values, scope: None, .. } => match &values[..] {
            [value] => {
                Class::Set { name: variable.to_string().to_lowercase(), value: value_text(value) }
            }
            _ => Class::Stateful,
        },
        Set::SetNames { charset_name, collation_name: None } => {
            Class::Set { name: "client_encoding".to_owned(), value: charset_name.value.clone() }
        }
        _ => Class::Stateful,
    }
}

/// Returns the content of a literal, or the text of another expression.
fn value_text(value: &Expr) -> String {
    let literal = match value {
        Expr::Value(literal) => literal.clone().into_string(),
        _ => None,
    };
    literal.unwrap_or_else(|| value.to_string())
}

fn has_no_effects(statement: &Statement) -> bool {
    statement.visit(&mut EffectFinder { statements: 0 }).is_continue()
}

/// Visitor that breaks at the first part of a statement that may have a side effect.
struct EffectFinder {
    /// Statements visited so far, including nested ones such as a `DELETE` in a `WITH` clause.
    statements: usize,
}

impl Visitor for EffectFinder {
    type Break = ();

    fn pre_visit_statement(&mut self, _: &Statement) -> ControlFlow<()> {
        self.statements += 1;
        break_if(self.statements > 1)
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        break_if(!query.locks.is_empty() || !is_read_only_body(&query.body))
    }

    fn pre_visit_table_factor(&mut self, table: &TableFactor) -> ControlFlow<()> {
        match table {
            TableFactor::Table { name, args: Some(_), .. } | TableFactor::Function { name, .. } => {
                break_if(!functions::is_pure(&name.to_string()))
            }
            TableFactor::TableFunction { .. } => ControlFlow::Break(()),
            _ => ControlFlow::Continue(()),
        }
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        match expression {
            Expr::Function(function) => break_if(!functions::is_pure(&function.name.to_string())),
            _ => ControlFlow::Continue(()),
        }
    }
}

fn break_if(has_effect: bool) -> ControlFlow<()> {
    if has_effect { ControlFlow::Break(()) } else { ControlFlow::Continue(()) }
}

fn is_read_only_body(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => select.into.is_none(),
        SetExpr::SetOperation { left, right, .. } => {
            is_read_only_body(left) && is_read_only_body(right)
        }
        SetExpr::Query(_) | SetExpr::Values(_) | SetExpr::Table(_) => true,
        _ => false,
    }
}
