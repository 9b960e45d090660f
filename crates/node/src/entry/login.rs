//! Login of a caller.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_channel::oneshot;
use tamarackbend_config::Service;
use tamarackbend_net::Writer;
use tamarackbend_policy::code::Code;
use tamarackbend_policy::session::Session;
use tamarackbend_postgres::message::{
    self, Authentication, Backend, BackendKeyData, Frontend, ParameterStatus, ReadyForQuery,
    SecretKey, SslNegotiationMetaMessage, SslResponse, Startup, TransactionStatus,
};
use tamarackbend_postgres::{CallerReader, Exchange};

use super::{Context, reply};
use crate::hub::{Config, Message};

/// Parameter with the token of an earlier connection.
pub(super) const TOKEN: &str = "tamarackbend.token";
/// Parameter with the age of data that the caller accepts.
pub(super) const MAX_AGE: &str = "tamarackbend.max_age";
/// Verifier of no password, so that unknown clubs are refused like wrong passwords.
const NO_PASSWORD: &str = "SCRAM-SHA-256$4096:AAAAAAAAAAAAAAAAAAAAAA==$\
AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=";

/// Caller that has logged in.
pub(super) struct Caller {
    pub(super) club: String,
    pub(super) database: String,
    pub(super) service: Service,
    pub(super) session: Session,
    pub(super) id: u64,
}

/// What became of a login.
pub(super) enum Login {
    Done(Box<Caller>),
    /// The connection is to be closed; whatever there was to say has been said.
    Ended,
}

/// Logs a caller in.
pub(super) async fn login(
    reader: &mut CallerReader,
    writer: &mut Writer,
    context: &Context,
) -> Login {
    match negotiate(reader, writer, context).await {
        Ok(Some(caller)) => Login::Done(Box::new(caller)),
        Ok(None) => Login::Ended,
        Err(code) => {
            reply::send_fatal(writer, code).await;
            Login::Ended
        }
    }
}

async fn negotiate(
    reader: &mut CallerReader,
    writer: &mut Writer,
    context: &Context,
) -> Result<Option<Caller>, Code> {
    let Some(startup) = read_startup(reader, writer, context).await? else {
        return Ok(None);
    };
    let config = config(context).await?;
    let club = startup.parameters.get("user").cloned().unwrap_or_default();
    let database = startup.parameters.get("database").cloned().unwrap_or_else(|| club.clone());
    let options = options(&startup);
    authenticate(reader, writer, &config, &club).await?;
    let found = config.document.database(&database);
    let (service, _) = found.ok_or(Code::NoSuchDatabase)?;
    if !service.allowances.contains_key(&club) {
        return Err(Code::NoSuchDatabase);
    }
    let mut session = Session::new();
    if let Some((_, token)) = options.iter().find(|(name, _)| name == TOKEN) {
        let floors = context.keys.verify(&club, token).ok_or(Code::BadToken)?;
        session = Session::with_floors(floors);
    }
    session.set_max_age(service.max_age);
    if let Some((_, age)) = options.iter().find(|(name, _)| name == MAX_AGE) {
        session.set_max_age(Some(tamarackbend_sql::parse_age(age).ok_or(Code::BadParameter)?));
    }
    let service = service.clone();
    let caller = Caller { club, database, service, session, id: rand::random() };
    welcome(writer, context, &caller).await?;
    Ok(Some(caller))
}

async fn read_startup(
    reader: &mut CallerReader,
    writer: &mut Writer,
    context: &Context,
) -> Result<Option<Startup>, Code> {
    loop {
        match reader.next().await {
            Ok(Frontend::SslNegotiation(SslNegotiationMetaMessage::None)) => {}
            Ok(Frontend::SslNegotiation(_)) => {
                put(writer, &[Backend::SslResponse(SslResponse::Refuse)]).await?;
            }
            Ok(Frontend::Startup(startup)) => return Ok(Some(startup)),
            Ok(Frontend::CancelRequest(request)) => {
                let secret = request.secret_key.as_i32().unwrap_or_default();
                // The hub ends with the node.
                let _ = context.hub.unbounded_send(Message::CancelRequest(request.pid, secret));
                return Ok(None);
            }
            Ok(_) => return Err(Code::BadMessage),
            Err(error) if error.is_closed() => return Ok(None),
            Err(_) => return Err(Code::BadMessage),
        }
    }
}

