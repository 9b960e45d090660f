//! Guards against statements that are stuck in the queue of a retired owner. Once another node owns
//! the database, the retired owner has lost its slots, so waiting for a free slot may never end.

mod common;

use common::{NOW, opened, owner, write};
use tamarackbend_policy::code::Code;
use tamarackbend_policy::owner::{Action, Event, Outcome, Settings};

#[test]
fn retired_owner_returns_waiting_statements() {
    let mut owner = owner(Settings { slots: 1, ..Settings::default() });
    let first = opened(&owner.step(NOW, Event::Submit(write(1)))).expect("a connection is opened");
    owner.step(NOW, Event::ConnectionOpened(first));
    owner.step(NOW, Event::Submit(write(2)));

    let actions = owner.step(NOW, Event::Retire(true));

    let is_returned = |action: &Action| {
        let Action::Answer(2, Outcome::NotRun { code, .. }) = action else {
            return false;
        };
        *code == Code::Draining
    };
    assert!(actions.iter().any(is_returned));
    assert!(
        !actions.contains(&Action::CloseConnection(first)),
        "a running statement is not interrupted"
    );
}
