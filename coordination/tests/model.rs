//! Model of leases, fencing tokens and hand-over, checked over all reachable states: leaders that are deposed without knowing
//! it, two nodes that request, hold and release a lease, stall and restart, messages that arrive late, twice or never, clocks
//! that drift within the bound. With each guard removed the checker has to find how it breaks; docs/DUTIES-DESIGN.md has the
//! shortest ways. The whole of it is `TESTBED_LONG=1 cargo test --release -p coordination --test model`.
//!
//! What is left out: the log itself, which is a library's (a command is agreed on by a majority of the term's voters, or
//! never), and messages between voters.

use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// Duration of a lease by the leader's clock, and time for which a holder may act from its request, by a clock that may lose
/// one tick of it.
const LEASE: u8 = 2;
const VALIDITY: u8 = 1;
/// Bounds of the search.
const END: u8 = 4;
const TERMS: u8 = 2;
const TOKENS: u8 = 2;
const MESSAGES_MAX: usize = 2;
const REQUESTS_MAX: u8 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Guard {
    /// A lease counts from its request, not from the response.
    FromRequest,
    /// A new leader waits for a whole lease.
    WaitsAsLeader,
    /// A renewal needs the confirmation of a majority, after its request, that the leader still leads.
    Confirmed,
    /// A grant names the token of the grant before it.
    After,
    /// No lease is renewed while its next grant is under way.
    NotWhileGranting,
    /// A token that was released is never used again.
    NeverAgain,
    /// A response counts only for the process that sent the request.
    OneProcess,
    /// The holder's part of the lease leaves a margin for clock drift.
    Margin,
    /// The resource rejects a lower token than it has seen.
    Fencing,
    /// The holder checks its clock before each act.
    ChecksFirst,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leader {
    /// Time until which the lease is held, by the true clock.
    until: u8,
    granting: Option<(u8, u8)>, // to whom, after which token
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Node {
    /// Id of the process; the next one uses the same request numbers.
    process: u8,
    requests: Vec<(u8, u8)>, // number, when by its own clock
    number: u8,
    lost: u8, // ticks that its clock has lost
    token: u8,
    until: u8, // by its own clock
    released: u8,
    /// Token of an act that has begun and not arrived.
    act: u8,
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
    /// The term that each voter has promised itself to.
    voters: [u8; 3],
    leaders: [Option<Leader>; TERMS as usize],
    /// What was agreed on: the last token, and who holds it (node and process).
    token: u8,
    holder: Option<(u8, u8)>,
    nodes: [Node; 2],
    messages: BTreeSet<Message>,
    highest: u8,
    went_back: bool,
    /// Two processes were sure of their lease at one moment, or one relied on a lease that it had lost.
    two_holders: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Event {
    Tick { slow: u8 },
    Elect { term: u8, by: u8 },
    Request(u8),
    Receive { message: Message, term: u8 },
    Commit { term: u8 },
    Release(u8),
    StartAct(u8),
    FinishAct(u8),
    Restart(u8),
}

/// What happens besides requests, messages and time. All of it at once is too much to count; two at a time is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    /// Another leader is elected, and the one before does not know.
    Elections,
    /// A clock loses a tick.
    Drift,
    /// Nodes release the lease.
    Releases,
    /// Nodes stall in the middle of an act.
    Acts,
    /// Nodes restart.
    Restarts,
}

struct LeaseModel {
    without: Option<Guard>,
    beside: [Beside; 2],
}

impl LeaseModel {
    fn has(&self, guard: Guard) -> bool {
        self.without != Some(guard)
    }

    fn happens(&self, beside: Beside) -> bool {
        self.beside.contains(&beside)
    }

    fn majority(s: &State, term: u8) -> bool {
        s.voters.iter().filter(|t| **t == term).count() >= 2
    }

    fn clock(s: &State, node: u8) -> u8 {
        s.now - s.nodes[node as usize].lost
    }

    fn validity(&self) -> u8 {
        if self.has(Guard::Margin) {
            VALIDITY
        } else {
            LEASE
        }
    }

    fn may_act(s: &State, node: u8) -> bool {
        let n = &s.nodes[node as usize];
        n.token > 0 && LeaseModel::clock(s, node) < n.until
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
        // A leader knows what was agreed on up to its own term, and learns the rest with a majority's confirmation.
        match s.holder {
            Some(holder) if holder == (node, process) => {
                if self.has(Guard::Confirmed) && !confirmed
                    || self.has(Guard::NotWhileGranting) && leader.granting.is_some()
                {
                    return;
                }
                leader.until = now + LEASE;
                let token = s.token;
                s.messages.insert(Message::Granted { node, process, number, token });
            }
            held => {
                if held.is_some() && now < leader.until || leader.granting.is_some() || s.token >= TOKENS {
                    return;
                }
                leader.granting = Some((node, s.token));
                // Which of its requests it was goes with the response; the last one counts.
                s.messages.insert(Message::Request { node, process, number });
            }
        }
    }

    fn receive_release(&self, s: &mut State, node: u8, process: u8, token: u8, term: u8) {
        if !LeaseModel::majority(s, term) || s.holder != Some((node, process)) || s.token != token {
            return;
        }
        let Some(leader) = &mut s.leaders[term as usize - 1] else { return };
        if leader.granting.is_none() {
            s.holder = None;
        }
    }

    fn receive_grant(&self, s: &mut State, node: u8, process: u8, number: u8, token: u8) {
        let clock = LeaseModel::clock(s, node);
        let n = &mut s.nodes[node as usize];
        if self.has(Guard::OneProcess) && n.process != process {
            return;
        }
        let Some(at) = n.requests.iter().find(|(k, _)| *k == number).map(|(_, at)| *at) else { return };
        if self.has(Guard::NeverAgain) && token <= n.released || token < n.token {
            return;
        }
        let from = if self.has(Guard::FromRequest) { at } else { clock };
        let until = from + self.validity();
        if until <= clock {
            return;
        }
        n.until = if token == n.token { n.until.max(until) } else { until };
        n.token = token;
    }

    /// The grant that a leader proposed is committed now, later than others, or never.
    fn commit(&self, s: &mut State, term: u8) -> Option<()> {
        let (node, after) = s.leaders[term as usize - 1].as_mut()?.granting.take()?;
        let is_current = s.token == after || !self.has(Guard::After);
        if !LeaseModel::majority(s, term) || !is_current {
            return Some(());
        }
        let process = s.nodes[node as usize].process;
        s.token += 1;
        s.holder = Some((node, process));
        if let Some(leader) = s.leaders[term as usize - 1].as_mut() {
            leader.until = s.now + LEASE;
        }
        Some(())
    }

    fn elect(&self, s: &mut State, term: u8, by: u8) {
        // Two of three promise themselves to it.
        s.voters[by as usize] = term;
        s.voters[(by as usize + 1) % 3] = term;
        let until = if self.has(Guard::WaitsAsLeader) { s.now + LEASE } else { 0 };
        s.leaders[term as usize - 1] = Some(Leader { until, granting: None });
    }

    fn request(s: &mut State, node: u8) {
        let clock = LeaseModel::clock(s, node);
        let n = &mut s.nodes[node as usize];
        n.requests.push((n.number, clock));
        let message = Message::Request { node, process: n.process, number: n.number };
        n.number += 1;
        s.messages.insert(message);
    }

    fn release(s: &mut State, node: u8) {
        let n = &mut s.nodes[node as usize];
        let message = Message::Release { node, process: n.process, token: n.token };
        (n.released, n.token, n.until) = (n.token, 0, 0);
        s.messages.insert(message);
    }

    /// An act arrives at the resource.
    fn finish_act(&self, s: &mut State, node: u8) {
        let token = std::mem::take(&mut s.nodes[node as usize].act);
        if token >= s.highest {
            s.highest = token;
        } else if !self.has(Guard::Fencing) {
            s.went_back = true;
        }
    }

    fn node_events(&self, s: &State, node: u8, actions: &mut Vec<Event>) {
        let n = &s.nodes[node as usize];
        if n.number < REQUESTS_MAX && s.messages.len() < MESSAGES_MAX {
            actions.push(Event::Request(node));
        }
        if self.happens(Beside::Releases)
            && n.token > n.released
            && s.messages.len() < MESSAGES_MAX
            && LeaseModel::may_act(s, node)
        {
            actions.push(Event::Release(node));
        }
        let acts = self.happens(Beside::Acts);
        if acts
            && n.act == 0
            && n.token > 0
            && (LeaseModel::may_act(s, node) || !self.has(Guard::ChecksFirst))
        {
            actions.push(Event::StartAct(node));
        }
        if n.act > 0 {
            actions.push(Event::FinishAct(node));
        }
        if self.happens(Beside::Restarts) && n.process == 0 && n.number > 0 {
            actions.push(Event::Restart(node));
        }
    }

    fn is_sure(&self, s: &State, node: u8) -> bool {
        match self.has(Guard::ChecksFirst) {
            true => LeaseModel::may_act(s, node),
            false => s.nodes[node as usize].token > 0,
        }
    }

    /// A node is wrong to be sure if the other is, too, or if the lease was granted to another process.
    fn is_wrong(&self, s: &State, node: u8) -> bool {
        let n = &s.nodes[node as usize];
        self.is_sure(s, node) && s.holder.is_some_and(|holder| holder != (node, n.process))
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            voters: [1; 3],
            leaders: [Some(Leader { until: 0, granting: None }), None],
            token: 0,
            holder: None,
            nodes: Default::default(),
            messages: BTreeSet::new(),
            highest: 0,
            went_back: false,
            two_holders: false,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Event>) {
        if s.now < END {
            // At most one tick of a lease is lost by one of the clocks.
            actions.push(Event::Tick { slow: 0 });
            for node in 1..=2 {
                if self.happens(Beside::Drift) && s.nodes[node as usize - 1].lost == 0 {
                    actions.push(Event::Tick { slow: node });
                }
            }
        }
        if self.happens(Beside::Elections) && s.leaders[1].is_none() {
            // Which two of the three elect it makes no difference.
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
            if s.leaders[term as usize - 1].as_ref().is_some_and(|l| l.granting.is_some()) {
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
                    s.nodes[slow as usize - 1].lost += 1;
                }
            }
            Event::Elect { term, by } => self.elect(&mut s, term, by),
            Event::Request(node) => LeaseModel::request(&mut s, node),
            Event::Release(node) => LeaseModel::release(&mut s, node),
            Event::Receive { message, term } => {
                // One that has no effect is one that was lost.
                s.messages.remove(&message);
                self.receive(&mut s, &message, term);
            }
            Event::Commit { term } => self.commit(&mut s, term)?,
            Event::StartAct(node) => s.nodes[node as usize].act = s.nodes[node as usize].token,
            Event::FinishAct(node) => self.finish_act(&mut s, node),
            Event::Restart(node) => {
                let (lost, act) = (s.nodes[node as usize].lost, 0);
                s.nodes[node as usize] = Node { process: 1, lost, act, ..Node::default() };
            }
        }
        s.two_holders |= self.is_sure(&s, 0) && self.is_sure(&s, 1);
        s.two_holders |= self.is_wrong(&s, 0) || self.is_wrong(&s, 1);
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder at a time is sure of its right", |_, s: &State| !s.two_holders),
            Property::always("no act is taken under a token lower than one before", |_, s: &State| {
                !s.went_back
            }),
            Property::sometimes("a second token is granted", |_, s: &State| s.token >= 2),
        ]
    }
}

