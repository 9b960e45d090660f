//! SQL engine of an endpoint: an in-memory SQLite database shared by several connections.

use rusqlite::functions::FunctionFlags;
use rusqlite::types::Value;
use rusqlite::{Connection, ErrorCode, OpenFlags, Statement};

/// Writing statement as the log keeps it.
#[derive(Clone, Debug)]
pub(super) struct LoggedStatement {
    pub(super) sql: String,
    pub(super) parameters: Vec<Value>,
}

/// Column of a result.
#[derive(Clone, Debug)]
pub(super) struct Column {
    pub(super) name: String,
    /// Declared type; absent for a computed column.
    pub(super) declared_type: Option<String>,
}

/// Result of a statement.
#[derive(Debug, Default)]
pub(super) struct Rows {
    pub(super) columns: Vec<Column>,
    pub(super) rows: Vec<Vec<Value>>,
    /// Number of rows changed by the most recent write of the connection.
    pub(super) changed_rows: usize,
}

/// Why a statement failed.
#[derive(Debug)]
pub(super) enum Failure {
    /// Another connection holds a lock.
    Busy,
    /// SQLSTATE and message.
    Sql(&'static str, String),
}

/// Database of an endpoint in one incarnation.
pub(super) struct Engine {
    uri: String,
    /// Connection that applies replicated transactions.
    replayer: Connection,
}

impl Engine {
    pub(super) fn new(name: &str, incarnation: u64) -> Engine {
        let uri = format!("file:/{name}-{incarnation}?vfs=memdb");
        let replayer = open(&uri);
        Engine { uri, replayer }
    }

    pub(super) fn connect(&self) -> Connection {
        open(&self.uri)
    }

    /// Applies a replicated transaction; returns whether it was committed.
    pub(super) fn replay(&self, statements: &[LoggedStatement]) -> bool {
        if statements.is_empty() {
            return true;
        }
        if self.replayer.execute_batch("BEGIN IMMEDIATE").is_err() {
            return false;
        }
        let applied = statements
            .iter()
            .all(|logged| run(&self.replayer, &logged.sql, &logged.parameters).is_ok());
        let last_command = if applied { "COMMIT" } else { "ROLLBACK" };
        let has_ended = self.replayer.execute_batch(last_command).is_ok();
        if !has_ended {
            // A reader holds a lock; the next replication step applies the transaction.
            let _ = self.replayer.execute_batch("ROLLBACK");
        }
        applied && has_ended
    }
}

fn open(uri: &str) -> Connection {
    let flags = OpenFlags::SQLITE_OPEN_READ_WRITE
        | OpenFlags::SQLITE_OPEN_CREATE
        | OpenFlags::SQLITE_OPEN_URI;
    let connection = Connection::open_with_flags(uri, flags).expect("memory is available");
    connection.busy_timeout(std::time::Duration::ZERO).expect("the timeout can be set");
    let flags = FunctionFlags::SQLITE_UTF8 | FunctionFlags::SQLITE_DETERMINISTIC;
    connection
        .create_scalar_function("version", 0, flags, |_| Ok("PostgreSQL 16 (stand-in)".to_owned()))
        .expect("the function can be created");
    connection
}

/// Splits an SQL text into its statements.
pub(super) fn split(sql: &str) -> Vec<String> {
    let dialect = sqlparser::dialect::PostgreSqlDialect {};
    match sqlparser::parser::Parser::parse_sql(&dialect, sql) {
        Ok(statements) if statements.len() > 1 => {
            statements.iter().map(ToString::to_string).collect()
        }
        _ => vec![sql.trim().trim_end_matches(';').to_owned()],
    }
}

/// Returns the columns of a statement and whether the statement is read-only.
pub(super) fn describe(connection: &Connection, sql: &str) -> Result<(Vec<Column>, bool), Failure> {
    let statement = connection.prepare(sql).map_err(failure)?;
    Ok((columns(&statement), statement.readonly()))
}

/// Returns the number of parameters of a statement.
pub(super) fn parameter_count(connection: &Connection, sql: &str) -> Result<usize, Failure> {
    let statement = connection.prepare(sql).map_err(failure)?;
    let numbers = (1..=99)
        .take_while(|n| statement.parameter_index(&format!("${n}")).ok().flatten().is_some());
    Ok(numbers.count())
}

/// Runs one statement.
pub(super) fn run(
    connection: &Connection,
    sql: &str,
    parameters: &[Value],
) -> Result<Rows, Failure> {
    let mut statement = connection.prepare(sql).map_err(failure)?;
    for (index, value) in parameters.iter().enumerate() {
        let name = format!("${}", index + 1);
        if let Some(position) = statement.parameter_index(&name).map_err(failure)? {
            statement.raw_bind_parameter(position, value).map_err(failure)?;
        }
    }
    let columns = columns(&statement);
    let mut result_rows = Vec::new();
    let mut rows = statement.raw_query();
    while let Some(row) = rows.next().map_err(failure)? {
        let values = (0..columns.len()).map(|index| row.get::<_, Value>(index));
        result_rows.push(values.collect::<rusqlite::Result<Vec<Value>>>().map_err(failure)?);
    }
    let changed_rows = usize::try_from(connection.changes()).unwrap_or(usize::MAX);
    Ok(Rows { columns, rows: result_rows, changed_rows })
}

fn columns(statement: &Statement<'_>) -> Vec<Column> {
    let columns = statement.columns();
    let describe = |column: &rusqlite::Column<'_>| Column {
        name: column.name().to_owned(),
        declared_type: column.decl_type().map(str::to_owned),
    };
    columns.map(|column| describe(&column)).collect()
}

fn failure(error: rusqlite::Error) -> Failure {
    let text = error.to_string();
    match error.sqlite_error_code() {
        Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked) => Failure::Busy,
        Some(ErrorCode::ConstraintViolation) => Failure::Sql("23505", text),
        _ if text.contains("no such table") => Failure::Sql("42P01", text),
        _ if text.contains("no such column") => Failure::Sql("42703", text),
        _ => Failure::Sql("42601", text),
    }
}
