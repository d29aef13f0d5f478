//! Signals that the node obeys.
//!
//! A handler sets a flag and wakes the event loop by a byte in a socket pair. The flag is what counts: a wake-up is lost
//! where the write in the handler was interrupted; then the flag is seen at the next poll, so no signal is. `tokio`'s own
//! driver ends the process where the read of its pipe is interrupted, and loses a signal whose wake-up is lost.

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

/// Interval between looks at the flags where no wake-up comes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Wake-up bytes that one read takes, in bytes; what is left over is read in the next turn.
const WAKE_UP_BUFFER: usize = 64;

/// Command that a signal stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// SIGTERM and SIGINT: to stop.
    Stop,
    /// SIGHUP: to read the configuration again.
    Reload,
    /// SIGUSR1: to log the counters.
    Report,
}

/// Signal numbers of each command, in the order of the variants.
const SIGNALS_BY_COMMAND: [(Command, &[i32]); 3] =
    [(Command::Stop, &[SIGTERM, SIGINT]), (Command::Reload, &[SIGHUP]), (Command::Report, &[SIGUSR1])];

/// State of one command.
#[derive(Default)]
struct Pending {
    /// Set by the handler, cleared by the task.
    raised: Arc<AtomicBool>,
    /// Notified by the task.
    received: Notify,
}

/// Signals of this process; clones share them.
#[derive(Clone)]
pub struct Signals(Arc<[Pending; SIGNALS_BY_COMMAND.len()]>);

impl Signals {
    /// Installs the handlers for as long as the process lives.
    ///
    /// # Errors
    /// Where a handler can't be installed or the socket pair can't be made.
    ///
    /// # Panics
    /// Outside a `tokio` runtime.
    pub fn start() -> io::Result<Signals> {
        let signals = Signals(Arc::default());
        let (wake_up, woken) = StdUnixStream::pair()?;
        woken.set_nonblocking(true)?;
        for (pending, (_, numbers)) in signals.0.iter().zip(SIGNALS_BY_COMMAND) {
            for number in numbers {
                // The flag is registered first, so that the task finds it set when it wakes.
                flag::register(*number, pending.raised.clone())?;
                pipe::register(*number, wake_up.try_clone()?)?;
            }
        }
        tokio::spawn(signals.clone().run(UnixStream::from_std(woken)?));
        Ok(signals)
    }

    /// Waits for a signal of this command; several that come before somebody waits count as one.
    pub async fn received(&self, command: Command) {
        self.0[command as usize].received.notified().await;
    }

    async fn run(self, woken: UnixStream) {
        loop {
            tokio::select! {
                _ = woken.readable() => {}
                () = sleep(POLL_INTERVAL) => {}
            }
            // Neither the number of bytes nor an error matters: only the flags do.
            let _ = woken.try_read(&mut [0; WAKE_UP_BUFFER]);
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
