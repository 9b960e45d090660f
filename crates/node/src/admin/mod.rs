//! HTTP for operators and the balancer: health, metrics, the state dump and drain.

use std::net::TcpListener;
use std::sync::OnceLock;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::IntoResponse;
use axum::routing::{get, post};
use futures_channel::oneshot;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use subtle::ConstantTimeEq;
use tamarackbend_config::Settings;

use crate::hub::{self, Message, Sender};

#[derive(Clone)]
struct Shared {
    hub: Sender,
    token: String,
    metrics: PrometheusHandle,
}

/// Serves operators for as long as the node runs.
pub(crate) fn serve(
    listener: TcpListener,
    hub: Sender,
    settings: &Settings,
) -> impl Future<Output = ()> + use<> {
    let shared = Shared { hub, token: settings.admin_token.clone(), metrics: recorder() };
    let router = Router::new()
        .route("/healthz", get(healthz))
        .route("/readyz", get(readyz))
        .route("/metrics", get(render))
        .route("/state", get(state))
        .route("/drain", post(drain))
        .with_state(shared);
    async move {
        let listener = compio::net::TcpListener::from_std(listener).expect("the socket is valid");
        // The server runs as long as its node.
        let _ = cyper_axum::serve(listener, router).await;
    }
}

/// Returns the recorder of the process, which is installed on first use.
fn recorder() -> PrometheusHandle {
    static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // A program that embeds the node may have installed its own.
        let _ = metrics::set_global_recorder(recorder);
        handle
    };
    RECORDER.get_or_init(install).clone()
}

fn authorize(shared: &Shared, headers: &HeaderMap) -> Result<(), StatusCode> {
    let given = headers.get("authorization").and_then(|value| value.to_str().ok());
    let token = given.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    match bool::from(token.as_bytes().ct_eq(shared.token.as_bytes())) {
        true => Ok(()),
        false => Err(StatusCode::UNAUTHORIZED),
    }
}

async fn ask(shared: &Shared) -> Result<hub::State, StatusCode> {
    let (reply, answer) = oneshot::channel();
    let sent = shared.hub.unbounded_send(Message::GetState(reply));
    sent.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    answer.await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)
}

async fn healthz(State(shared): State<Shared>) -> Result<&'static str, StatusCode> {
    ask(&shared).await.map(|_| "ok\n")
}

async fn readyz(State(shared): State<Shared>) -> Result<&'static str, StatusCode> {
    let state = ask(&shared).await?;
    match state.is_ready() {
        true => Ok("ready\n"),
        false => Err(StatusCode::SERVICE_UNAVAILABLE),
    }
}

async fn render(State(shared): State<Shared>) -> String {
    shared.metrics.run_upkeep();
    shared.metrics.render()
}

async fn state(
    State(shared): State<Shared>,
    headers: HeaderMap,
) -> Result<impl IntoResponse, StatusCode> {
    authorize(&shared, &headers)?;
    Ok(Json(ask(&shared).await?))
}

async fn drain(State(shared): State<Shared>, headers: HeaderMap) -> Result<(), StatusCode> {
    authorize(&shared, &headers)?;
    shared.hub.unbounded_send(Message::Drain).map_err(|_| StatusCode::SERVICE_UNAVAILABLE)
}
