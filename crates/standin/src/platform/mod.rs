//! Stand-in of the platform: versioned objects, watches, the list of VMs, faults and call counts.
//!
//! The paths below `/standin` are for tests: they set faults and VMs and read counts, and no fault
//! affects them.

mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post, put};
use compio::net::TcpListener;
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::Value;
pub use state::{Calls, Faults};
use tamarackbend_objects::api::{Object, UpdateResponse, Vm, WatchResponse};

use crate::endpoint;
use crate::platform::state::Objects;

/// Interval at which watches are checked for the end of their wait.
const WATCH_EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Duration of a sleep, and the channel that signals its end.
type Sleep = (Duration, oneshot::Sender<()>);

#[derive(Clone)]
struct Shared {
    objects: Arc<Mutex<Objects>>,
    timer: mpsc::UnboundedSender<Sleep>,
}

/// Running stand-in of the platform.
#[derive(Clone)]
pub struct Platform {
    address: SocketAddr,
    objects: Arc<Mutex<Objects>>,
}

impl Platform {
    /// Starts a stand-in at `address` on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the thread cannot be started.
    pub fn start(address: SocketAddr) -> std::io::Result<Platform> {
        let listener = std::net::TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let objects = Arc::new(Mutex::new(Objects::default()));
        let shared_objects = objects.clone();
        std::thread::Builder::new().name("platform".to_owned()).spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime can be created");
            runtime.block_on(serve(listener, shared_objects));
        })?;
        Ok(Platform { address, objects })
    }

    /// Returns the address of the object API.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Creates or replaces an object without a check of its version.
    pub fn set_object(&self, kind: &str, name: &str, value: Value) {
        self.lock().set_object(kind, name, value);
    }

    /// Returns an object, if it exists.
    pub fn object(&self, kind: &str, name: &str) -> Option<Object> {
        self.lock().object(kind, name)
    }

    /// Adds a VM to the list of VMs, or replaces it.
    pub fn set_vm(&self, vm: Vm) {
        self.lock().set_vm(vm);
    }

    /// Removes a VM from the list of VMs.
    pub fn remove_vm(&self, name: &str) {
        self.lock().remove_vm(name);
    }

    /// Replaces the faults of the platform.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the numbers of calls since the start.
    pub fn calls(&self) -> Calls {
        self.lock().calls
    }

    /// Makes the faults and reports of a database group available over HTTP.
    pub fn attach_group(&self, group: &endpoint::Group) {
        self.lock().groups.push(group.clone());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Objects> {
        self.objects.lock().expect("the lock is not poisoned")
    }
}

async fn serve(listener: std::net::TcpListener, objects: Arc<Mutex<Objects>>) {
    let (timer, sleeps) = mpsc::unbounded();
    compio::runtime::spawn(run_timer(sleeps)).detach();
    compio::runtime::spawn(expire_watches(objects.clone())).detach();
    let shared = Shared { objects, timer };
    let router = Router::new()
        .route("/objects/{kind}/{name}", get(get_object).put(put_object))
        .route("/watch/{kind}/{name}", get(watch))
        .route("/vms", get(list_vms))
        .route("/standin/vms/{name}", put(put_vm).delete(delete_vm))
        .route("/standin/faults", put(put_faults))
        .route("/standin/calls", get(get_calls))
        .route("/standin/endpoints/{database}/{index}", post(post_endpoint))
        .route("/standin/endpoints/{database}", get(get_endpoints))
        .with_state(shared);
    let listener = TcpListener::from_std(listener).expect("the socket is valid");
    // The result is of no use: the server runs until the process exits.
    let _ = cyper_axum::serve(listener, router).await;
}

async fn run_timer(mut sleeps: mpsc::UnboundedReceiver<Sleep>) {
    while let Some((duration, done)) = sleeps.next().await {
        compio::runtime::spawn(async move {
            compio::time::sleep(duration).await;
            // The receiver is gone when the client has closed its connection.
            let _ = done.send(());
        })
        .detach();
    }
}

async fn expire_watches(objects: Arc<Mutex<Objects>>) {
    loop {
        compio::time::sleep(WATCH_EXPIRY_INTERVAL).await;
        objects.lock().expect("the lock is not poisoned").expire_watches();
    }
}

/// Delays a call or rejects it, as the faults demand.
async fn apply_faults(shared: &Shared) -> Result<(), StatusCode> {
    let faults = shared.objects.lock().expect("the lock is not poisoned").faults;
    if faults.delay_ms > 0 {
        let (done, slept) = oneshot::channel();
        let sleep = (Duration::from_millis(faults.delay_ms), done);
        // If the timer has ended, the call proceeds without a delay.
        let _ = shared.timer.unbounded_send(sleep);
        let _ = slept.await;
    }
    let is_outage = shared.objects.lock().expect("the lock is not poisoned").faults.outage;
    if is_outage { Err(StatusCode::SERVICE_UNAVAILABLE) } else { Ok(()) }
}

