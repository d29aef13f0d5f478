//! Lifecycle of this process: its phase, and the transitions between phases.

use crate::signals::{Command, Signals};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// Time after SIGTERM for which new connections are still accepted: requests that arrive within 0.7 s must be
/// answered.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(720);

/// Time after SIGTERM within which an arriving request may be interrupted by SIGKILL; later ones must be answered
/// before.
const INTERRUPTIBLE_PERIOD: Duration = Duration::from_millis(700);
/// Cap on the deadline that counts towards the time of SIGKILL. SIGKILL comes no sooner after SIGTERM than 0.7 s plus
/// the longest deadline of a class, of which at most this much is counted.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Reserve before SIGKILL: time for an answer to reach its client, and for a SIGTERM that is noticed late because the
/// process was blocked or a wake-up was lost (see [`crate::signals`]).
const KILL_RESERVE: Duration = Duration::from_millis(180);

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
        self.stopped_at.get().is_some()
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

    /// Time by which a request that arrives now must be answered because SIGKILL may come before its own deadline;
    /// `None` if the process is not stopping, or the request may be interrupted.
    pub fn answer_deadline(&self, longest_deadline: Duration) -> Option<Instant> {
        self.stopped_at.get().filter(|at| at.elapsed() > INTERRUPTIBLE_PERIOD)?;
        self.end_deadline(longest_deadline)
    }

    /// Time by which this process should have ended because SIGKILL may come then; `None` if it was not told to stop.
    pub fn end_deadline(&self, longest_deadline: Duration) -> Option<Instant> {
        let killed_after = longest_deadline.min(MAX_COUNTED_DEADLINE) + INTERRUPTIBLE_PERIOD;
        self.stopped_at.get().map(|at| *at + killed_after - KILL_RESERVE)
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
