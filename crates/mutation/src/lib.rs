//! Mutated inputs for tests of decoders, from fixed seeds. `INPUTS=n` makes each test use n inputs.

use std::fmt::Debug;

use bytes::BytesMut;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of inputs for each decoder by default.
const INPUTS: u64 = 3000;

/// Returns the number of inputs for each decoder.
pub fn input_count() -> u64 {
    std::env::var("INPUTS").ok().and_then(|value| value.parse().ok()).unwrap_or(INPUTS)
}

/// Returns `original` with some bytes changed, inserted, removed or repeated, or only random bytes.
pub fn mutate(random: &mut impl Rng, original: &[u8]) -> Vec<u8> {
    if random.random_ratio(1, 8) {
        return (0..random.random_range(0..200)).map(|_| random.random()).collect();
    }
    let mut bytes = original.to_vec();
    for _ in 0..random.random_range(1..12) {
        let at = random.random_range(0..=bytes.len());
        let end = (at + random.random_range(0..20)).min(bytes.len());
        match random.random_range(0..5) {
            0 if at < bytes.len() => bytes[at] = random.random(),
            // Separators, digits and bytes that are no text.
            1 => bytes.insert(at, *b" \r\n.-09\xff\0".get(random.random_range(0..9)).unwrap_or(&0)),
            2 => drop(bytes.drain(at..end)),
            3 => {
                let repeated = bytes[at..end].to_vec();
                bytes.splice(at..at, repeated);
            }
            _ => bytes.truncate(bytes.len().saturating_sub(random.random_range(0..30))),
        }
    }
    bytes
}

/// Checks a decoder with mutations of `original`: it must neither panic nor return a message without
/// consuming bytes, and the messages must not depend on how the bytes are split between reads.
/// `new_decoder` returns a decoder for a new connection.
///
/// # Panics
///
/// Panics if the decoder fails the check; names the seed.
pub fn check<T: Debug, E: Debug, D>(seed: u64, original: &[u8], new_decoder: impl Fn() -> D)
where
    D: FnMut(&mut BytesMut) -> Result<Option<T>, E>,
{
    for index in 0..input_count() {
        let mut random = ChaCha8Rng::seed_from_u64(seed + index);
        let input = mutate(&mut random, original);
        let (first, second) = input.split_at(random.random_range(0..=input.len()));
        let whole = decode_all(&[&input], new_decoder());
        let split = decode_all(&[first, second], new_decoder());
        assert_eq!(whole, split, "seed {}", seed + index);
    }
}

/// Decodes all messages of an input that arrives in the given parts. Returns their `Debug` output.
fn decode_all<T: Debug, E: Debug>(
    parts: &[&[u8]],
    mut decode: impl FnMut(&mut BytesMut) -> Result<Option<T>, E>,
) -> Vec<String> {
    let (mut buffer, mut messages) = (BytesMut::new(), Vec::new());
    for part in parts {
        buffer.extend_from_slice(part);
        loop {
            let length = buffer.len();
            match decode(&mut buffer) {
                Ok(Some(message)) => {
                    assert!(buffer.len() < length, "a message was decoded from no bytes");
                    messages.push(format!("{message:?}"));
                }
                Ok(None) => break,
                Err(error) => {
                    messages.push(format!("{error:?}"));
                    return messages;
                }
            }
        }
    }
    messages
}
