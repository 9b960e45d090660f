//! Validation, sections and differences of the configuration document.

use tamarackbend_config::{Document, Head, Section, diff};

const TEXT: &str = "federation: amstelweide
failure_domains: [{ name: noord-a, region: noord }]
clubs:
  - { name: loket, verifier: 'SCRAM-SHA-256$4096:c2FsdA==$a2V5:a2V5' }
services:
  - name: pachtregister
    slots: 5
    allowances: { loket: 1 }
    databases:
      - name: pacht-1
        endpoints: [{ address: '10.0.0.1:5432', failure_domain: noord-a }]
  - name: archief
    slots: 2
    allowances: { loket: 1 }
    databases: []
";

fn document() -> Document {
    Document::from_yaml(TEXT).expect("the document parses")
}

#[test]
fn check_finds_every_fault_of_the_whole() {
    let text = TEXT
        .replace("slots: 5", "slots: 0")
        .replace("{ loket: 1 }", "{ lokket: 1 }")
        .replace("name: archief", "name: pachtregister")
        .replace("failure_domain: noord-a", "failure_domain: oost-a");
    let document = Document::from_yaml(&text).expect("the document parses");
    let lines: Vec<String> = document
        .check()
        .iter()
        .map(|problem| format!("{}: {}", problem.path, problem.text))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn document_survives_split_into_sections() {
    let sections = document().to_sections().expect("the document splits into sections");
    assert_eq!(Document::from_sections(&sections).expect("the sections are valid"), document());
}

#[test]
fn applying_changed_sections_gives_the_changed_document() {
    let mut changed = document();
    changed.services[0].slots = 4;
    changed.services.remove(1);
    let new = changed.to_sections().expect("the document splits into sections");
    let old = document().to_sections().expect("the document splits into sections");
    let mut sections: Vec<Section> =
        new.iter().filter(|section| !old.contains(section)).cloned().collect();
    sections.push(Section { name: "service/archief".to_owned(), json: String::new() });

    let mut applied = document();
    applied.apply_sections(&sections).expect("the sections are valid");

    assert_eq!(applied, changed);
}

#[test]
fn head_lists_only_changed_sections_in_a_revision() {
    let sections = document().to_sections().expect("the document splits into sections");
    let first = Head::default().next(&sections, "ana", "1");
    let mut changed = document();
    changed.services[0].slots = 4;
    let sections = changed.to_sections().expect("the document splits into sections");
    let second = first.next(&sections, "bo", "2");
    let changed_sections = &second.history.last().expect("there is a revision").changed;
    assert_eq!(changed_sections, &["service/pachtregister"]);
}

#[test]
fn difference_goes_by_names() {
    let mut changed = document();
    changed.services[0].slots = 4;
    changed.services.remove(1);
    let lines: Vec<String> = diff(&document(), &changed)
        .iter()
        .map(|change| format!("{}: {:?} -> {:?}", change.path, change.old, change.new))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}
