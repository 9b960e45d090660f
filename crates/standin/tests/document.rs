//! The document on the platform: two editors at once, and answers that are lost.

use tamarackbend_config::Document;
use tamarackbend_objects::{Client, Publication, Store};
use tamarackbend_standin::deployment::{Plan, publish};
use tamarackbend_standin::platform::{Faults, Platform};

fn start() -> (Platform, Document) {
    let platform = Platform::start(([127, 0, 0, 1], 0).into()).expect("the platform starts");
    let plan = Plan::vukovic().with_databases(1).with_delays(false);
    let deployment = plan.start(&platform).expect("the endpoints start");
    let document = publish(&platform, &[deployment.document]);
    (platform, document)
}

fn with_slots(document: &Document, slots: u32) -> Document {
    let mut changed = document.clone();
    changed.services[0].slots = slots;
    changed
}

fn run<T>(future: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().expect("a runtime can be created").block_on(future)
}

async fn slots_in_force(store: &mut Store) -> u32 {
    let published = store.load().await.expect("the platform answers");
    let document = Document::from_sections(&published.sections).expect("it is a document");
    document.services[0].slots
}

#[test]
fn second_of_two_editors_changes_nothing() {
    let (platform, document) = start();
    run(async {
        let mut store = Store::new(Client::new(platform.address()));
        let base = store.load().await.expect("the platform answers");
        let (ana, bo) = (with_slots(&document, 3), with_slots(&document, 4));
        let first = Publication { document: &ana, base: &base, author: "ana", update_id: "a" };
        let second = Publication { document: &bo, base: &base, author: "bo", update_id: "b" };

        let version = store.publish(&first).await.expect("the base is in force");
        let conflict = store.publish(&second).await.expect_err("the base is no longer in force");

        assert!(version > base.version);
        assert!(conflict.is_conflict());
        assert_eq!(slots_in_force(&mut store).await, 3);
    });
}

#[test]
fn change_whose_answers_are_lost_is_recognized() {
    let (platform, document) = start();
    run(async {
        let mut store = Store::new(Client::new(platform.address()));
        let base = store.load().await.expect("the platform answers");
        let changed = with_slots(&document, 3);
        platform.set_faults(Faults { lose_answers: 2, ..Faults::default() });
        let change = Publication { document: &changed, base: &base, author: "ana", update_id: "a" };

        let version = store.publish(&change).await.expect("the change took effect");

        assert_eq!(version, base.version + 1);
        assert_eq!(slots_in_force(&mut store).await, 3);
    });
}

#[test]
fn outage_is_told_and_changes_nothing() {
    let (platform, document) = start();
    run(async {
        let mut store = Store::new(Client::new(platform.address()));
        let base = store.load().await.expect("the platform answers");
        platform.set_faults(Faults { outage: true, ..Faults::default() });
        let changed = with_slots(&document, 3);
        let change = Publication { document: &changed, base: &base, author: "ana", update_id: "a" };
        let error = store.publish(&change).await.expect_err("the platform is away");
        assert!(error.is_unavailable());
        platform.set_faults(Faults::default());
        assert_eq!(slots_in_force(&mut store).await, 2);
    });
}
