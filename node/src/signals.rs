//! The signals that the node obeys.
//!
//! A handler sets a flag and wakes the event loop by a byte in a socket pair. The flag is what counts: a wake-up that is
//! lost, for the write in the handler was interrupted, costs a look and no signal. `tokio`'s own driver ends the process
//! where the read of its pipe is interrupted, and loses a signal whose wake-up is.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::{flag, low_level::pipe};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Between looks at the flags without a wake-up.
const LOOK: Duration = Duration::from_millis(100);

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// SIGTERM and SIGINT: to stop.
    Stop,
    /// SIGHUP: to read the configuration again.
    Reload,
    /// SIGUSR1: to log the counters.
    Report,
}

const COMMANDS: [(Command, &[i32]); 3] =
    [(Command::Stop, &[SIGTERM, SIGINT]), (Command::Reload, &[SIGHUP]), (Command::Report, &[SIGUSR1])];

#[derive(Default)]
struct Entry {
    raised: Arc<AtomicBool>,
    received: Notify,
}

/// The signals of this process; clones share them.
#[derive(Clone)]
pub struct Signals(Arc<[Entry; COMMANDS.len()]>);

impl Signals {
    /// Takes the signals over, for as long as the process lives. Needs a runtime.
    ///
    /// # Errors
    /// Where the handlers or the socket pair can't be made.
    pub fn start() -> io::Result<Signals> {
        let signals = Signals(Arc::default());
        let (wake, woken) = std::os::unix::net::UnixStream::pair()?;
        woken.set_nonblocking(true)?;
        for (entry, (_, numbers)) in signals.0.iter().zip(COMMANDS) {
            for number in numbers {
                // The flag first: who is woken finds it set.
                flag::register(*number, entry.raised.clone())?;
                pipe::register(*number, wake.try_clone()?)?;
            }
        }
        tokio::spawn(signals.clone().follow(UnixStream::from_std(woken)?));
        Ok(signals)
    }

    /// Returns once the signal has come; several that come before somebody waits are one.
    pub async fn received(&self, command: Command) {
        self.0[command as usize].received.notified().await;
    }

    async fn follow(self, woken: UnixStream) {
        loop {
            tokio::select! {
                _ = woken.readable() => {}
                () = sleep(LOOK) => {}
            }
            // How many bytes there are says nothing; an error neither.
            let _ = woken.try_read(&mut [0; 64]);
            for entry in self.0.iter() {
                if entry.raised.swap(false, Ordering::SeqCst) {
                    entry.received.notify_one();
                }
            }
        }
    }
}
