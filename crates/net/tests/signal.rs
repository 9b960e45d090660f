//! Signals are received whenever they arrived. Each test has a signal of its own, as all share the process.

use compio::runtime::Runtime;
use rustix::process::{Signal as Kind, getpid, kill_process};
use tamarackbend_net::signal::Signal;

/// Number of signals that nobody reads, more than the socket holds.
const UNREAD: usize = 10_000;

fn send(kind: Kind) {
    kill_process(getpid(), kind).expect("the process takes signals");
}

#[test]
fn signal_from_before_the_runtime_is_received() {
    let mut signal = Signal::new(Kind::USR1.as_raw()).expect("the signal can be handled");
    send(Kind::USR1);
    let runtime = Runtime::new().expect("a runtime can be created");
    runtime.block_on(signal.receive()).expect("it is received");
}

#[test]
fn signal_between_two_calls_is_received() {
    let mut signal = Signal::new(Kind::USR2.as_raw()).expect("the signal can be handled");
    Runtime::new().expect("a runtime can be created").block_on(async {
        for _ in 0..100 {
            send(Kind::USR2);
            signal.receive().await.expect("it is received");
        }
    });
}

#[test]
fn abandoned_call_takes_no_signal() {
    let mut signal = Signal::new(Kind::ALARM.as_raw()).expect("the signal can be handled");
    Runtime::new().expect("a runtime can be created").block_on(async {
        for _ in 0..100 {
            assert!(futures_util::poll!(Box::pin(signal.receive())).is_pending());
            send(Kind::ALARM);
            signal.receive().await.expect("it is received");
        }
    });
}

#[test]
fn unread_signals_do_not_block_the_process() {
    let mut signal = Signal::new(Kind::VTALARM.as_raw()).expect("the signal can be handled");
    for _ in 0..UNREAD {
        send(Kind::VTALARM);
    }
    let runtime = Runtime::new().expect("a runtime can be created");
    runtime.block_on(signal.receive()).expect("it is received");
}

/// The default action of both signals ends the process.
#[test]
fn signal_is_ignored_after_its_listener_is_dropped() {
    drop(Signal::new(Kind::HUP.as_raw()).expect("the signal can be handled"));
    let mut later = Signal::new(Kind::TERM.as_raw()).expect("the signal can be handled");
    send(Kind::HUP);
    send(Kind::TERM);
    let runtime = Runtime::new().expect("a runtime can be created");
    runtime.block_on(later.receive()).expect("it is received");
}
