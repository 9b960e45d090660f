//! An owner that gives its database up must not keep statements waiting for slots it has lost.

mod common;

use common::{NOW, opened, owner, write};
use tamarackbend_policy::code::Code;
use tamarackbend_policy::owner::{Action, Event, Outcome, Settings};

#[test]
fn retired_owner_gives_waiting_statements_back() {
    let mut owner = owner(Settings { slots: 1, ..Settings::default() });
    let first = opened(&owner.step(NOW, Event::Submit(write(1)))).expect("a connection is opened");
    owner.step(NOW, Event::ConnectionOpened(first));
    owner.step(NOW, Event::Submit(write(2)));

    let actions = owner.step(NOW, Event::Retire(true));

    let given_back = |action: &Action| {
        let Action::Answer(2, Outcome::NotRun { code, .. }) = action else {
            return false;
        };
        *code == Code::Draining
    };
    assert!(actions.iter().any(given_back));
    assert!(
        !actions.contains(&Action::CloseConnection(first)),
        "a statement in progress is not cut"
    );
}
