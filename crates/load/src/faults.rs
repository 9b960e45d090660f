//! Injection of the faults of a scenario at their times.

use std::sync::Arc;
use std::time::Duration;

use tamarackbend_objects::api::{self, KIND_GROUP};
use tamarackbend_standin::endpoint;
use tamarackbend_standin::platform;
use tracing::info;

use crate::client::Shared;
use crate::{Fault, FaultKind, Fleet, Result};

/// Replication lag of a lagging replica, in milliseconds.
const LAG_MS: u64 = 2000;
/// Added delay of each call of a slow platform, in milliseconds.
const PLATFORM_DELAY_MS: u64 = 300;

/// Loss of the primary of a database, by a fault.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loss {
    /// Index of the database.
    pub(crate) database: usize,
    /// Time since the start of the run.
    pub(crate) at: Duration,
}

/// Start or end of a fault.
struct Event {
    time: Duration,
    fault: Fault,
    is_start: bool,
}

/// Starts and ends the faults of a scenario.
pub(crate) struct Injector {
    /// Events that are still to come, sorted by time.
    events: Vec<Event>,
    /// Active faults of endpoints, each with the index of the affected endpoint.
    active: Vec<(Fault, usize)>,
    pub(crate) losses: Vec<Loss>,
}

impl Injector {
    pub(crate) fn new(faults: &[Fault]) -> Injector {
        let mut events = Vec::new();
        for fault in faults {
            events.push(Event { time: fault.start, fault: *fault, is_start: true });
            let end = fault.start + fault.duration;
            events.push(Event { time: end, fault: *fault, is_start: false });
        }
        events.sort_by_key(|event| event.time);
        Injector { events, active: Vec::new(), losses: Vec::new() }
    }

    /// Returns the time of the next start or end of a fault, since the start of the run.
    pub(crate) fn next(&self) -> Option<Duration> {
        self.events.first().map(|event| event.time)
    }

    /// Starts and ends the faults that are due.
    ///
    /// # Errors
    ///
    /// Fails when a node cannot be replaced.
    pub(crate) fn apply(&mut self, fleet: &mut Fleet, shared: &Arc<Shared>) -> Result<()> {
        while self.events.first().is_some_and(|event| event.time <= shared.started_at.elapsed()) {
            let Event { fault, is_start, .. } = self.events.remove(0);
            info!(?fault.kind, fault.target, begins = is_start, "scenario fault starts or ends");
            match fault.kind {
                FaultKind::KillNode | FaultKind::DrainNode => {
                    apply_node_fault(fleet, shared, fault, is_start)?;
                }
                FaultKind::Outage | FaultKind::SlowPlatform | FaultKind::LoseAnswers => {
                    apply_platform_fault(fleet, fault.kind, is_start);
                }
                _ => self.apply_endpoint_fault(fleet, shared, fault, is_start),
            }
        }
        Ok(())
    }

    fn apply_endpoint_fault(
        &mut self,
        fleet: &Fleet,
        shared: &Shared,
        fault: Fault,
        is_start: bool,
    ) {
        let group = &shared.groups[fault.target];
        if !is_start {
            let position = self.active.iter().position(|(active, _)| {
                active.kind == fault.kind
                    && active.start == fault.start
                    && active.target == fault.target
            });
            if let Some(position) = position {
                let (_, endpoint_index) = self.active.remove(position);
                // Replication lag of the endpoints of both deployments.
                let lag_ms = 20;
                group.set_faults(endpoint_index, endpoint::Faults { lag_ms, ..Default::default() });
            }
            return;
        }
        let primary = primary_index(fleet, group.database());
        let replica = (primary + 1) % group.addresses().len();
        let primary_faults = group.faults(primary);
        let (endpoint_index, faults) = match fault.kind {
            FaultKind::CrashPrimary => {
                (primary, endpoint::Faults { crashed: true, ..primary_faults })
            }
            FaultKind::PausePrimary => {
                (primary, endpoint::Faults { paused: true, ..primary_faults })
            }
            FaultKind::IsolatePrimary => {
                (primary, endpoint::Faults { isolated: true, ..primary_faults })
            }
            FaultKind::CrashReplica => {
                (replica, endpoint::Faults { crashed: true, ..group.faults(replica) })
            }
            _ => (replica, endpoint::Faults { lag_ms: LAG_MS, ..group.faults(replica) }),
        };
        group.set_faults(endpoint_index, faults);
        self.active.push((fault, endpoint_index));
        if fault.kind.loses_primary() {
            self.losses.push(Loss { database: fault.target, at: shared.started_at.elapsed() });
        }
    }
}

/// Returns the index of the primary according to the platform.
fn primary_index(fleet: &Fleet, database: &str) -> usize {
    let object = fleet.platform().object(KIND_GROUP, database);
    let group = object.and_then(|o| serde_json::from_value::<api::Group>(o.value).ok());
    group.and_then(|group| group.primary).unwrap_or(0)
}

fn apply_platform_fault(fleet: &Fleet, kind: FaultKind, is_start: bool) {
    let faults = match kind {
        _ if !is_start => platform::Faults::default(),
        FaultKind::Outage => platform::Faults { outage: true, ..Default::default() },
        FaultKind::SlowPlatform => {
            platform::Faults { delay_ms: PLATFORM_DELAY_MS, ..Default::default() }
        }
        _ => platform::Faults { lose_answers: 3, ..Default::default() },
    };
    fleet.platform().set_faults(faults);
}

fn apply_node_fault(
    fleet: &mut Fleet,
    shared: &Arc<Shared>,
    fault: Fault,
    is_start: bool,
) -> Result<()> {
    if is_start {
        // A load balancer would no longer offer the node to clients.
        shared.addresses.lock().expect("the lock is not poisoned")[fault.target] = None;
        match fault.kind {
            FaultKind::KillNode => fleet.nodes()[fault.target].kill(),
            _ => fleet.nodes()[fault.target].drain(),
        }
        return Ok(());
    }
    fleet.platform().remove_vm(&format!("entry-{}", fault.target + 1));
    let index = fleet.add_node()?;
    fleet.await_ready(index)?;
    let address = fleet.nodes()[index].addresses().client;
    shared.addresses.lock().expect("the lock is not poisoned").push(Some(address));
    Ok(())
}
