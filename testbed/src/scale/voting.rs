//! Voters and the nodes that ask them for duties, in emulated time: each zone has a duty of its own, as the one to follow
//! discovery is, and some nodes that want it.

use super::limits::{Limits, NotRun};
use super::processor::timed;
use super::result::{Condition, Figures, Quantity, Recorder, Role, Value};
use super::sealer::Sealer;
use crate::disk::MemDisk;
use ::coordination::{
    Client, ClientAction, Holder, Message, Store, Timing, Voter, VoterAction, VoterConfig, VoterMember,
    VoterState,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Voters, of which a majority grants duties.
const VOTERS: usize = 5;
/// Nodes of each zone that ask for its duty.
const SEEKERS: usize = 3;
/// The least and the most time that a word is on its way, in microseconds.
const WIRE_US: std::ops::Range<u64> = 500..10_000;
/// For one write of a voter's store.
const WRITE: Duration = Duration::from_millis(3);
/// A word's tag, which says of which subsystem it is, in bytes.
const TAG: usize = 1;
/// Until all duties are held.
const HELD_MAX: Duration = Duration::from_secs(120);
/// Before traffic is counted.
const WARM_UP: Duration = Duration::from_secs(30);
/// For which traffic is counted.
const CALM: Duration = Duration::from_secs(60);
/// Between two looks at who holds what.
const LOOK: Duration = Duration::from_millis(10);
const UNIX_MS: u64 = 1_700_000_000_000;

/// The conditions that [`measure`] records.
pub const CONDITIONS: [Condition; 2] = [Condition::Calm, Condition::Crashes];

/// What is measured.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Zones, each with a duty.
    pub zones: usize,
    /// The seed of all that is drawn.
    pub seed: u64,
}

/// Measures voters while all duties are held, and after the leader and all holders crash at once.
pub fn measure(spec: &Spec, limits: &Limits, recorder: &mut Recorder) {
    if let Err(reason) = measure_all(spec, limits, recorder) {
        recorder.rest_not_run(Role::Voter, &CONDITIONS, &reason);
    }
}

fn measure_all(spec: &Spec, limits: &Limits, recorder: &mut Recorder) -> Result<(), NotRun> {
    let mut assembly = Assembly::started(spec);
    assembly.until_held(limits)?;
    assembly.run(WARM_UP, limits)?;
    assembly.reset_counts();
    assembly.run(CALM, limits)?;
    let mut calm = assembly.figures(CALM);
    let crash = assembly.crash(limits)?;
    let state = assembly.state(limits);
    calm.extend(state.map(|state| (Quantity::StateBytes, state)));
    recorder.measured(Role::Voter, Condition::Calm, calm);
    recorder.measured(Role::Voter, Condition::Crashes, crash);
    Ok(())
}

enum Event {
    Message { from: usize, to: usize, message: Message },
    Written { voter: usize, number: u64 },
    Wake(usize),
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    messages_out: u64,
    messages_in: u64,
    bytes_out: u64,
    bytes_in: u64,
    processor: Duration,
}

/// What a process is.
enum Part {
    Voter(Box<Voter>, Store),
    Seeker(Client),
}

struct Process {
    /// `None` once it has crashed.
    part: Option<Part>,
    wake: Option<Duration>,
    count: Count,
}

/// Voters first, then the seekers of each zone.
struct Assembly {
    zones: usize,
    now: Duration,
    queue: BTreeMap<(Duration, u64), Event>,
    order: u64,
    rng: SmallRng,
    sealer: Sealer,
    processes: Vec<Process>,
    by_address: HashMap<SocketAddr, usize>,
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 5, (i / 250) as u8, (i % 250 + 1) as u8), 7946))
}

fn name(i: usize) -> String {
    format!("n{i:04}")
}

fn duty(zone: usize) -> String {
    format!("lists/zone-{zone:02}")
}

fn seats() -> Vec<VoterMember> {
    (0..VOTERS).map(|i| VoterMember { name: name(i), address: address(i) }).collect()
}

fn voter(i: usize, rng: &mut SmallRng) -> Part {
    let opened = Store::open(MemDisk::new(), "emulated", &name(i), rng.random(), rng.random());
    let (store, disk) = opened.expect("an empty disk in memory can be opened");
    let seat = VoterMember { name: name(i), address: address(i) };
    let (process_id, seed) = (rng.random(), rng.random());
    let setup = VoterConfig {
        member: seat,
        founders: seats(),
        timing: Timing::default(),
        process_id,
        seed,
        unix_ms: UNIX_MS,
    };
    Part::Voter(Box::new(Voter::new(setup, disk, Duration::ZERO)), store)
}

