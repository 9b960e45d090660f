//! A session that was not told that its transaction began must not write into it.

use std::time::Duration;

use tamarackbend_policy::failover::Group;
use tamarackbend_policy::owner::{
    Action, ConnectionId, Event, Finish, Kind, Owner, Request, Settings, Ticket,
};
use tamarackbend_policy::position::{Floor, Role, Status};
use tamarackbend_policy::session::Freshness;

const NOW: Duration = Duration::from_millis(10);

fn status(role: Role) -> Status {
    Status {
        role,
        closed_term: 1,
        term: 1,
        log_term: 1,
        term_start: 0,
        position: 5,
        incarnation: 1,
    }
}

fn owner() -> Owner {
    let mut owner = Owner::new(Settings::default());
    owner.step(NOW, Event::Tick);
    let group = Group { version: 1, term: 1, primary: Some(0), attempt: 0 };
    owner.step(NOW, Event::GroupRead(Ok(group)));
    for endpoint in 0..3 {
        let role = if endpoint == 0 { Role::Primary } else { Role::Replica };
        owner.step(NOW, Event::Probed(endpoint, Some(status(role))));
    }
    owner
}

fn write(ticket: Ticket) -> Request {
    Request {
        ticket,
        session: 7,
        statement: ticket,
        club: "tuinvreugd".to_owned(),
        kind: Kind::Write,
        freshness: Freshness::Floor(Floor::default()),
        max_age: None,
        in_transaction: false,
        deadline: Duration::from_secs(10),
    }
}

fn opened(actions: &[Action]) -> Option<ConnectionId> {
    actions.iter().find_map(|action| match action {
        Action::Open(connection, _) => Some(*connection),
        _ => None,
    })
}

#[test]
fn autocommit_write_does_not_join_a_transaction_that_the_session_does_not_know() {
    let mut owner = owner();
    let first = opened(&owner.step(NOW, Event::Submit(write(1)))).expect("a connection is opened");
    let actions = owner.step(NOW, Event::Opened(first));
    assert!(actions.contains(&Action::Dispatch(1, first)));
    let begun = Finish::Done { status: Some(status(Role::Primary)), in_transaction: true };
    owner.step(NOW, Event::Finished(1, begun));

    let actions = owner.step(NOW, Event::Submit(write(2)));

    assert!(actions.contains(&Action::Close(first)));
    assert!(!actions.iter().any(|action| matches!(action, Action::Dispatch(2, _))));
}
