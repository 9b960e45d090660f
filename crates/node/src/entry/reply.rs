//! Answers to callers.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tamarackbend_net::Writer;
use tamarackbend_policy::code::{Class, Code};
use tamarackbend_postgres::message::{
    self, Backend, CommandComplete, ParameterStatus, ReadyForQuery, TransactionStatus,
};

/// Appends a message that the codec can always encode.
pub(super) fn put(message: &Backend, output: &mut BytesMut) {
    message::put(message, output).expect("own messages are within the protocol's limits");
}

/// Appends the refusal of a statement.
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

/// Sends an error after which the connection is closed.
pub(super) async fn send_fatal(writer: &mut Writer, code: Code) {
    let mut output = BytesMut::new();
    let text = format!("T{}: {code}", code.number());
    put(&message::error("FATAL", code.sqlstate(), &text, None), &mut output);
    // The caller may have gone.
    let _ = writer.send(&mut output).await;
}

/// Appends the end of an answer.
pub(super) fn put_ready(transaction: TransactionStatus, output: &mut BytesMut) {
    put(&Backend::ReadyForQuery(ReadyForQuery::new(transaction)), output);
}

/// Appends the completion of a command.
pub(super) fn put_complete(tag: &str, output: &mut BytesMut) {
    put(&Backend::CommandComplete(CommandComplete::new(tag.to_owned())), output);
}

/// Appends the value of a session parameter.
pub(super) fn put_parameter(name: &str, value: String, output: &mut BytesMut) {
    put(&Backend::ParameterStatus(ParameterStatus::new(name.to_owned(), value)), output);
}

/// Appends an endpoint's answer without the completions of messages that the entry has added.
///
/// `added` tells for each Parse that was sent whether the caller did not send it. Returns whether
/// the answer holds an error.
pub(super) fn put_answer(messages: Bytes, added: &[bool], output: &mut BytesMut) -> bool {
    let mut input = BytesMut::from(&messages[..]);
    let mut parses = added.iter();
    let mut failed = false;
    while let Ok(Some(message)) = message::take(&mut input) {
        failed |= matches!(message, Backend::ErrorResponse(_));
        let skip = matches!(message, Backend::ParseComplete(_)) && parses.next() == Some(&true);
        if !skip {
            put(&message, output);
        }
    }
    failed
}