fn seeker(i: usize, rng: &mut SmallRng) -> Part {
    let holder = Holder { name: name(i), process_id: rng.random() };
    let voters = seats().iter().map(|seat| seat.address).collect();
    let mut client = Client::new(holder, Timing::default(), voters);
    client.acquire(Duration::ZERO, &duty((i - VOTERS) / SEEKERS));
    Part::Seeker(client)
}

impl Assembly {
    fn started(spec: &Spec) -> Assembly {
        let mut rng = SmallRng::seed_from_u64(spec.seed);
        let total = VOTERS + SEEKERS * spec.zones;
        let parts: Vec<Part> =
            (0..total).map(|i| if i < VOTERS { voter(i, &mut rng) } else { seeker(i, &mut rng) }).collect();
        let process = |part| Process { part: Some(part), wake: None, count: Count::default() };
        let mut assembly = Assembly {
            zones: spec.zones,
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            order: 0,
            rng,
            sealer: Sealer::new(),
            processes: parts.into_iter().map(process).collect(),
            by_address: (0..total).map(|i| (address(i), i)).collect(),
        };
        (0..total).for_each(|i| assembly.after(i));
        assembly
    }

    fn run(&mut self, span: Duration, limits: &Limits) -> Result<(), NotRun> {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            self.now = entry.key().0;
            match entry.remove() {
                Event::Message { from, to, message } => self.deliver(from, to, message),
                Event::Written { voter, number } => self.written(voter, number),
                Event::Wake(i) => self.wake(i),
            }
            limits.check()?;
        }
        self.now = end;
        Ok(())
    }

    fn put(&mut self, after: Duration, event: Event) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), event);
    }

    /// Lets a process do something, and carries out what it wants done then.
    fn with(&mut self, i: usize, work: impl FnOnce(&mut Part, Duration)) {
        let now = self.now;
        let process = &mut self.processes[i];
        let Some(part) = &mut process.part else { return };
        let ((), time) = timed(|| work(part, now));
        process.count.processor += time;
        self.after(i);
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        self.with(to, |part, now| match (part, message) {
            (Part::Seeker(client), Message::Response(answer)) => client.receive(now, address(from), answer),
            (Part::Voter(voter, _), message) => voter.receive(now, address(from), message),
            _ => {}
        });
    }

    fn written(&mut self, voter: usize, number: u64) {
        self.with(voter, |part, now| {
            if let Part::Voter(voter, _) = part {
                voter.persisted(now, number, Ok(()));
            }
        });
    }

    fn wake(&mut self, i: usize) {
        if self.processes[i].wake != Some(self.now) {
            return;
        }
        self.processes[i].wake = None;
        self.with(i, |part, now| match part {
            Part::Voter(voter, _) => voter.tick(now),
            Part::Seeker(client) => client.tick(now),
        });
    }

    fn after(&mut self, i: usize) {
        let Some(mut part) = self.processes[i].part.take() else { return };
        let due = match &mut part {
            Part::Voter(voter, store) => {
                self.carry_out(i, voter, store);
                voter.next_tick()
            }
            Part::Seeker(client) => {
                while let Some(errand) = client.next_action() {
                    if let ClientAction::Send { to, request } = errand {
                        self.send(i, to, Message::Request(request));
                    }
                }
                client.next_tick()
            }
        };
        self.processes[i].part = Some(part);
        self.plan(i, due);
    }

    fn carry_out(&mut self, i: usize, voter: &mut Voter, store: &Store) {
        while let Some(action) = voter.next_action() {
            match action {
                VoterAction::Send { to, message } => self.send(i, to, message),
                VoterAction::Write(batch) => {
                    store.write(&batch).expect("a disk in memory takes every write");
                    self.put(WRITE, Event::Written { voter: i, number: batch.number });
                }
                VoterAction::Report(_) => {}
            }
        }
    }

    fn plan(&mut self, i: usize, due: Duration) {
        let at = due.max(self.now);
        if due < Duration::MAX && self.processes[i].wake.is_none_or(|wake| at < wake || wake < self.now) {
            self.processes[i].wake = Some(at);
            let after = at - self.now;
            self.put(after, Event::Wake(i));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let Some(to) = self.by_address.get(&to).copied() else { return };
        let length = postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len()) + TAG;
        let sealed = self.sealer.word(length);
        let sender = &mut self.processes[from].count;
        sender.messages_out += sealed.datagrams;
        sender.bytes_out += sealed.bytes;
        let receiver = &mut self.processes[to].count;
        receiver.messages_in += sealed.datagrams;
        receiver.bytes_in += sealed.bytes;
        let wire = Duration::from_micros(self.rng.random_range(WIRE_US));
        self.put(wire, Event::Message { from, to, message });
    }

    /// Which process may act on a zone's duty now.
    fn holder(&self, zone: usize) -> Option<usize> {
        let first = VOTERS + zone * SEEKERS;
        let holds = |i: &usize| match &self.processes[*i].part {
            Some(Part::Seeker(client)) => client.may_act(self.now, &duty(zone)).is_some(),
            _ => false,
        };
        (first..first + SEEKERS).find(holds)
    }

    fn leader(&self) -> Option<usize> {
        let leads = |i: &usize| match &self.processes[*i].part {
            Some(Part::Voter(voter, _)) => voter.state() == VoterState::Leader,
            _ => false,
        };
        (0..VOTERS).find(leads)
    }

    /// Runs until all duties are held; when each was held first, from now on, in milliseconds.
    fn until_held(&mut self, limits: &Limits) -> Result<Vec<f64>, NotRun> {
        let start = self.now;
        let mut held: Vec<Option<f64>> = vec![None; self.zones];
        while held.iter().any(Option::is_none) {
            if self.now - start > HELD_MAX {
                let reached = held.iter().flatten().count();
                return Err(NotRun::NotInForce { reached, of: self.zones, after_s: HELD_MAX.as_secs() });
            }
            self.run(LOOK, limits)?;
            let passed = (self.now - start).as_secs_f64() * 1e3;
            for (zone, held) in held.iter_mut().enumerate().filter(|(_, held)| held.is_none()) {
                *held = self.holder(zone).map(|_| passed);
            }
        }
        Ok(held.into_iter().flatten().collect())
    }

    /// The leader and all holders crash at once.
    fn crash(&mut self, limits: &Limits) -> Result<Figures, NotRun> {
        let holders: Vec<usize> = (0..self.zones).filter_map(|zone| self.holder(zone)).collect();
        let crashed: Vec<usize> = holders.into_iter().chain(self.leader()).collect();
        crashed.into_iter().for_each(|i| self.processes[i].part = None);
        self.reset_counts();
        let start = self.now;
        let delays = self.until_held(limits)?;
        let mut figures = self.figures(self.now - start);
        figures.extend(Value::of(delays).map(|delays| (Quantity::InForceMs, delays)));
        Ok(figures)
    }

    fn reset_counts(&mut self) {
        self.processes.iter_mut().for_each(|process| process.count = Count::default());
    }

    /// What the voters that run have sent and received a second, and their processor time.
    fn figures(&self, span: Duration) -> Figures {
        let seconds = span.as_secs_f64();
        let running = || self.processes.iter().take(VOTERS).filter(|process| process.part.is_some());
        let rate = |of: fn(&Count) -> f64| Value::of(running().map(|p| of(&p.count) / seconds).collect());
        let rates = [
            (Quantity::MessagesOut, rate(|c| c.messages_out as f64)),
            (Quantity::MessagesIn, rate(|c| c.messages_in as f64)),
            (Quantity::BytesOut, rate(|c| c.bytes_out as f64)),
            (Quantity::BytesIn, rate(|c| c.bytes_in as f64)),
            (Quantity::ProcessorShare, rate(|c| c.processor.as_secs_f64())),
        ];
        rates.into_iter().filter_map(|(quantity, value)| Some((quantity, value?))).collect()
    }

    /// The state of each voter that runs, without its store.
    fn state(mut self, limits: &Limits) -> Option<Value> {
        let memory = limits.memory();
        let mut freed = Vec::new();
        for process in self.processes.iter_mut().take(VOTERS) {
            if let Some(Part::Voter(voter, _store)) = process.part.take() {
                freed.push(memory.freed_by(|| drop(voter)) as f64);
            }
        }
        Value::of(freed)
    }
}
