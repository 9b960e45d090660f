//! Login of a client: startup, SCRAM authentication and checks of database and club.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_channel::oneshot;
use tamarackbend_config::Service;
use tamarackbend_net::Writer;
use tamarackbend_policy::code::Code;
use tamarackbend_policy::session::Session;
use tamarackbend_postgres::message::{
    self, Authentication, Backend, BackendKeyData, Frontend, ParameterStatus, ReadyForQuery,
    SecretKey, SslResponse, Startup, TransactionStatus,
};
use tamarackbend_postgres::{ClientReader, Exchange};

use super::{Context, reply};
use crate::hub::{Config, Message};

/// Parameter with the session token of an earlier connection.
pub(super) const TOKEN_PARAMETER: &str = "tamarackbend.token";
/// Parameter with the maximum age of data that reads of the client accept.
pub(super) const MAX_AGE_PARAMETER: &str = "tamarackbend.max_age";
/// Verifier that matches no password, so that unknown clubs fail in the same way as known clubs with
/// a wrong password.
const DUMMY_VERIFIER: &str = "SCRAM-SHA-256$4096:AAAAAAAAAAAAAAAAAAAAAA==$\
AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=";

/// Client that has logged in.
pub(super) struct Client {
    pub(super) club: String,
    pub(super) database: String,
    pub(super) service: Service,
    /// Floors and maximum age of the client's reads.
    pub(super) consistency: Session,
    /// Random number that identifies the session across nodes.
    pub(super) session_id: u64,
}

/// Result of a login.
pub(super) enum Login {
    Accepted(Box<Client>),
    /// The connection is to be closed; an error, if there was one, has been sent.
    Closed,
}

/// Logs a client in, or serves its cancel request.
pub(super) async fn login(
    reader: &mut ClientReader,
    writer: &mut Writer,
    context: &Context,
) -> Login {
    match negotiate(reader, writer, context).await {
        Ok(Some(client)) => Login::Accepted(Box::new(client)),
        Ok(None) => Login::Closed,
        Err(code) => {
            reply::send_fatal(writer, code).await;
            Login::Closed
        }
    }
}

async fn negotiate(
    reader: &mut ClientReader,
    writer: &mut Writer,
    context: &Context,
) -> Result<Option<Client>, Code> {
    let Some(startup) = read_startup(reader, writer, context).await? else {
        return Ok(None);
    };
    let config = fetch_config(context).await?;
    let club = startup.parameters.get("user").cloned().unwrap_or_default();
    let database = startup.parameters.get("database").cloned().unwrap_or_else(|| club.clone());
    let parameters = session_parameters(&startup);
    if parameters.iter().any(|(name, value)| is_character_set(name) && !is_utf8(value)) {
        return Err(Code::BadParameter);
    }
    authenticate(reader, writer, &config, &club).await?;
    let database_config = config.document.database(&database);
    let (service, _) = database_config.ok_or(Code::NoSuchDatabase)?;
    if !service.allowances.contains_key(&club) {
        return Err(Code::NoSuchDatabase);
    }
    let mut consistency = Session::new();
    if let Some((_, token)) = parameters.iter().find(|(name, _)| name == TOKEN_PARAMETER) {
        let floors = context.keys.verify(&club, token).ok_or(Code::BadToken)?;
        consistency = Session::with_floors(floors);
    }
    consistency.set_max_age(service.max_age);
    if let Some((_, age)) = parameters.iter().find(|(name, _)| name == MAX_AGE_PARAMETER) {
        consistency.set_max_age(Some(tamarackbend_sql::parse_age(age).ok_or(Code::BadParameter)?));
    }
    let service = service.clone();
    let client = Client { club, database, service, consistency, session_id: rand::random() };
    start_session(writer, context, &client).await?;
    Ok(Some(client))
}

async fn read_startup(
    reader: &mut ClientReader,
    writer: &mut Writer,
    context: &Context,
) -> Result<Option<Startup>, Code> {
    loop {
        match reader.next().await {
            Ok(Frontend::SslNegotiation(_)) => {
                send(writer, &[Backend::SslResponse(SslResponse::Refuse)]).await?;
            }
            Ok(Frontend::Startup(startup)) => return Ok(Some(startup)),
            Ok(Frontend::CancelRequest(request)) => {
                let secret = request.secret_key.as_i32().unwrap_or_default();
                // The hub stops only with the node.
                let _ = context.hub.unbounded_send(Message::CancelRequest(request.pid, secret));
                return Ok(None);
            }
            Ok(_) => return Err(Code::BadMessage),
            Err(error) if error.is_closed() => return Ok(None),
            Err(_) => return Err(Code::BadMessage),
        }
    }
}

