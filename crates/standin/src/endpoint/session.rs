//! One connection to an endpoint, from the startup message to its end.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use compio::net::TcpStream;
use futures_util::FutureExt;
use rusqlite::Connection;
use rusqlite::types::Value;
use tamarackbend_net::{Reader, Writer, split};
use tamarackbend_postgres::message::{
    self, Authentication, Backend, Bind, BindComplete, CloseComplete, CommandComplete, DataRow,
    EmptyQueryResponse, Frontend, NoData, ParameterDescription, ParameterStatus, ParseComplete,
    ReadyForQuery, RowDescription, Startup, TransactionStatus,
};

use super::engine::{self, Failure, LoggedStatement, Rows};
use super::log::{Server, replicate_from};
use super::{infer, types};

/// Maximum size of a node's message, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Pause before a statement that met a lock is retried.
const LOCK_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Maximum number of attempts at a statement that meets locks.
const MAX_LOCK_ATTEMPTS: u32 = 5000;
/// Interval at which an unresponsive endpoint checks whether its fault has ended.
const UNRESPONSIVE_POLL_INTERVAL: Duration = Duration::from_millis(5);

type Servers = Vec<Rc<RefCell<Server>>>;

#[derive(Clone)]
struct PreparedStatement {
    sql: String,
    types: Vec<u32>,
}

struct Portal {
    sql: String,
    parameters: Vec<Value>,
    formats: Vec<i16>,
}

struct Session {
    servers: Servers,
    index: usize,
    connection: Connection,
    transaction: TransactionStatus,
    /// Writing statements of the open transaction.
    uncommitted: Vec<LoggedStatement>,
    prepared: BTreeMap<String, PreparedStatement>,
    portals: BTreeMap<String, Portal>,
    /// Whether messages are ignored until the next `Sync`, as the protocol demands after an error.
    is_skipping_to_sync: bool,
    output: BytesMut,
}

/// Serves one connection until the client or the endpoint closes it.
pub(super) async fn serve(stream: TcpStream, index: usize, servers: Servers) {
    let closed = servers[index].borrow_mut().register_connection();
    let (reader, writer) = split(stream);
    let session = run_session(reader, writer, index, servers.clone()).fuse();
    futures_util::pin_mut!(session);
    let mut closed = closed.fuse();
    futures_util::select! {
        _ = session => {}
        _ = closed => {}
    }
}

/// Connection that counts towards the endpoint's limit until the value is dropped.
struct Slot {
    server: Rc<RefCell<Server>>,
}

impl Slot {
    fn acquire(server: &Rc<RefCell<Server>>) -> Option<Slot> {
        let mut state = server.borrow_mut();
        if state.connections >= state.slots {
            return None;
        }
        state.connections += 1;
        state.peak_connections = state.peak_connections.max(state.connections);
        Some(Slot { server: server.clone() })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.server.borrow_mut().connections -= 1;
    }
}

async fn run_session(
    mut reader: Reader,
    mut writer: Writer,
    index: usize,
    servers: Servers,
) -> Option<()> {
    let startup = read_startup(&mut reader).await?;
    let application_name = startup.parameters.get("application_name").cloned().unwrap_or_default();
    // Nodes name their connections USER/PURPOSE/FAILURE_DOMAIN.
    let mut parts = application_name.split('/').skip(1);
    let is_control = parts.next() == Some("control");
    let node_domain = parts.next().unwrap_or_default().to_owned();
    let server = servers[index].clone();
    wait_until_responsive(&server).await;
    let latency = server.borrow().latency.clone();
    let delay = latency.between(&node_domain, &server.borrow().failure_domain);
    let mut output = BytesMut::new();
    let slot = if is_control { None } else { Slot::acquire(&server) };
    if !is_control {
        pause(latency.connect + delay * 2).await;
    }
    if slot.is_none() && !is_control {
        message::put_backend(
            &message::error("FATAL", "53300", "too many connections", None),
            &mut output,
        )
        .ok()?;
        writer.send(&mut output).await.ok()?;
        return None;
    }
    put_login_answer(&mut output)?;
    writer.send(&mut output).await.ok()?;
    let connection = server.borrow().engine.connect();
    let mut session = Session {
        servers,
        index,
        connection,
        transaction: TransactionStatus::Idle,
        uncommitted: Vec::new(),
        prepared: BTreeMap::new(),
        portals: BTreeMap::new(),
        is_skipping_to_sync: false,
        output: BytesMut::new(),
    };
    loop {
        if reader.fill().await.ok()? == 0 {
            return None;
        }
        pause(delay).await;
        while let Some(message) =
            message::take_frontend(&mut reader.input, MAX_MESSAGE_BYTES).ok()?
        {
            wait_until_responsive(&server).await;
            session.handle(message).await?;
        }
        let answer_delay = Duration::from_millis(server.borrow().faults().answer_delay_ms);
        pause(delay + answer_delay).await;
        wait_until_responsive(&server).await;
        if !session.output.is_empty() {
            writer.send(&mut session.output).await.ok()?;
        }
    }
}

