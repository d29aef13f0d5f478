//! Arithmetic and bookkeeping that decide nothing: seeded numbers, least squares, the agenda of timers, a
//! count over a sliding span, rates as bytes.

use crate::api::Micros;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// A seeded sequence of numbers (splitmix64).
#[derive(Default)]
pub struct Rng(pub u64);

impl Rng {
    /// The next number, from 0 up to this one, not included.
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0) % n.max(1)
    }
}

/// Spreads a number over all 64 bits.
pub fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// As `mix`, within 0 and 1.
pub fn unit(x: u64) -> f64 {
    mix(x) as f64 / u64::MAX as f64
}

/// What is to be done when, the earliest first, and the timer that is set for it.
pub struct Agenda<T> {
    heap: BinaryHeap<Reverse<(Micros, T)>>,
    timer_at: Micros,
}

impl<T: Ord> Default for Agenda<T> {
    fn default() -> Self {
        Agenda { heap: BinaryHeap::new(), timer_at: Micros::MAX }
    }
}

impl<T: Ord> Agenda<T> {
    /// Adds an entry.
    pub fn add(&mut self, at: Micros, what: T) {
        self.heap.push(Reverse((at, what)));
    }

    /// Whether the timer that is set has come due; one that was overtaken has not.
    pub fn rings(&mut self, now: Micros) -> bool {
        let rings = now >= self.timer_at;
        if rings {
            self.timer_at = Micros::MAX;
        }
        rings
    }

    /// The next entry that is due.
    pub fn next(&mut self, now: Micros) -> Option<T> {
        if self.heap.peek().is_none_or(|Reverse((at, _))| *at > now) {
            return None;
        }
        self.heap.pop().map(|Reverse((_, what))| what)
    }

    /// The time until the next entry, if no timer is set for it; then it counts as set.
    pub fn timer(&mut self, now: Micros) -> Option<Micros> {
        let at = self.heap.peek().map(|Reverse((at, _))| *at).filter(|at| *at < self.timer_at)?;
        self.timer_at = at;
        Some(at.saturating_sub(now))
    }
}

/// Recursive least squares of three parameters.
pub struct LeastSquares {
    /// The parameters.
    pub theta: [f64; 3],
    p: [[f64; 3]; 3],
}

impl LeastSquares {
    /// A model that starts with these parameters and this covariance.
    pub fn new(theta: [f64; 3], p: f64) -> LeastSquares {
        LeastSquares { theta, p: [[p, 0.0, 0.0], [0.0, p, 0.0], [0.0, 0.0, p]] }
    }

    /// The parameters after one more sample, forgetting older ones by `lambda`; the covariance stays under
    /// `p_max` in all, where nothing excites it. Whether they are taken is the caller's.
    pub fn estimate(&mut self, w: f64, phi: [f64; 3], lambda: f64, p_max: f64) -> [f64; 3] {
        let dot = |a: &[f64; 3], b: &[f64; 3]| a[0] * b[0] + a[1] * b[1] + a[2] * b[2];
        let pphi = [dot(&self.p[0], &phi), dot(&self.p[1], &phi), dot(&self.p[2], &phi)];
        let gain = 1.0 / (lambda + dot(&phi, &pphi));
        let error = w - dot(&self.theta, &phi);
        let mut new = self.theta;
        for i in 0..3 {
            new[i] += gain * pphi[i] * error;
            for j in 0..3 {
                self.p[i][j] = (self.p[i][j] - gain * pphi[i] * pphi[j]) / lambda;
            }
        }
        let trace = self.p[0][0] + self.p[1][1] + self.p[2][2];
        if trace > p_max {
            self.p.iter_mut().flatten().for_each(|x| *x *= p_max / trace);
        }
        new
    }
}

/// Rates as two bytes each, in 64ths; 128 at most.
pub fn pack(rates: impl Iterator<Item = f64>) -> Vec<u8> {
    rates.take(128).flat_map(|r| ((r * 64.0).min(65535.0) as u16).to_be_bytes()).collect()
}

/// The reverse of `pack`.
pub fn unpack(bytes: &[u8]) -> Vec<f64> {
    bytes.chunks_exact(2).map(|b| f64::from(u16::from_be_bytes([b[0], b[1]])) / 64.0).collect()
}

/// Moments within a span that ends now.
#[derive(Default)]
pub struct Recent(VecDeque<Micros>);

impl Recent {
    /// Adds this moment.
    pub fn add(&mut self, now: Micros) {
        self.0.push_back(now);
    }

    /// How many lie at or after this moment; earlier ones are forgotten.
    pub fn since(&mut self, from: Micros) -> usize {
        while self.0.front().is_some_and(|&at| at < from) {
            self.0.pop_front();
        }
        self.0.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn entries_come_in_order_and_not_before_their_time() {
        let mut agenda = Agenda::default();
        agenda.add(30, 'b');
        assert_eq!(agenda.timer(10), Some(20));
        agenda.add(20, 'a');
        assert_eq!(agenda.timer(10), Some(10));
        assert_eq!(agenda.timer(10), None, "it is set");
        assert!(!agenda.rings(19));
        assert_eq!(agenda.next(19), None);
        assert!(agenda.rings(20));
        assert_eq!((agenda.next(20), agenda.next(20)), (Some('a'), None));
        assert_eq!(agenda.next(30), Some('b'), "an entry not due is kept");
    }

    #[test]
    fn moments_before_the_span_are_forgotten() {
        let mut recent = Recent::default();
        (1..4).for_each(|at| recent.add(at));
        assert_eq!((recent.since(2), recent.since(3), recent.since(4)), (2, 1, 0));
    }
}
