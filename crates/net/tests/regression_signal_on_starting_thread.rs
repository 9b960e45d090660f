//! Guards against a process that aborts when a signal arrives on a thread that is being spawned.

use std::process::{Command, Stdio};
use std::thread::{sleep, spawn};
use std::time::Duration;

use compio::runtime::Runtime;
use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use rustix::process::{Pid, Signal as Kind, kill_process};
use tamarackbend_net::signal::Signal;

/// Environment variable that is set in the process that receives the signals.
const RECEIVER: &str = "SIGNAL_RECEIVER";
/// Number of times that the receiver waits for a signal, and of threads that it spawns each time.
const ROUNDS: usize = 2000;
const THREADS: usize = 4;
/// Pause between two signals, in which the receiver may begin to spawn a thread.
const PAUSE: Duration = Duration::from_micros(20);

#[test]
fn signal_on_a_starting_thread_is_received() {
    if std::env::var_os(RECEIVER).is_some() {
        return receive_while_spawning();
    }
    let mut receiver = Command::new(std::env::current_exe().expect("the path is known"))
        // With one job the test runs on the main thread, so that no other thread takes the signals.
        .args(["--exact", "signal_on_a_starting_thread_is_received", "--test-threads=1"])
        .env(RECEIVER, "1")
        .stdout(Stdio::null())
        .spawn()
        .expect("the receiver starts");
    let status = loop {
        if let Some(status) = receiver.try_wait().expect("the receiver can be asked") {
            break status;
        }
        sleep(PAUSE);
        // By default the signal is ignored, so that it may be sent before the receiver handles it.
        kill_process(Pid::from_child(&receiver), Kind::WINCH).expect("the receiver takes signals");
    };
    assert!(status.success(), "{status}");
}

fn receive_while_spawning() {
    let mut signal = Signal::new(Kind::WINCH.as_raw()).expect("the signal can be handled");
    let (sender, mut receptions) = unbounded();
    Runtime::new().expect("a runtime can be created").block_on(async {
        let receive = compio::runtime::spawn(async move {
            while signal.receive().await.is_ok() && sender.unbounded_send(()).is_ok() {}
        });
        for _ in 0..ROUNDS {
            for _ in 0..THREADS {
                spawn(|| ()).join().expect("the thread ends");
            }
            receptions.next().await.expect("the signal is handled");
        }
        drop(receive);
    });
}
