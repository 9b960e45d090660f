//! Random and mutated text for the decoders of documents and settings, from fixed seeds.
//!
//! Guards against decoders and checks that panic.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamarackbend_config::{Document, Settings};
use tamarackbend_mutation::{input_count, mutate};

const DOCUMENT: &str = "federation: amstelweide
failure_domains: [{ name: noord-a, region: noord }]
clubs:
  - { name: loket, verifier: 'SCRAM-SHA-256$4096:c2FsdA==$a2V5:a2V5' }
services:
  - name: pachtregister
    slots: 5
    max_age: 1500ms
    allowances: { loket: 1 }
    databases:
      - name: pacht-1
        endpoints: [{ address: '10.0.0.1:5432', failure_domain: noord-a }]
";
const SETTINGS: &str = "vm: entry-0\nfailure_domain: noord-a\ncaller_address: 127.0.0.1:1\n\
    peer_address: 127.0.0.1:2\nadmin_address: 127.0.0.1:0\nplatform_address: 127.0.0.1:3\n\
    admin_token: long-enough\n";

fn inputs(seed: u64, original: &str) -> impl Iterator<Item = String> {
    (seed..seed + input_count()).map(|seed| {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        String::from_utf8_lossy(&mutate(&mut random, original.as_bytes())).into_owned()
    })
}

#[test]
fn decoder_of_documents() {
    assert!(Document::from_yaml(DOCUMENT).is_ok_and(|document| document.check().is_empty()));
    for text in inputs(1_100_000, DOCUMENT) {
        if let Ok(document) = Document::from_yaml(&text) {
            let _ = document.check();
            let sections = document.to_sections().expect("a document can be split into sections");
            assert_eq!(Document::from_sections(&sections).ok(), Some(document), "{text}");
        }
    }
}

#[test]
fn decoder_of_settings() {
    assert!(Settings::from_yaml(SETTINGS).is_ok());
    inputs(1_200_000, SETTINGS).for_each(|text| drop(Settings::from_yaml(&text)));
    let nested = "[".repeat(5000);
    assert!(Settings::from_yaml(&nested).is_err());
    assert!(Document::from_yaml(&nested).is_err());
}