async fn read_startup(reader: &mut Reader) -> Option<Startup> {
    loop {
        match message::take_startup(&mut reader.input, MAX_MESSAGE_BYTES).ok()? {
            Some(Frontend::Startup(startup)) => return Some(startup),
            Some(_) => return None,
            None if reader.fill().await.ok()? == 0 => return None,
            None => {}
        }
    }
}

fn put_login_answer(output: &mut BytesMut) -> Option<()> {
    message::put_backend(&Backend::Authentication(Authentication::Ok), output).ok()?;
    for (name, value) in [("server_version", "16.0"), ("client_encoding", "UTF8")] {
        let status = ParameterStatus::new(name.to_owned(), value.to_owned());
        message::put_backend(&Backend::ParameterStatus(status), output).ok()?;
    }
    let ready = ReadyForQuery::new(TransactionStatus::Idle);
    message::put_backend(&Backend::ReadyForQuery(ready), output).ok()
}

async fn pause(duration: Duration) {
    if !duration.is_zero() {
        compio::time::sleep(duration).await;
    }
}

/// Waits while the endpoint is paused or unreachable.
async fn wait_until_responsive(server: &Rc<RefCell<Server>>) {
    loop {
        let faults = server.borrow().faults();
        if !faults.paused && !faults.unreachable {
            return;
        }
        compio::time::sleep(UNRESPONSIVE_POLL_INTERVAL).await;
    }
}

impl Session {
    /// Handles one message; returns `None` when the client ends the connection.
    async fn handle(&mut self, message: Frontend) -> Option<()> {
        if self.is_skipping_to_sync && !matches!(message, Frontend::Sync(_)) {
            return Some(());
        }
        let result = match message {
            Frontend::Query(query) => {
                self.handle_query(&query.query).await;
                self.put_ready();
                Ok(())
            }
            Frontend::Sync(_) => {
                self.is_skipping_to_sync = false;
                self.put_ready();
                Ok(())
            }
            Frontend::Parse(parse) => {
                let name = parse.name.unwrap_or_default();
                self.handle_parse(name, parse.query, &parse.type_oids)
            }
            Frontend::Bind(bind) => self.handle_bind(bind),
            Frontend::Describe(describe) => {
                let name = describe.name.unwrap_or_default();
                if describe.target_type == b'S' {
                    self.describe_statement(&name)
                } else {
                    self.describe_portal(&name)
                }
            }
            Frontend::Execute(execute) => {
                self.handle_execute(&execute.name.unwrap_or_default()).await
            }
            Frontend::Close(close) => {
                let name = close.name.unwrap_or_default();
                self.prepared.remove(&name);
                self.put(&Backend::CloseComplete(CloseComplete::new()));
                Ok(())
            }
            Frontend::Terminate(_) => return None,
            _ => Err(Failure::Sql("0A000", "message is not supported".to_owned())),
        };
        if let Err(failure) = result {
            self.put_failure(failure);
            self.is_skipping_to_sync = true;
        }
        Some(())
    }

    /// Executes a simple query; several statements outside a transaction form an implicit one.
    async fn handle_query(&mut self, sql: &str) {
        let statements = engine::split(sql);
        if statements.iter().all(|statement| statement.is_empty()) {
            return self.put(&Backend::EmptyQueryResponse(EmptyQueryResponse::new()));
        }
        let is_implicit_transaction =
            statements.len() > 1 && self.transaction == TransactionStatus::Idle;
        if is_implicit_transaction && let Err(failure) = self.begin("BEGIN").await {
            return self.put_failure(failure);
        }
        for statement in statements {
            match self.execute_statement(&statement, &[]).await {
                Ok(rows) => self.put_result(&statement, &rows, &[], true),
                Err(failure) => {
                    self.put_failure(failure);
                    if is_implicit_transaction {
                        self.roll_back();
                    }
                    return;
                }
            }
        }
        if is_implicit_transaction
            && self.transaction == TransactionStatus::Transaction
            && let Err(failure) = self.commit().await
        {
            self.put_failure(failure);
        }
    }

