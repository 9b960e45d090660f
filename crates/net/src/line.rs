//! Framing by lines that end with CR LF.
//!
//! A CR or LF by itself is part of a line: a line that ended at either of them would let the data of one
//! message begin another.

use bytes::{Buf, BytesMut};
use memchr::memmem;

/// End of a line.
pub const TERMINATOR: &str = "\r\n";

/// Reason why no line can be taken from a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The line is longer than the maximum.
    TooLong,
    /// The line is not UTF-8.
    NotUtf8,
}

/// Takes one line from `input` and returns it without its CR LF, or `None` if it is incomplete.
///
/// # Errors
///
/// Fails when the line has more than `max_bytes` bytes without its CR LF, or is not UTF-8.
pub fn take(input: &mut BytesMut, max_bytes: usize) -> Result<Option<String>, Fault> {
    let window = &input[..input.len().min(max_bytes + TERMINATOR.len())];
    let Some(length) = memmem::find(window, TERMINATOR.as_bytes()) else {
        return if window.len() < max_bytes + TERMINATOR.len() {
            Ok(None)
        } else {
            Err(Fault::TooLong)
        };
    };
    let line = input.split_to(length);
    input.advance(TERMINATOR.len());
    String::from_utf8(line.into()).map(Some).map_err(|_| Fault::NotUtf8)
}