fn long() -> bool {
    std::env::var_os("TESTBED_LONG").is_some()
}

fn check(without: Option<Guard>, beside: [Beside; 2]) -> (usize, Option<Vec<Event>>) {
    let checker = LeaseModel { without, beside }.checker().threads(2).spawn_bfs().join();
    let found = checker.discoveries();
    let bad =
        ["one holder at a time is sure of its right", "no act is taken under a token lower than one before"];
    let path = bad.iter().find_map(|p| found.get(p)).map(|p| p.clone().into_actions());
    if without.is_none() {
        assert!(found.contains_key("a second token is granted"), "nothing was tried");
    }
    (checker.unique_state_count(), path)
}

#[test]
fn no_reachable_state_has_two_holders() {
    use Beside::*;
    // Some millions of states each: all but the first is for the long set, built for release.
    for beside in [Releases, Acts, Drift, Elections, Restarts].into_iter().take(if long() { 5 } else { 1 }) {
        let beside = [beside; 2];
        let (states, path) = check(None, beside);
        eprintln!("{beside:?}: {states} states");
        assert_eq!(path, None, "{beside:?}");
        assert!(states > 1000, "{states}");
    }
}

#[test]
fn each_guard_that_is_taken_out_is_missed() {
    use Beside::*;
    use Guard::*;
    for (guard, beside, always) in [
        (FromRequest, [Drift, Drift], false),
        (WaitsAsLeader, [Elections, Elections], false),
        (Confirmed, [Elections, Elections], false),
        (NotWhileGranting, [Drift, Drift], false),
        (NeverAgain, [Releases, Releases], true),
        (OneProcess, [Restarts, Restarts], false),
        (Margin, [Drift, Drift], true),
        (Fencing, [Acts, Acts], true),
        (ChecksFirst, [Acts, Acts], true),
    ] {
        if !always && !long() {
            continue;
        }
        let (states, path) = check(Some(guard), beside);
        eprintln!("{guard:?}: {states} states; {} steps: {path:?}", path.as_ref().map_or(0, Vec::len));
        assert!(path.is_some(), "{guard:?} is not missed");
    }
}
