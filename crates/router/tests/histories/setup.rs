//! Settings and configuration of the nodes of the test world.

use std::time::Duration;

use tamarackbend_router::configuration::{Configuration, Consistency, Route, Service};
use tamarackbend_router::settings::Settings;

use crate::world::SERVICE;

/// Returns the settings of a node.
pub fn settings(index: usize) -> Settings {
    Settings {
        node: format!("node-{index}"),
        failure_domain: "near".to_owned(),
        is_first_start: false,
        regions: [("near".to_owned(), "region".to_owned())].into(),
        drain_timeout: Duration::from_secs(7),
        stop_timeout: Duration::from_secs(6),
        has_customers: false,
        limit_window: Duration::from_secs(5),
        limit_slack: 20.0,
    }
}

/// Returns a configuration with one database.
pub fn configuration(consistency: Consistency) -> Configuration {
    let route = Route {
        service: SERVICE.into(),
        consistency,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(400),
        priority: 1,
        is_public: false,
    };
    Configuration {
        version: 1,
        routes: [("db".to_owned(), route)].into(),
        services: vec![Service { name: SERVICE.into(), connections: 76 }],
        transaction_idle: Duration::from_secs(3),
        customers: None,
    }
}
