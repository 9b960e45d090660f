//! Commands that call the admin interface of nodes.

use std::net::SocketAddr;

use serde_json::Value;

use crate::error::{Code, Error, Result};

/// Prints a table with one line per node, or the states of the reachable nodes as JSON.
pub(crate) async fn status(nodes: &[SocketAddr], token: &str, json: bool) -> Result<()> {
    let mut states = Vec::new();
    for node in nodes {
        states.push((node, get(*node, token).await));
    }
    if json {
        let reachable: Vec<Value> =
            states.into_iter().filter_map(|(_, state)| state.ok()).collect();
        println!("{}", serde_json::to_string_pretty(&reachable).unwrap_or_default());
        return Ok(());
    }
    let header = ["node", "failure domain", "config", "callers", "owns", "waiting", "state"];
    println!("{}", format_row(&header.map(str::to_owned)));
    for (node, state) in &states {
        println!("{}", format_row(&status_cells(**node, state.as_ref().ok())));
    }
    Ok(())
}

pub(crate) async fn state(node: SocketAddr, token: &str) -> Result<()> {
    let state = get(node, token).await?;
    println!("{}", serde_json::to_string_pretty(&state).unwrap_or_default());
    Ok(())
}

pub(crate) async fn drain(node: SocketAddr, token: &str) -> Result<()> {
    let request = cyper::Client::new()?.post(format!("http://{node}/drain"))?;
    check_status(request.bearer_auth(token)?.send().await?).await?;
    println!("node at {node} is draining");
    Ok(())
}

async fn get(node: SocketAddr, token: &str) -> Result<Value> {
    let request = cyper::Client::new()?.get(format!("http://{node}/state"))?;
    let response = check_status(request.bearer_auth(token)?.send().await?).await?;
    Ok(response.json().await?)
}

/// Returns the response unless its status is an error.
async fn check_status(response: cyper::Response) -> Result<cyper::Response> {
    match response.status().as_u16() {
        200..300 => Ok(response),
        status => Err(Error::new(Code::HttpStatus(status))),
    }
}

fn status_cells(node: SocketAddr, state: Option<&Value>) -> [String; 7] {
    let Some(state) = state else {
        let none = String::new;
        return [node.to_string(), none(), none(), none(), none(), none(), "silent".to_owned()];
    };
    let text = |name: &str| state[name].as_str().unwrap_or_default().to_owned();
    let number = |name: &str| state[name].as_u64().unwrap_or_default().to_string();
    let owners = state["owners"].as_object();
    let waiting: u64 = owners
        .iter()
        .flat_map(|owners| owners.values())
        .filter_map(|owner| owner["waiting"].as_u64())
        .sum();
    let is_draining = state["draining"] == Value::Bool(true);
    [
        text("vm"),
        text("failure_domain"),
        number("config_version"),
        number("callers"),
        owners.map_or(0, serde_json::Map::len).to_string(),
        waiting.to_string(),
        if is_draining { "draining" } else { "serving" }.to_owned(),
    ]
}

fn format_row(cells: &[String; 7]) -> String {
    let [node, domain, config, callers, owns, waiting, state] = cells;
    format!("{node:<22} {domain:<15} {config:>6} {callers:>8} {owns:>5} {waiting:>8} {state}")
}
