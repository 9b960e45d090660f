//! Guards against a configured name that ends a field or a line of what is built from it.

use tamarackbend_config::{Club, Database, Document, FailureDomain, Service, Settings};

const SERVICE: &str = "{ name: register, slots: 1, allowances: {}, databases: [] }";

fn document(name: &str) -> Document {
    let text = format!("federation: f\nclubs: []\nservices: [{SERVICE}]");
    let mut document = Document::from_yaml(&text).expect("the document parses");
    let service: &mut Service = &mut document.services[0];
    service.name = name.to_owned();
    service.databases = vec![Database { name: name.to_owned(), endpoints: Vec::new() }];
    document.federation = name.to_owned();
    document.failure_domains =
        vec![FailureDomain { name: name.to_owned(), region: "noord".to_owned() }];
    let verifier = "SCRAM-SHA-256$4096:c2FsdA==$a2V5:a2V5".to_owned();
    document.clubs = vec![Club { name: name.to_owned(), verifier }];
    document
}

/// Returns the paths of the problems of names.
fn problems(name: &str) -> Vec<String> {
    let problems = document(name).check().into_iter();
    let of_names = problems.filter(|problem| problem.text.starts_with("name "));
    of_names.map(|problem| problem.path).collect()
}

#[test]
fn name_that_cannot_be_one_field_is_refused() {
    let everywhere = ["federation", "failure_domains", "clubs", "services", "databases"];
    for name in ["a\0user\0postgres", "a\r\nb", "a\nversion 7 is in force", "a\u{85}b", "\t", ""] {
        assert_eq!(problems(name), everywhere, "{name:?}");
    }
    assert_eq!(problems(".."), ["databases"]);
    let long = "x".repeat(10_000);
    for name in [" ", "a b", "SELECT 1; --", "service/a", "a?b#c%d/e", "café", "...", &long] {
        assert_eq!(problems(name), [""; 0], "{name:.20?}");
    }
}

/// The names of sections are one-to-one and survive as they are.
#[test]
fn document_with_any_name_survives_its_sections() {
    let long = "x".repeat(10_000);
    for name in ["common", "service/common", "service/", " ", "a\r\nb", "café", &long] {
        let document = document(name);
        let sections = document.to_sections().expect("the document splits into sections");
        assert_ne!(sections[0].name, sections[1].name);
        assert_eq!(Document::from_sections(&sections).expect("the sections are valid"), document);
        let text = document.to_yaml().expect("the document has a form as YAML");
        assert_eq!(Document::from_yaml(&text).expect("the text parses"), document, "{name:.20?}");
    }
}

#[test]
fn setting_that_cannot_be_one_field_is_refused() {
    let settings = |vm: &str, domain: &str| {
        Settings::from_yaml(&format!(
            "{{vm: \"{vm}\", failure_domain: \"{domain}\", caller_address: '127.0.0.1:1', \
             peer_address: '127.0.0.1:2', admin_address: '127.0.0.1:3', \
             platform_address: '127.0.0.1:4', admin_token: 12345678-token}}"
        ))
    };
    settings("a b/c", "SELECT 1; --").expect("the settings are valid");
    for name in ["a\\0user", "a\\r\\nb", ""] {
        assert!(settings(name, "a").is_err(), "{name}");
        assert!(settings("a", name).is_err(), "{name}");
    }
}
