//! Session of one caller.

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
use tamarackbend_postgres::CallerReader;
use tamarackbend_postgres::message::{
    self, Backend, DataRow, EmptyQueryResponse, FieldDescription, Frontend, RowDescription,
    TransactionStatus,
};
use tamarackbend_sql::{Class, classify, parse_age};
use tamarackbend_wire::{self as wire, Answer, Statement};

use super::batch::Statements;
use super::login::{Caller, Login, MAX_AGE, TOKEN, login};
use super::{Context, reply};
use crate::hub::Message;

/// SQLSTATE of a statement in a transaction that has failed.
const FAILED_TRANSACTION: &str = "25P02";
/// SQLSTATE of a prepared statement that does not exist.
const NO_STATEMENT: &str = "26000";
/// Type of text in a row description.
const TEXT_TYPE: u32 = 25;

/// Serves one caller until it leaves or the node drains.
pub(super) async fn serve(stream: TcpStream, context: Context, full: bool) {
    let (reader, mut writer) = split(stream);
    if full {
        return reply::send_fatal(&mut writer, Code::TooManyClients).await;
    }
    let mut reader = CallerReader::new(reader, context.limits.request_bytes);
    let logging_in = login(&mut reader, &mut writer, &context);
    let caller = match timeout(context.limits.login_timeout, logging_in).await {
        Ok(Login::Done(caller)) => caller,
        Ok(Login::Ended) => return,
        Err(_) => return reply::send_fatal(&mut writer, Code::LoginTimeout).await,
    };
    metrics::gauge!("tamarackbend_callers").increment(1.0);
    let id = caller.id;
    let (sender, answers) = mpsc::unbounded();
    let session = Session {
        caller: *caller,
        context: context.clone(),
        writer,
        sender,
        answers,
        statements: Statements::default(),
        number: 0,
        transaction: Transaction::None,
        output: BytesMut::new(),
    };
    session.run(reader).await;
    // The hub ends with the node.
    let _ = context.hub.unbounded_send(Message::SessionEnded(id));
    metrics::gauge!("tamarackbend_callers").decrement(1.0);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Transaction {
    None,
    /// Open at the owner; whether it was declared read-only.
    Open {
        read_only: bool,
    },
    /// Rolled back at the owner, which the caller has not acknowledged yet.
    Failed,
}

struct Session {
    caller: Caller,
    context: Context,
    writer: Writer,
    sender: mpsc::UnboundedSender<Answer>,
    answers: mpsc::UnboundedReceiver<Answer>,
    statements: Statements,
    number: u64,
    transaction: Transaction,
    output: BytesMut,
}

impl Session {
    async fn run(mut self, mut reader: CallerReader) -> Option<()> {
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        loop {
            let idle = batch.is_empty() && self.transaction == Transaction::None;
            let Some(next) = self.next(&mut reader, idle).await else {
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
                Frontend::Query(query) => self.query(&query.query).await?,
                Frontend::Sync(_) => {
                    batch_bytes = 0;
                    self.sync(std::mem::take(&mut batch)).await?;
                }
                Frontend::Terminate(_) => return None,
                Frontend::Flush(_) => {}
                message if message.is_extended_query() => {
                    batch_bytes += size(&message);
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

    /// Returns the caller's next message, none if the node drains while the session is idle.
    async fn next(
        &mut self,
        reader: &mut CallerReader,
        idle: bool,
    ) -> Option<tamarackbend_postgres::Result<Frontend>> {
        if !idle {
            return Some(reader.next().await);
        }
        let mut drained = self.context.drained.clone();
        let next = reader.next().fuse();
        futures_util::pin_mut!(next);
        futures_util::select_biased! {
            message = next => Some(message),
            _ = drained => None,
        }
    }

    async fn query(&mut self, sql: &str) -> Option<()> {
        let text = classify(sql);
        match text.class {
            Class::Empty => {
                self.put(&Backend::EmptyQueryResponse(EmptyQueryResponse::new()));
                self.finish().await
            }
            Class::Set { ref name, ref value } if sets(name, value) => {
                self.set(name, value);
                self.finish().await
            }
            Class::Show { ref name } if name.starts_with("tamarackbend.") => {
                self.show(name);
                self.finish().await
            }
            class => {
                let mut messages = BytesMut::new();
                let query = Frontend::Query(message::Query::new(sql.to_owned()));
                message::put_frontend(&query, &mut messages).ok()?;
                self.forward(class, text.max_age, messages, &[]).await?;
                self.flush().await
            }
        }
    }

    async fn sync(&mut self, messages: Vec<Frontend>) -> Option<()> {
        if messages.is_empty() {
            return self.finish().await;
        }
        let batch = match self.statements.batch(messages) {
            Ok(batch) => batch,
            Err(unknown) => {
                let text = format!("prepared statement \"{}\" does not exist", unknown.statement);
                self.put(&message::error("ERROR", NO_STATEMENT, &text, None));
                self.fail_transaction();
                return self.finish().await;
            }
        };
        let failed = self.forward(batch.class, batch.max_age, batch.messages, &batch.added).await?;
        if failed {
            self.statements.forget(&batch.parsed);
        }
        self.flush().await
    }

    /// Sends a statement to its owner and puts the answer; returns whether it failed.
    async fn forward(
        &mut self,
        class: Class,
        max_age: Option<Duration>,
        messages: BytesMut,
        added: &[bool],
    ) -> Option<bool> {
        if self.transaction == Transaction::Failed {
            self.answer_failed(&class);
            return Some(true);
        }
        let shareable = !matches!(class, Class::Stateful | Class::Set { .. } | Class::Show { .. });
        if !shareable {
            reply::put_error(Code::UnsupportedWhenShared, None, &mut self.output);
            self.fail_transaction();
            self.put_ready();
            return Some(true);
        }
        let statement = self.statement(&class, max_age, messages.freeze());
        let (number, write) = (self.number, statement.write);
        let request = Message::Statement(statement, self.sender.clone());
        self.context.hub.unbounded_send(request).ok()?;
        let answer = loop {
            let answer = self.answers.next().await?;
            if answer.number == number {
                break answer;
            }
        };
        Some(self.take(answer, write, &class, added))
    }

    fn statement(
        &mut self,
        class: &Class,
        max_age: Option<Duration>,
        messages: Bytes,
    ) -> Statement {
        self.number += 1;
        let database = self.caller.database.clone();
        let (write, in_transaction) = match (self.transaction, class) {
            (Transaction::Open { read_only }, _) => (!read_only, true),
            (_, Class::Read | Class::Empty | Class::Begin { read_only: true }) => (false, false),
            _ => (true, false),
        };
        let max_age = max_age.or(self.caller.session.max_age());
        let known = self.caller.session.freshness(&database);
        let floor = match known {
            Freshness::Floor(floor) => Some(floor),
            Freshness::Sampled if max_age.is_some() && !write => Some(Floor::default()),
            Freshness::Sampled if write && !matches!(class, Class::Begin { .. }) => {
                Some(Floor::default())
            }
            Freshness::Sampled => None,
        };
        Statement {
            session: self.caller.id,
            number: self.number,
            database,
            club: self.caller.club.clone(),
            write,
            in_transaction,
            hops: 0,
            begins: matches!(class, Class::Begin { .. }),
            floor: floor.map(|f| wire::Floor { term: f.term, position: f.position }),
            max_age_ms: max_age.and_then(|age| u64::try_from(age.as_millis()).ok()),
            timeout_ms: u64::try_from(self.caller.service.queue_timeout.as_millis())
                .unwrap_or(u64::MAX),
            messages,
        }
    }

    /// Puts an answer; returns whether it is an error.
    fn take(&mut self, answer: Answer, write: bool, class: &Class, added: &[bool]) -> bool {
        if answer.code != 0 {
            let number = u16::try_from(answer.code).unwrap_or_default();
            let code = Code::from_number(number).unwrap_or(Code::OwnerLost);
            let after = Duration::from_millis(answer.retry_after_ms);
            let hint = (answer.retry_after_ms > 0).then_some(after);
            reply::put_error(code, hint, &mut self.output);
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
            self.caller.session.raise_floor(&self.caller.database, floor);
            if write {
                self.put_token();
            }
        }
        reply::put_answer(answer.messages, added, &mut self.output)
    }

    fn put_token(&mut self) {
        let floors = self.caller.session.floors();
        if let Some(token) = self.context.keys.sign(&self.caller.club, floors) {
            reply::put_parameter(TOKEN, token, &mut self.output);
        }
    }

    fn fail_transaction(&mut self) {
        if self.transaction != Transaction::None {
            self.transaction = Transaction::Failed;
        }
    }

    /// Answers a statement after the owner has lost the transaction: only its end is accepted.
    fn answer_failed(&mut self, class: &Class) {
        if *class == Class::End {
            self.transaction = Transaction::None;
            reply::put_complete("ROLLBACK", &mut self.output);
        } else {
            let text = "current transaction is aborted, commands ignored until end of block";
            self.put(&message::error("ERROR", FAILED_TRANSACTION, text, None));
        }
        self.put_ready();
    }

    fn set(&mut self, name: &str, value: &str) {
        if name == MAX_AGE {
            let off = value.is_empty() || value == "off";
            let age = parse_age(value);
            if !off && age.is_none() {
                return reply::put_error(Code::BadParameter, None, &mut self.output);
            }
            self.caller.session.set_max_age(age.filter(|_| !off));
        } else if name.starts_with("tamarackbend.") {
            return reply::put_error(Code::BadParameter, None, &mut self.output);
        }
        reply::put_complete("SET", &mut self.output);
    }

    fn show(&mut self, name: &str) {
        let value = match name {
            MAX_AGE => {
                let age = self.caller.session.max_age();
                age.map_or("off".to_owned(), |age| format!("{}ms", age.as_millis()))
            }
            TOKEN => {
                let floors = self.caller.session.floors();
                self.context.keys.sign(&self.caller.club, floors).unwrap_or_default()
            }
            _ => return reply::put_error(Code::BadParameter, None, &mut self.output),
        };
        let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_TYPE, -1, -1, 0);
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

    async fn finish(&mut self) -> Option<()> {
        self.put_ready();
        self.flush().await
    }

    async fn flush(&mut self) -> Option<()> {
        self.writer.send(&mut self.output).await.ok()
    }
}

/// Returns whether a parameter is the session's own and endpoints need not know it.
fn sets(name: &str, value: &str) -> bool {
    match name {
        "client_encoding" => ["UTF8", "UTF-8", "UNICODE"].contains(&value.to_uppercase().as_str()),
        "application_name" | "extra_float_digits" => true,
        name => name.starts_with("tamarackbend."),
    }
}

fn size(message: &Frontend) -> usize {
    let mut output = BytesMut::new();
    // A message that cannot be encoded is refused when its batch is sent.
    let _ = message::put_frontend(message, &mut output);
    output.len()
}
