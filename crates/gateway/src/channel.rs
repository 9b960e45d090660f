//! Conversion between the router's messages and the frames of channels.
//!
//! A channel is one multiplexed session on a link between two nodes.

use std::time::Duration;

use bytes::Bytes;
use tamarackbend_router::customer::KeyDigest;
use tamarackbend_router::limit;
use tamarackbend_router::message::{
    Access, Answer, Command, Fault, Introduction, Order, Outcome, Position, Request, Statement,
    TransactionState,
};
use tamarackbend_wire::channel::{self, Call, Frame, Kind, Open, Reply, frame::Body};

/// Numbers that stand for faults in frames; zero stands for any other fault, which is sent as a
/// word.
const FAULT_NUMBERS: [(u32, Fault); 15] = [
    (1, Fault::Busy),
    (2, Fault::Lagging),
    (3, Fault::ReadOnly),
    (4, Fault::Misrouted),
    (5, Fault::TooMany),
    (6, Fault::NoStatement),
    (7, Fault::Failed),
    (8, Fault::Timeout),
    (9, Fault::NoDatabase),
    (10, Fault::TooBig),
    (11, Fault::Malformed),
    (12, Fault::Aborted),
    (13, Fault::InDoubt),
    (14, Fault::Unauthorized),
    (15, Fault::OverLimit),
];

/// Returns a frame with `body` for `channel`; channel zero addresses the link itself.
pub(crate) fn frame(channel: u64, body: Body) -> Frame {
    Frame { channel, body: Some(body) }
}

/// Returns the message that opens a channel.
pub(crate) fn encode_open(
    database: String,
    key: Option<KeyDigest>,
    introduction: Introduction,
) -> Open {
    Open {
        database,
        key_digest: key.map(|key| Bytes::copy_from_slice(key.as_bytes())).unwrap_or_default(),
        config_version: introduction.version,
        customer: introduction.customer.as_deref().map(str::to_owned),
    }
}

/// Returns the request that starts the session of a channel, and what the node that opened the channel
/// knows.
pub(crate) fn decode_open(open: Open) -> (Request, Introduction) {
    let key = KeyDigest::from_bytes(&open.key_digest);
    let introduction =
        Introduction { version: open.config_version, customer: open.customer.map(Into::into) };
    (Request::Start { database: open.database, key }, introduction)
}

pub(crate) fn encode_introduction(introduction: Introduction) -> channel::Introduction {
    channel::Introduction {
        config_version: introduction.version,
        customer: introduction.customer.as_deref().map(str::to_owned),
    }
}

pub(crate) fn decode_introduction(introduction: channel::Introduction) -> Introduction {
    Introduction {
        version: introduction.config_version,
        customer: introduction.customer.map(Into::into),
    }
}

pub(crate) fn encode_loan_requests(
    sender: &str,
    requests: Vec<limit::Request>,
) -> channel::LoanRequests {
    let requests = requests.into_iter().map(|request| channel::LoanRequest {
        customer: request.customer.to_string(),
        share: request.share,
        requested_ms: request.requested_at.as_millis() as u64,
    });
    channel::LoanRequests { requests: requests.collect(), sender: sender.to_owned() }
}

pub(crate) fn decode_loan_requests(requests: Vec<channel::LoanRequest>) -> Vec<limit::Request> {
    let requests = requests.into_iter().map(|request| limit::Request {
        customer: request.customer.into(),
        share: request.share,
        requested_at: Duration::from_millis(request.requested_ms),
    });
    requests.collect()
}

pub(crate) fn encode_loans(loans: Vec<limit::Loan>) -> channel::Loans {
    let loans = loans.into_iter().map(|loan| channel::Loan {
        customer: loan.customer.to_string(),
        share: loan.share,
        requested_ms: loan.requested_at.as_millis() as u64,
    });
    channel::Loans { loans: loans.collect() }
}

pub(crate) fn decode_loans(loans: channel::Loans) -> Vec<limit::Loan> {
    let loans = loans.loans.into_iter().map(|loan| limit::Loan {
        customer: loan.customer.into(),
        share: loan.share,
        requested_at: Duration::from_millis(loan.requested_ms),
    });
    loans.collect()
}

/// Converts a command into a call to another node; returns none for orders that only endpoints
/// take.
pub(crate) fn encode_command(command: &Command) -> Option<Call> {
    let (kind, name, text) = match &command.order {
        Order::Statement(statement) => encode_statement(statement),
        Order::Reset => (Kind::Reset, "", ""),
        Order::Status | Order::FenceTerm(_) | Order::ResumeReplication | Order::Demote(_) => {
            return None;
        }
    };
    Some(Call {
        id: command.id.clone(),
        floor: command.min_position.map(encode_position),
        kind: kind.into(),
        name: name.to_owned(),
        text: text.to_owned(),
    })
}

