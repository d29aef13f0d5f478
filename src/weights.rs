//! What live weights of the worker list tell. Such a weight is a worker's size divided by one more than the
//! requests that each of its cores holds. All dispatchers are told the same, so it counts what all of them sent.

/// A weight lower than an idle worker's by less than this part is taken for an idle one's.
const NOISE: f64 = 0.03;
/// The most cores that a worker is taken to have.
const CORES_MAX: f64 = 64.0;

/// Workers of one kind have one size.
#[derive(Clone, Copy)]
struct Kind {
    size: f64, // the weight of one that holds nothing: the largest seen
    step: f64, // one over its cores: what a request adds; none was seen yet where this is 0
}

/// Sizes and cores of the kinds of worker, learned from the weights seen.
#[derive(Default)]
pub struct Weights(Vec<Kind>);

impl Weights {
    /// Takes a worker's weight in: the requests that it holds, and its size.
    pub fn learn(&mut self, kind: usize, weight: f64) -> (f64, f64) {
        self.0.resize(self.0.len().max(kind + 1), Kind { size: 0.0, step: 0.0 });
        let k = &mut self.0[kind];
        if weight > k.size * (1.0 + NOISE) {
            *k = Kind { size: weight, step: 0.0 };
        }
        let crowd = k.size / weight - 1.0;
        if crowd <= NOISE {
            return (0.0, k.size);
        }
        if k.step == 0.0 || crowd < k.step {
            k.step = crowd.max(1.0 / CORES_MAX);
        }
        (crowd / k.step, k.size)
    }

    /// The cores of a worker of this kind; as many as its size where none of it held anything yet.
    pub fn cores(&self, kind: usize) -> f64 {
        match self.0.get(kind) {
            Some(k) if k.step > 0.0 => 1.0 / k.step,
            Some(k) => k.size.max(1.0),
            None => 1.0,
        }
    }

    /// The speed of a core of this kind.
    pub fn speed(&self, kind: usize) -> f64 {
        self.0.get(kind).filter(|k| k.step > 0.0).map_or(1.0, |k| k.size * k.step)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sizes_and_cores_come_from_the_weights_seen() {
        let mut w = Weights::default();
        w.learn(1, 4.0);
        assert_eq!((w.cores(1), w.speed(1)), (4.0, 1.0), "before any held something");
        // Workers of size 6 with five cores, told with two decimals as they fill.
        for weight in [3.0, 3.75, 5.0, 6.0, 3.33, 5.0] {
            w.learn(1, weight);
        }
        assert!((w.cores(1) - 5.0).abs() < 0.01);
        assert!((w.speed(1) - 1.2).abs() < 0.01);
        for (weight, requests) in [(6.0, 0.0), (5.99, 0.0), (5.0, 1.0), (3.0, 5.0), (1.5, 15.0)] {
            let (held, size) = w.learn(1, weight);
            assert!((held - requests).abs() < 0.05, "{weight}");
            assert_eq!(size, 6.0);
        }
        assert_eq!((w.cores(7), w.speed(7)), (1.0, 1.0), "of a kind unheard of");
    }

    #[test]
    fn a_larger_weight_than_any_before_starts_the_kind_anew() {
        let mut w = Weights::default();
        // The idle ones come last: what was taken for a core's step was not one.
        for weight in [5.0, 4.28, 6.0, 5.0] {
            w.learn(0, weight);
        }
        assert!((w.cores(0) - 5.0).abs() < 0.01);
    }
}
