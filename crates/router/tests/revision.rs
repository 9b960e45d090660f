//! Order of the store's answers across its restorations.

use tamarackbend_router::revision::{Report, Revision, Tracker, Verdict};

#[test]
fn store_without_eras_is_always_current() {
    let mut tracker = Tracker::default();
    assert_eq!(tracker.observe(Report::Missing), Verdict::Entered(0));
    assert_eq!(tracker.observe(Report::Missing), Verdict::Current(0));
}

#[test]
fn first_and_later_eras_are_entered() {
    let mut tracker = Tracker::default();
    assert_eq!(tracker.observe(Report::Era(4)), Verdict::Entered(4));
    assert_eq!(tracker.observe(Report::Era(5)), Verdict::Entered(5));
    assert_eq!(tracker.observe(Report::Era(5)), Verdict::Current(5));
    // Several restorations may pass while a node does not reach the store.
    assert_eq!(tracker.observe(Report::Era(9)), Verdict::Entered(9));
}

/// Guards against answers that arrive after those of a later era, or whose era was lost on the way:
/// each would bring back what the store has forgotten.
#[test]
fn answers_without_a_valid_era_are_rejected() {
    let mut tracker = Tracker::default();
    assert_eq!(tracker.observe(Report::Era(4)), Verdict::Entered(4));
    for report in [Report::Missing, Report::Invalid, Report::Era(3), Report::Era(u64::MAX)] {
        assert!(matches!(tracker.observe(report), Verdict::Rejected(_)), "{report:?}");
    }
    assert_eq!(tracker.observe(Report::Era(4)), Verdict::Current(4));
}

/// Guards against a fencing token that falls or is given out twice: the revisions after a
/// restoration are lower than those before it.
#[test]
fn tokens_grow_across_restorations() {
    let revisions = [(0, 7), (0, 1 << 39), (1, 1), (1, 900), (2, 3), (2, 900), (3, 1)];
    let tokens = revisions.map(|(era, number)| Revision { era, number }.token());
    assert!(tokens.is_sorted_by(|a, b| a < b), "{tokens:?}");
    assert_eq!(Revision { era: 0, number: 7 }.token(), 7);
}
