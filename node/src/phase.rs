//! Lifecycle of this process: its phase, and the transitions between phases.

use crate::signals::{Command, Signals};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// Time after SIGTERM for which new connections are still accepted: requests that arrive within 0.7 s must be
/// answered.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(720);

/// Phase of a process between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Serving,
    /// An operator drains it: it closes client connections, still serves requests that arrive, and may resume.
    Draining,
    /// Another process serves in its place: it accepts no connections and answers its open requests.
    HandedOver,
    /// A signal stops it: it still accepts connections.
    Stopping,
    /// It accepts no connections, answers its open requests and closes idle connections.
    Closing,
}

impl Phase {
    /// Whether clients should use this process.
    pub fn is_serving(self) -> bool {
        self == Phase::Serving
    }

    /// Whether client connections are closed: idle ones at once, the others after their answer.
    pub fn closes_connections(self) -> bool {
        matches!(self, Phase::Draining | Phase::HandedOver | Phase::Closing)
    }

    /// Whether the process was told to stop.
    pub fn is_stopping(self) -> bool {
        matches!(self, Phase::Stopping | Phase::Closing)
    }

    /// Whether new connections are accepted.
    pub fn accepts_connections(self) -> bool {
        !matches!(self, Phase::HandedOver | Phase::Closing)
    }
}

/// Phase of this process, shared by all clones. Each transition is a method.
#[derive(Clone)]
pub struct Phases {
    current: Arc<watch::Sender<Phase>>,
    stopped_at: Arc<OnceLock<Instant>>,
}

impl Default for Phases {
    fn default() -> Self {
        Phases { current: Arc::new(watch::Sender::new(Phase::Serving)), stopped_at: Arc::default() }
    }
}

impl Phases {
    /// The current phase.
    pub fn current(&self) -> Phase {
        *self.current.borrow()
    }

    /// Subscribes to the phase and its changes.
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.current.subscribe()
    }

    /// Starts draining. Returns whether client connections are being closed now, which is always true: a process that
    /// stops or has handed over closes them as well.
    pub fn drain(&self) -> bool {
        self.transition(|phase| (phase == Phase::Serving).then_some(Phase::Draining));
        true
    }

    /// Ends draining. Returns whether the process serves now: one that stops or has handed over does not resume.
    pub fn resume(&self) -> bool {
        let phase = self.transition(|phase| (phase == Phase::Draining).then_some(Phase::Serving));
        phase == Phase::Serving
    }

    /// Records that another process serves now, unless this one is closing. Returns the previous phase, for
    /// [`Phases::undo_hand_over`].
    pub fn hand_over(&self) -> Phase {
        let before = self.current();
        self.transition(|phase| (phase != Phase::Closing).then_some(Phase::HandedOver));
        before
    }

    /// Returns to the previous phase because the other process has ended, unless this one was stopped since.
    pub fn undo_hand_over(&self, before: Phase) {
        self.transition(|phase| (phase == Phase::HandedOver).then_some(before));
    }

    /// Goes through the last phases; a second call has no effect. A process that has handed over closes at once.
    pub async fn stop(&self) {
        self.stopped_at.get_or_init(Instant::now);
        match self.current() {
            Phase::Stopping | Phase::Closing => return,
            Phase::HandedOver => {}
            Phase::Serving | Phase::Draining => {
                self.transition(|_| Some(Phase::Stopping));
                sleep(ACCEPT_AFTER_STOP).await;
            }
        }
        self.transition(|_| Some(Phase::Closing));
    }

    /// Whether the process was told to stop.
    pub fn is_stop_requested(&self) -> bool {
        self.stopped_at().is_some()
    }

    /// When the process was told to stop, if it was.
    pub fn stopped_at(&self) -> Option<Instant> {
        self.stopped_at.get().copied()
    }

    /// Starts a task that stops the process at SIGTERM or SIGINT.
    pub fn stop_on_signal(&self, signals: Signals) {
        let phases = self.clone();
        tokio::spawn(async move {
            signals.received(Command::Stop).await;
            log::info!(event = "stop_requested"; "stop requested by a signal");
            phases.stop().await;
        });
    }

    /// Changes the phase if `next` returns one. Returns the phase afterwards.
    fn transition(&self, next: impl FnOnce(Phase) -> Option<Phase>) -> Phase {
        self.current.send_if_modified(|phase| {
            let Some(to) = next(*phase) else { return false };
            log::info!(event = "phase_changed", from:? = *phase, to:?; "phase changed");
            *phase = to;
            true
        });
        self.current()
    }
}
