//! Guards against an isolated primary that stays in place. Such a primary answers probes but
//! reaches no replica, so no write is confirmed. The owner must replace the primary by another
//! endpoint.

mod common;

use std::time::Duration;

use common::{NOW, opened, owner, status, write};
use tamarackbend_policy::failover::Group;
use tamarackbend_policy::owner::{Action, Event, Execution, Settings};
use tamarackbend_policy::position::{Role, Status};

fn group_update(actions: &[Action]) -> Option<Group> {
    actions.iter().find_map(|action| match action {
        Action::UpdateGroup(group) => Some(*group),
        _ => None,
    })
}

#[test]
fn isolated_primary_is_replaced_by_a_replica() {
    let mut owner = owner(Settings::default());
    let first = opened(&owner.step(NOW, Event::Submit(write(1)))).expect("a connection is opened");
    owner.step(NOW, Event::ConnectionOpened(first));
    let ahead = Status { position: 6, ..status(Role::Primary) };
    let completed = Execution::Completed { status: Some(ahead), in_transaction: false };
    owner.step(NOW, Event::StatementFinished(1, completed));

    // Every endpoint answers probes, but no replica receives the write.
    let mut now = NOW;
    let mut claimed = None;
    while claimed.is_none() && now < Duration::from_secs(4) {
        now += Duration::from_millis(100);
        for endpoint in 0..3 {
            let reported = if endpoint == 0 { ahead } else { status(Role::Replica) };
            let actions = owner.step(now, Event::ProbeAnswered(endpoint, Some(reported)));
            claimed = claimed.or(group_update(&actions));
        }
    }
    let claimed = claimed.expect("the next term is claimed");
    assert_eq!((claimed.term, claimed.primary), (2, None));

    owner.step(now, Event::GroupWritten(Ok(Group { version: 2, ..claimed })));
    let mut recorded = None;
    for endpoint in 0..3 {
        let position = if endpoint == 0 { 6 } else { 5 };
        let fenced = Status { fenced_term: 2, position, ..status(Role::Replica) };
        let actions = owner.step(now, Event::FenceAnswered(endpoint, Some(fenced)));
        recorded = recorded.or(group_update(&actions));
    }
    let chosen = recorded.expect("a candidate is recorded").primary;
    assert!(matches!(chosen, Some(1 | 2)), "chosen {chosen:?}");
}