    fn handle_parse(
        &mut self,
        name: String,
        sql: String,
        specified: &[u32],
    ) -> Result<(), Failure> {
        let sql = sql.trim().trim_end_matches(';').to_owned();
        let types = if transaction_command(&sql).is_some() || is_platform_function_call(&sql) {
            Vec::new()
        } else {
            let count = engine::parameter_count(&self.connection, &sql)?;
            infer::parameter_types(&self.connection, &sql, specified, count)
        };
        self.prepared.insert(name, PreparedStatement { sql, types });
        self.put(&Backend::ParseComplete(ParseComplete::new()));
        Ok(())
    }

    fn handle_bind(&mut self, bind: Bind) -> Result<(), Failure> {
        let prepared = self.prepared_statement(&bind.statement_name.unwrap_or_default())?;
        let formats = &bind.parameter_format_codes;
        let format = |index: usize| formats.get(index).or(formats.first()).copied().unwrap_or(0);
        let parameter = |(index, bytes): (usize, &Option<Bytes>)| {
            let type_id = prepared.types.get(index).copied().unwrap_or(types::TEXT);
            types::decode_parameter(bytes.as_ref(), type_id, format(index))
        };
        let parameters = bind.parameters.iter().enumerate().map(parameter).collect();
        let formats = bind.result_column_format_codes;
        let portal = Portal { sql: prepared.sql, parameters, formats };
        self.portals.insert(bind.portal_name.unwrap_or_default(), portal);
        self.put(&Backend::BindComplete(BindComplete::new()));
        Ok(())
    }

    fn describe_statement(&mut self, name: &str) -> Result<(), Failure> {
        let prepared = self.prepared_statement(name)?;
        self.put(&Backend::ParameterDescription(ParameterDescription::new(prepared.types)));
        self.put_description(&prepared.sql, &[])
    }

    fn describe_portal(&mut self, name: &str) -> Result<(), Failure> {
        let Some(portal) = self.portals.get(name) else {
            return Err(Failure::Sql("34000", format!("portal {name} does not exist")));
        };
        let (sql, formats) = (portal.sql.clone(), portal.formats.clone());
        self.put_description(&sql, &formats)
    }

    async fn handle_execute(&mut self, name: &str) -> Result<(), Failure> {
        let Some(portal) = self.portals.remove(name) else {
            return Err(Failure::Sql("34000", format!("portal {name} does not exist")));
        };
        let rows = self.execute_statement(&portal.sql, &portal.parameters).await?;
        self.put_result(&portal.sql, &rows, &portal.formats, false);
        Ok(())
    }

    fn prepared_statement(&self, name: &str) -> Result<PreparedStatement, Failure> {
        let missing = || Failure::Sql("26000", format!("statement {name} does not exist"));
        self.prepared.get(name).cloned().ok_or_else(missing)
    }

    /// Executes one statement after the execution time of the endpoint.
    async fn execute_statement(
        &mut self,
        sql: &str,
        parameters: &[Value],
    ) -> Result<Rows, Failure> {
        let execution_time = {
            let mut server = self.server().borrow_mut();
            server.statements += 1;
            server.latency.execution
        };
        if is_platform_function_call(sql) {
            return self.call_platform_function(sql);
        }
        pause(execution_time).await;
        match transaction_command(sql) {
            Some(Command::Begin) => self.begin(sql).await.map(|()| Rows::default()),
            Some(Command::Commit) => self.commit().await.map(|()| Rows::default()),
            Some(Command::Rollback) => {
                self.roll_back();
                Ok(Rows::default())
            }
            None if self.transaction == TransactionStatus::Error => {
                let text = "current transaction is aborted, commands ignored until end of block";
                Err(Failure::Sql("25P02", text.to_owned()))
            }
            None => self.run_sql(sql, parameters).await,
        }
    }

