//! Faults of a run, at their times.

use std::sync::Arc;
use std::time::Duration;

use tamarackbend_objects::api::{self, KIND_GROUP};
use tamarackbend_standin::endpoint;
use tamarackbend_standin::platform;
use tracing::info;

use crate::caller::Shared;
use crate::{Fault, FaultKind, Fleet, Result};

/// Age at which a lagging replica applies the log.
const LAG_MS: u64 = 2000;
/// Time that a slow platform takes for an answer.
const SLOW_MS: u64 = 300;

/// Loss of a primary.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loss {
    pub(crate) database: usize,
    pub(crate) at: Duration,
}

struct Due {
    at: Duration,
    fault: Fault,
    begins: bool,
}

/// Carries out the faults of a scenario.
pub(crate) struct Injector {
    due: Vec<Due>,
    victims: Vec<(Fault, usize)>,
    pub(crate) losses: Vec<Loss>,
}

impl Injector {
    pub(crate) fn new(faults: &[Fault]) -> Injector {
        let mut due = Vec::new();
        for fault in faults {
            due.push(Due { at: fault.at, fault: *fault, begins: true });
            due.push(Due { at: fault.at + fault.time, fault: *fault, begins: false });
        }
        due.sort_by_key(|due| due.at);
        Injector { due, victims: Vec::new(), losses: Vec::new() }
    }

    /// Returns when the next fault begins or ends.
    pub(crate) fn next(&self) -> Option<Duration> {
        self.due.first().map(|due| due.at)
    }

    /// Begins and ends what is due.
    ///
    /// # Errors
    ///
    /// Fails when a node cannot be replaced.
    pub(crate) fn apply(&mut self, fleet: &mut Fleet, shared: &Arc<Shared>) -> Result<()> {
        while self.due.first().is_some_and(|due| due.at <= shared.started.elapsed()) {
            let Due { fault, begins, .. } = self.due.remove(0);
            info!(?fault.kind, fault.target, begins, "fault");
            match fault.kind {
                FaultKind::KillNode | FaultKind::DrainNode => {
                    node_fault(fleet, shared, fault, begins)?;
                }
                FaultKind::Outage | FaultKind::SlowPlatform | FaultKind::LoseAnswers => {
                    platform_fault(fleet, fault.kind, begins);
                }
                _ => self.endpoint_fault(fleet, shared, fault, begins),
            }
        }
        Ok(())
    }

    fn endpoint_fault(&mut self, fleet: &Fleet, shared: &Shared, fault: Fault, begins: bool) {
        let group = &shared.groups[fault.target];
        if !begins {
            let found = self.victims.iter().position(|(other, _)| {
                other.kind == fault.kind && other.at == fault.at && other.target == fault.target
            });
            if let Some(index) = found {
                let (_, victim) = self.victims.remove(index);
                let lag_ms = 20;
                group.set_faults(victim, endpoint::Faults { lag_ms, ..Default::default() });
            }
            return;
        }
        let primary = primary(fleet, group.database());
        let replica = (primary + 1) % group.addresses().len();
        let before = group.faults(primary);
        let (victim, faults) = match fault.kind {
            FaultKind::CrashPrimary => (primary, endpoint::Faults { crashed: true, ..before }),
            FaultKind::PausePrimary => (primary, endpoint::Faults { paused: true, ..before }),
            FaultKind::IsolatePrimary => (primary, endpoint::Faults { isolated: true, ..before }),
            FaultKind::CrashReplica => {
                (replica, endpoint::Faults { crashed: true, ..group.faults(replica) })
            }
            _ => (replica, endpoint::Faults { lag_ms: LAG_MS, ..group.faults(replica) }),
        };
        group.set_faults(victim, faults);
        self.victims.push((fault, victim));
        if fault.kind.loses_primary() {
            self.losses.push(Loss { database: fault.target, at: shared.started.elapsed() });
        }
    }
}

fn primary(fleet: &Fleet, database: &str) -> usize {
    let object = fleet.platform().object(KIND_GROUP, database);
    let group = object.and_then(|o| serde_json::from_value::<api::Group>(o.value).ok());
    group.and_then(|group| group.primary).unwrap_or(0)
}

fn platform_fault(fleet: &Fleet, kind: FaultKind, begins: bool) {
    let faults = match kind {
        _ if !begins => platform::Faults::default(),
        FaultKind::Outage => platform::Faults { outage: true, ..Default::default() },
        FaultKind::SlowPlatform => platform::Faults { delay_ms: SLOW_MS, ..Default::default() },
        _ => platform::Faults { lose_answers: 3, ..Default::default() },
    };
    fleet.platform().set_faults(faults);
}

fn node_fault(fleet: &mut Fleet, shared: &Arc<Shared>, fault: Fault, begins: bool) -> Result<()> {
    if begins {
        // The balancer stops sending callers to the node.
        shared.nodes.lock().expect("no holder panics")[fault.target] = None;
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
    shared.nodes.lock().expect("no holder panics").push(Some(address));
    Ok(())
}
