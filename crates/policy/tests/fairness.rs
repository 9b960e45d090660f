//! Guards the share of slots that each club gets. One club can take the share of another by
//! submitting far more statements or by keeping transactions open.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{NOW, opened, owner, status, write};
use tamarackbend_policy::owner::{
    Action, ConnectionId, Event, Execution, Owner, Request, Settings,
};
use tamarackbend_policy::position::Role;

/// Slot time of one statement.
const STATEMENT_TIME: Duration = Duration::from_millis(10);
/// Number of rounds in which statements are submitted.
const ROUNDS: usize = 400;

fn settings() -> Settings {
    Settings { slots: 2, queue_limit: 1000, probe_interval: STATEMENT_TIME, ..Settings::default() }
}

fn request(request_id: u64, club: &str, begins_transaction: bool) -> Request {
    let deadline = Duration::from_secs(1000);
    Request {
        session: request_id,
        club: club.to_owned(),
        begins_transaction,
        deadline,
        ..write(request_id)
    }
}

fn dispatched(actions: &[Action]) -> Vec<(u64, ConnectionId)> {
    let dispatched = actions.iter().filter_map(|action| match action {
        Action::Dispatch(request_id, connection) => Some((*request_id, *connection)),
        _ => None,
    });
    dispatched.collect()
}

/// Confirms every connection that the owner opens; returns the dispatched statements.
fn open_all(owner: &mut Owner, mut actions: Vec<Action>) -> Vec<(u64, ConnectionId)> {
    let mut running = dispatched(&actions);
    while let Some(connection) = opened(&actions) {
        actions
            .retain(|action| !matches!(action, Action::OpenConnection(id, _) if *id == connection));
        actions.extend(owner.step(NOW, Event::ConnectionOpened(connection)));
        running = dispatched(&actions);
    }
    running
}

#[test]
fn big_club_leaves_the_other_club_its_share_of_slot_time() {
    let mut owner = owner(settings());
    let mut request_id = 0;
    let mut actions = Vec::new();
    for _ in 0..ROUNDS {
        for club in ["big", "big", "big", "big", "calm"] {
            request_id += 1;
            actions.extend(owner.step(NOW, Event::Submit(request(request_id, club, false))));
        }
    }
    let mut running = open_all(&mut owner, actions);
    let mut now = NOW;
    let completed =
        Execution::Completed { status: Some(status(Role::Primary)), in_transaction: false };
    for _ in 0..ROUNDS / 2 {
        now += STATEMENT_TIME;
        let mut next_running = Vec::new();
        for (request_id, _) in running {
            next_running.extend(dispatched(
                &owner.step(now, Event::StatementFinished(request_id, completed)),
            ));
        }
        running = next_running;
    }
    let times: BTreeMap<String, Duration> = owner.slot_times().into_iter().collect();
    let total: Duration = times.values().sum();
    let share = times["calm"].as_secs_f64() / total.as_secs_f64();
    assert!((0.5 * 0.95..=0.5 * 1.05).contains(&share), "share of the calm club is {share}");
}

#[test]
fn open_transactions_of_one_club_leave_a_slot_to_others() {
    let mut owner = owner(settings());
    let begun = Execution::Completed { status: Some(status(Role::Primary)), in_transaction: true };
    let actions = owner.step(NOW, Event::Submit(request(1, "greedy", true)));
    let running = open_all(&mut owner, actions);
    assert_eq!(running.len(), 1);
    owner.step(NOW, Event::StatementFinished(1, begun));

    let second = owner.step(NOW, Event::Submit(request(2, "greedy", true)));
    assert!(open_all(&mut owner, second).is_empty(), "a second transaction waits");

    let other = owner.step(NOW, Event::Submit(request(3, "other", true)));
    let running = open_all(&mut owner, other);
    assert_eq!(running.iter().map(|(request_id, _)| *request_id).collect::<Vec<_>>(), [3]);
}
