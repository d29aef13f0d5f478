//! Challenge responses: the buffer of bodies to resend, and the rate limit.

use crate::packet::Body;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of bodies, one per receiver.
const BODIES_MAX: usize = 64;
/// Time after which a body is no longer resent.
const BODY_LIFETIME: Duration = Duration::from_secs(2);
/// Maximum number of challenge responses per second. Limits the traffic that replayed challenges can cause.
const RESPONSES_PER_SECOND: u32 = 200;

/// Last body sent to each receiver.
///
/// A receiver without a session for this process rejects the body and sends a challenge; the response carries the body
/// again, so that the rejection does not lose it.
#[derive(Default)]
pub(super) struct ResendBuffer(VecDeque<(SocketAddr, Duration, Body)>);

impl ResendBuffer {
    /// Stores a body, replacing the last one for that receiver. Evicts the oldest if the buffer is full.
    pub fn push(&mut self, now: Duration, to: SocketAddr, body: Body) {
        self.0.retain(|(receiver, sent, _)| *receiver != to && is_fresh(now, *sent));
        if self.0.len() >= BODIES_MAX {
            self.0.pop_front();
        }
        self.0.push_back((to, now, body));
    }

    /// Removes and returns the last body for a receiver, unless it has expired.
    pub fn take(&mut self, now: Duration, to: SocketAddr) -> Option<Body> {
        let position =
            self.0.iter().position(|(receiver, sent, _)| *receiver == to && is_fresh(now, *sent))?;
        self.0.remove(position).map(|(_, _, body)| body)
    }
}

fn is_fresh(now: Duration, sent: Duration) -> bool {
    now.saturating_sub(sent) < BODY_LIFETIME
}

/// Rate limit of challenge responses, with a fixed window of one second.
pub(super) struct ChallengeResponseLimit {
    window_start: Duration,
    used: u32,
}

impl ChallengeResponseLimit {
    /// Creates an unused limit at the local time `now`.
    pub fn new(now: Duration) -> ChallengeResponseLimit {
        ChallengeResponseLimit { window_start: now, used: 0 }
    }

    /// Takes one response from the current window, and returns whether the limit allows it.
    pub fn acquire(&mut self, now: Duration) -> bool {
        if now - self.window_start >= Duration::from_secs(1) {
            *self = ChallengeResponseLimit::new(now);
        }
        let allowed = self.used < RESPONSES_PER_SECOND;
        self.used += u32::from(allowed);
        allowed
    }
}
