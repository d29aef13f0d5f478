//! Actions as bytes that depend on no name, and digests of them.

use dispatch_policy::api::*;

/// Events whose actions have one digest.
pub const BLOCK: usize = 100;

/// The actions of each event, in order.
#[derive(Default)]
pub struct Recording(Vec<(Micros, Vec<Action>)>);

impl Recording {
    /// Adds what an event at this time led to.
    pub fn add(&mut self, now: Micros, actions: Vec<Action>) {
        self.0.push((now, actions));
    }

    /// How many events were recorded.
    pub fn events(&self) -> usize {
        self.0.len()
    }

    /// All actions, in order.
    pub fn actions(&self) -> impl Iterator<Item = &Action> {
        self.0.iter().flat_map(|event| &event.1)
    }

    /// One digest for every [`BLOCK`] events, the last block may be shorter.
    pub fn digests(&self) -> Vec<u64> {
        let digest = |block: &[(Micros, Vec<Action>)]| {
            let mut bytes = Vec::new();
            for (now, actions) in block {
                put(&mut bytes, &[*now, actions.len() as u64]);
                actions.iter().for_each(|action| encode(action, &mut bytes));
            }
            fnv(&bytes)
        };
        self.0.chunks(BLOCK).map(digest).collect()
    }

    /// The actions of a block, one line for each event that led to any.
    pub fn text(&self, block: usize) -> String {
        let events = self.0.iter().enumerate().skip(block * BLOCK).take(BLOCK);
        let line = |(i, (now, actions)): (usize, &(Micros, Vec<Action>))| {
            (!actions.is_empty()).then(|| format!("  event {i} at {now} us: {actions:?}\n"))
        };
        events.filter_map(line).collect()
    }
}

fn put(bytes: &mut Vec<u8>, values: &[u64]) {
    values.iter().for_each(|value| bytes.extend(value.to_be_bytes()));
}

/// An action as a code and its values. The codes are this file's own and stay when a name changes.
pub fn encode(action: &Action, bytes: &mut Vec<u8>) {
    match action {
        Action::Send { id, worker } => put(bytes, &[0, *id, worker.0]),
        Action::Reject { id, retry_after_us } => put(bytes, &[1, *id, *retry_after_us]),
        Action::Fail { id } => put(bytes, &[2, *id]),
        Action::Cancel { id, attempt } => put(bytes, &[3, *id, u64::from(*attempt)]),
        Action::SetTimer { after_us } => put(bytes, &[4, *after_us]),
        Action::Probe { worker } => put(bytes, &[5, worker.0]),
        Action::WatchEndpoints => put(bytes, &[6]),
        Action::CloseIdleConnections { worker } => put(bytes, &[7, worker.0]),
        Action::SendPeerMessage { to, bytes: message } => {
            put(bytes, &[8, u64::from(*to), message.len() as u64]);
            bytes.extend(message);
        }
        Action::Notify(Notice::RequestGivenUp { request: id, reason }) => {
            put(bytes, &[9, 0, *id, reason_code(*reason)])
        }
        Action::Notify(Notice::WorkerUnresponsive { worker }) => put(bytes, &[9, 1, worker.0]),
        Action::Notify(Notice::WorkerFailing { worker }) => put(bytes, &[9, 2, worker.0]),
        Action::Notify(Notice::WorkerRecovered { worker }) => put(bytes, &[9, 3, worker.0]),
        Action::Notify(Notice::Throttling { admitted_per_s: admitted, offered_per_s: offered }) => {
            put(bytes, &[9, 4, admitted.to_bits(), offered.to_bits()]);
        }
        Action::Notify(Notice::EndpointListUnavailable) => put(bytes, &[9, 5]),
    }
}

fn reason_code(reason: Reason) -> u64 {
    match reason {
        Reason::Quarantined => 0,
        Reason::AttemptsExhausted => 1,
        Reason::MayHaveExecuted => 2,
        Reason::RetryBudgetExhausted => 3,
        Reason::TooLate => 4,
    }
}

/// FNV-1a.
fn fnv(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
