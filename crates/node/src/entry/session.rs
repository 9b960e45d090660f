//! Session of one client.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use compio::net::TcpStream;
use compio::time::timeout;
use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt};
use tamarackbend_net::{Writer, split};
use tamarackbend_policy::code::Code;
use tamarackbend_policy::position::Floor;
use tamarackbend_policy::session::Freshness;
use tamarackbend_postgres::ClientReader;
use tamarackbend_postgres::message::{
    self, Backend, DataRow, EmptyQueryResponse, FieldDescription, Frontend, RowDescription,
    TransactionStatus,
};
use tamarackbend_sql::{Class, classify, parse_age};
use tamarackbend_wire::{self as wire, Answer, Statement};

use super::batch::PreparedStatements;
use super::login::{Client, Login, MAX_AGE_PARAMETER, TOKEN_PARAMETER, is_utf8, login};
use super::{Context, reply};
use crate::hub::Message;

/// SQLSTATE `in_failed_sql_transaction`.
const IN_FAILED_TRANSACTION: &str = "25P02";
/// SQLSTATE `invalid_sql_statement_name`: the prepared statement does not exist.
const INVALID_STATEMENT_NAME: &str = "26000";
/// Object identifier of the type `text`.
const TEXT_TYPE_OID: u32 = 25;

/// Serves one client until it disconnects or the node drains.
///
/// `is_full` tells that the node has reached its limit of clients, so that this one is refused.
pub(super) async fn serve(stream: TcpStream, context: Context, is_full: bool) {
    let (reader, mut writer) = split(stream);
    if is_full {
        return reply::send_fatal(&mut writer, Code::TooManyClients).await;
    }
    let mut reader = ClientReader::new(reader, context.limits.request_bytes);
    let logging_in = login(&mut reader, &mut writer, &context);
    let client = match timeout(context.limits.login_timeout, logging_in).await {
        Ok(Login::Accepted(client)) => client,
        Ok(Login::Closed) => return,
        Err(_) => return reply::send_fatal(&mut writer, Code::LoginTimeout).await,
    };
    metrics::gauge!("tamarackbend_callers").increment(1.0);
    let session_id = client.session_id;
    let (answer_sender, answers) = mpsc::unbounded();
    let session = Session {
        client: *client,
        context: context.clone(),
        writer,
        answer_sender,
        answers,
        prepared_statements: PreparedStatements::default(),
        statement_number: 0,
        transaction: Transaction::None,
        output: BytesMut::new(),
    };
    session.run(reader).await;
    // The hub stops only with the node.
    let _ = context.hub.unbounded_send(Message::SessionEnded(session_id));
    metrics::gauge!("tamarackbend_callers").decrement(1.0);
}

/// Transaction of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Transaction {
    None,
    /// Open at the owner; `read_only` tells whether it was begun as READ ONLY.
    Open {
        read_only: bool,
    },
    /// Rolled back at the owner; the client has yet to send ROLLBACK or COMMIT.
    Failed,
}

struct Session {
    client: Client,
    context: Context,
    writer: Writer,
    answer_sender: mpsc::UnboundedSender<Answer>,
    answers: mpsc::UnboundedReceiver<Answer>,
    prepared_statements: PreparedStatements,
    /// Number of the last statement.
    statement_number: u64,
    transaction: Transaction,
    output: BytesMut,
}

impl Session {
    async fn run(mut self, mut reader: ClientReader) -> Option<()> {
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        loop {
            let is_idle = batch.is_empty() && self.transaction == Transaction::None;
            let Some(next) = self.next_message(&mut reader, is_idle).await else {
                reply::send_fatal(&mut self.writer, Code::Draining).await;
                return None;
            };
            let message = match next {
                Ok(message) => message,
                Err(error) if error.is_closed() => return None,
                Err(_) => {
                    reply::send_fatal(&mut self.writer, Code::BadMessage).await;
                    return None;
                }
            };
            match message {
                Frontend::Query(query) => self.handle_query(&query.query).await?,
                Frontend::Sync(_) => {
                    batch_bytes = 0;
                    self.handle_sync(std::mem::take(&mut batch)).await?;
                }
                Frontend::Terminate(_) => return None,
                Frontend::Flush(_) => {}
                message if message.is_extended_query() => {
                    batch_bytes += encoded_len(&message);
                    batch.push(message);
                    if batch_bytes > self.context.limits.request_bytes {
                        reply::send_fatal(&mut self.writer, Code::BadMessage).await;
                        return None;
                    }
                }
                _ => {
                    reply::send_fatal(&mut self.writer, Code::BadMessage).await;
                    return None;
                }
            }
        }
    }

