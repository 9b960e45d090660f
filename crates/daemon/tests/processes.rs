//! Runs nodes as separate processes. Acknowledged writes must not be lost or repeated when a node
//! is suspended for longer than its timeouts and resumes with outdated state, or is killed.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamarackbend_mutation::mutate;
use tamarackbend_objects::api::Vm;
use tamarackbend_standin::deployment::{Plan, publish};
use tamarackbend_standin::platform::Platform;
use tokio_postgres::{Client, NoTls};

/// Number of malformed connections to a node.
const MALFORMED_CONNECTIONS: u64 = 400;
/// Startup message of a client.
const STARTUP: &[u8] = b"\0\0\0\x2d\0\x03\0\0user\0loket\0database\0pachtregister-1\0\0";

const DOMAINS: [&str; 3] = ["noord-a", "midden-a", "zuid-a"];

struct Process {
    child: Child,
    client_address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }
}

/// Returns an address that is currently unused.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("an address is free");
    listener.local_addr().expect("the socket is bound")
}

/// Starts a node, with other addresses if another process takes an address first.
fn start(index: usize, platform: &Platform) -> Process {
    loop {
        if let Some(process) = try_start(index, platform) {
            return process;
        }
    }
}

fn try_start(index: usize, platform: &Platform) -> Option<Process> {
    let (client_address, peer_address) = (free_address(), free_address());
    let vm = format!("entry-{index}");
    let text = format!(
        "vm: {vm}\nfailure_domain: {domain}\ncaller_address: {client_address}\n\
         peer_address: {peer_address}\nadmin_address: 127.0.0.1:0\n\
         platform_address: {platform}\nadmin_token: long-enough\n",
        domain = DOMAINS[index],
        platform = platform.address(),
    );
    // The tests of this file run at the same time, each with a platform of its own.
    let port = platform.address().port();
    let file =
        std::env::temp_dir().join(format!("node-{}-{port}-{index}.yaml", std::process::id()));
    std::fs::write(&file, text).expect("the file can be written");
    let mut child = Command::new(env!("CARGO_BIN_EXE_tamarackbendd"))
        .arg("--settings")
        .arg(&file)
        .env("RUST_LOG", "error")
        .spawn()
        .expect("the daemon starts");
    while TcpStream::connect(client_address).is_err() {
        if child.try_wait().expect("the daemon can be waited for").is_some() {
            return None;
        }
        std::thread::yield_now();
    }
    let failure_domain = DOMAINS[index].to_owned();
    platform.set_vm(Vm { name: vm, failure_domain, peer_address, draining: false });
    Some(Process { child, client_address })
}

async fn connect(address: SocketAddr) -> Option<Client> {
    let dsn = format!("postgresql://loket:loket-password@{address}/pachtregister-1");
    let (client, connection) = tokio_postgres::connect(&dsn, NoTls).await.ok()?;
    tokio::spawn(connection);
    Some(client)
}

/// Retries to connect until the node serves the database.
async fn connect_when_ready(address: SocketAddr) -> Client {
    loop {
        match connect(address).await {
            Some(client) => return client,
            None => tokio::task::yield_now().await,
        }
    }
}

/// Inserts rows with increasing ids until an insert is acknowledged; returns its id.
async fn insert_row(client: &Client, last_id: &mut i32) -> i32 {
    loop {
        *last_id += 1;
        let sql = format!("INSERT INTO lease VALUES ({last_id})");
        if client.batch_execute(&sql).await.is_ok() {
            return *last_id;
        }
    }
}

/// Retries to read the ids of all rows until the query succeeds.
async fn read_ids(client: &Client) -> Vec<i32> {
    loop {
        let Ok(messages) = client.simple_query("SELECT id FROM lease ORDER BY id").await else {
            continue;
        };
        let id = |message: &tokio_postgres::SimpleQueryMessage| match message {
            tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0)?.parse().ok(),
            _ => None,
        };
        return messages.iter().filter_map(id).collect();
    }
}

