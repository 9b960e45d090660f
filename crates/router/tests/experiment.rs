//! Experiment files.

use tamarackbend_router::experiment::{Error, Experiment, Mechanism};

fn parse(text: &str) -> Result<Experiment, Error> {
    text.parse()
}

#[test]
fn listed_mechanisms_are_left_out() {
    let experiment = parse("off: [overdue-retry, load-shedding]").expect("the experiment is valid");
    let off: Vec<Mechanism> = experiment.off().collect();
    assert_eq!(off, [Mechanism::OverdueRetry, Mechanism::LoadShedding]);
    assert!(!experiment.uses(Mechanism::OverdueRetry));
    assert!(experiment.uses(Mechanism::LateOrder));
}

#[test]
fn every_name_is_known() {
    for mechanism in Mechanism::ALL {
        let experiment = parse(&format!("off: [{mechanism}]")).expect("the name is known");
        assert!(!experiment.uses(mechanism));
    }
}

/// Guards against experiments that measure nothing because of a mistake in the file.
#[test]
fn mistakes_are_named() {
    let message = |text: &str| parse(text).expect_err("the experiment is not valid").to_string();
    assert!(message("off: [overdue]").starts_with("mechanism overdue does not exist; the"));
    assert_eq!(message("off: [late-order, late-order]"), "mechanism late-order is listed twice");
    for text in ["off: 3", "on: []", "", "off: [late-order]\nseed: 1"] {
        assert!(message(text).starts_with("experiment is not valid: "), "{text}");
    }
}
