//! Where a node is between its start and its end: one owner of that, and what may follow on what.

use crate::signals::{Command, Signals};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// New connections go on coming for a while after SIGTERM; what comes in 0.7 s must be answered.
const ACCEPTING: Duration = Duration::from_millis(720);

/// Up to which a request after SIGTERM may be cut by SIGKILL; a later one has to have its answer by then.
const EXCUSED: Duration = Duration::from_millis(700);
/// SIGKILL comes no sooner than the longest deadline, but counted as this where it is longer, and 0.7 s more.
const DEADLINE_MOST: Duration = Duration::from_secs(3);
/// Before SIGKILL, for an answer to reach its client, and for SIGTERM to have been heard late: by a process that was
/// held up, or whose wake-up was lost (see [`crate::signals`]).
const MARGIN: Duration = Duration::from_millis(180);

/// Where a node is between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It was told to drain: it sends its clients away and still serves what comes. It may go back to serving.
    Draining,
    /// Another process serves in its place: it takes nothing new and answers what it has.
    HandedOver,
    /// It was told to stop; it still takes what comes.
    Stopping,
    /// It takes nothing new, answers what it has and closes connections that are idle.
    Closing,
}

impl Phase {
    /// Whether clients are wanted.
    pub fn is_serving(self) -> bool {
        self == Phase::Serving
    }

    /// Whether connections are closed: idle ones now, others after their answer.
    pub fn closes_connections(self) -> bool {
        matches!(self, Phase::Draining | Phase::HandedOver | Phase::Closing)
    }

    /// Whether new connections are taken.
    pub fn accepts_connections(self) -> bool {
        !matches!(self, Phase::HandedOver | Phase::Closing)
    }
}

/// The phase of this process. All that changes it goes through here; whoever follows it gets a receiver.
#[derive(Clone)]
pub struct Phases(Arc<watch::Sender<Phase>>, Arc<OnceLock<Instant>>);

impl Default for Phases {
    fn default() -> Self {
        Phases(Arc::new(watch::Sender::new(Phase::Serving)), Arc::default())
    }
}

impl Phases {
    /// For who follows it.
    pub fn follow(&self) -> watch::Receiver<Phase> {
        self.0.subscribe()
    }

    /// Sends clients away; one that is on its way to its end does already. Says whether it does now.
    pub fn drain(&self) -> bool {
        self.transition(|p| (p == Phase::Serving).then_some(Phase::Draining));
        true
    }

    /// Back to serving. Says whether it serves now: a node that was told to stop, or that another process serves
    /// for, does not come back.
    pub fn resume(&self) -> bool {
        self.transition(|p| (p == Phase::Draining).then_some(Phase::Serving)) == Phase::Serving
    }

    /// Another process serves now. Returns what to take back should it fail; in the last phase nothing changes.
    pub fn hand_over(&self) -> Phase {
        let before = *self.0.borrow();
        self.transition(|p| (p != Phase::Closing).then_some(Phase::HandedOver));
        before
    }

    /// The other process has ended: this one goes on from where it was, unless it was told to stop since.
    pub fn take_back(&self, before: Phase) {
        self.transition(|p| (p == Phase::HandedOver).then_some(before));
    }

    /// Goes through the last phases, whatever the phase is; a second call changes nothing. Where another process
    /// serves, nothing more is taken.
    pub async fn stop(&self) {
        self.1.get_or_init(Instant::now);
        let now = *self.0.borrow();
        match now {
            Phase::Stopping | Phase::Closing => return,
            Phase::HandedOver => {}
            Phase::Serving | Phase::Draining => {
                self.transition(|_| Some(Phase::Stopping));
                sleep(ACCEPTING).await;
            }
        }
        self.transition(|_| Some(Phase::Closing));
    }

    /// Stops at SIGTERM (or SIGINT).
    pub fn stop_on_signal(&self, signals: Signals) {
        let phases = self.clone();
        tokio::spawn(async move {
            signals.received(Command::Stop).await;
            log::info!("told to stop");
            phases.stop().await;
        });
    }

    /// By when a request that comes in now has to have its answer, where SIGKILL may come before its own time ends.
    pub fn shutdown_deadline(&self, longest_deadline: Duration) -> Option<Instant> {
        let told = self.1.get().filter(|told| told.elapsed() > EXCUSED)?;
        Some(*told + longest_deadline.min(DEADLINE_MOST) + EXCUSED - MARGIN)
    }

    /// Changes the phase, where something follows on it, and says what it is then.
    fn transition(&self, next: impl FnOnce(Phase) -> Option<Phase>) -> Phase {
        self.0.send_if_modified(|phase| match next(*phase) {
            Some(new) => {
                log::info!("{phase:?} -> {new:?}");
                *phase = new;
                true
            }
            None => false,
        });
        *self.0.borrow()
    }
}
