//! Responses to challenges: the bodies to send again, and a limit on the rate of responses.

use crate::packet::Body;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Bodies kept, one for each receiver.
const BODIES_MAX: usize = 64;
/// Time for which a body is kept.
const BODY_LIFETIME: Duration = Duration::from_secs(2);
/// Responses in a second. Guards against replayed challenges, each of which would cause a datagram.
const RESPONSES_PER_SECOND: u32 = 200;

/// Last body sent to each receiver.
///
/// A receiver without a session for this process rejects the body and sends a challenge; the response carries the body
/// again, so that it is not lost.
#[derive(Default)]
pub(super) struct ResendBuffer(VecDeque<(SocketAddr, Duration, Body)>);

impl ResendBuffer {
    /// Keeps a body in place of the last one to that receiver. The oldest is dropped if there are too many.
    pub fn push(&mut self, now: Duration, to: SocketAddr, body: Body) {
        self.0.retain(|(receiver, sent, _)| *receiver != to && is_fresh(now, *sent));
        if self.0.len() >= BODIES_MAX {
            self.0.pop_front();
        }
        self.0.push_back((to, now, body));
    }

    /// Removes and returns the last body to a receiver, unless it is too old.
    pub fn take(&mut self, now: Duration, to: SocketAddr) -> Option<Body> {
        let position =
            self.0.iter().position(|(receiver, sent, _)| *receiver == to && is_fresh(now, *sent))?;
        self.0.remove(position).map(|(_, _, body)| body)
    }
}

fn is_fresh(now: Duration, sent: Duration) -> bool {
    now.saturating_sub(sent) < BODY_LIFETIME
}

/// Limit on the responses to challenges in a second.
pub(super) struct ResponseLimit {
    second: Duration,
    used: u32,
}

impl ResponseLimit {
    /// An unused limit, at the local time `now`.
    pub fn new(now: Duration) -> ResponseLimit {
        ResponseLimit { second: now, used: 0 }
    }

    /// Uses one response, and returns whether it is within the limit.
    pub fn acquire(&mut self, now: Duration) -> bool {
        if now - self.second >= Duration::from_secs(1) {
            *self = ResponseLimit::new(now);
        }
        let allowed = self.used < RESPONSES_PER_SECOND;
        self.used += u32::from(allowed);
        allowed
    }
}
