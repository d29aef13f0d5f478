//! Model of leases and fencing tokens, checked over all reachable states: leaders that are deposed without knowing it, two
//! nodes that request, hold and release a lease, stall and restart, messages that are delayed, duplicated or lost, and
//! clocks that drift within the bound. With a guard removed the checker must find a violation; docs/DUTIES-DESIGN.md lists
//! the shortest ones. The full set runs with `TESTBED_LONG=1 cargo test --release -p coordination --test model`.
//!
//! Not modeled: the log, which a library implements (a majority of the term's voters commits a command, or it is never
//! committed), and messages between voters.

use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// Duration of a lease by the leader's clock, and time for which a holder may use it, counted from its request by a clock
/// that may lose one tick.
const LEASE: u8 = 2;
const VALIDITY: u8 = 1;
/// Bounds of the search.
const TIME_MAX: u8 = 4;
const TERMS: u8 = 2;
const TOKENS: u8 = 2;
const MESSAGES_MAX: usize = 2;
const REQUESTS_MAX: u8 = 2;

/// Rule of the protocol that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Guard {
    /// A lease is valid from its request, not from the response.
    ValidFromRequest,
    /// A new leader waits for a full lease duration before it grants a held lease.
    NewLeaderWaits,
    /// A renewal requires that a majority confirms, after its request, that the leader still leads.
    RenewalConfirmed,
    /// A grant is applied only after the token that it was proposed on.
    PreviousToken,
    /// No lease is renewed while its next grant is proposed.
    NoRenewalDuringGrant,
    /// A released token is never used again.
    NoTokenReuse,
    /// A response counts only for the process that sent the request.
    SameProcess,
    /// The holder's validity leaves a margin for clock drift.
    DriftMargin,
    /// The resource rejects a token lower than one that it has seen.
    Fencing,
    /// The holder checks its clock before each operation.
    CheckBeforeOperation,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leader {
    /// Expiration time of the lease, by the reference clock.
    expires_at: u8,
    /// Proposed grant: the node, and the token of the previous grant.
    proposed_grant: Option<(u8, u8)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Node {
    /// Id of the process; the next process uses the same request numbers.
    process: u8,
    /// Number of each request, and its time by the node's clock.
    requests: Vec<(u8, u8)>,
    next_request: u8,
    /// Ticks that the node's clock has lost.
    lost_ticks: u8,
    token: u8,
    /// Time until which the lease is valid, by the node's clock.
    valid_until: u8,
    last_released: u8,
    /// Token of an operation that has started and not reached the resource.
    operation: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request { node: u8, process: u8, number: u8 },
    Release { node: u8, process: u8, token: u8 },
    Granted { node: u8, process: u8, number: u8, token: u8 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    /// Term of each voter.
    voter_terms: [u8; 3],
    leaders: [Option<Leader>; TERMS as usize],
    /// Committed state: the last token and its holder (node and process).
    token: u8,
    holder: Option<(u8, u8)>,
    nodes: [Node; 2],
    messages: BTreeSet<Message>,
    /// Highest token that the resource has seen.
    highest_token: u8,
    /// The resource accepted an operation with a lower token than one that it had seen.
    accepted_stale_token: bool,
    /// Two processes considered themselves the holder at the same time, or one did so after it had lost the lease.
    conflicting_holders: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Event {
    Tick { slow: u8 },
    Elect { term: u8, by: u8 },
    Request(u8),
    Receive { message: Message, term: u8 },
    Commit { term: u8 },
    Release(u8),
    StartOperation(u8),
    CompleteOperation(u8),
    Restart(u8),
}

/// Kind of event besides requests, messages and time. The state space of all kinds at once is too large to check; two kinds
/// at a time are feasible.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    /// Another leader is elected without the knowledge of the previous one.
    Elections,
    /// A clock loses a tick.
    ClockDrift,
    /// Nodes release the lease.
    Releases,
    /// Nodes stall in the middle of an operation.
    Operations,
    /// Nodes restart.
    Restarts,
}

struct LeaseModel {
    disabled_guard: Option<Guard>,
    disturbances: [Disturbance; 2],
}

impl LeaseModel {
    fn is_enabled(&self, guard: Guard) -> bool {
        self.disabled_guard != Some(guard)
    }

    fn includes(&self, disturbance: Disturbance) -> bool {
        self.disturbances.contains(&disturbance)
    }

    fn majority(s: &State, term: u8) -> bool {
        s.voter_terms.iter().filter(|t| **t == term).count() >= 2
    }

    fn clock(s: &State, node: u8) -> u8 {
        s.now - s.nodes[node as usize].lost_ticks
    }

    fn validity(&self) -> u8 {
        if self.is_enabled(Guard::DriftMargin) {
            VALIDITY
        } else {
            LEASE
        }
    }

    fn has_valid_lease(s: &State, node: u8) -> bool {
        let n = &s.nodes[node as usize];
        n.token > 0 && LeaseModel::clock(s, node) < n.valid_until
    }

    fn receive(&self, s: &mut State, message: &Message, term: u8) {
        match *message {
            Message::Request { node, process, number } => {
                self.receive_request(s, node, process, number, term)
            }
            Message::Release { node, process, token } => self.receive_release(s, node, process, token, term),
            Message::Granted { node, process, number, token } => {
                self.receive_grant(s, node, process, number, token);
            }
        }
    }

    fn receive_request(&self, s: &mut State, node: u8, process: u8, number: u8, term: u8) {
        let (now, confirmed) = (s.now, LeaseModel::majority(s, term));
        let Some(leader) = &mut s.leaders[term as usize - 1] else { return };
        // A leader knows the state committed up to its own term, and the rest once a majority confirms its leadership.
        match s.holder {
            Some(holder) if holder == (node, process) => {
                if self.is_enabled(Guard::RenewalConfirmed) && !confirmed
                    || self.is_enabled(Guard::NoRenewalDuringGrant) && leader.proposed_grant.is_some()
                {
                    return;
                }
                leader.expires_at = now + LEASE;
                let token = s.token;
                s.messages.insert(Message::Granted { node, process, number, token });
            }
            held => {
                if held.is_some() && now < leader.expires_at
                    || leader.proposed_grant.is_some()
                    || s.token >= TOKENS
                {
                    return;
                }
                leader.proposed_grant = Some((node, s.token));
                // The request stays in flight: the response names its number, and the last request counts.
                s.messages.insert(Message::Request { node, process, number });
            }
        }
    }

    fn receive_release(&self, s: &mut State, node: u8, process: u8, token: u8, term: u8) {
        if !LeaseModel::majority(s, term) || s.holder != Some((node, process)) || s.token != token {
            return;
        }
        let Some(leader) = &mut s.leaders[term as usize - 1] else { return };
        if leader.proposed_grant.is_none() {
            s.holder = None;
        }
    }

    fn receive_grant(&self, s: &mut State, node: u8, process: u8, number: u8, token: u8) {
        let clock = LeaseModel::clock(s, node);
        let n = &mut s.nodes[node as usize];
        if self.is_enabled(Guard::SameProcess) && n.process != process {
            return;
        }
        let Some(at) = n.requests.iter().find(|(k, _)| *k == number).map(|(_, at)| *at) else { return };
        if self.is_enabled(Guard::NoTokenReuse) && token <= n.last_released || token < n.token {
            return;
        }
        let from = if self.is_enabled(Guard::ValidFromRequest) { at } else { clock };
        let until = from + self.validity();
        if until <= clock {
            return;
        }
        n.valid_until = if token == n.token { n.valid_until.max(until) } else { until };
        n.token = token;
    }

    /// Commits the grant that a leader proposed, or drops it. It may come later than other grants.
    fn commit(&self, s: &mut State, term: u8) -> Option<()> {
        let (node, previous_token) = s.leaders[term as usize - 1].as_mut()?.proposed_grant.take()?;
        let is_current = s.token == previous_token || !self.is_enabled(Guard::PreviousToken);
        if !LeaseModel::majority(s, term) || !is_current {
            return Some(());
        }
        let process = s.nodes[node as usize].process;
        s.token += 1;
        s.holder = Some((node, process));
        if let Some(leader) = s.leaders[term as usize - 1].as_mut() {
            leader.expires_at = s.now + LEASE;
        }
        Some(())
    }

    fn elect(&self, s: &mut State, term: u8, by: u8) {
        // Two of the three voters move to the new term.
        s.voter_terms[by as usize] = term;
        s.voter_terms[(by as usize + 1) % 3] = term;
        let expires_at = if self.is_enabled(Guard::NewLeaderWaits) { s.now + LEASE } else { 0 };
        s.leaders[term as usize - 1] = Some(Leader { expires_at, proposed_grant: None });
    }

    fn request(s: &mut State, node: u8) {
        let clock = LeaseModel::clock(s, node);
        let n = &mut s.nodes[node as usize];
        n.requests.push((n.next_request, clock));
        let message = Message::Request { node, process: n.process, number: n.next_request };
        n.next_request += 1;
        s.messages.insert(message);
    }

    fn release(s: &mut State, node: u8) {
        let n = &mut s.nodes[node as usize];
        let message = Message::Release { node, process: n.process, token: n.token };
        (n.last_released, n.token, n.valid_until) = (n.token, 0, 0);
        s.messages.insert(message);
    }

    /// Delivers an operation to the resource.
    fn complete_operation(&self, s: &mut State, node: u8) {
        let token = std::mem::take(&mut s.nodes[node as usize].operation);
        if token >= s.highest_token {
            s.highest_token = token;
        } else if !self.is_enabled(Guard::Fencing) {
            s.accepted_stale_token = true;
        }
    }

    fn node_events(&self, s: &State, node: u8, actions: &mut Vec<Event>) {
        let n = &s.nodes[node as usize];
        if n.next_request < REQUESTS_MAX && s.messages.len() < MESSAGES_MAX {
            actions.push(Event::Request(node));
        }
        if self.includes(Disturbance::Releases)
            && n.token > n.last_released
            && s.messages.len() < MESSAGES_MAX
            && LeaseModel::has_valid_lease(s, node)
        {
            actions.push(Event::Release(node));
        }
        let has_operations = self.includes(Disturbance::Operations);
        if has_operations
            && n.operation == 0
            && n.token > 0
            && (LeaseModel::has_valid_lease(s, node) || !self.is_enabled(Guard::CheckBeforeOperation))
        {
            actions.push(Event::StartOperation(node));
        }
        if n.operation > 0 {
            actions.push(Event::CompleteOperation(node));
        }
        if self.includes(Disturbance::Restarts) && n.process == 0 && n.next_request > 0 {
            actions.push(Event::Restart(node));
        }
    }

    fn considers_itself_holder(&self, s: &State, node: u8) -> bool {
        match self.is_enabled(Guard::CheckBeforeOperation) {
            true => LeaseModel::has_valid_lease(s, node),
            false => s.nodes[node as usize].token > 0,
        }
    }

    /// Returns whether a node considers itself the holder although the lease was granted to another process.
    fn is_mistaken(&self, s: &State, node: u8) -> bool {
        let n = &s.nodes[node as usize];
        self.considers_itself_holder(s, node) && s.holder.is_some_and(|holder| holder != (node, n.process))
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            voter_terms: [1; 3],
            leaders: [Some(Leader { expires_at: 0, proposed_grant: None }), None],
            token: 0,
            holder: None,
            nodes: Default::default(),
            messages: BTreeSet::new(),
            highest_token: 0,
            accepted_stale_token: false,
            conflicting_holders: false,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Event>) {
        if s.now < TIME_MAX {
            // Each clock loses at most one tick.
            actions.push(Event::Tick { slow: 0 });
            for node in 1..=2 {
                if self.includes(Disturbance::ClockDrift) && s.nodes[node as usize - 1].lost_ticks == 0 {
                    actions.push(Event::Tick { slow: node });
                }
            }
        }
        if self.includes(Disturbance::Elections) && s.leaders[1].is_none() {
            // By symmetry, it does not matter which two of the three voters elect it.
            actions.push(Event::Elect { term: 2, by: 0 });
        }
        for node in 0..2 {
            self.node_events(s, node, actions);
        }
        for message in &s.messages {
            if let Message::Granted { .. } = message {
                actions.push(Event::Receive { message: message.clone(), term: 1 });
                continue;
            }
            for term in (1..=TERMS).filter(|t| s.leaders[*t as usize - 1].is_some()) {
                actions.push(Event::Receive { message: message.clone(), term });
            }
        }
        (1..=TERMS).for_each(|term| {
            if s.leaders[term as usize - 1].as_ref().is_some_and(|l| l.proposed_grant.is_some()) {
                actions.push(Event::Commit { term });
            }
        });
    }

    fn next_state(&self, last: &State, event: Event) -> Option<State> {
        let mut s = last.clone();
        match event {
            Event::Tick { slow } => {
                s.now += 1;
                if slow > 0 {
                    s.nodes[slow as usize - 1].lost_ticks += 1;
                }
            }
            Event::Elect { term, by } => self.elect(&mut s, term, by),
            Event::Request(node) => LeaseModel::request(&mut s, node),
            Event::Release(node) => LeaseModel::release(&mut s, node),
            Event::Receive { message, term } => {
                // A message that has no effect stands for one that was lost.
                s.messages.remove(&message);
                self.receive(&mut s, &message, term);
            }
            Event::Commit { term } => self.commit(&mut s, term)?,
            Event::StartOperation(node) => s.nodes[node as usize].operation = s.nodes[node as usize].token,
            Event::CompleteOperation(node) => self.complete_operation(&mut s, node),
            Event::Restart(node) => {
                let (lost_ticks, operation) = (s.nodes[node as usize].lost_ticks, 0);
                s.nodes[node as usize] = Node { process: 1, lost_ticks, operation, ..Node::default() };
            }
        }
        s.conflicting_holders |= self.considers_itself_holder(&s, 0) && self.considers_itself_holder(&s, 1);
        s.conflicting_holders |= self.is_mistaken(&s, 0) || self.is_mistaken(&s, 1);
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two processes consider themselves the holder", |_, s: &State| {
                !s.conflicting_holders
            }),
            Property::always("no operation with a stale token is accepted", |_, s: &State| {
                !s.accepted_stale_token
            }),
            Property::sometimes("a second token is granted", |_, s: &State| s.token >= 2),
        ]
    }
}

