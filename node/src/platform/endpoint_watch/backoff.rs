//! Pauses after failed calls to discovery, and timeouts of its long polls. They protect discovery from retry
//! storms: when it rejects calls, all nodes retry, and each rejection costs it the time for an answer.

use std::time::Duration;

/// Long poll timeout if discovery is one service for all nodes. Including [`super::client::CALL_GRACE`] and
/// [`PAUSE_MIN`], a long poll that gets no response is made again early enough for all nodes, however many,
/// to have a response within the 6 s after which they count as notified of a change.
const WATCH_WAIT: Duration = Duration::from_secs(3);
/// The same for the first call and after a failed one, less the pause before the call: long enough for a
/// service with a backlog of some seconds to respond before the call is repeated.
const WATCH_WAIT_AFTER_FAILURE: Duration = Duration::from_secs(2);
/// Lower bound of that: even after the longest pause, a call without a response is repeated within the 6 s.
const WATCH_WAIT_AFTER_FAILURE_MIN: Duration = Duration::from_secs(1);
/// Long poll timeout if lists are pushed to an agent on this machine: calls to it are cheap, and a list
/// counts as notified once the agent has it, whether or not it was requested. A long poll without a response
/// should be detected soon.
const AGENT_WATCH_WAIT: Duration = Duration::from_secs(1);
/// The same for the first call and after a failed one: until the agent has responded, no long wait may depend
/// on a call that a restarted agent does not know.
const AGENT_WATCH_WAIT_AFTER_FAILURE: Duration = Duration::from_millis(100);
/// Shortest pause after a failure; the watch must continue within 200 ms.
pub const PAUSE_MIN: Duration = Duration::from_millis(50);
/// Longest pause after calls that discovery rejects because it is overloaded.
pub const PAUSE_MAX: Duration = Duration::from_secs(3);
/// The same for an agent on this machine, which only this node calls.
const AGENT_PAUSE_MAX: Duration = Duration::from_millis(200);

/// Long poll timeouts.
struct WatchWait {
    /// After a successful call.
    after_success: Duration,
    /// For the first call and after a failed one, less the pause before the call.
    after_failure: Duration,
    /// Lower bound of that.
    after_failure_min: Duration,
}

/// Exponential backoff with jitter.
pub struct Backoff {
    rng: fastrand::Rng,
    wait: WatchWait,
    first_pause: Duration,
    next_pause: Duration,
    pause_max: Duration,
}

impl Backoff {
    /// Pause after a call without a response.
    pub const UNREACHABLE_PAUSE: Duration = PAUSE_MIN;

    /// Creates the backoff of one of `node_count` nodes. If all call one service, the first pause grows with
    /// their number, so that the total rate of retries hardly depends on it.
    pub fn new(node_count: u32, is_shared_service: bool, seed: u64) -> Backoff {
        let rng = fastrand::Rng::with_seed(seed);
        if is_shared_service {
            let first_pause = (PAUSE_MIN / 4 * node_count).clamp(PAUSE_MIN, PAUSE_MAX);
            let wait = WatchWait {
                after_success: WATCH_WAIT,
                after_failure: WATCH_WAIT_AFTER_FAILURE,
                after_failure_min: WATCH_WAIT_AFTER_FAILURE_MIN,
            };
            Backoff { rng, wait, first_pause, next_pause: first_pause, pause_max: PAUSE_MAX }
        } else {
            let wait = WatchWait {
                after_success: AGENT_WATCH_WAIT,
                after_failure: AGENT_WATCH_WAIT_AFTER_FAILURE,
                after_failure_min: AGENT_WATCH_WAIT_AFTER_FAILURE,
            };
            Backoff { rng, wait, first_pause: PAUSE_MIN, next_pause: PAUSE_MIN, pause_max: AGENT_PAUSE_MAX }
        }
    }

    /// Timeout of the next long poll, given the pause before it.
    pub fn watch_wait(&self, pause: Option<Duration>) -> Duration {
        match pause {
            None => self.wait.after_success,
            Some(pause) => self.wait.after_failure.saturating_sub(pause).max(self.wait.after_failure_min),
        }
    }

    /// Starts again with the first pause, after a successful call.
    pub fn reset(&mut self) {
        self.next_pause = self.first_pause;
    }

    /// Pause after a rejected call.
    pub fn pause_after_rejection(&mut self) -> Duration {
        self.next_jittered(self.pause_max)
    }

    /// Pause after a response that is not a valid list.
    pub fn pause_after_invalid_list(&mut self) -> Duration {
        self.next_jittered(PAUSE_MAX)
    }

    /// Doubles the pause with each call, and returns a random part of it from a half to the whole, so that
    /// the retries of nodes do not stay synchronized.
    fn next_jittered(&mut self, pause_max: Duration) -> Duration {
        let pause = self.next_pause.min(pause_max).mul_f64(0.5 + 0.5 * self.rng.f64());
        self.next_pause = (self.next_pause * 2).min(pause_max);
        pause
    }
}
