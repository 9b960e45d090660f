//! Clients: their connections, logins and sessions.

mod batch;
mod login;
mod reply;
mod session;
mod token;

use std::net::TcpListener;
use std::rc::Rc;

use futures_channel::oneshot;
use futures_util::future::Shared;
use tamarackbend_config::Limits;
pub(crate) use token::Keys;

use crate::hub::Sender;

/// Parameters shared by all client sessions.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) hub: Sender,
    pub(crate) limits: Limits,
    pub(crate) keys: Keys,
    /// Resolves when the node starts to drain.
    pub(crate) drain_started: Shared<oneshot::Receiver<()>>,
}

/// Accepts clients until the node drains.
pub(crate) async fn accept(listener: TcpListener, context: Context) {
    let listener = compio::net::TcpListener::from_std(listener).expect("the socket is valid");
    // Each session holds a clone, so the reference count exceeds the number of sessions by one.
    let session_counter = Rc::new(());
    let mut drain_started = context.drain_started.clone();
    loop {
        let accepting = futures_util::FutureExt::fuse(listener.accept());
        futures_util::pin_mut!(accepting);
        let accepted = futures_util::select_biased! {
            _ = drain_started => return,
            accepted = accepting => accepted,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let is_full = Rc::strong_count(&session_counter) > context.limits.max_clients;
        let (context, session_guard) = (context.clone(), session_counter.clone());
        compio::runtime::spawn(async move {
            session::serve(stream, context, is_full).await;
            drop(session_guard);
        })
        .detach();
    }
}
