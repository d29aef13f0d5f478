//! Pauses after failed calls to discovery, and the time for which a watch may wait. They protect discovery from its own
//! nodes: where it rejects calls, all nodes ask again, and each call that it rejects keeps it from answering one.

use std::time::Duration;

/// Time for which a watch waits where discovery is one service for all nodes. With [`super::client::CALL_GRACE`] and
/// [`PAUSE_MIN`] behind it, a watch that falls silent is opened anew so soon that all nodes together have their answers
/// within the 6 s after which a change counts as notified, however many ask.
const WAIT: Duration = Duration::from_secs(3);
/// The same for the first call, and after one that failed, less the pause before it: long enough that a service which is
/// some seconds behind with its calls is not asked again before it could answer.
const WAIT_AFTER_FAILURE: Duration = Duration::from_secs(2);
/// The least of that. Behind the longest pause, a call that falls silent then is still made anew within the 6 s.
const WAIT_AFTER_FAILURE_MIN: Duration = Duration::from_secs(1);
/// Time for which a watch waits where an agent of this machine's own pushes lists: it answers at no cost, and what it has
/// counts as notified whether or not it was asked. A silent watch is to be seen soon.
const PUSHED_WAIT: Duration = Duration::from_secs(1);
/// The same for the first call and after one that failed: until the agent is surely there again, no long wait may depend on
/// a call that it has forgotten.
const PUSHED_WAIT_AFTER_FAILURE: Duration = Duration::from_millis(100);
/// Shortest pause after a failure; within 200 ms the watch continues.
pub const PAUSE_MIN: Duration = Duration::from_millis(50);
/// Longest pause after calls that discovery rejects, which says that it is asked too much.
pub const PAUSE_MAX: Duration = Duration::from_secs(3);
/// The same where lists are pushed: the agent is asked by this node alone.
const PUSHED_PAUSE_MAX: Duration = Duration::from_millis(200);

/// Waits of a watch.
struct WatchWait {
    /// After an answer.
    usual: Duration,
    /// For the first call, and after one that failed, less the pause before it.
    after_failure: Duration,
    /// The least of that.
    after_failure_min: Duration,
}

/// Growing pauses, with jitter.
pub struct Backoff {
    rng: fastrand::Rng,
    wait: WatchWait,
    first: Duration,
    next: Duration,
    longest: Duration,
}

impl Backoff {
    /// Pause after a call without an answer.
    pub const UNREACHABLE_PAUSE: Duration = PAUSE_MIN;

    /// The backoff of one of `siblings` nodes. Where all ask one service, the first pause grows with their number, so that
    /// all together ask about as often as few do.
    pub fn new(siblings: u32, is_shared_service: bool, seed: u64) -> Backoff {
        let rng = fastrand::Rng::with_seed(seed);
        if is_shared_service {
            let first = (PAUSE_MIN / 4 * siblings).clamp(PAUSE_MIN, PAUSE_MAX);
            let wait = WatchWait {
                usual: WAIT,
                after_failure: WAIT_AFTER_FAILURE,
                after_failure_min: WAIT_AFTER_FAILURE_MIN,
            };
            Backoff { rng, wait, first, next: first, longest: PAUSE_MAX }
        } else {
            let wait = WatchWait {
                usual: PUSHED_WAIT,
                after_failure: PUSHED_WAIT_AFTER_FAILURE,
                after_failure_min: PUSHED_WAIT_AFTER_FAILURE,
            };
            Backoff { rng, wait, first: PAUSE_MIN, next: PAUSE_MIN, longest: PUSHED_PAUSE_MAX }
        }
    }

    /// Time for which a watch may wait, where this pause was before it.
    pub fn watch_wait(&self, pause: Option<Duration>) -> Duration {
        match pause {
            None => self.wait.usual,
            Some(pause) => self.wait.after_failure.saturating_sub(pause).max(self.wait.after_failure_min),
        }
    }

    /// An answer came: the next pause is the first one again.
    pub fn reset(&mut self) {
        self.next = self.first;
    }

    /// The pause after a call that was rejected.
    pub fn pause_after_rejection(&mut self) -> Duration {
        self.grow(self.longest)
    }

    /// The pause after an answer that is no list.
    pub fn pause_after_invalid_list(&mut self) -> Duration {
        self.grow(PAUSE_MAX)
    }

    /// Each pause is twice the last, and anywhere from a half of that to the whole, so that nodes do not stay in step.
    fn grow(&mut self, longest: Duration) -> Duration {
        let pause = self.next.min(longest).mul_f64(0.5 + 0.5 * self.rng.f64());
        self.next = (self.next * 2).min(longest);
        pause
    }
}
