//! Lifecycle of this process: its phase, the transitions between phases, and who is told of them.

use crate::signals::{Command, Signals};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// Time after SIGTERM in which new connections are still accepted: what comes in 0.7 s must be answered.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(720);

/// Age of the stop up to which a new request may be cut by SIGKILL; a later one needs its answer before.
const UNANSWERED_ALLOWED: Duration = Duration::from_millis(700);
/// Upper bound of the deadline that counts for SIGKILL, which comes no sooner than the longest deadline, or this
/// where it is longer, and 0.7 s more.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Reserve before SIGKILL: for an answer to reach its client, and for a SIGTERM that was seen late by a process that
/// was held up, or whose wake-up was lost (see [`crate::signals`]).
const KILL_RESERVE: Duration = Duration::from_millis(180);

/// Phase of a process between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The process serves.
    Serving,
    /// An operator drains it: it sends clients away, still serves what comes, and may go back to serving.
    Draining,
    /// Another process serves in its place: it accepts nothing new and answers what it has.
    HandedOver,
    /// A signal stops it: it still accepts what comes.
    Stopping,
    /// It accepts nothing new, answers what it has and closes idle connections.
    Closing,
}

impl Phase {
    /// Whether clients are welcome.
    pub fn is_serving(self) -> bool {
        self == Phase::Serving
    }

    /// Whether client connections are closed: idle ones at once, others after their answer.
    pub fn closes_connections(self) -> bool {
        matches!(self, Phase::Draining | Phase::HandedOver | Phase::Closing)
    }

    /// Whether new connections are accepted.
    pub fn accepts_connections(self) -> bool {
        !matches!(self, Phase::HandedOver | Phase::Closing)
    }
}

/// Owner of the phase of this process; clones share it. Each transition is a method.
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
    /// Receiver of the phase and its changes.
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.current.subscribe()
    }

    /// Begins to drain. Returns whether clients are sent away now, which is always so: a process that stops or has
    /// handed over does so, too.
    pub fn drain(&self) -> bool {
        self.transition(|phase| (phase == Phase::Serving).then_some(Phase::Draining));
        true
    }

    /// Ends the drain. Returns whether the process serves now: one that stops or has handed over does not come back.
    pub fn resume(&self) -> bool {
        let phase = self.transition(|phase| (phase == Phase::Draining).then_some(Phase::Serving));
        phase == Phase::Serving
    }

    /// Notes that another process serves now, except in the last phase. Returns the phase before, for
    /// [`Phases::undo_hand_over`].
    pub fn hand_over(&self) -> Phase {
        let before = *self.current.borrow();
        self.transition(|phase| (phase != Phase::Closing).then_some(Phase::HandedOver));
        before
    }

    /// Notes that the other process has ended: this one goes on from the phase before, unless it was stopped since.
    pub fn undo_hand_over(&self, before: Phase) {
        self.transition(|phase| (phase == Phase::HandedOver).then_some(before));
    }

    /// Goes through the last phases; a second call changes nothing. A process that has handed over closes at once.
    pub async fn stop(&self) {
        self.stopped_at.get_or_init(Instant::now);
        let phase = *self.current.borrow();
        match phase {
            Phase::Stopping | Phase::Closing => return,
            Phase::HandedOver => {}
            Phase::Serving | Phase::Draining => {
                self.transition(|_| Some(Phase::Stopping));
                sleep(ACCEPT_AFTER_STOP).await;
            }
        }
        self.transition(|_| Some(Phase::Closing));
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

    /// Moment by which a request that arrives now needs its answer because SIGKILL may come before its own deadline;
    /// `None` where that is no concern.
    pub fn answer_deadline(&self, longest_deadline: Duration) -> Option<Instant> {
        let stopped_at = self.stopped_at.get().filter(|at| at.elapsed() > UNANSWERED_ALLOWED)?;
        let killed_after = longest_deadline.min(MAX_COUNTED_DEADLINE) + UNANSWERED_ALLOWED;
        Some(*stopped_at + killed_after - KILL_RESERVE)
    }

    /// Changes the phase where `next` names another one. Returns the phase afterwards.
    fn transition(&self, next: impl FnOnce(Phase) -> Option<Phase>) -> Phase {
        self.current.send_if_modified(|phase| {
            let Some(to) = next(*phase) else { return false };
            log::info!(event = "phase_changed", from:? = *phase, to:?; "phase changed");
            *phase = to;
            true
        });
        *self.current.borrow()
    }
}
