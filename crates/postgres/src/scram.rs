//! Server side of SCRAM-SHA-256 (RFC 5802 and RFC 7677).

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hmac::{Hmac, Mac};
use rand::RngExt;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::error::Code;
use crate::{Error, Result};

/// Random bytes in the server's part of the nonce.
const NONCE_BYTES: usize = 18;

/// Returns the SCRAM-SHA-256 verifier of `password` with a random salt, in PostgreSQL's format.
pub fn verifier(password: &str) -> String {
    postgres_protocol::password::scram_sha_256(password.as_bytes())
}

/// SCRAM exchange of one login, after the server's first message.
pub struct Exchange {
    stored_key: Vec<u8>,
    server_key: Vec<u8>,
    client_first_bare: String,
    server_first: String,
    nonce: String,
}

impl Exchange {
    /// Starts an exchange with the client's first message; returns the exchange and the server's
    /// first message.
    ///
    /// # Errors
    ///
    /// Fails when the message or the verifier is malformed, or the client demands channel binding.
    pub fn new(verifier: &str, client_first: &str) -> Result<(Exchange, String)> {
        Exchange::begin(verifier, client_first).ok_or_else(|| Error::new(Code::Authentication))
    }

    /// Verifies the client's final message; returns the server's final message.
    ///
    /// # Errors
    ///
    /// Fails when the message is malformed or its proof does not match the password.
    pub fn finish(&self, client_final: &str) -> Result<String> {
        self.verify(client_final).ok_or_else(|| Error::new(Code::Authentication))
    }

    fn begin(verifier: &str, client_first: &str) -> Option<(Exchange, String)> {
        let (iterations, salt, stored, server) = split_verifier(verifier)?;
        let bare = client_first.strip_prefix("n,,").or(client_first.strip_prefix("y,,"))?;
        let client_nonce = attribute(bare, 'r')?;
        let random: [u8; NONCE_BYTES] = rand::rng().random();
        let nonce = format!("{client_nonce}{}", STANDARD.encode(random));
        let server_first = format!("r={nonce},s={salt},i={iterations}");
        let exchange = Exchange {
            stored_key: STANDARD.decode(stored).ok()?,
            server_key: STANDARD.decode(server).ok()?,
            client_first_bare: bare.to_owned(),
            server_first: server_first.clone(),
            nonce,
        };
        Some((exchange, server_first))
    }

    fn verify(&self, client_final: &str) -> Option<String> {
        let (without_proof, proof) = client_final.rsplit_once(",p=")?;
        if attribute(without_proof, 'r')? != self.nonce {
            return None;
        }
        let proof = STANDARD.decode(proof).ok()?;
        let auth_message =
            format!("{},{},{without_proof}", self.client_first_bare, self.server_first);
        let client_signature = hmac_sha256(&self.stored_key, &auth_message)?;
        if proof.len() != client_signature.len() {
            return None;
        }
        let client_key: Vec<u8> = proof.iter().zip(&client_signature).map(|(a, b)| a ^ b).collect();
        let is_valid = Sha256::digest(&client_key).as_slice().ct_eq(&self.stored_key);
        if !bool::from(is_valid) {
            return None;
        }
        Some(format!("v={}", STANDARD.encode(hmac_sha256(&self.server_key, &auth_message)?)))
    }
}

/// Splits a verifier into iteration count, salt, stored key and server key.
fn split_verifier(verifier: &str) -> Option<(&str, &str, &str, &str)> {
    let fields = verifier.strip_prefix("SCRAM-SHA-256$")?;
    let (parameters, keys) = fields.split_once('$')?;
    let (iterations, salt) = parameters.split_once(':')?;
    let (stored, server) = keys.split_once(':')?;
    Some((iterations, salt, stored, server))
}

fn attribute(message: &str, name: char) -> Option<&str> {
    message.split(',').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}

fn hmac_sha256(key: &[u8], message: &str) -> Option<Vec<u8>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
    mac.update(message.as_bytes());
    Some(mac.finalize().into_bytes().to_vec())
}