/// Returns whether the full set of checks is to run.
fn is_long_run() -> bool {
    std::env::var_os("TESTBED_LONG").is_some()
}

/// Explores all states; returns their number, and the events that lead to a violation, if there is one.
fn check(disabled_guard: Option<Guard>, disturbances: [Disturbance; 2]) -> (usize, Option<Vec<Event>>) {
    let checker = LeaseModel { disabled_guard, disturbances }.checker().threads(2).spawn_bfs().join();
    let found = checker.discoveries();
    let violable =
        ["no two processes consider themselves the holder", "no operation with a stale token is accepted"];
    let path = violable.iter().find_map(|p| found.get(p)).map(|p| p.clone().into_actions());
    if disabled_guard.is_none() {
        assert!(found.contains_key("a second token is granted"), "no second token was granted in any state");
    }
    (checker.unique_state_count(), path)
}

#[test]
fn no_reachable_state_has_two_holders() {
    use Disturbance::*;
    // Some millions of states each: only the first runs by default; the others are for a long run, built for release.
    for disturbance in [Releases, Operations, ClockDrift, Elections, Restarts]
        .into_iter()
        .take(if is_long_run() { 5 } else { 1 })
    {
        let disturbances = [disturbance; 2];
        let (states, path) = check(None, disturbances);
        eprintln!("{disturbances:?}: {states} states");
        assert_eq!(path, None, "{disturbances:?}");
        assert!(states > 1000, "{states}");
    }
}

#[test]
fn removing_a_guard_violates_a_property() {
    use Disturbance::*;
    use Guard::*;
    for (guard, disturbances, is_quick) in [
        (ValidFromRequest, [ClockDrift, ClockDrift], false),
        (NewLeaderWaits, [Elections, Elections], false),
        (RenewalConfirmed, [Elections, Elections], false),
        (NoRenewalDuringGrant, [ClockDrift, ClockDrift], false),
        (NoTokenReuse, [Releases, Releases], true),
        (SameProcess, [Restarts, Restarts], false),
        (DriftMargin, [ClockDrift, ClockDrift], true),
        (Fencing, [Operations, Operations], true),
        (CheckBeforeOperation, [Operations, Operations], true),
    ] {
        if !is_quick && !is_long_run() {
            continue;
        }
        let (states, path) = check(Some(guard), disturbances);
        eprintln!("{guard:?}: {states} states; {} events: {path:?}", path.as_ref().map_or(0, Vec::len));
        assert!(path.is_some(), "no violation was found without {guard:?}");
    }
}
