//! Measurement of the latency and throughput of reads through a node, compared to reads directly at
//! an endpoint.

use std::fmt;
use std::time::Instant;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use tamarackbend_standin::deployment::Plan;
use tokio_postgres::{Client, NoTls};

use crate::error::Code;
use crate::{Error, Fleet, Layout, Result};

/// Number of statements of each client.
const STATEMENTS: usize = 2000;
/// Number of concurrent clients in the measurement of throughput.
const CLIENTS: usize = 4;

/// Figures of all routes, measured with the same statement and without network delays.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Overhead {
    /// Directly to an endpoint.
    pub direct: Route,
    /// Through the node that owns the database.
    pub owner: Route,
    /// Through a node that does not own the database and forwards its statements to the owner.
    #[serde(rename = "other")]
    pub non_owner: Route,
}

/// Figures of one route from a client to an endpoint.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Route {
    /// Median latency of a single client, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency of a single client, in microseconds.
    pub p99_us: u64,
    /// Statements per second of several concurrent clients.
    pub statements_per_s: f64,
}

impl fmt::Display for Overhead {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let routes = [("direct", self.direct), ("owner", self.owner), ("other", self.non_owner)];
        for (name, route) in routes {
            writeln!(
                formatter,
                "{name}: p50 {} us, p99 {} us, {:.0} statements/s; ratio to direct {:.2} and {:.2}",
                route.p50_us,
                route.p99_us,
                route.statements_per_s,
                route.p50_us as f64 / self.direct.p50_us.max(1) as f64,
                route.statements_per_s / self.direct.statements_per_s.max(1.0)
            )?;
        }
        Ok(())
    }
}

/// Measures reads on each route, all in one fleet.
///
/// # Errors
///
/// Fails when the fleet does not start or a statement fails.
pub fn overhead() -> Result<Overhead> {
    let plan = Plan::amstelweide().with_databases(1).with_delays(false);
    let layout = Layout { plans: vec![plan], ..Layout::default() };
    let fleet = Fleet::start(layout)?;
    let database = fleet.databases(0)[0].clone();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let through = |node| fleet.dsn(0, 0, &database, node);
        let client = connect(&through(0)).await?;
        execute(&client, "CREATE TABLE book (id INTEGER); INSERT INTO book VALUES (1)").await?;
        let owner = owner_index(&fleet);
        let replica = fleet.group(&database).map(|group| group.addresses()[1]);
        let replica = replica.ok_or_else(|| Error::new(Code::NotReady))?;
        let direct = format!("postgresql://anyone@{replica}/{database}");
        Ok(Overhead {
            direct: measure_route(&direct).await?,
            owner: measure_route(&through(owner)).await?,
            non_owner: measure_route(&through((owner + 1) % fleet.nodes().len())).await?,
        })
    })
}

/// Returns the index of the node that owns the database.
fn owner_index(fleet: &Fleet) -> usize {
    let owns = |node: &usize| fleet.state(*node).unwrap_or_default().contains("\"phase\"");
    (0..fleet.nodes().len()).find(owns).unwrap_or(0)
}

async fn measure_route(dsn: &str) -> Result<Route> {
    let client = connect(dsn).await?;
    let mut histogram = Histogram::<u64>::new(3).expect("the precision is valid");
    for _ in 0..STATEMENTS {
        let started_at = Instant::now();
        execute(&client, "SELECT id FROM book").await?;
        histogram.saturating_record(started_at.elapsed().as_micros() as u64);
    }
    drop(client);
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        clients.push(connect(dsn).await?);
    }
    let started_at = Instant::now();
    let loops = clients.iter().map(|client| async move {
        for _ in 0..STATEMENTS {
            execute(client, "SELECT id FROM book").await?;
        }
        Ok::<(), Error>(())
    });
    futures_util::future::try_join_all(loops).await?;
    let statements = (STATEMENTS * clients.len()) as f64;
    Ok(Route {
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
        statements_per_s: statements / started_at.elapsed().as_secs_f64(),
    })
}

async fn connect(dsn: &str) -> Result<Client> {
    let result = tokio_postgres::connect(dsn, NoTls).await;
    let (client, connection) = result
        .map_err(|error| Error::new(Code::Step(format!("connection cannot be opened: {error}"))))?;
    tokio::spawn(connection);
    Ok(client)
}

async fn execute(client: &Client, sql: &str) -> Result<()> {
    let result = client.simple_query(sql).await;
    result.map(|_| ()).map_err(|error| {
        Error::new(Code::Step(format!("statement {sql:?} cannot be executed: {error}")))
    })
}