async fn config(context: &Context) -> Result<Arc<Config>, Code> {
    let (reply, answer) = oneshot::channel();
    context.hub.unbounded_send(Message::GetConfig(reply)).map_err(|_| Code::Draining)?;
    answer.await.map_err(|_| Code::Draining)
}

async fn authenticate(
    reader: &mut CallerReader,
    writer: &mut Writer,
    config: &Config,
    club: &str,
) -> Result<(), Code> {
    let verifier = config.document.club(club).map_or(NO_PASSWORD, |club| club.verifier.as_str());
    let mechanisms = vec!["SCRAM-SHA-256".to_owned()];
    put(writer, &[Backend::Authentication(Authentication::SASL(mechanisms))]).await?;
    let first = match read_password(reader).await? {
        Frontend::PasswordMessageFamily(message) => {
            message.into_sasl_initial_response().map_err(|_| Code::BadMessage)?
        }
        _ => return Err(Code::BadMessage),
    };
    let first = text(&first.data.unwrap_or_default())?;
    let (exchange, challenge) = Exchange::new(verifier, &first).map_err(|_| Code::BadPassword)?;
    let challenge = Authentication::SASLContinue(Bytes::from(challenge));
    put(writer, &[Backend::Authentication(challenge)]).await?;
    let last = match read_password(reader).await? {
        Frontend::PasswordMessageFamily(message) => {
            message.into_sasl_response().map_err(|_| Code::BadMessage)?
        }
        _ => return Err(Code::BadMessage),
    };
    let proof = exchange.finish(&text(&last.data)?).map_err(|_| Code::BadPassword)?;
    let done = Authentication::SASLFinal(Bytes::from(proof));
    put(writer, &[Backend::Authentication(done)]).await
}

async fn read_password(reader: &mut CallerReader) -> Result<Frontend, Code> {
    reader.next().await.map_err(|_| Code::BadMessage)
}

fn text(bytes: &[u8]) -> Result<String, Code> {
    std::str::from_utf8(bytes).map(str::to_owned).map_err(|_| Code::BadMessage)
}

/// Returns the parameters of the system, from the startup or its `options`.
fn options(startup: &Startup) -> Vec<(String, String)> {
    let direct = startup.parameters.iter().map(|(name, value)| (name.clone(), value.clone()));
    let mut found: Vec<(String, String)> = direct.collect();
    let options = startup.parameters.get("options").cloned().unwrap_or_default();
    for word in options.split_whitespace() {
        let setting = word.strip_prefix("-c").unwrap_or(word);
        let setting = setting.strip_prefix("--").unwrap_or(setting);
        if let Some((name, value)) = setting.split_once('=') {
            found.push((name.to_owned(), value.to_owned()));
        }
    }
    found
}

async fn welcome(writer: &mut Writer, context: &Context, caller: &Caller) -> Result<(), Code> {
    let (pid, secret): (u16, i32) = (rand::random(), rand::random());
    let pid = i32::from(pid) + 1;
    let begun = Message::SessionStarted {
        session: caller.id,
        pid,
        secret,
        database: caller.database.clone(),
    };
    context.hub.unbounded_send(begun).map_err(|_| Code::Draining)?;
    let mut messages = vec![Backend::Authentication(Authentication::Ok)];
    for (name, value) in [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        let status = ParameterStatus::new(name.to_owned(), value.to_owned());
        messages.push(Backend::ParameterStatus(status));
    }
    messages.push(Backend::BackendKeyData(BackendKeyData::new(pid, SecretKey::I32(secret))));
    messages.push(Backend::ReadyForQuery(ReadyForQuery::new(TransactionStatus::Idle)));
    put(writer, &messages).await
}

async fn put(writer: &mut Writer, messages: &[Backend]) -> Result<(), Code> {
    let mut output = BytesMut::new();
    for message in messages {
        message::put(message, &mut output).map_err(|_| Code::BadMessage)?;
    }
    writer.send(&mut output).await.map_err(|_| Code::BadMessage)
}
