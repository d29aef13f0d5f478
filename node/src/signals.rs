//! Signals that the node handles.
//!
//! A handler sets a flag and wakes the event loop by writing a byte to a socket pair. Only the flag matters: a
//! wake-up is lost if the write in the handler is interrupted, but the next poll finds the flag, so no signal is
//! lost. `tokio`'s own driver ends the process if the read of its pipe is interrupted, and loses a signal whose
//! wake-up is lost.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::{flag, low_level::pipe};
use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Interval at which the flags are polled without a wake-up.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Buffer for wake-up bytes; the rest is read in the next iteration.
const WAKE_UP_BUFFER_BYTES: usize = 64;

/// Command that a signal conveys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// SIGTERM and SIGINT: stop the node.
    Stop,
    /// SIGHUP: reload the configuration.
    Reload,
    /// SIGUSR1: log the counters.
    Report,
}

/// Signal numbers of each command, in the order of the variants of [`Command`].
const SIGNALS_BY_COMMAND: [(Command, &[i32]); 3] =
    [(Command::Stop, &[SIGTERM, SIGINT]), (Command::Reload, &[SIGHUP]), (Command::Report, &[SIGUSR1])];

/// Pending signals of one command.
#[derive(Default)]
struct Pending {
    /// Set by the signal handler, cleared by the task.
    raised: Arc<AtomicBool>,
    /// Notified by the task after a signal.
    received: Notify,
}

/// Signals of this process; clones share them.
#[derive(Clone)]
pub struct Signals(Arc<[Pending; SIGNALS_BY_COMMAND.len()]>);

impl Signals {
    /// Installs the signal handlers until the process ends.
    ///
    /// # Errors
    /// If a handler can't be installed or the socket pair can't be created.
    ///
    /// # Panics
    /// If called outside a `tokio` runtime.
    pub fn start() -> io::Result<Signals> {
        let signals = Signals(Arc::default());
        let (wake_up_sender, wake_up_receiver) = StdUnixStream::pair()?;
        wake_up_receiver.set_nonblocking(true)?;
        for (pending, (_, numbers)) in signals.0.iter().zip(SIGNALS_BY_COMMAND) {
            for number in numbers {
                // The flag's handler is registered first, so that the flag is set when the task wakes up.
                flag::register(*number, pending.raised.clone())?;
                pipe::register(*number, wake_up_sender.try_clone()?)?;
            }
        }
        tokio::spawn(signals.clone().run(UnixStream::from_std(wake_up_receiver)?));
        Ok(signals)
    }

    /// Waits for a signal of this command. Several that arrive before the call count as one.
    pub async fn received(&self, command: Command) {
        self.0[command as usize].received.notified().await;
    }

    async fn run(self, wake_up_receiver: UnixStream) {
        loop {
            tokio::select! {
                _ = wake_up_receiver.readable() => {}
                () = sleep(POLL_INTERVAL) => {}
            }
            // Neither the number of bytes nor an error matters; only the flags do.
            let _ = wake_up_receiver.try_read(&mut [0; WAKE_UP_BUFFER_BYTES]);
            self.notify_raised();
        }
    }

    fn notify_raised(&self) {
        for pending in self.0.iter() {
            if pending.raised.swap(false, Ordering::SeqCst) {
                pending.received.notify_one();
            }
        }
    }
}