async fn fetch_config(context: &Context) -> Result<Arc<Config>, Code> {
    let (reply, answer) = oneshot::channel();
    context.hub.unbounded_send(Message::GetConfig(reply)).map_err(|_| Code::Draining)?;
    answer.await.map_err(|_| Code::Draining)
}

async fn authenticate(
    reader: &mut ClientReader,
    writer: &mut Writer,
    config: &Config,
    club: &str,
) -> Result<(), Code> {
    let verifier = config.document.club(club).map_or(DUMMY_VERIFIER, |club| club.verifier.as_str());
    let mechanisms = vec!["SCRAM-SHA-256".to_owned()];
    send(writer, &[Backend::Authentication(Authentication::SASL(mechanisms))]).await?;
    let initial_response = match read_password(reader).await? {
        Frontend::PasswordMessageFamily(message) => {
            message.into_sasl_initial_response().map_err(|_| Code::BadMessage)?
        }
        _ => return Err(Code::BadMessage),
    };
    let client_first = utf8(&initial_response.data.unwrap_or_default())?;
    let (exchange, challenge) =
        Exchange::new(verifier, &client_first).map_err(|_| Code::BadPassword)?;
    let challenge = Authentication::SASLContinue(Bytes::from(challenge));
    send(writer, &[Backend::Authentication(challenge)]).await?;
    let response = match read_password(reader).await? {
        Frontend::PasswordMessageFamily(message) => {
            message.into_sasl_response().map_err(|_| Code::BadMessage)?
        }
        _ => return Err(Code::BadMessage),
    };
    let server_signature =
        exchange.finish(&utf8(&response.data)?).map_err(|_| Code::BadPassword)?;
    let server_final = Authentication::SASLFinal(Bytes::from(server_signature));
    send(writer, &[Backend::Authentication(server_final)]).await
}

async fn read_password(reader: &mut ClientReader) -> Result<Frontend, Code> {
    reader.next().await.map_err(|_| Code::BadMessage)
}

fn utf8(bytes: &[u8]) -> Result<String, Code> {
    std::str::from_utf8(bytes).map(str::to_owned).map_err(|_| Code::BadMessage)
}

/// Returns the parameters of the startup message, and those in its `options`.
fn session_parameters(startup: &Startup) -> Vec<(String, String)> {
    let startup_parameters = startup.parameters.iter();
    let mut parameters: Vec<(String, String)> =
        startup_parameters.map(|(name, value)| (name.clone(), value.clone())).collect();
    let options = startup.parameters.get("options").cloned().unwrap_or_default();
    for word in options.split_whitespace() {
        let setting = word.strip_prefix("-c").unwrap_or(word);
        let setting = setting.strip_prefix("--").unwrap_or(setting);
        if let Some((name, value)) = setting.split_once('=') {
            parameters.push((name.to_owned(), value.to_owned()));
        }
    }
    parameters
}

/// Returns whether `name` is that of the parameter with the client's character set. Options may have
/// hyphens for underscores.
fn is_character_set(name: &str) -> bool {
    name.replace('-', "_").eq_ignore_ascii_case("client_encoding")
}

/// Returns whether `value` names UTF-8. As in PostgreSQL, only letters and digits count.
pub(super) fn is_utf8(value: &str) -> bool {
    let name: String = value.chars().filter(char::is_ascii_alphanumeric).collect();
    ["utf8", "unicode"].contains(&name.to_ascii_lowercase().as_str())
}

/// Announces the session to the hub and tells the client that it is ready.
async fn start_session(
    writer: &mut Writer,
    context: &Context,
    client: &Client,
) -> Result<(), Code> {
    let (pid, secret): (u16, i32) = (rand::random(), rand::random());
    let pid = i32::from(pid) + 1;
    let (session, database) = (client.session_id, client.database.clone());
    let started = Message::SessionStarted { session, pid, secret, database };
    context.hub.unbounded_send(started).map_err(|_| Code::Draining)?;
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
    send(writer, &messages).await
}

async fn send(writer: &mut Writer, messages: &[Backend]) -> Result<(), Code> {
    let mut output = BytesMut::new();
    for message in messages {
        message::put_backend(message, &mut output).map_err(|_| Code::BadMessage)?;
    }
    writer.send(&mut output).await.map_err(|_| Code::BadMessage)
}