fn encode_statement(statement: &Statement) -> (Kind, &str, &str) {
    match statement {
        Statement::Begin { read_only: false } => (Kind::Begin, "", ""),
        Statement::Begin { read_only: true } => (Kind::BeginReadOnly, "", ""),
        Statement::Commit => (Kind::Commit, "", ""),
        Statement::Rollback => (Kind::Rollback, "", ""),
        Statement::Read { arguments } => (Kind::Read, "", arguments),
        Statement::Write { arguments } => (Kind::Write, "", arguments),
        Statement::Set { name, value } => (Kind::Set, name, value),
        Statement::Prepare { name, access: Access::Read, shape } => {
            (Kind::PrepareRead, name, shape)
        }
        Statement::Prepare { name, access: Access::Write, shape } => {
            (Kind::PrepareWrite, name, shape)
        }
        Statement::Execute { name, arguments } => (Kind::Execute, name, arguments),
        Statement::Close { name } => (Kind::Close, name, ""),
    }
}

/// Converts a call of another node into a request; a call of unknown kind becomes a malformed
/// request.
pub(crate) fn decode_call(call: Call) -> Request {
    let (name, text) = (call.name, call.text);
    let statement = match Kind::try_from(call.kind) {
        Ok(Kind::Begin) => Statement::Begin { read_only: false },
        Ok(Kind::BeginReadOnly) => Statement::Begin { read_only: true },
        Ok(Kind::Commit) => Statement::Commit,
        Ok(Kind::Rollback) => Statement::Rollback,
        Ok(Kind::Read) => Statement::Read { arguments: text },
        Ok(Kind::Write) => Statement::Write { arguments: text },
        Ok(Kind::Set) => Statement::Set { name, value: text },
        Ok(Kind::PrepareRead) => Statement::Prepare { name, access: Access::Read, shape: text },
        Ok(Kind::PrepareWrite) => Statement::Prepare { name, access: Access::Write, shape: text },
        Ok(Kind::Execute) => Statement::Execute { name, arguments: text },
        Ok(Kind::Close) => Statement::Close { name },
        Ok(Kind::Reset) => return Request::Reset,
        Ok(Kind::Unspecified) | Err(_) => {
            let reason = format!("call of the unknown kind {}", call.kind);
            return Request::Malformed { id: call.id, reason };
        }
    };
    let floor = call.floor.map(decode_position);
    Request::Statement { id: call.id.unwrap_or_default(), statement, floor }
}

/// Converts an answer into a reply to the node that sent the call.
pub(crate) fn encode_answer(answer: Answer) -> Reply {
    let state = match answer.state {
        TransactionState::Idle => channel::State::Idle,
        TransactionState::Transaction => channel::State::Transaction,
        TransactionState::Failed => channel::State::Failed,
    };
    let (proof, fault, text) = match answer.outcome {
        Outcome::Complete(proof) => (proof, None, String::new()),
        Outcome::Error { fault, text } => (None, Some(encode_fault(&fault)), text),
    };
    let position = answer.position.map(encode_position);
    Reply { rows: answer.rows, proof, fault, text, state: state.into(), position }
}

/// Converts a reply of another node into an answer.
pub(crate) fn decode_reply(reply: Reply) -> Answer {
    let state = match channel::State::try_from(reply.state) {
        Ok(channel::State::Transaction) => TransactionState::Transaction,
        Ok(channel::State::Failed) => TransactionState::Failed,
        Ok(channel::State::Idle | channel::State::Unspecified) | Err(_) => TransactionState::Idle,
    };
    let outcome = match reply.fault {
        None => Outcome::Complete(reply.proof),
        Some(fault) => Outcome::Error { fault: decode_fault(fault), text: reply.text },
    };
    let position = reply.position.map(decode_position);
    Answer { rows: reply.rows, outcome, state, position, status: None }
}

pub(crate) fn encode_fault(fault: &Fault) -> channel::Fault {
    if let Fault::Other(word) = fault {
        return channel::Fault { number: 0, word: word.clone() };
    }
    let entry = FAULT_NUMBERS.iter().find(|(_, numbered)| numbered == fault);
    channel::Fault { number: entry.map_or(0, |(number, _)| *number), word: String::new() }
}

pub(crate) fn decode_fault(fault: channel::Fault) -> Fault {
    let entry = FAULT_NUMBERS.into_iter().find(|(number, _)| *number == fault.number);
    entry.map_or(Fault::Other(fault.word), |(_, fault)| fault)
}

fn encode_position(position: Position) -> channel::Position {
    channel::Position { term: position.term, number: position.number }
}

fn decode_position(position: channel::Position) -> Position {
    Position { term: position.term, number: position.number }
}
