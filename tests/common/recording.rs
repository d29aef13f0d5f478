//! Records actions in a binary encoding that depends on no names, and computes digests of them.

use dispatch_policy::api::*;

/// Number of events per digest.
pub const BLOCK_EVENTS: usize = 100;

/// The actions of each event, in order.
#[derive(Default)]
pub struct Recording(Vec<(Micros, Vec<Action>)>);

impl Recording {
    /// Adds the actions that an event at this time caused.
    pub fn add(&mut self, now: Micros, actions: Vec<Action>) {
        self.0.push((now, actions));
    }

    /// Number of recorded events.
    pub fn events(&self) -> usize {
        self.0.len()
    }

    /// All actions, in order.
    pub fn actions(&self) -> impl Iterator<Item = &Action> {
        self.0.iter().flat_map(|event| &event.1)
    }

    /// One digest per block of [`BLOCK_EVENTS`] events; the last block may be shorter.
    pub fn digests(&self) -> Vec<u64> {
        let digest = |block: &[(Micros, Vec<Action>)]| {
            let mut bytes = Vec::new();
            for (now, actions) in block {
                append(&mut bytes, &[*now, actions.len() as u64]);
                actions.iter().for_each(|action| encode(action, &mut bytes));
            }
            fnv_1a(&bytes)
        };
        self.0.chunks(BLOCK_EVENTS).map(digest).collect()
    }

    /// The actions of a block, with one line for each event that caused any.
    pub fn text(&self, block: usize) -> String {
        let events = self.0.iter().enumerate().skip(block * BLOCK_EVENTS).take(BLOCK_EVENTS);
        let line = |(i, (now, actions)): (usize, &(Micros, Vec<Action>))| {
            (!actions.is_empty()).then(|| format!("  event {i} at {now} us: {actions:?}\n"))
        };
        events.filter_map(line).collect()
    }
}

fn append(bytes: &mut Vec<u8>, values: &[u64]) {
    values.iter().for_each(|value| bytes.extend(value.to_be_bytes()));
}

/// Encodes an action as a code and its values. The codes are defined here only, so that they don't change
/// when an action is renamed.
pub fn encode(action: &Action, bytes: &mut Vec<u8>) {
    match action {
        Action::Send { id, worker } => append(bytes, &[0, *id, worker.0]),
        Action::Reject { id, retry_after_us } => append(bytes, &[1, *id, *retry_after_us]),
        Action::Fail { id } => append(bytes, &[2, *id]),
        Action::Cancel { id, attempt } => append(bytes, &[3, *id, u64::from(*attempt)]),
        Action::SetTimer { after_us } => append(bytes, &[4, *after_us]),
        Action::Probe { worker } => append(bytes, &[5, worker.0]),
        Action::WatchEndpoints => append(bytes, &[6]),
        Action::CloseIdleConnections { worker } => append(bytes, &[7, worker.0]),
        Action::SendPeerMessage { to, bytes: message } => {
            append(bytes, &[8, u64::from(*to), message.len() as u64]);
            bytes.extend(message);
        }
        Action::Notify(Notice::RequestGivenUp { request, reason }) => {
            append(bytes, &[9, 0, *request, reason_code(*reason)])
        }
        Action::Notify(Notice::WorkerUnresponsive { worker }) => append(bytes, &[9, 1, worker.0]),
        Action::Notify(Notice::WorkerFailing { worker }) => append(bytes, &[9, 2, worker.0]),
        Action::Notify(Notice::WorkerRecovered { worker }) => append(bytes, &[9, 3, worker.0]),
        Action::Notify(Notice::Throttling { admitted_per_s, offered_per_s }) => {
            append(bytes, &[9, 4, admitted_per_s.to_bits(), offered_per_s.to_bits()]);
        }
        Action::Notify(Notice::EndpointListUnavailable) => append(bytes, &[9, 5]),
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

/// FNV-1a hash.
fn fnv_1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