    /// Runs a statement that is no transaction command; retries it while another connection holds a
    /// lock, and logs it if it writes.
    async fn run_sql(&mut self, sql: &str, parameters: &[Value]) -> Result<Rows, Failure> {
        let (_, is_read) = engine::describe(&self.connection, sql)?;
        for _ in 0..MAX_LOCK_ATTEMPTS {
            if !is_read && !self.server().borrow().is_primary() {
                return Err(read_only_failure());
            }
            match engine::run(&self.connection, sql, parameters) {
                Err(Failure::Busy) => compio::time::sleep(LOCK_RETRY_DELAY).await,
                Ok(rows) if is_read => return Ok(rows),
                Ok(rows) => {
                    let parameters = parameters.to_vec();
                    self.uncommitted.push(LoggedStatement { sql: sql.to_owned(), parameters });
                    if self.transaction == TransactionStatus::Idle {
                        self.append_to_log();
                    }
                    return Ok(rows);
                }
                Err(failure) => return Err(failure),
            }
        }
        Err(Failure::Sql("55P03", "lock was not available in time".to_owned()))
    }

    async fn begin(&mut self, sql: &str) -> Result<(), Failure> {
        if self.transaction != TransactionStatus::Idle {
            return Ok(());
        }
        let is_read_only = sql.to_uppercase().contains("READ ONLY");
        let can_write = self.server().borrow().is_primary() && !is_read_only;
        self.execute_with_retry(if can_write { "BEGIN IMMEDIATE" } else { "BEGIN" }).await?;
        self.transaction = TransactionStatus::Transaction;
        Ok(())
    }

    async fn commit(&mut self) -> Result<(), Failure> {
        if self.transaction != TransactionStatus::Transaction {
            self.roll_back();
            return Ok(());
        }
        for _ in 0..MAX_LOCK_ATTEMPTS {
            if !self.uncommitted.is_empty() && !self.server().borrow().is_primary() {
                self.roll_back();
                return Err(read_only_failure());
            }
            match self.connection.execute_batch("COMMIT") {
                Ok(()) => {
                    self.transaction = TransactionStatus::Idle;
                    self.append_to_log();
                    return Ok(());
                }
                Err(_) => compio::time::sleep(LOCK_RETRY_DELAY).await,
            }
        }
        self.roll_back();
        Err(Failure::Sql("40001", "transaction met a lock".to_owned()))
    }

    async fn execute_with_retry(&mut self, sql: &str) -> Result<(), Failure> {
        for _ in 0..MAX_LOCK_ATTEMPTS {
            match self.connection.execute_batch(sql) {
                Ok(()) => return Ok(()),
                Err(_) => compio::time::sleep(LOCK_RETRY_DELAY).await,
            }
        }
        Err(Failure::Sql("55P03", "lock was not available in time".to_owned()))
    }

    fn roll_back(&mut self) {
        if self.transaction != TransactionStatus::Idle {
            // The rollback fails when SQLite has already ended the transaction.
            let _ = self.connection.execute_batch("ROLLBACK");
        }
        self.transaction = TransactionStatus::Idle;
        self.uncommitted.clear();
    }

    /// Appends the writes of the committed transaction to the log of the endpoint.
    fn append_to_log(&mut self) {
        let statements = std::mem::take(&mut self.uncommitted);
        if !statements.is_empty() {
            self.server().borrow_mut().append(statements);
        }
    }

    /// Executes a status query or an order of a node, both of which are SQL function calls.
    fn call_platform_function(&mut self, sql: &str) -> Result<Rows, Failure> {
        let refusal = |text: String| Failure::Sql("55000", text);
        let arguments = call_arguments(sql);
        let name = sql.split('(').next().unwrap_or_default().trim();
        match (name, &arguments[..]) {
            ("SELECT platform_status", []) => {}
            ("SELECT platform_close_term", [term]) => self.server().borrow_mut().fence_term(*term),
            ("SELECT platform_promote", [term]) => {
                self.server().borrow_mut().promote(*term).map_err(refusal)?;
            }
            ("SELECT platform_follow", [term, primary]) => {
                let primary = usize::try_from(*primary).unwrap_or(usize::MAX);
                replicate_from(&self.servers, self.index, *term, primary).map_err(refusal)?;
            }
            _ => return Err(Failure::Sql("42883", format!("no such function: {sql}"))),
        }
        let status = self.server().borrow().status();
        let json = serde_json::to_string(&status).unwrap_or_default();
        let column = engine::Column { name: "status".to_owned(), declared_type: None };
        let rows = vec![vec![Value::Text(json)]];
        Ok(Rows { columns: vec![column], rows, changed_rows: 0 })
    }

