//! Publication of the configuration document: concurrent editors, lost answers and outages.

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
    let document =
        Document::from_sections(&published.sections).expect("the sections form a document");
    document.services[0].slots
}

/// Guards against a lost update: two editors start from the same version, and the publication of
/// the second would overwrite that of the first.
#[test]
fn second_of_two_concurrent_publications_is_a_conflict() {
    let (platform, document) = start();
    run(async {
        let mut store = Store::new(Client::new(platform.address()));
        let base = store.load().await.expect("the platform answers");
        let (document_of_ana, document_of_bo) =
            (with_slots(&document, 3), with_slots(&document, 4));
        let first =
            Publication { document: &document_of_ana, base: &base, author: "ana", update_id: "a" };
        let second =
            Publication { document: &document_of_bo, base: &base, author: "bo", update_id: "b" };

        let version = store.publish(&first).await.expect("the base is in force");
        let conflict = store.publish(&second).await.expect_err("the base is no longer in force");

        assert!(version > base.version);
        assert!(conflict.is_conflict());
        assert_eq!(slots_in_force(&mut store).await, 3);
    });
}

/// Guards against a conflict with the editor's own change: the platform applies an update and its
/// answer is lost, so the retry finds a newer version than its base.
#[test]
fn publication_with_lost_answers_succeeds_once() {
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

/// Guards against an outage that is reported as success or as a conflict, and against a
/// publication that takes effect after it has failed.
#[test]
fn publication_in_an_outage_fails_and_changes_nothing() {
    let (platform, document) = start();
    run(async {
        let mut store = Store::new(Client::new(platform.address()));
        let base = store.load().await.expect("the platform answers");
        platform.set_faults(Faults { outage: true, ..Faults::default() });
        let changed = with_slots(&document, 3);
        let change = Publication { document: &changed, base: &base, author: "ana", update_id: "a" };
        let error = store.publish(&change).await.expect_err("the platform is unreachable");
        assert!(error.is_unavailable());
        platform.set_faults(Faults::default());
        assert_eq!(slots_in_force(&mut store).await, 2);
    });
}
