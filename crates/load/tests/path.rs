//! Tests of the whole path with a PostgreSQL client library: client, node, owner and endpoint.

use tamarackbend_load::{Fleet, Layout};
use tokio_postgres::{Client, NoTls};

async fn connect(dsn: &str) -> Client {
    let (client, connection) = tokio_postgres::connect(dsn, NoTls).await.expect("login works");
    tokio::spawn(connection);
    client
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime can be created").block_on(future)
}

/// Guards against a read at another node that misses an acknowledged write.
#[test]
fn write_is_read_at_another_node() {
    let fleet = Fleet::start(Layout::default()).expect("the fleet starts");
    let dsns = fleet.dsns();
    block_on(async {
        let writer = connect(&dsns[0]).await;
        writer
            .batch_execute("CREATE TABLE lease (id INTEGER PRIMARY KEY, tenant TEXT)")
            .await
            .expect("DDL works");
        let inserted = writer
            .execute("INSERT INTO lease (id, tenant) VALUES ($1, $2)", &[&7i32, &"Anna"])
            .await
            .expect("INSERT works");
        assert_eq!(inserted, 1);
        for dsn in &dsns[..3] {
            let reader = connect(dsn).await;
            let row = reader
                .query_one("SELECT tenant FROM lease WHERE id = $1", &[&7i32])
                .await
                .expect("SELECT works");
            assert_eq!(row.get::<_, String>(0), "Anna");
        }
    });
}

/// Guards against statements of a transaction that run on different connections to an endpoint, so
/// that a rollback or a commit misses them.
#[test]
fn transaction_is_atomic_and_pinned() {
    let fleet = Fleet::start(Layout::default()).expect("the fleet starts");
    let dsns = fleet.dsns();
    block_on(async {
        let mut client = connect(&dsns[1]).await;
        client.batch_execute("CREATE TABLE swap (id INTEGER PRIMARY KEY)").await.expect("DDL");
        let transaction = client.transaction().await.expect("BEGIN works");
        transaction.execute("INSERT INTO swap VALUES (1)", &[]).await.expect("INSERT works");
        transaction.rollback().await.expect("ROLLBACK works");
        let transaction = client.transaction().await.expect("BEGIN works");
        transaction.execute("INSERT INTO swap VALUES (2)", &[]).await.expect("INSERT works");
        transaction.commit().await.expect("COMMIT works");
        let rows = client.query("SELECT id FROM swap", &[]).await.expect("SELECT works");
        let ids: Vec<i32> = rows.iter().map(|row| row.get(0)).collect();
        assert_eq!(ids, [2]);
    });
}

/// Guards against a login that succeeds, or fails with another SQLSTATE, despite a wrong password.
#[test]
fn wrong_password_is_refused() {
    let fleet = Fleet::start(Layout::default()).expect("the fleet starts");
    let dsn = fleet.dsns()[0].replace("-password@", "-guess@");
    let error = block_on(async { tokio_postgres::connect(&dsn, NoTls).await.err() });
    let error = error.expect("login fails");
    assert_eq!(error.code().map(|code| code.code()), Some("28P01"));
}
