//! The window: how many requests one dispatcher may have at workers at once, where it can't see what others'
//! requests fill.
//!
//! The cap of each worker is at least one request, so a fleet of many dispatchers could fill every worker
//! many times over. The window bounds a dispatcher's requests at all workers together. It grows and shrinks
//! in proportion, so that dispatchers with more traffic keep more of it, and settles where about one start in
//! four is prompt: with workers chosen without knowing their load, that uses most of them.

/// The part that a prompt start adds to a window that is full ...
const GAIN: f64 = 0.05;
/// ... and the part that a late start, or a request rejected, takes.
const LOSS: f64 = 0.015;
/// The first window, over the least one.
const FIRST: f64 = 2.0;
/// The largest window, in requests.
const LARGEST: f64 = 1e6;

/// The requests of one dispatcher that are at workers, in slots, and how many may be.
#[derive(Clone, Copy, Debug, Default)]
pub struct InFlightWindow {
    in_flight: f64,
    least: f64,
    size: f64,
}

impl InFlightWindow {
    /// Whether one more request of so many slots fits; the first always does.
    pub fn has_capacity(&self, slots: f64) -> bool {
        self.in_flight <= 0.0 || self.in_flight + slots <= self.size
    }

    /// A request was sent.
    pub fn record_sent(&mut self, slots: f64) {
        self.in_flight += slots;
    }

    /// A request has ended, or is given up.
    pub fn release(&mut self, slots: f64) {
        self.in_flight -= slots;
    }

    /// A request started at once (`prompt`), or it had to wait or was rejected.
    pub fn record_start(&mut self, prompt: bool) {
        let is_full = self.in_flight + 1.0 >= self.size;
        if prompt && is_full {
            self.size *= 1.0 + GAIN;
        }
        if !prompt {
            self.size *= 1.0 - LOSS;
        }
        self.size = self.size.clamp(self.least, LARGEST);
    }

    /// Sets the least window: this dispatcher's part of one request at each worker, and as many more as
    /// chance makes one of them have at a time.
    pub fn set_fleet_size(&mut self, workers: usize, dispatchers: u32) {
        let part = workers as f64 / f64::from(dispatchers.max(1));
        self.least = part + part.sqrt().max(1.0);
        if self.size == 0.0 {
            self.size = FIRST * self.least;
        }
        self.size = self.size.max(self.least);
    }
}
