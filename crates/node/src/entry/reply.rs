//! Messages to clients.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tamarackbend_net::Writer;
use tamarackbend_policy::code::{Class, Code};
use tamarackbend_postgres::message::{
    self, Backend, CommandComplete, ParameterStatus, ReadyForQuery, TransactionStatus,
};

/// Appends a message that the codec can always encode.
pub(super) fn put(message: &Backend, output: &mut BytesMut) {
    message::put_backend(message, output).expect("the message is within the protocol's limits");
}

/// Appends the error of a statement, with its code, class and retry hint.
pub(super) fn put_error(code: Code, retry_after: Option<Duration>, output: &mut BytesMut) {
    let outcome = match code.class() {
        Class::Rejected => "rejected",
        Class::NotRun => "not run",
        Class::Unknown => "outcome unknown",
    };
    let text = format!("T{}: {code} ({outcome})", code.number());
    let hint = retry_after.map(|after| format!("try again in {} ms", after.as_millis()));
    put(&message::error("ERROR", code.sqlstate(), &text, hint.as_deref()), output);
}

/// Sends an error of severity FATAL, after which the connection is to be closed.
pub(super) async fn send_fatal(writer: &mut Writer, code: Code) {
    let mut output = BytesMut::new();
    let text = format!("T{}: {code}", code.number());
    put(&message::error("FATAL", code.sqlstate(), &text, None), &mut output);
    // The client may have disconnected.
    let _ = writer.send(&mut output).await;
}

/// Appends ReadyForQuery, which ends an answer.
pub(super) fn put_ready(transaction: TransactionStatus, output: &mut BytesMut) {
    put(&Backend::ReadyForQuery(ReadyForQuery::new(transaction)), output);
}

/// Appends CommandComplete with the tag of a command.
pub(super) fn put_complete(tag: &str, output: &mut BytesMut) {
    put(&Backend::CommandComplete(CommandComplete::new(tag.to_owned())), output);
}

/// Appends ParameterStatus with the value of a session parameter.
pub(super) fn put_parameter(name: &str, value: String, output: &mut BytesMut) {
    put(&Backend::ParameterStatus(ParameterStatus::new(name.to_owned(), value)), output);
}

/// Appends an endpoint's answer, except ParseComplete for Parse messages that the session added.
///
/// `added_parses` tells for each Parse in the batch whether the session added it. Returns whether
/// the answer holds an error.
pub(super) fn put_answer(messages: Bytes, added_parses: &[bool], output: &mut BytesMut) -> bool {
    let mut input = BytesMut::from(&messages[..]);
    let mut added_parses = added_parses.iter();
    let mut has_error = false;
    while let Ok(Some(message)) = message::take_encoded_backend(&mut input) {
        has_error |= message::is_error(&message);
        let is_added = message::is_parse_complete(&message) && added_parses.next() == Some(&true);
        if !is_added {
            output.extend_from_slice(&message);
        }
    }
    has_error
}
