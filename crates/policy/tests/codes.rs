//! Checks that docs/RESULT-CODES.md lists every result code with its SQLSTATE, class and text.

use tamarackbend_policy::code::{Class, Code};

#[test]
fn every_code_is_documented() {
    let page = include_str!("../../../docs/RESULT-CODES.md");
    for code in Code::ALL {
        let class = match code.class() {
            Class::Rejected => "rejected",
            Class::NotRun => "not run",
            Class::Unknown => "outcome unknown",
        };
        let row = format!("| T{} | {} | {class} | {code} |", code.number(), code.sqlstate());
        assert!(page.contains(&row), "docs/RESULT-CODES.md lacks: {row}");
    }
}

#[test]
fn numbers_are_unique_and_identify_their_codes() {
    for code in Code::ALL {
        assert_eq!(Code::from_number(code.number()), Some(*code));
    }
}