    /// Returns the client's next message, none if the node drains while the session is idle.
    async fn next_message(
        &mut self,
        reader: &mut ClientReader,
        is_idle: bool,
    ) -> Option<tamarackbend_postgres::Result<Frontend>> {
        if !is_idle {
            return Some(reader.next().await);
        }
        let mut drain_started = self.context.drain_started.clone();
        let next = reader.next().fuse();
        futures_util::pin_mut!(next);
        futures_util::select_biased! {
            message = next => Some(message),
            _ = drain_started => None,
        }
    }

    async fn handle_query(&mut self, sql: &str) -> Option<()> {
        let classification = classify(sql);
        match classification.class {
            Class::Empty => {
                self.put(&Backend::EmptyQueryResponse(EmptyQueryResponse::new()));
                self.send_ready().await
            }
            Class::Set { ref name, ref value } if is_session_parameter(name, value) => {
                self.set_parameter(name, value);
                self.send_ready().await
            }
            Class::Show { ref name } if name.starts_with("tamarackbend.") => {
                self.show_parameter(name);
                self.send_ready().await
            }
            class => {
                let mut messages = BytesMut::new();
                let query = Frontend::Query(message::Query::new(sql.to_owned()));
                message::put_frontend(&query, &mut messages).ok()?;
                self.forward(class, classification.max_age, messages, &[]).await?;
                self.flush().await
            }
        }
    }

    async fn handle_sync(&mut self, messages: Vec<Frontend>) -> Option<()> {
        if messages.is_empty() {
            return self.send_ready().await;
        }
        let batch = match self.prepared_statements.build_batch(messages) {
            Ok(batch) => batch,
            Err(unknown) => {
                let text = format!("prepared statement \"{}\" does not exist", unknown.name);
                self.put(&message::error("ERROR", INVALID_STATEMENT_NAME, &text, None));
                self.fail_transaction();
                return self.send_ready().await;
            }
        };
        let has_failed =
            self.forward(batch.class, batch.max_age, batch.messages, &batch.added_parses).await?;
        if has_failed {
            self.prepared_statements.remove(&batch.prepared_names);
        }
        self.flush().await
    }

    /// Sends a statement to the hub and appends the answer to the output.
    ///
    /// Returns whether the answer is an error, none if the node has stopped. `added_parses` is as
    /// in [`reply::put_answer`].
    async fn forward(
        &mut self,
        class: Class,
        max_age: Option<Duration>,
        messages: BytesMut,
        added_parses: &[bool],
    ) -> Option<bool> {
        if self.transaction == Transaction::Failed {
            self.answer_in_failed_transaction(&class);
            return Some(true);
        }
        let is_shareable =
            !matches!(class, Class::Stateful | Class::Set { .. } | Class::Show { .. });
        if !is_shareable {
            reply::put_error(Code::UnsupportedWhenShared, None, &mut self.output);
            self.fail_transaction();
            self.put_ready();
            return Some(true);
        }
        let statement = self.build_statement(&class, max_age, messages.freeze());
        let (number, is_write) = (self.statement_number, statement.write);
        let request = Message::Statement(statement, self.answer_sender.clone());
        self.context.hub.unbounded_send(request).ok()?;
        let answer = loop {
            let answer = self.answers.next().await?;
            if answer.number == number {
                break answer;
            }
        };
        Some(self.handle_answer(answer, is_write, &class, added_parses))
    }

    fn build_statement(
        &mut self,
        class: &Class,
        max_age: Option<Duration>,
        messages: Bytes,
    ) -> Statement {
        self.statement_number += 1;
        let database = self.client.database.clone();
        let (is_write, in_transaction) = match (self.transaction, class) {
            (Transaction::Open { read_only }, _) => (!read_only, true),
            (_, Class::Read | Class::Empty | Class::Begin { read_only: true }) => (false, false),
            _ => (true, false),
        };
        let max_age = max_age.or(self.client.consistency.max_age());
        let freshness = self.client.consistency.freshness(&database);
        let floor = match freshness {
            Freshness::Floor(floor) => Some(floor),
            Freshness::Sampled if max_age.is_some() && !is_write => Some(Floor::default()),
            Freshness::Sampled if is_write && !matches!(class, Class::Begin { .. }) => {
                Some(Floor::default())
            }
            Freshness::Sampled => None,
        };
        Statement {
            session: self.client.session_id,
            number: self.statement_number,
            database,
            club: self.client.club.clone(),
            write: is_write,
            in_transaction,
            hops: 0,
            begins: matches!(class, Class::Begin { .. }),
            floor: floor.map(|floor| wire::Floor { term: floor.term, position: floor.position }),
            max_age_ms: max_age.and_then(|age| u64::try_from(age.as_millis()).ok()),
            timeout_ms: u64::try_from(self.client.service.queue_timeout.as_millis())
                .unwrap_or(u64::MAX),
            messages,
        }
    }

