//! Signals that the process handles.
//!
//! A handler may interrupt any thread at any point, including one that the standard library has not set up
//! yet. It therefore does nothing but write a byte to a socket, which a task reads.

use std::future::poll_fn;
use std::io::{ErrorKind, Read};
use std::os::unix::net::UnixStream;

use compio::runtime::fd::PollFd;
use signal_hook::SigId;
use signal_hook::low_level::{pipe, unregister};

use crate::Result;

/// Number of signals that one read takes.
const READ_BYTES: usize = 1024;

/// Signal that is handled in place of its default action.
///
/// The default action does not return when this is dropped; the signal is ignored from then on.
pub struct Signal {
    action: SigId,
    /// Holds a byte for each signal that arrived since the last read, as far as there is room.
    socket: PollFd<UnixStream>,
}

impl Signal {
    /// Begins to handle the signal with the given number.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses the sockets or a handler for the signal.
    pub fn new(number: i32) -> Result<Signal> {
        let (reader, writer) = UnixStream::pair()?;
        reader.set_nonblocking(true)?;
        let socket = PollFd::new(reader)?;
        Ok(Signal { action: pipe::register(number, writer)?, socket })
    }

    /// Waits for the signal. Signals that arrived since the last call count as one; none of them is missed.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn receive(&mut self) -> Result<()> {
        let mut bytes = [0; READ_BYTES];
        let mut read = |mut socket: &UnixStream| socket.read(&mut bytes);
        match poll_fn(|context| self.socket.poll_read_with(context, &mut read)).await? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}

impl Drop for Signal {
    fn drop(&mut self) {
        unregister(self.action);
    }
}
