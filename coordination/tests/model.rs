//! A model of lease, token and hand-over, checked over all reachable states: leaders that are deposed without knowing it, two
//! nodes that ask, hold, give back, stand still and are started again, words that come late, twice or never, clocks that run
//! apart within the bound. With each guard taken out the checker has to find how it breaks; docs/DUTIES-DESIGN.md has the
//! shortest ways. The whole of it is `TESTBED_LONG=1 cargo test --release -p duties --test model`.
//!
//! What is left out: the log itself, which is a library's (a command is agreed on by a majority of the term's voters, or
//! never), and words between voters.

use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// The lease as its grantor counts, and for how long a holder may act from when it asked, by a clock that may lose one tick
/// of it.
const LEASE: u8 = 2;
const USABLE: u8 = 1;
/// Bounds of the search.
const END: u8 = 4;
const TERMS: u8 = 2;
const TOKENS: u8 = 2;
const WORDS: usize = 2;
const ASKS: u8 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Guard {
    /// A lease counts from when it was asked for, not from when the answer came.
    FromAsk,
    /// Who leads next waits for a whole lease.
    WaitsAsLeader,
    /// A renewal needs a majority's word that this one leads still, after it was asked for.
    Confirmed,
    /// A grant names the one that it comes after.
    After,
    /// No renewal while a grant is under way.
    NotWhileGranting,
    /// A token that was given back is never taken again.
    NeverAgain,
    /// An answer is for the process that asked.
    OneProcess,
    /// The holder's part of the lease leaves room for clocks that run apart.
    Margin,
    /// The resource refuses a lower token than it has seen.
    Fence,
    /// The holder looks at its clock before each act.
    LooksFirst,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leader {
    /// It was elected, and whatever it learned of leases is by the true clock.
    until: u8,
    granting: Option<(u8, u8)>, // to whom, after which token
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Node {
    /// Which process: a start is another one, with the same numbers.
    process: u8,
    asked: Vec<(u8, u8)>, // number, when by its own clock
    number: u8,
    lost: u8, // ticks that its clock has lost
    token: u8,
    until: u8, // by its own clock
    given: u8,
    /// An act that it was sure of, and that has not left.
    act: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Word {
    Ask { node: u8, process: u8, number: u8 },
    Give { node: u8, process: u8, token: u8 },
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
    words: BTreeSet<Word>,
    seen: u8,
    went_back: bool,
    /// Two processes were sure of their right at one moment, or one acted on a token that was over for it.
    two: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Tick { slow: u8 },
    Elect { term: u8, by: u8 },
    Ask(u8),
    Hear { word: Word, term: u8 },
    Agree { term: u8 },
    Give(u8),
    Begin(u8),
    Leave(u8),
    Restart(u8),
}

/// What happens beside asking, hearing and time. All of it at once is too much to count; two at a time is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    /// Another leader is elected, and the one before does not know.
    Elections,
    /// A clock loses a tick.
    Drift,
    /// Nodes give the duty back.
    Gives,
    /// Nodes stand still in the middle of an act.
    Acts,
    /// Nodes are started again.
    Restarts,
}

struct Duty {
    without: Option<Guard>,
    beside: [Beside; 2],
}

impl Duty {
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

    fn usable(&self) -> u8 {
        if self.has(Guard::Margin) {
            USABLE
        } else {
            LEASE
        }
    }

    fn may_act(s: &State, node: u8) -> bool {
        let n = &s.nodes[node as usize];
        n.token > 0 && Duty::clock(s, node) < n.until
    }

    fn hear(&self, s: &mut State, word: &Word, term: u8) {
        match *word {
            Word::Ask { node, process, number } => {
                let (now, confirmed) = (s.now, Duty::majority(s, term));
                let Some(leader) = &mut s.leaders[term as usize - 1] else { return };
                // A leader knows what was agreed on up to its own term, and learns the rest with a majority's word.
                match s.holder {
                    Some(holder) if holder == (node, process) => {
                        if self.has(Guard::Confirmed) && !confirmed
                            || self.has(Guard::NotWhileGranting) && leader.granting.is_some()
                        {
                            return;
                        }
                        leader.until = now + LEASE;
                        let token = s.token;
                        s.words.insert(Word::Granted { node, process, number, token });
                    }
                    held => {
                        if held.is_some() && now < leader.until
                            || leader.granting.is_some()
                            || s.token >= TOKENS
                        {
                            return;
                        }
                        leader.granting = Some((node, s.token));
                        // Which of its asks it was goes with the answer; the last one is told.
                        s.words.insert(Word::Ask { node, process, number });
                    }
                }
            }
            Word::Give { node, process, token } => {
                if !Duty::majority(s, term) || s.holder != Some((node, process)) || s.token != token {
                    return;
                }
                let Some(leader) = &mut s.leaders[term as usize - 1] else { return };
                if leader.granting.is_some() {
                    return;
                }
                s.holder = None;
            }
            Word::Granted { node, process, number, token } => {
                let clock = Duty::clock(s, node);
                let n = &mut s.nodes[node as usize];
                if self.has(Guard::OneProcess) && n.process != process {
                    return;
                }
                let Some(at) = n.asked.iter().find(|(k, _)| *k == number).map(|(_, at)| *at) else {
                    return;
                };
                if self.has(Guard::NeverAgain) && token <= n.given || token < n.token {
                    return;
                }
                let from = if self.has(Guard::FromAsk) { at } else { clock };
                let until = from + self.usable();
                if until <= clock {
                    return;
                }
                n.until = if token == n.token { n.until.max(until) } else { until };
                n.token = token;
            }
        }
    }
}

impl Model for Duty {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            voters: [1; 3],
            leaders: [Some(Leader { until: 0, granting: None }), None],
            token: 0,
            holder: None,
            nodes: Default::default(),
            words: BTreeSet::new(),
            seen: 0,
            went_back: false,
            two: false,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Act>) {
        if s.now < END {
            // At most one tick of a lease is lost by one of the clocks.
            actions.push(Act::Tick { slow: 0 });
            for node in 1..=2 {
                if self.happens(Beside::Drift) && s.nodes[node as usize - 1].lost == 0 {
                    actions.push(Act::Tick { slow: node });
                }
            }
        }
        if self.happens(Beside::Elections) && s.leaders[1].is_none() {
            // Which two of the three elect it makes no difference.
            actions.push(Act::Elect { term: 2, by: 0 });
        }
        for node in 0..2 {
            let n = &s.nodes[node as usize];
            if n.number < ASKS && s.words.len() < WORDS {
                actions.push(Act::Ask(node));
            }
            if self.happens(Beside::Gives)
                && n.token > n.given
                && s.words.len() < WORDS
                && Duty::may_act(s, node)
            {
                actions.push(Act::Give(node));
            }
            let acts = self.happens(Beside::Acts);
            if acts && n.act == 0 && n.token > 0 && (Duty::may_act(s, node) || !self.has(Guard::LooksFirst)) {
                actions.push(Act::Begin(node));
            }
            if n.act > 0 {
                actions.push(Act::Leave(node));
            }
            if self.happens(Beside::Restarts) && n.process == 0 && n.number > 0 {
                actions.push(Act::Restart(node));
            }
        }
        for word in &s.words {
            if let Word::Granted { .. } = word {
                actions.push(Act::Hear { word: word.clone(), term: 1 });
                continue;
            }
            for term in (1..=TERMS).filter(|t| s.leaders[*t as usize - 1].is_some()) {
                actions.push(Act::Hear { word: word.clone(), term });
            }
        }
        (1..=TERMS).for_each(|term| {
            if s.leaders[term as usize - 1].as_ref().is_some_and(|l| l.granting.is_some()) {
                actions.push(Act::Agree { term });
            }
        });
    }

    fn next_state(&self, last: &State, action: Act) -> Option<State> {
        let mut s = last.clone();
        match action {
            Act::Tick { slow } => {
                s.now += 1;
                if slow > 0 {
                    s.nodes[slow as usize - 1].lost += 1;
                }
            }
            Act::Elect { term, by } => {
                // Two of three promise themselves to it.
                s.voters[by as usize] = term;
                s.voters[(by as usize + 1) % 3] = term;
                let until = if self.has(Guard::WaitsAsLeader) { s.now + LEASE } else { 0 };
                s.leaders[term as usize - 1] = Some(Leader { until, granting: None });
            }
            Act::Ask(node) => {
                let clock = Duty::clock(&s, node);
                let n = &mut s.nodes[node as usize];
                n.asked.push((n.number, clock));
                let word = Word::Ask { node, process: n.process, number: n.number };
                n.number += 1;
                s.words.insert(word);
            }
            Act::Give(node) => {
                let n = &mut s.nodes[node as usize];
                let word = Word::Give { node, process: n.process, token: n.token };
                (n.given, n.token, n.until) = (n.token, 0, 0);
                s.words.insert(word);
            }
            Act::Hear { word, term } => {
                // One that is not heeded is one that was lost.
                s.words.remove(&word);
                self.hear(&mut s, &word, term);
            }
            Act::Agree { term } => {
                let leader = s.leaders[term as usize - 1].as_mut()?;
                let (node, after) = leader.granting.take()?;
                // It was proposed, and is agreed on now, later than others, or never.
                if s.voters.iter().filter(|t| **t == term).count() < 2 {
                    return Some(s);
                }
                if s.token != after && self.has(Guard::After) {
                    return Some(s);
                }
                let process = s.nodes[node as usize].process;
                s.token += 1;
                s.holder = Some((node, process));
                if let Some(leader) = s.leaders[term as usize - 1].as_mut() {
                    leader.until = s.now + LEASE;
                }
            }
            Act::Begin(node) => {
                s.nodes[node as usize].act = s.nodes[node as usize].token;
            }
            Act::Leave(node) => {
                let token = std::mem::take(&mut s.nodes[node as usize].act);
                if token >= s.seen {
                    s.seen = token;
                } else if !self.has(Guard::Fence) {
                    s.went_back = true;
                }
            }
            Act::Restart(node) => {
                let (lost, act) = (s.nodes[node as usize].lost, 0);
                s.nodes[node as usize] = Node { process: 1, lost, act, ..Node::default() };
            }
        }
        // A node is wrong to be sure where the other is, too, or where the duty was granted to another process.
        let sure = |s: &State, node: u8| match self.has(Guard::LooksFirst) {
            true => Duty::may_act(s, node),
            false => s.nodes[node as usize].token > 0,
        };
        let wrong = |s: &State, node: u8| {
            let n = &s.nodes[node as usize];
            sure(s, node) && s.holder.is_some_and(|h| h != (node, n.process))
        };
        s.two |= sure(&s, 0) && sure(&s, 1) || wrong(&s, 0) || wrong(&s, 1);
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder at a time is sure of its right", |_, s: &State| !s.two),
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

fn check(without: Option<Guard>, beside: [Beside; 2]) -> (usize, Option<Vec<Act>>) {
    let checker = Duty { without, beside }.checker().threads(2).spawn_bfs().join();
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
    for beside in [Gives, Acts, Drift, Elections, Restarts].into_iter().take(if long() { 5 } else { 1 }) {
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
        (FromAsk, [Drift, Drift], false),
        (WaitsAsLeader, [Elections, Elections], false),
        (Confirmed, [Elections, Elections], false),
        (NotWhileGranting, [Drift, Drift], false),
        (NeverAgain, [Gives, Gives], true),
        (OneProcess, [Restarts, Restarts], false),
        (Margin, [Drift, Drift], true),
        (Fence, [Acts, Acts], true),
        (LooksFirst, [Acts, Acts], true),
    ] {
        if !always && !long() {
            continue;
        }
        let (states, path) = check(Some(guard), beside);
        eprintln!("{guard:?}: {states} states; {} steps: {path:?}", path.as_ref().map_or(0, Vec::len));
        assert!(path.is_some(), "{guard:?} is not missed");
    }
}