async fn get_object(
    State(shared): State<Shared>,
    Path((kind, name)): Path<(String, String)>,
) -> Result<Json<Object>, StatusCode> {
    apply_faults(&shared).await?;
    let mut objects = shared.objects.lock().expect("the lock is not poisoned");
    objects.calls.reads += 1;
    objects.object(&kind, &name).map(Json).ok_or(StatusCode::NOT_FOUND)
}

/// Query of an update: the version that the object must have.
#[derive(Deserialize)]
struct Precondition {
    version: u64,
}

async fn put_object(
    State(shared): State<Shared>,
    Path((kind, name)): Path<(String, String)>,
    Query(precondition): Query<Precondition>,
    Json(value): Json<Value>,
) -> Result<Json<UpdateResponse>, StatusCode> {
    apply_faults(&shared).await?;
    let mut objects = shared.objects.lock().expect("the lock is not poisoned");
    objects.calls.writes += 1;
    let current = objects.object(&kind, &name).map_or(0, |object| object.version);
    if current != precondition.version {
        return Err(StatusCode::CONFLICT);
    }
    let version = objects.set_object(&kind, &name, value);
    if objects.faults.lose_answers > 0 {
        objects.faults.lose_answers -= 1;
        return Err(StatusCode::GATEWAY_TIMEOUT);
    }
    Ok(Json(UpdateResponse { version }))
}

/// Query of a watch: the version that the client knows, and how long the call may wait.
#[derive(Deserialize)]
struct Watch {
    version: u64,
    wait_ms: u64,
}

async fn watch(
    State(shared): State<Shared>,
    Path((kind, name)): Path<(String, String)>,
    Query(Watch { version, wait_ms }): Query<Watch>,
) -> Result<Json<WatchResponse>, StatusCode> {
    apply_faults(&shared).await?;
    let changed = {
        let mut objects = shared.objects.lock().expect("the lock is not poisoned");
        objects.calls.watches += 1;
        objects.watch(&kind, &name, version, Duration::from_millis(wait_ms))
    };
    if let Some(changed) = changed {
        // The channel closes on a change or at the end of the wait; both are answered alike.
        let _ = changed.await;
    }
    apply_faults(&shared).await?;
    let objects = shared.objects.lock().expect("the lock is not poisoned");
    let version = objects.object(&kind, &name).map_or(0, |object| object.version);
    Ok(Json(WatchResponse { version }))
}

async fn list_vms(State(shared): State<Shared>) -> Result<Json<Vec<Vm>>, StatusCode> {
    apply_faults(&shared).await?;
    let mut objects = shared.objects.lock().expect("the lock is not poisoned");
    objects.calls.lists += 1;
    Ok(Json(objects.vms()))
}

async fn put_vm(State(shared): State<Shared>, Path(name): Path<String>, Json(vm): Json<Vm>) {
    shared.objects.lock().expect("the lock is not poisoned").set_vm(Vm { name, ..vm });
}

async fn delete_vm(State(shared): State<Shared>, Path(name): Path<String>) {
    shared.objects.lock().expect("the lock is not poisoned").remove_vm(&name);
}

async fn put_faults(State(shared): State<Shared>, Json(faults): Json<Faults>) {
    shared.objects.lock().expect("the lock is not poisoned").faults = faults;
}

async fn get_calls(State(shared): State<Shared>) -> Json<Calls> {
    Json(shared.objects.lock().expect("the lock is not poisoned").calls)
}

async fn post_endpoint(
    State(shared): State<Shared>,
    Path((database, index)): Path<(String, usize)>,
    Json(faults): Json<endpoint::Faults>,
) -> StatusCode {
    let objects = shared.objects.lock().expect("the lock is not poisoned");
    let Some(group) = objects.groups.iter().find(|group| group.database() == database) else {
        return StatusCode::NOT_FOUND;
    };
    if index >= group.addresses().len() {
        return StatusCode::NOT_FOUND;
    }
    group.set_faults(index, faults);
    StatusCode::OK
}

async fn get_endpoints(
    State(shared): State<Shared>,
    Path(database): Path<String>,
) -> Result<Json<Vec<endpoint::Report>>, StatusCode> {
    let objects = shared.objects.lock().expect("the lock is not poisoned");
    let group = objects.groups.iter().find(|group| group.database() == database);
    group.map(|group| Json(group.reports())).ok_or(StatusCode::NOT_FOUND)
}