#[test]
fn acknowledged_writes_are_read_everywhere_after_a_kill_and_a_pause() {
    let platform = Platform::start(([127, 0, 0, 1], 0).into()).expect("the platform starts");
    let plan = Plan::amstelweide().with_databases(1).with_delays(false);
    let deployment = plan.start(&platform).expect("the endpoints start");
    publish(&platform, &[deployment.document]);
    let mut nodes: Vec<Process> = (0..3).map(|index| start(index, &platform)).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime can be created").block_on(async {
        let (mut last_id, mut acknowledged) = (0, Vec::new());
        let client = connect_when_ready(nodes[0].client_address).await;
        client.batch_execute("CREATE TABLE lease (id INTEGER)").await.expect("DDL works");
        acknowledged.push(insert_row(&client, &mut last_id).await);

        // Suspends each node in turn while the others take writes, so that it resumes with outdated
        // state.
        for suspended in 0..3 {
            let others: Vec<usize> = (0..3).filter(|index| *index != suspended).collect();
            nodes[suspended].signal("-STOP");
            for other in &others {
                let client = connect_when_ready(nodes[*other].client_address).await;
                acknowledged.push(insert_row(&client, &mut last_id).await);
            }
            nodes[suspended].signal("-CONT");
            let client = connect_when_ready(nodes[suspended].client_address).await;
            let ids = read_ids(&client).await;
            assert!(acknowledged.iter().all(|id| ids.contains(id)), "after the pause");
            acknowledged.push(insert_row(&client, &mut last_id).await);
        }

        nodes.remove(0);
        for node in &nodes {
            let client = connect_when_ready(node.client_address).await;
            acknowledged.push(insert_row(&client, &mut last_id).await);
            let ids = read_ids(&client).await;
            assert!(acknowledged.iter().all(|id| ids.contains(id)), "after the kill");
            let mut distinct_ids = ids.clone();
            distinct_ids.dedup();
            assert_eq!(ids, distinct_ids, "each row is written once");
        }
    });
}

/// Guards against a second SIGTERM that ends the process at once: the library restored the default action
/// of a signal when its listener was dropped, which happened with the first one.
#[test]
fn second_sigterm_does_not_cut_a_transaction() {
    let platform = Platform::start(([127, 0, 0, 1], 0).into()).expect("the platform starts");
    let plan = Plan::amstelweide().with_databases(1).with_delays(false);
    let deployment = plan.start(&platform).expect("the endpoints start");
    publish(&platform, &[deployment.document]);
    let node = start(0, &platform);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime can be created").block_on(async {
        let client = connect_when_ready(node.client_address).await;
        client.batch_execute("CREATE TABLE lease (id INTEGER)").await.expect("DDL works");
        client.batch_execute("BEGIN").await.expect("a transaction begins");
        client.batch_execute("INSERT INTO lease VALUES (1)").await.expect("the write runs");
        for _ in 0..5 {
            node.signal("-TERM");
        }
        client.batch_execute("COMMIT").await.expect("the commit is answered");
    });
}

/// Sends `input` on a connection of its own, and waits until the node has closed it.
fn send_malformed(address: SocketAddr, input: &[u8]) {
    let mut stream = TcpStream::connect(address).expect("the node accepts connections");
    // These fail if the node has closed the connection already.
    let _ = stream.write_all(input);
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.read_to_end(&mut Vec::new());
}

/// Guards against a malformed first message that affects other connections than its own.
#[test]
fn malformed_messages_end_at_most_their_own_connection() {
    let platform = Platform::start(([127, 0, 0, 1], 0).into()).expect("the platform starts");
    let plan = Plan::amstelweide().with_databases(1).with_delays(false);
    let deployment = plan.start(&platform).expect("the endpoints start");
    publish(&platform, &[deployment.document]);
    let mut node = start(0, &platform);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime can be created").block_on(async {
        let client = connect_when_ready(node.client_address).await;
        for seed in 0..MALFORMED_CONNECTIONS {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            send_malformed(node.client_address, &mutate(&mut random, STARTUP));
        }
        client.simple_query("SELECT 1").await.expect("the earlier session goes on");
        let client = connect_when_ready(node.client_address).await;
        client.simple_query("SELECT 1").await.expect("a new session is served");
    });
    assert!(node.child.try_wait().expect("the daemon can be waited for").is_none());
}
