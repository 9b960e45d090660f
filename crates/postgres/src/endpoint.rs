//! Connection to an endpoint, on which statements are executed.
//!
//! Every statement is sent together with a query of the endpoint's status. The status thus costs no
//! additional round trip and gives the log position after the statement.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use compio::net::TcpStream;
use tamarackbend_net::{Reader, Writer, split};
use tamarackbend_policy::position::{EndpointIndex, Status, Term};

use crate::error::Code;
use crate::message::{
    self, Authentication, Backend, DataRow, Frontend, Query, ReadyForQuery, Startup,
    TransactionStatus,
};
use crate::{Error, Result};

/// Query that returns the endpoint's status as one JSON text.
const STATUS_QUERY: &str = "SELECT platform_status()";
/// SQLSTATE `read_only_sql_transaction`, with which a replica rejects writes.
const READ_ONLY_TRANSACTION: &str = "25006";
/// User name with which nodes log in to endpoints.
const USER: &str = "tamarackbend";

/// Connection to an endpoint.
pub struct Endpoint {
    reader: Reader,
    writer: Writer,
}

/// Endpoint's answer to a statement.
#[derive(Debug)]
pub struct Answer {
    /// Encoded backend messages, through ReadyForQuery.
    pub messages: BytesMut,
    /// Transaction status after the statement.
    pub transaction: TransactionStatus,
    /// Whether the endpoint rejected a write because it is a replica.
    pub has_read_only_error: bool,
    /// Endpoint's status after the statement; `None` if it could not be parsed.
    pub status: Option<Status>,
}

/// Result of executing a statement.
#[derive(Debug)]
pub enum Completion {
    /// The endpoint answered, possibly with an error.
    Answered(Answer),
    /// The answer exceeds the size limit; the connection is no longer usable.
    TooLarge,
    /// The connection was lost; whether the statement took effect is unknown.
    ConnectionLost,
}

impl Endpoint {
    /// Connects to `address` and logs in to `database`, for a node in `failure_domain`.
    ///
    /// A control connection (`is_control`) takes no slot of the endpoint.
    ///
    /// # Errors
    ///
    /// Fails when the endpoint cannot be reached or rejects the login.
    pub async fn connect(
        address: SocketAddr,
        database: &str,
        failure_domain: &str,
        is_control: bool,
    ) -> Result<Endpoint> {
        let (reader, writer) = split(TcpStream::connect(address).await?);
        let mut endpoint = Endpoint { reader, writer };
        let mut startup = Startup::new();
        let purpose = if is_control { "control" } else { "slot" };
        for (key, value) in [
            ("user", USER.to_owned()),
            ("database", database.to_owned()),
            ("application_name", format!("{USER}/{purpose}/{failure_domain}")),
        ] {
            startup.parameters.insert(key.to_owned(), value);
        }
        startup.protocol_number_major = 3;
        startup.protocol_number_minor = 0;
        endpoint.send(&Frontend::Startup(startup)).await?;
        endpoint.await_ready().await?;
        Ok(endpoint)
    }

    /// Sends encoded frontend messages that end with Query or Sync and reads the answer.
    ///
    /// The answer is limited to `max_answer_bytes`.
    pub async fn execute(&mut self, messages: &Bytes, max_answer_bytes: usize) -> Completion {
        let mut output = BytesMut::from(&messages[..]);
        let query = Frontend::Query(Query::new(STATUS_QUERY.to_owned()));
        if message::put_frontend(&query, &mut output).is_err() {
            return Completion::ConnectionLost;
        }
        if self.writer.send(&mut output).await.is_err() {
            return Completion::ConnectionLost;
        }
        match self.read_answer(max_answer_bytes).await {
            Ok(Some(answer)) => Completion::Answered(answer),
            Ok(None) => Completion::TooLarge,
            Err(_) => Completion::ConnectionLost,
        }
    }

