//! SQL engine of an endpoint: an in-memory SQLite that several connections share.

use rusqlite::functions::FunctionFlags;
use rusqlite::types::Value;
use rusqlite::{Connection, ErrorCode, OpenFlags, Statement};

/// Statement of a committed transaction.
#[derive(Clone, Debug)]
pub(super) struct Logged {
    pub(super) sql: String,
    pub(super) parameters: Vec<Value>,
}

/// Column of a result.
#[derive(Clone, Debug)]
pub(super) struct Column {
    pub(super) name: String,
    pub(super) declared: Option<String>,
}

/// Result of a statement.
#[derive(Debug, Default)]
pub(super) struct Rows {
    pub(super) columns: Vec<Column>,
    pub(super) rows: Vec<Vec<Value>>,
    pub(super) changes: usize,
}

/// Why a statement failed.
#[derive(Debug)]
pub(super) enum Failure {
    /// Another connection holds a lock.
    Busy,
    /// SQLSTATE and text.
    Sql(&'static str, String),
}

/// Database that connections open.
pub(super) struct Engine {
    uri: String,
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

    /// Applies a transaction; returns whether it did.
    pub(super) fn replay(&self, statements: &[Logged]) -> bool {
        if statements.is_empty() {
            return true;
        }
        if self.replayer.execute_batch("BEGIN IMMEDIATE").is_err() {
            return false;
        }
        let applied = statements
            .iter()
            .all(|logged| run(&self.replayer, &logged.sql, &logged.parameters).is_ok());
        let end = if applied { "COMMIT" } else { "ROLLBACK" };
        let ended = self.replayer.execute_batch(end).is_ok();
        if !ended {
            // A reader holds the lock; the transaction is applied at the next step.
            let _ = self.replayer.execute_batch("ROLLBACK");
        }
        applied && ended
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

/// Splits a text into its statements.
pub(super) fn split(sql: &str) -> Vec<String> {
    let dialect = sqlparser::dialect::PostgreSqlDialect {};
    match sqlparser::parser::Parser::parse_sql(&dialect, sql) {
        Ok(statements) if statements.len() > 1 => {
            statements.iter().map(ToString::to_string).collect()
        }
        _ => vec![sql.trim().trim_end_matches(';').to_owned()],
    }
}

/// Returns the columns of a statement and whether it only reads.
pub(super) fn describe(connection: &Connection, sql: &str) -> Result<(Vec<Column>, bool), Failure> {
    let statement = connection.prepare(sql).map_err(failure)?;
    Ok((columns(&statement), statement.readonly()))
}

/// Returns the number of parameters of a statement.
pub(super) fn parameter_count(connection: &Connection, sql: &str) -> Result<usize, Failure> {
    let statement = connection.prepare(sql).map_err(failure)?;
    let highest = (1..=99)
        .take_while(|n| statement.parameter_index(&format!("${n}")).ok().flatten().is_some());
    Ok(highest.count())
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
    let mut found = Vec::new();
    let mut rows = statement.raw_query();
    while let Some(row) = rows.next().map_err(failure)? {
        let values = (0..columns.len()).map(|index| row.get::<_, Value>(index));
        found.push(values.collect::<rusqlite::Result<Vec<Value>>>().map_err(failure)?);
    }
    let changes = usize::try_from(connection.changes()).unwrap_or(usize::MAX);
    Ok(Rows { columns, rows: found, changes })
}

fn columns(statement: &Statement<'_>) -> Vec<Column> {
    let columns = statement.columns();
    let column = |column: &rusqlite::Column<'_>| Column {
        name: column.name().to_owned(),
        declared: column.decl_type().map(str::to_owned),
    };
    columns.map(|found| column(&found)).collect()
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
