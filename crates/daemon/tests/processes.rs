//! Nodes as processes: one is killed, one is stopped for longer than every timeout and continued.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command};

use tamarackbend_objects::api::Vm;
use tamarackbend_standin::deployment::{Plan, publish};
use tamarackbend_standin::platform::Platform;
use tokio_postgres::{Client, NoTls};

const DOMAINS: [&str; 3] = ["noord-a", "midden-a", "zuid-a"];

struct Process {
    child: Child,
    caller: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that is gone already needs no end.
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

/// Returns an address that was free a moment ago.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("an address is free");
    listener.local_addr().expect("the socket is bound")
}

/// Starts a node; another process may take a free address first, then others are tried.
fn start(index: usize, platform: &Platform) -> Process {
    loop {
        if let Some(process) = try_start(index, platform) {
            return process;
        }
    }
}

fn try_start(index: usize, platform: &Platform) -> Option<Process> {
    let (caller, peer) = (free_address(), free_address());
    let vm = format!("entry-{index}");
    let text = format!(
        "vm: {vm}\nfailure_domain: {domain}\ncaller_address: {caller}\npeer_address: {peer}\n\
         admin_address: 127.0.0.1:0\nplatform_address: {platform}\nadmin_token: long-enough\n",
        domain = DOMAINS[index],
        platform = platform.address(),
    );
    let file = std::env::temp_dir().join(format!("node-{}-{index}.yaml", std::process::id()));
    std::fs::write(&file, text).expect("the file can be written");
    let mut child = Command::new(env!("CARGO_BIN_EXE_tamarackbendd"))
        .arg("--settings")
        .arg(&file)
        .env("RUST_LOG", "error")
        .spawn()
        .expect("the daemon starts");
    while TcpStream::connect(caller).is_err() {
        if child.try_wait().expect("the daemon can be waited for").is_some() {
            return None;
        }
        std::thread::yield_now();
    }
    let failure_domain = DOMAINS[index].to_owned();
    platform.set_vm(Vm { name: vm, failure_domain, peer_address: peer, draining: false });
    Some(Process { child, caller })
}

async fn connect(address: SocketAddr) -> Option<Client> {
    let dsn = format!("postgresql://loket:loket-password@{address}/pachtregister-1");
    let (client, connection) = tokio_postgres::connect(&dsn, NoTls).await.ok()?;
    tokio::spawn(connection);
    Some(client)
}

/// Connects as soon as the node serves the database.
async fn login(address: SocketAddr) -> Client {
    loop {
        match connect(address).await {
            Some(client) => return client,
            None => tokio::task::yield_now().await,
        }
    }
}

/// Writes rows until one is acknowledged; returns it.
async fn write(client: &Client, next: &mut i32) -> i32 {
    loop {
        *next += 1;
        let sql = format!("INSERT INTO lease VALUES ({next})");
        if client.batch_execute(&sql).await.is_ok() {
            return *next;
        }
    }
}

async fn rows(client: &Client) -> Vec<i32> {
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
        let (mut next, mut acknowledged) = (0, Vec::new());
        let client = login(nodes[0].caller).await;
        client.batch_execute("CREATE TABLE lease (id INTEGER)").await.expect("DDL works");
        acknowledged.push(write(&client, &mut next).await);

        // Each node in turn stands still while the others go on, and goes on with old knowledge.
        for stopped in 0..3 {
            let others: Vec<usize> = (0..3).filter(|index| *index != stopped).collect();
            nodes[stopped].signal("-STOP");
            for other in &others {
                let client = login(nodes[*other].caller).await;
                acknowledged.push(write(&client, &mut next).await);
            }
            nodes[stopped].signal("-CONT");
            let client = login(nodes[stopped].caller).await;
            let seen = rows(&client).await;
            assert!(acknowledged.iter().all(|row| seen.contains(row)), "after the pause");
            acknowledged.push(write(&client, &mut next).await);
        }

        nodes.remove(0);
        for node in &nodes {
            let client = login(node.caller).await;
            acknowledged.push(write(&client, &mut next).await);
            let seen = rows(&client).await;
            assert!(acknowledged.iter().all(|row| seen.contains(row)), "after the kill");
            let mut once = seen.clone();
            once.dedup();
            assert_eq!(seen, once, "each row is written once");
        }
    });
}