    /// Queries the endpoint's status.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost or the endpoint returns no valid status.
    pub async fn status(&mut self) -> Result<Status> {
        self.query_status(STATUS_QUERY.to_owned()).await
    }

    /// Fences the endpoint at `term`: it rejects orders of lower terms from then on.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost or the endpoint returns no valid status.
    pub async fn fence_term(&mut self, term: Term) -> Result<Status> {
        self.query_status(format!("SELECT platform_close_term({term})")).await
    }

    /// Promotes the endpoint to primary of `term`.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost or the endpoint returns no valid status.
    pub async fn promote(&mut self, term: Term) -> Result<Status> {
        self.query_status(format!("SELECT platform_promote({term})")).await
    }

    /// Makes the endpoint a replica that applies the log of `primary`, the primary of `term`.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost or the endpoint returns no valid status.
    pub async fn follow(&mut self, term: Term, primary: EndpointIndex) -> Result<Status> {
        self.query_status(format!("SELECT platform_follow({term}, {primary})")).await
    }

    /// Waits until the endpoint closes the idle connection or sends an unsolicited message.
    ///
    /// The connection is not usable afterwards.
    pub async fn wait_readable(&mut self) {
        // Bytes, the end of the stream and an error all make the connection unusable.
        let _ = self.reader.fill().await;
    }

    async fn query_status(&mut self, sql: String) -> Result<Status> {
        self.send(&Frontend::Query(Query::new(sql))).await?;
        self.read_status().await?.ok_or_else(|| Error::new(Code::NoStatus))
    }

    async fn send(&mut self, message: &Frontend) -> Result<()> {
        let mut output = BytesMut::new();
        message::put_frontend(message, &mut output)?;
        Ok(self.writer.send(&mut output).await?)
    }

    async fn next(&mut self) -> Result<Backend> {
        message::decode_backend(self.next_encoded().await?)
    }

    async fn next_encoded(&mut self) -> Result<BytesMut> {
        loop {
            if let Some(message) = message::take_encoded_backend(&mut self.reader.input)? {
                return Ok(message);
            }
            if self.reader.fill().await? == 0 {
                return Err(Error::new(Code::Closed));
            }
        }
    }

    async fn await_ready(&mut self) -> Result<()> {
        loop {
            match self.next().await? {
                Backend::ReadyForQuery(_) => return Ok(()),
                Backend::Authentication(Authentication::Ok) => {}
                Backend::Authentication(_) => return Err(Error::new(Code::Authentication)),
                Backend::ErrorResponse(error) => {
                    let (sqlstate, text) = (message::sqlstate(&error), message::text(&error));
                    return Err(Error::new(Code::LoginRejected(sqlstate.into(), text.into())));
                }
                _ => {}
            }
        }
    }

    async fn read_answer(&mut self, max_answer_bytes: usize) -> Result<Option<Answer>> {
        let mut messages = BytesMut::new();
        let mut has_read_only_error = false;
        loop {
            let encoded = self.next_encoded().await?;
            messages.extend_from_slice(&encoded);
            if messages.len() > max_answer_bytes {
                return Ok(None);
            }
            match message::decode_backend(encoded)? {
                Backend::ErrorResponse(error) => {
                    has_read_only_error |= message::sqlstate(&error) == READ_ONLY_TRANSACTION;
                }
                Backend::ReadyForQuery(ReadyForQuery { status: transaction, .. }) => {
                    let status = self.read_status().await?;
                    return Ok(Some(Answer { messages, transaction, has_read_only_error, status }));
                }
                _ => {}
            }
        }
    }

    async fn read_status(&mut self) -> Result<Option<Status>> {
        let mut status = None;
        loop {
            match self.next().await? {
                Backend::DataRow(row) => status = parse_status(&row),
                Backend::ReadyForQuery(_) => return Ok(status),
                _ => {}
            }
        }
    }
}

fn parse_status(row: &DataRow) -> Option<Status> {
    let (_, text) = row.data.split_at_checked(size_of::<i32>())?;
    serde_json::from_slice(text).ok()
}
