//! HTTP interface for operators and the load balancer: health, metrics, state dump and drain.

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
struct AppState {
    hub: Sender,
    admin_token: String,
    metrics: PrometheusHandle,
}

/// Serves the HTTP interface until the node stops.
pub(crate) fn serve(
    listener: TcpListener,
    hub: Sender,
    settings: &Settings,
) -> impl Future<Output = ()> + use<> {
    let app_state =
        AppState { hub, admin_token: settings.admin_token.clone(), metrics: metrics_handle() };
    let router = Router::new()
        .route("/healthz", get(healthz))
        .route("/readyz", get(readyz))
        .route("/metrics", get(render_metrics))
        .route("/state", get(dump_state))
        .route("/drain", post(drain))
        .with_state(app_state);
    async move {
        let listener = compio::net::TcpListener::from_std(listener).expect("the socket is valid");
        // The node drops this task when it stops.
        let _ = cyper_axum::serve(listener, router).await;
    }
}

/// Returns a handle to the metrics recorder of the process, which is installed on first use.
fn metrics_handle() -> PrometheusHandle {
    static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // A program that embeds the node may have installed its own recorder.
        let _ = metrics::set_global_recorder(recorder);
        handle
    };
    RECORDER.get_or_init(install).clone()
}

fn authorize(app_state: &AppState, headers: &HeaderMap) -> Result<(), StatusCode> {
    let header = headers.get("authorization").and_then(|value| value.to_str().ok());
    let token = header.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    match bool::from(token.as_bytes().ct_eq(app_state.admin_token.as_bytes())) {
        true => Ok(()),
        false => Err(StatusCode::UNAUTHORIZED),
    }
}

async fn fetch_state(app_state: &AppState) -> Result<hub::State, StatusCode> {
    let (reply, answer) = oneshot::channel();
    let request = app_state.hub.unbounded_send(Message::GetState(reply));
    request.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    answer.await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)
}

async fn healthz(State(app_state): State<AppState>) -> Result<&'static str, StatusCode> {
    fetch_state(&app_state).await.map(|_| "ok\n")
}

async fn readyz(State(app_state): State<AppState>) -> Result<&'static str, StatusCode> {
    let state = fetch_state(&app_state).await?;
    match state.is_ready() {
        true => Ok("ready\n"),
        false => Err(StatusCode::SERVICE_UNAVAILABLE),
    }
}

async fn render_metrics(State(app_state): State<AppState>) -> String {
    app_state.metrics.run_upkeep();
    app_state.metrics.render()
}

async fn dump_state(
    State(app_state): State<AppState>,
    headers: HeaderMap,
) -> Result<impl IntoResponse, StatusCode> {
    authorize(&app_state, &headers)?;
    Ok(Json(fetch_state(&app_state).await?))
}

async fn drain(State(app_state): State<AppState>, headers: HeaderMap) -> Result<(), StatusCode> {
    authorize(&app_state, &headers)?;
    app_state.hub.unbounded_send(Message::Drain).map_err(|_| StatusCode::SERVICE_UNAVAILABLE)
}