    fn put_description(&mut self, sql: &str, formats: &[i16]) -> Result<(), Failure> {
        let columns = match transaction_command(sql) {
            Some(_) => Vec::new(),
            None => engine::describe(&self.connection, sql)?.0,
        };
        if columns.is_empty() {
            self.put(&Backend::NoData(NoData::new()));
        } else {
            self.put_fields(&columns, formats);
        }
        Ok(())
    }

    fn put_fields(&mut self, columns: &[engine::Column], formats: &[i16]) {
        let field = |(index, column)| types::field(column, format_code(formats, index));
        let fields = columns.iter().enumerate().map(field).collect();
        self.put(&Backend::RowDescription(RowDescription::new(fields)));
    }

    fn put_result(&mut self, sql: &str, rows: &Rows, formats: &[i16], with_description: bool) {
        if with_description && !rows.columns.is_empty() {
            self.put_fields(&rows.columns, formats);
        }
        let types: Vec<u32> = rows.columns.iter().map(types::column_type).collect();
        for row in &rows.rows {
            let mut data = BytesMut::new();
            for (index, value) in row.iter().enumerate() {
                types::put_value(value, types[index], format_code(formats, index), &mut data);
            }
            let count = i16::try_from(row.len()).unwrap_or(i16::MAX);
            self.put(&Backend::DataRow(DataRow::new(data, count)));
        }
        let tag = command_tag(sql, rows);
        self.put(&Backend::CommandComplete(CommandComplete::new(tag)));
    }

    /// Answers with an error and marks an open transaction as failed.
    fn put_failure(&mut self, failure: Failure) {
        if self.transaction == TransactionStatus::Transaction {
            self.transaction = TransactionStatus::Error;
        }
        let (sqlstate, text) = match failure {
            Failure::Busy => ("55P03", "lock was not available".to_owned()),
            Failure::Sql(sqlstate, text) => (sqlstate, text),
        };
        self.put(&message::error("ERROR", sqlstate, &text, None));
    }

    fn put_ready(&mut self) {
        self.put(&Backend::ReadyForQuery(ReadyForQuery::new(self.transaction)));
    }

    fn put(&mut self, message: &Backend) {
        message::put_backend(message, &mut self.output)
            .expect("answers are within the protocol's limits");
    }

    fn server(&self) -> &Rc<RefCell<Server>> {
        &self.servers[self.index]
    }
}

/// Command that starts or ends a transaction.
enum Command {
    Begin,
    Commit,
    Rollback,
}

fn transaction_command(sql: &str) -> Option<Command> {
    let upper = sql.trim().to_uppercase();
    match upper.split_whitespace().next()? {
        "BEGIN" | "START" => Some(Command::Begin),
        "COMMIT" | "END" => Some(Command::Commit),
        "ROLLBACK" | "ABORT" if !upper.contains(" TO ") => Some(Command::Rollback),
        _ => None,
    }
}

fn is_platform_function_call(sql: &str) -> bool {
    sql.starts_with("SELECT platform_")
}

fn call_arguments(sql: &str) -> Vec<u64> {
    let inside = sql.split(['(', ')']).nth(1).unwrap_or_default();
    inside.split(',').filter_map(|number| number.trim().parse().ok()).collect()
}

fn read_only_failure() -> Failure {
    let text = "cannot write in a read-only transaction: endpoint is a replica";
    Failure::Sql("25006", text.to_owned())
}

fn format_code(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [format] => *format,
        formats => formats.get(index).copied().unwrap_or(0),
    }
}

fn command_tag(sql: &str, rows: &Rows) -> String {
    let verb = sql.split_whitespace().next().unwrap_or_default().to_uppercase();
    match verb.as_str() {
        "SELECT" | "WITH" | "VALUES" => format!("SELECT {}", rows.rows.len()),
        "INSERT" => format!("INSERT 0 {}", rows.changed_rows),
        "UPDATE" | "DELETE" => format!("{verb} {}", rows.changed_rows),
        "CREATE" | "DROP" | "ALTER" => {
            let words: Vec<&str> = sql.split_whitespace().take(2).collect();
            words.join(" ").to_uppercase()
        }
        "START" => "BEGIN".to_owned(),
        "END" => "COMMIT".to_owned(),
        "ABORT" => "ROLLBACK".to_owned(),
        _ => verb,
    }
}
