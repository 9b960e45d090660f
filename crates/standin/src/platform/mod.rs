//! Stand-in of the platform: versioned objects, watches, the list of VMs, faults and call counts.

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

/// Time between two looks at the watches whose wait may be over.
const SWEEP: Duration = Duration::from_millis(20);

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
    /// Fails when the address cannot be used.
    pub fn start(address: SocketAddr) -> std::io::Result<Platform> {
        let listener = std::net::TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let objects = Arc::new(Mutex::new(Objects::default()));
        let served = objects.clone();
        std::thread::Builder::new().name("platform".to_owned()).spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime can be created");
            runtime.block_on(serve(listener, served));
        })?;
        Ok(Platform { address, objects })
    }

    /// Returns the address of the object API.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Puts an object in place whatever its version.
    pub fn set(&self, kind: &str, name: &str, value: Value) {
        self.lock().set(kind, name, value);
    }

    /// Returns an object.
    pub fn object(&self, kind: &str, name: &str) -> Option<Object> {
        self.lock().get(kind, name)
    }

    /// Adds or replaces an entry of the list of VMs.
    pub fn set_vm(&self, vm: Vm) {
        self.lock().set_vm(vm);
    }

    /// Removes an entry of the list of VMs.
    pub fn remove_vm(&self, name: &str) {
        self.lock().remove_vm(name);
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the calls since the start.
    pub fn calls(&self) -> Calls {
        self.lock().calls
    }

    /// Makes the faults of a group of endpoints settable over HTTP.
    pub fn attach(&self, group: &endpoint::Group) {
        self.lock().groups.push(group.clone());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Objects> {
        self.objects.lock().expect("no holder panics")
    }
}

async fn serve(listener: std::net::TcpListener, objects: Arc<Mutex<Objects>>) {
    let (timer, sleeps) = mpsc::unbounded();
    compio::runtime::spawn(run_timer(sleeps)).detach();
    compio::runtime::spawn(sweep(objects.clone())).detach();
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
    // The server runs as long as its thread.
    let _ = cyper_axum::serve(listener, router).await;
}

async fn run_timer(mut sleeps: mpsc::UnboundedReceiver<Sleep>) {
    while let Some((duration, done)) = sleeps.next().await {
        compio::runtime::spawn(async move {
            compio::time::sleep(duration).await;
            // The caller may have gone.
            let _ = done.send(());
        })
        .detach();
    }
}

async fn sweep(objects: Arc<Mutex<Objects>>) {
    loop {
        compio::time::sleep(SWEEP).await;
        objects.lock().expect("no holder panics").expire_watches();
    }
}

/// Applies the faults to one call; an error is the answer.
async fn admit(shared: &Shared) -> Result<(), StatusCode> {
    let faults = shared.objects.lock().expect("no holder panics").faults;
    if faults.delay_ms > 0 {
        let (done, slept) = oneshot::channel();
        let sleep = (Duration::from_millis(faults.delay_ms), done);
        // Without a timer the call goes on at once.
        let _ = shared.timer.unbounded_send(sleep);
        let _ = slept.await;
    }
    let outage = shared.objects.lock().expect("no holder panics").faults.outage;
    if outage { Err(StatusCode::SERVICE_UNAVAILABLE) } else { Ok(()) }
}

async fn get_object(
    State(shared): State<Shared>,
    Path((kind, name)): Path<(String, String)>,
) -> Result<Json<Object>, StatusCode> {
    admit(&shared).await?;
    let mut objects = shared.objects.lock().expect("no holder panics");
    objects.calls.reads += 1;
    objects.get(&kind, &name).map(Json).ok_or(StatusCode::NOT_FOUND)
}

#[derive(Deserialize)]
struct Expected {
    version: u64,
}

async fn put_object(
    State(shared): State<Shared>,
    Path((kind, name)): Path<(String, String)>,
    Query(expected): Query<Expected>,
    Json(value): Json<Value>,
) -> Result<Json<UpdateResponse>, StatusCode> {
    admit(&shared).await?;
    let mut objects = shared.objects.lock().expect("no holder panics");
    objects.calls.writes += 1;
    let current = objects.get(&kind, &name).map_or(0, |object| object.version);
    if current != expected.version {
        return Err(StatusCode::CONFLICT);
    }
    let version = objects.set(&kind, &name, value);
    if objects.faults.lose_answers > 0 {
        objects.faults.lose_answers -= 1;
        return Err(StatusCode::GATEWAY_TIMEOUT);
    }
    Ok(Json(UpdateResponse { version }))
}

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
    admit(&shared).await?;
    let changed = {
        let mut objects = shared.objects.lock().expect("no holder panics");
        objects.calls.watches += 1;
        objects.watch(&kind, &name, version, Duration::from_millis(wait_ms))
    };
    if let Some(changed) = changed {
        // A watch that is swept answers with the version as it is.
        let _ = changed.await;
    }
    admit(&shared).await?;
    let objects = shared.objects.lock().expect("no holder panics");
    let version = objects.get(&kind, &name).map_or(0, |object| object.version);
    Ok(Json(WatchResponse { version }))
}

async fn list_vms(State(shared): State<Shared>) -> Result<Json<Vec<Vm>>, StatusCode> {
    admit(&shared).await?;
    let mut objects = shared.objects.lock().expect("no holder panics");
    objects.calls.lists += 1;
    Ok(Json(objects.vms()))
}

async fn put_vm(State(shared): State<Shared>, Path(name): Path<String>, Json(vm): Json<Vm>) {
    shared.objects.lock().expect("no holder panics").set_vm(Vm { name, ..vm });
}

async fn delete_vm(State(shared): State<Shared>, Path(name): Path<String>) {
    shared.objects.lock().expect("no holder panics").remove_vm(&name);
}

async fn put_faults(State(shared): State<Shared>, Json(faults): Json<Faults>) {
    shared.objects.lock().expect("no holder panics").faults = faults;
}

async fn get_calls(State(shared): State<Shared>) -> Json<Calls> {
    Json(shared.objects.lock().expect("no holder panics").calls)
}

async fn post_endpoint(
    State(shared): State<Shared>,
    Path((database, index)): Path<(String, usize)>,
    Json(faults): Json<endpoint::Faults>,
) -> StatusCode {
    let objects = shared.objects.lock().expect("no holder panics");
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
    let objects = shared.objects.lock().expect("no holder panics");
    let group = objects.groups.iter().find(|group| group.database() == database);
    group.map(|group| Json(group.reports())).ok_or(StatusCode::NOT_FOUND)
}
