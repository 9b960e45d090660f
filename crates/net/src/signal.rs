//! Signals that the process handles.
//!
//! The signal library restores the default action of a signal, which may end the process, when its last
//! listener is dropped, and a listener ends with the first signal that it receives. [`Signal`] therefore
//! keeps a listener that is never polled to its end.

use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use crate::Result;

type Listener = Pin<Box<dyn Future<Output = Result<()>>>>;

/// Signal that is handled, in place of its default action, for as long as this lives.
pub struct Signal {
    number: i32,
    next: Listener,
    _keeper: Listener,
}

impl Signal {
    /// Begins to handle the signal with the given number.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses a handler for the signal.
    pub fn new(number: i32) -> Result<Signal> {
        Ok(Signal { number, next: listen(number)?, _keeper: listen(number)? })
    }

    /// Waits for the signal. Signals that arrived since the last call count as one; none of them is missed.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses a handler for the signal.
    pub async fn receive(&mut self) -> Result<()> {
        self.next.as_mut().await?;
        self.next = listen(self.number)?;
        Ok(())
    }
}

/// Returns a listener that is registered already.
fn listen(number: i32) -> Result<Listener> {
    let mut listener: Listener = Box::pin(compio::signal::unix::signal(number));
    // A listener is registered when it is polled first.
    match listener.as_mut().poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(Err(error)) => Err(error),
        Poll::Ready(Ok(())) => listen(number),
        Poll::Pending => Ok(listener),
    }
}
