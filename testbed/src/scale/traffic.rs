//! Messages and bytes of each node between two points in time.

use super::result::{Figures, Quantity, Value};
use membership::Counters;
use std::collections::BTreeMap;
use std::time::Duration;

/// Counters of nodes at one point in time.
pub struct TrafficSnapshot {
    counters: BTreeMap<usize, Counters>,
}

impl TrafficSnapshot {
    /// Creates a snapshot from the counters of numbered nodes.
    pub fn of(counters: impl Iterator<Item = (usize, Counters)>) -> TrafficSnapshot {
        TrafficSnapshot { counters: counters.collect() }
    }

    /// Returns the number of nodes.
    pub fn nodes(&self) -> usize {
        self.counters.len()
    }

    /// Returns messages and bytes per second since `before`, of the nodes that are in both snapshots.
    pub fn since(&self, before: &TrafficSnapshot, span: Duration) -> Figures {
        let rate = |count: fn(&Counters) -> u64| {
            let both = self.counters.iter().filter_map(|(i, now)| Some((now, before.counters.get(i)?)));
            let each = both.map(|(now, earlier)| count(now).saturating_sub(count(earlier)) as f64);
            Value::of(each.map(|count| count / span.as_secs_f64()).collect())
        };
        let full_states = self.full_states_since(before);
        let rates = [
            (Quantity::MessagesOut, rate(|c| c.sent)),
            (Quantity::MessagesIn, rate(|c| c.received)),
            (Quantity::BytesOut, rate(|c| c.sent_bytes)),
            (Quantity::BytesIn, rate(|c| c.received_bytes)),
            (Quantity::FullStatesIn, full_states),
        ];
        rates.into_iter().filter_map(|(quantity, value)| Some((quantity, value?))).collect()
    }

    fn full_states_since(&self, before: &TrafficSnapshot) -> Option<Value> {
        let both = self.counters.iter().filter_map(|(i, now)| Some((now, before.counters.get(i)?)));
        Value::of(
            both.map(|(now, earlier)| now.full_states.saturating_sub(earlier.full_states) as f64).collect(),
        )
    }
}
