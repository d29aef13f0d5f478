//! Messages and bytes of each node between two moments.

use super::result::{Figures as Measured, Quantity, Value};
use membership::Counters;
use std::collections::BTreeMap;
use std::time::Duration;

/// The counters of nodes at one moment.
pub struct Traffic {
    counters: BTreeMap<usize, Counters>,
}

impl Traffic {
    /// Of nodes by number.
    pub fn of(counters: impl Iterator<Item = (usize, Counters)>) -> Traffic {
        Traffic { counters: counters.collect() }
    }

    /// How many nodes these are.
    pub fn nodes(&self) -> usize {
        self.counters.len()
    }

    /// What nodes that are in both sent and received a second since `before`.
    pub fn since(&self, before: &Traffic, span: Duration) -> Measured {
        let rate = |count: fn(&Counters) -> u64| {
            let both = self.counters.iter().filter_map(|(i, now)| Some((now, before.counters.get(i)?)));
            let each = both.map(|(now, then)| count(now).saturating_sub(count(then)) as f64);
            Value::of(each.map(|count| count / span.as_secs_f64()).collect())
        };
        let exchanges = self.exchanges_since(before);
        let rates = [
            (Quantity::MessagesOut, rate(|f| f.sent)),
            (Quantity::MessagesIn, rate(|f| f.received)),
            (Quantity::BytesOut, rate(|f| f.sent_bytes)),
            (Quantity::BytesIn, rate(|f| f.received_bytes)),
            (Quantity::Exchanges, exchanges),
        ];
        rates.into_iter().filter_map(|(quantity, value)| Some((quantity, value?))).collect()
    }

    fn exchanges_since(&self, before: &Traffic) -> Option<Value> {
        let both = self.counters.iter().filter_map(|(i, now)| Some((now, before.counters.get(i)?)));
        Value::of(both.map(|(now, then)| now.full_states.saturating_sub(then.full_states) as f64).collect())
    }
}
