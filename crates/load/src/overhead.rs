//! Cost of the way through a node, against an endpoint directly.

use std::fmt;
use std::time::Instant;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use tamarackbend_standin::deployment::Plan;
use tokio_postgres::{Client, NoTls};

use crate::error::Code;
use crate::{Error, Fleet, Layout, Result};

/// Statements of one measurement.
const STATEMENTS: usize = 2000;
/// Callers that send at once.
const CALLERS: usize = 4;

/// Figures of one run, all with the same statement and without delays.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Overhead {
    /// Directly to an endpoint.
    pub direct: Path,
    /// Through the node that owns the database.
    pub owner: Path,
    /// Through another node.
    pub other: Path,
}

/// Figures of one way.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Path {
    /// Median latency of one caller, in microseconds.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Statements a second of several callers.
    pub statements_per_s: f64,
}

impl fmt::Display for Overhead {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ways = [("direct", self.direct), ("owner", self.owner), ("other", self.other)];
        for (name, path) in ways {
            writeln!(
                formatter,
                "{name}: p50 {} us, p99 {} us, {:.0} statements/s; ratio to direct {:.2} and {:.2}",
                path.p50_us,
                path.p99_us,
                path.statements_per_s,
                path.p50_us as f64 / self.direct.p50_us.max(1) as f64,
                path.statements_per_s / self.direct.statements_per_s.max(1.0)
            )?;
        }
        Ok(())
    }
}

/// Measures reads by each way in one run.
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
        let first = connect(&through(0)).await?;
        run(&first, "CREATE TABLE book (id INTEGER); INSERT INTO book VALUES (1)").await?;
        let owner = owner(&fleet);
        let replica = fleet.group(&database).map(|group| group.addresses()[1]);
        let replica = replica.ok_or_else(|| Error::new(Code::NotReady))?;
        let direct = format!("postgresql://anyone@{replica}/{database}");
        Ok(Overhead {
            direct: path(&direct).await?,
            owner: path(&through(owner)).await?,
            other: path(&through((owner + 1) % fleet.nodes().len())).await?,
        })
    })
}

fn owner(fleet: &Fleet) -> usize {
    let owns = |node: &usize| fleet.state(*node).unwrap_or_default().contains("\"phase\"");
    (0..fleet.nodes().len()).find(owns).unwrap_or(0)
}

async fn path(dsn: &str) -> Result<Path> {
    let client = connect(dsn).await?;
    let mut histogram = Histogram::<u64>::new(3).expect("the precision is valid");
    for _ in 0..STATEMENTS {
        let started = Instant::now();
        run(&client, "SELECT id FROM book").await?;
        histogram.saturating_record(started.elapsed().as_micros() as u64);
    }
    drop(client);
    let mut clients = Vec::new();
    for _ in 0..CALLERS {
        clients.push(connect(dsn).await?);
    }
    let started = Instant::now();
    let work = clients.iter().map(|client| async move {
        for _ in 0..STATEMENTS {
            run(client, "SELECT id FROM book").await?;
        }
        Ok::<(), Error>(())
    });
    futures_util::future::try_join_all(work).await?;
    let total = (STATEMENTS * clients.len()) as f64;
    Ok(Path {
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
        statements_per_s: total / started.elapsed().as_secs_f64(),
    })
}

async fn connect(dsn: &str) -> Result<Client> {
    let opened = tokio_postgres::connect(dsn, NoTls).await;
    let (client, connection) =
        opened.map_err(|error| Error::new(Code::Caller(error.to_string())))?;
    tokio::spawn(connection);
    Ok(client)
}

async fn run(client: &Client, sql: &str) -> Result<()> {
    let answered = client.simple_query(sql).await;
    answered.map(|_| ()).map_err(|error| Error::new(Code::Caller(error.to_string())))
}