    /// Appends an answer to the output and updates transaction and floor from it; returns whether
    /// the answer is an error.
    fn handle_answer(
        &mut self,
        answer: Answer,
        is_write: bool,
        class: &Class,
        added_parses: &[bool],
    ) -> bool {
        if answer.code != 0 {
            let number = u16::try_from(answer.code).unwrap_or_default();
            let code = Code::from_number(number).unwrap_or(Code::OwnerLost);
            let retry_after = Duration::from_millis(answer.retry_after_ms);
            let retry_after = (answer.retry_after_ms > 0).then_some(retry_after);
            reply::put_error(code, retry_after, &mut self.output);
            if *class == Class::End {
                self.transaction = Transaction::None;
            }
            self.fail_transaction();
            self.put_ready();
            return true;
        }
        self.transaction = match (answer.in_transaction, self.transaction) {
            (false, _) => Transaction::None,
            (true, open @ Transaction::Open { .. }) => open,
            (true, _) => {
                Transaction::Open { read_only: *class == Class::Begin { read_only: true } }
            }
        };
        if let Some(floor) = answer.floor {
            let floor = Floor::new(floor.term, floor.position);
            self.client.consistency.raise_floor(&self.client.database, floor);
            if is_write {
                self.put_token();
            }
        }
        reply::put_answer(answer.messages, added_parses, &mut self.output)
    }

    /// Appends the session token as a parameter, so that the client can pass it on.
    fn put_token(&mut self) {
        let floors = self.client.consistency.floors();
        if let Some(token) = self.context.keys.sign(&self.client.club, floors) {
            reply::put_parameter(TOKEN_PARAMETER, token, &mut self.output);
        }
    }

    fn fail_transaction(&mut self) {
        if self.transaction != Transaction::None {
            self.transaction = Transaction::Failed;
        }
    }

    /// Answers a statement after the transaction was lost: only COMMIT and ROLLBACK are accepted.
    fn answer_in_failed_transaction(&mut self, class: &Class) {
        if *class == Class::End {
            self.transaction = Transaction::None;
            reply::put_complete("ROLLBACK", &mut self.output);
        } else {
            let text = "current transaction is aborted, commands ignored until end of block";
            self.put(&message::error("ERROR", IN_FAILED_TRANSACTION, text, None));
        }
        self.put_ready();
    }

    fn set_parameter(&mut self, name: &str, value: &str) {
        if name == MAX_AGE_PARAMETER {
            let is_off = value.is_empty() || value == "off";
            let age = parse_age(value);
            if !is_off && age.is_none() {
                return reply::put_error(Code::BadParameter, None, &mut self.output);
            }
            self.client.consistency.set_max_age(age.filter(|_| !is_off));
        } else if name.starts_with("tamarackbend.") {
            return reply::put_error(Code::BadParameter, None, &mut self.output);
        }
        reply::put_complete("SET", &mut self.output);
    }

    fn show_parameter(&mut self, name: &str) {
        let value = match name {
            MAX_AGE_PARAMETER => {
                let age = self.client.consistency.max_age();
                age.map_or("off".to_owned(), |age| format!("{}ms", age.as_millis()))
            }
            TOKEN_PARAMETER => {
                let floors = self.client.consistency.floors();
                self.context.keys.sign(&self.client.club, floors).unwrap_or_default()
            }
            _ => return reply::put_error(Code::BadParameter, None, &mut self.output),
        };
        let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_TYPE_OID, -1, -1, 0);
        self.put(&Backend::RowDescription(RowDescription::new(vec![field])));
        let mut data = BytesMut::new();
        data.extend_from_slice(&u32::try_from(value.len()).unwrap_or_default().to_be_bytes());
        data.extend_from_slice(value.as_bytes());
        self.put(&Backend::DataRow(DataRow::new(data, 1)));
        reply::put_complete("SHOW", &mut self.output);
    }

    fn put(&mut self, message: &Backend) {
        reply::put(message, &mut self.output);
    }

    fn put_ready(&mut self) {
        let status = match self.transaction {
            Transaction::None => TransactionStatus::Idle,
            Transaction::Open { .. } => TransactionStatus::Transaction,
            Transaction::Failed => TransactionStatus::Error,
        };
        reply::put_ready(status, &mut self.output);
    }

    async fn send_ready(&mut self) -> Option<()> {
        self.put_ready();
        self.flush().await
    }

    async fn flush(&mut self) -> Option<()> {
        self.writer.send(&mut self.output).await.ok()
    }
}

/// Returns whether the node itself handles a parameter, so that endpoints need not know it.
fn is_session_parameter(name: &str, value: &str) -> bool {
    match name {
        "client_encoding" => is_utf8(value),
        "application_name" | "extra_float_digits" => true,
        name => name.starts_with("tamarackbend."),
    }
}

fn encoded_len(message: &Frontend) -> usize {
    let mut output = BytesMut::new();
    // A decoded message can always be encoded.
    let _ = message::put_frontend(message, &mut output);
    output.len()
}
