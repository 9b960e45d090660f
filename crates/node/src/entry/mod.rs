//! Callers: their connections, logins and sessions.

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

/// What every session needs.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) hub: Sender,
    pub(crate) limits: Limits,
    pub(crate) keys: Keys,
    /// Ready when the node drains.
    pub(crate) drained: Shared<oneshot::Receiver<()>>,
}

/// Accepts callers until the node drains.
pub(crate) async fn accept(listener: TcpListener, context: Context) {
    let listener = compio::net::TcpListener::from_std(listener).expect("the socket is valid");
    let callers = Rc::new(());
    let mut drained = context.drained.clone();
    loop {
        let accepting = futures_util::FutureExt::fuse(listener.accept());
        futures_util::pin_mut!(accepting);
        let accepted = futures_util::select_biased! {
            _ = drained => return,
            accepted = accepting => accepted,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let full = Rc::strong_count(&callers) > context.limits.callers;
        let (context, counted) = (context.clone(), callers.clone());
        compio::runtime::spawn(async move {
            session::serve(stream, context, full).await;
            drop(counted);
        })
        .detach();
    }
}
