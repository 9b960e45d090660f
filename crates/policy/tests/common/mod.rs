//! Fixtures: an owner of a group of three endpoints in term 1.

use std::time::Duration;

use tamarackbend_policy::failover::Group;
use tamarackbend_policy::owner::{
    Access, Action, ConnectionId, Event, Owner, Request, RequestId, Settings,
};
use tamarackbend_policy::position::{Floor, Role, Status};
use tamarackbend_policy::session::Freshness;

/// Time of all events, unless a test says otherwise.
pub const NOW: Duration = Duration::from_millis(10);

/// Returns the status of an endpoint in term 1.
pub fn status(role: Role) -> Status {
    Status {
        role,
        fenced_term: 1,
        term: 1,
        log_term: 1,
        term_start: 0,
        position: 5,
        incarnation: 1,
    }
}

/// Returns an owner that has read the group object; endpoint 0 is the primary.
pub fn owner(settings: Settings) -> Owner {
    let mut owner = Owner::new(settings);
    owner.step(NOW, Event::Tick);
    let group = Group { version: 1, term: 1, primary: Some(0), attempt: 0 };
    owner.step(NOW, Event::GroupRead(Ok(group)));
    for endpoint in 0..3 {
        let role = if endpoint == 0 { Role::Primary } else { Role::Replica };
        owner.step(NOW, Event::ProbeAnswered(endpoint, Some(status(role))));
    }
    owner
}

/// Returns an autocommit write of session 7.
pub fn write(request_id: RequestId) -> Request {
    Request {
        id: request_id,
        session: 7,
        statement_number: request_id,
        club: "tuinvreugd".to_owned(),
        access: Access::Write,
        freshness: Freshness::Floor(Floor::default()),
        max_age: None,
        in_transaction: false,
        begins_transaction: false,
        deadline: Duration::from_secs(10),
    }
}

/// Returns the first connection that the actions open.
pub fn opened(actions: &[Action]) -> Option<ConnectionId> {
    actions.iter().find_map(|action| match action {
        Action::OpenConnection(connection, _) => Some(*connection),
        _ => None,
    })
}
