//! Statements on an endpoint.
//!
//! Every statement is followed, in the same packet, by a query of the endpoint's status. The
//! status costs no further round trip and tells at which log position the statement ended.

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

/// Query that every endpoint answers with its status as one JSON text.
const STATUS_QUERY: &str = "SELECT platform_status()";
/// SQLSTATE of a write that an endpoint refuses because it is a replica.
const READ_ONLY: &str = "25006";
/// Name under which the system logs in.
const USER: &str = "tamarackbend";

/// Connection to an endpoint.
pub struct Endpoint {
    reader: Reader,
    writer: Writer,
}

/// Answer to a statement.
#[derive(Debug)]
pub struct Answer {
    /// Messages through ReadyForQuery.
    pub messages: BytesMut,
    /// State of the transaction at its end.
    pub transaction: TransactionStatus,
    /// Whether the endpoint refused to write because it is a replica.
    pub not_primary: bool,
    /// Status after the statement.
    pub status: Option<Status>,
}

/// How a statement ended.
#[derive(Debug)]
pub enum Run {
    /// With an answer.
    Answered(Answer),
    /// With an answer above the limit; the connection can no longer be used.
    TooLarge,
    /// With a broken connection.
    Lost,
}

impl Endpoint {
    /// Logs in to `database` at `address`, on behalf of a node in `failure_domain`.
    ///
    /// Control connections take no slot of the endpoint.
    ///
    /// # Errors
    ///
    /// Fails when the endpoint cannot be reached or refuses.
    pub async fn connect(
        address: SocketAddr,
        database: &str,
        failure_domain: &str,
        control: bool,
    ) -> Result<Endpoint> {
        let (reader, writer) = split(TcpStream::connect(address).await?);
        let mut endpoint = Endpoint { reader, writer };
        let mut startup = Startup::new();
        let name = if control { "control" } else { "slot" };
        for (key, value) in [
            ("user", USER.to_owned()),
            ("database", database.to_owned()),
            ("application_name", format!("{USER}/{name}/{failure_domain}")),
        ] {
            startup.parameters.insert(key.to_owned(), value);
        }
        startup.protocol_number_major = 3;
        startup.protocol_number_minor = 0;
        endpoint.send(&Frontend::Startup(startup)).await?;
        endpoint.await_ready().await?;
        Ok(endpoint)
    }

    /// Runs encoded messages that end with Query or Sync.
    pub async fn run(&mut self, messages: &Bytes, limit: usize) -> Run {
        let mut output = BytesMut::from(&messages[..]);
        let query = Frontend::Query(Query::new(STATUS_QUERY.to_owned()));
        if message::put_frontend(&query, &mut output).is_err() {
            return Run::Lost;
        }
        if self.writer.send(&mut output).await.is_err() {
            return Run::Lost;
        }
        match self.read_answer(limit).await {
            Ok(Some(answer)) => Run::Answered(answer),
            Ok(None) => Run::TooLarge,
            Err(_) => Run::Lost,
        }
    }

    /// Returns the endpoint's status.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn status(&mut self) -> Result<Status> {
        self.order(STATUS_QUERY.to_owned()).await
    }

    /// Orders the endpoint to refuse terms below `term`.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the endpoint refuses.
    pub async fn close_term(&mut self, term: Term) -> Result<Status> {
        self.order(format!("SELECT platform_close_term({term})")).await
    }

    /// Orders the endpoint to become primary of `term`.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the endpoint refuses.
    pub async fn promote(&mut self, term: Term) -> Result<Status> {
        self.order(format!("SELECT platform_promote({term})")).await
    }

    /// Orders the endpoint to apply the log of the primary of `term`.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the endpoint refuses.
    pub async fn follow(&mut self, term: Term, primary: EndpointIndex) -> Result<Status> {
        self.order(format!("SELECT platform_follow({term}, {primary})")).await
    }

    /// Waits until the endpoint closes the connection or sends something unasked.
    pub async fn idle(&mut self) {
        // Whatever came, the connection cannot be used any more.
        let _ = self.reader.fill().await;
    }

    async fn order(&mut self, sql: String) -> Result<Status> {
        self.send(&Frontend::Query(Query::new(sql))).await?;
        self.read_status().await?.ok_or_else(|| Error::new(Code::Unexpected))
    }

    async fn send(&mut self, message: &Frontend) -> Result<()> {
        let mut output = BytesMut::new();
        message::put_frontend(message, &mut output)?;
        Ok(self.writer.send(&mut output).await?)
    }

    async fn next(&mut self) -> Result<Backend> {
        loop {
            if let Some(message) = message::take(&mut self.reader.input)? {
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
                Backend::Authentication(_) => return Err(Error::new(Code::Password)),
                Backend::ErrorResponse(error) => {
                    let (sqlstate, text) = (message::sqlstate(&error), message::text(&error));
                    return Err(Error::new(Code::Refused(sqlstate.into(), text.into())));
                }
                _ => {}
            }
        }
    }

    async fn read_answer(&mut self, limit: usize) -> Result<Option<Answer>> {
        let mut messages = BytesMut::new();
        let mut not_primary = false;
        loop {
            let message = self.next().await?;
            message::put(&message, &mut messages)?;
            if messages.len() > limit {
                return Ok(None);
            }
            match message {
                Backend::ErrorResponse(error) => {
                    not_primary |= message::sqlstate(&error) == READ_ONLY;
                }
                Backend::ReadyForQuery(ReadyForQuery { status: transaction, .. }) => {
                    let status = self.read_status().await?;
                    return Ok(Some(Answer { messages, transaction, not_primary, status }));
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
