//! Session tokens: signed floors with which a client continues a session on a new connection.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use tamarackbend_objects::api::Key;
use tamarackbend_policy::position::Floor;
use tamarackbend_policy::session::DatabaseId;
use tamarackbend_wire::{self as wire, Floors, Message, Token};

/// Keys that sign and verify tokens; the last key signs.
#[derive(Clone, Default)]
pub(crate) struct Keys {
    keys: Rc<RefCell<Vec<Key>>>,
}

impl Keys {
    /// Replaces the keys.
    pub(crate) fn replace(&self, keys: Vec<Key>) {
        *self.keys.borrow_mut() = keys;
    }

    /// Returns the token of a club's session, none if no key has been read from the platform yet.
    pub(crate) fn sign(&self, club: &str, floors: &BTreeMap<DatabaseId, Floor>) -> Option<String> {
        let keys = self.keys.borrow();
        let key = keys.last()?;
        let encode = |floor: &Floor| wire::Floor { term: floor.term, position: floor.position };
        let databases = floors.iter().map(|(name, floor)| (name.clone(), encode(floor))).collect();
        let floors = Floors { databases }.encode_to_vec();
        let signature = mac(key, club, &floors)?.finalize().into_bytes().to_vec();
        let token = Token {
            floors: floors.into(),
            key: key.number,
            signature: signature.into(),
            club: club.to_owned(),
        };
        Some(URL_SAFE_NO_PAD.encode(token.encode_to_vec()))
    }

    /// Returns the floors of a token, none if it was not signed for `club` with a known key.
    pub(crate) fn verify(&self, club: &str, token: &str) -> Option<BTreeMap<DatabaseId, Floor>> {
        let token = Token::decode(&URL_SAFE_NO_PAD.decode(token).ok()?[..]).ok()?;
        let keys = self.keys.borrow();
        let key = keys.iter().find(|key| key.number == token.key)?;
        mac(key, club, &token.floors)?.verify_slice(&token.signature).ok()?;
        let floors = Floors::decode(token.floors).ok()?;
        let decode = |floor: wire::Floor| Floor::new(floor.term, floor.position);
        Some(floors.databases.into_iter().map(|(name, floor)| (name, decode(floor))).collect())
    }
}

fn mac(key: &Key, club: &str, floors: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key.secret.as_bytes()).ok()?;
    mac.update(club.as_bytes());
    mac.update(&[0]);
    mac.update(floors);
    Some(mac)
}
