//! Voters and lease clients in emulated time: each zone has one lease, like that of the list broadcast, and
//! some nodes that request it.

use super::limits::{Limits, NotRun};
use super::network::{traffic_rates, EmulatedNetwork, TrafficCount};
use super::processor::timed;
use super::result::{Condition, Figures, Quantity, Recorder, Role, Value};
use crate::disk::MemDisk;
use crate::emulated_network::{node_address, EventQueue};
use ::coordination::{
    Client, ClientAction, Holder, Message, Store, Timing, Voter, VoterAction, VoterConfig, VoterMember,
    VoterState,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of voters, a majority of which grants leases.
const VOTERS: usize = 5;
/// Number of nodes in each zone that request its lease.
const CLIENTS_PER_ZONE: usize = 3;
/// Duration of one write of a voter's store.
const STORE_WRITE: Duration = Duration::from_millis(3);
/// Time within which all leases must be held.
const ALL_HELD_MAX: Duration = Duration::from_secs(120);
/// Emulated time before traffic is counted.
const WARM_UP: Duration = Duration::from_secs(30);
/// Emulated time for which traffic is counted.
const MEASURED_TIME: Duration = Duration::from_secs(60);
/// Interval between two checks of the lease holders.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Wall clock at the start, in Unix milliseconds.
const UNIX_MS: u64 = 1_700_000_000_000;
/// Second byte of the processes' addresses.
const NETWORK: u8 = 5;

/// Conditions that [`measure`] records.
pub const CONDITIONS: [Condition; 2] = [Condition::Steady, Condition::Crashes];

/// Parameters of a measurement.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Number of zones, each with a lease.
    pub zones: usize,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Measures voters while all leases are held, and after the leader and all holders crash at once.
pub fn measure(spec: &Spec, limits: &Limits, recorder: &mut Recorder) {
    if let Err(reason) = measure_all(spec, limits, recorder) {
        recorder.rest_not_run(Role::Voter, &CONDITIONS, &reason);
    }
}

fn measure_all(spec: &Spec, limits: &Limits, recorder: &mut Recorder) -> Result<(), NotRun> {
    let mut group = VotingGroup::started(spec);
    group.run_until_all_held(limits)?;
    group.run(WARM_UP, limits)?;
    group.reset_counts();
    group.run(MEASURED_TIME, limits)?;
    let mut steady = group.figures(MEASURED_TIME);
    let crash = group.crash(limits)?;
    let state = group.voter_state(limits);
    steady.extend(state.map(|state| (Quantity::StateBytes, state)));
    recorder.measured(Role::Voter, Condition::Steady, steady);
    recorder.measured(Role::Voter, Condition::Crashes, crash);
    Ok(())
}

enum Event {
    Message { from: usize, to: usize, message: Message },
    WriteDone { voter: usize, number: u64 },
    Tick(usize),
}

/// State machine of a process.
enum Machine {
    Voter(Box<Voter>, Store),
    Client(Client),
}

struct Process {
    /// `None` after a crash.
    machine: Option<Machine>,
    next_tick: Option<Duration>,
    traffic: TrafficCount,
    processor: Duration,
}

/// All voters, then the clients of each zone, and the network between them.
struct VotingGroup {
    zones: usize,
    queue: EventQueue<Event>,
    network: EmulatedNetwork,
    processes: Vec<Process>,
}

fn address(process: usize) -> SocketAddr {
    node_address(NETWORK, process)
}

fn name(process: usize) -> String {
    format!("n{process:04}")
}

fn lease_name(zone: usize) -> String {
    format!("lists/zone-{zone:02}")
}

fn members() -> Vec<VoterMember> {
    (0..VOTERS).map(|i| VoterMember { name: name(i), address: address(i) }).collect()
}

fn voter(i: usize, rng: &mut SmallRng) -> Machine {
    let opened = Store::open(MemDisk::new(), "emulated", &name(i), rng.random(), rng.random());
    let (store, disk) = opened.expect("an empty disk in memory can be opened");
    let member = VoterMember { name: name(i), address: address(i) };
    let (process_id, seed) = (rng.random(), rng.random());
    let config = VoterConfig {
        member,
        initial_voters: members(),
        timing: Timing::default(),
        process_id,
        seed,
        clock_origin_unix_ms: UNIX_MS,
    };
    Machine::Voter(Box::new(Voter::new(config, disk, Duration::ZERO)), store)
}

fn client(i: usize, rng: &mut SmallRng) -> Machine {
    let holder = Holder { name: name(i), process_id: rng.random() };
    let voters = members().iter().map(|member| member.address).collect();
    let mut client = Client::new(holder, Timing::default(), voters);
    client.acquire(Duration::ZERO, &lease_name((i - VOTERS) / CLIENTS_PER_ZONE));
    Machine::Client(client)
}

impl Process {
    fn new(machine: Machine) -> Process {
        Process {
            machine: Some(machine),
            next_tick: None,
            traffic: TrafficCount::default(),
            processor: Duration::ZERO,
        }
    }
}

impl VotingGroup {
    fn started(spec: &Spec) -> VotingGroup {
        let mut rng = SmallRng::seed_from_u64(spec.seed);
        let total = VOTERS + CLIENTS_PER_ZONE * spec.zones;
        let machine = |i| if i < VOTERS { voter(i, &mut rng) } else { client(i, &mut rng) };
        let processes = (0..total).map(machine).map(Process::new).collect();
        let mut group = VotingGroup {
            zones: spec.zones,
            queue: EventQueue::default(),
            network: EmulatedNetwork::new((0..total).map(address), rng),
            processes,
        };
        (0..total).for_each(|i| group.execute_actions(i));
        group
    }

    fn run(&mut self, span: Duration, limits: &Limits) -> Result<(), NotRun> {
        let end = self.queue.now() + span;
        while let Some(event) = self.queue.next_until(end) {
            match event {
                Event::Message { from, to, message } => self.deliver(from, to, message),
                Event::WriteDone { voter, number } => self.write_done(voter, number),
                Event::Tick(i) => self.tick(i),
            }
            limits.check()?;
        }
        Ok(())
    }

    /// Lets a process handle one input, counts its processor time and executes its actions.
    fn with_machine(&mut self, i: usize, handle: impl FnOnce(&mut Machine, Duration)) {
        let now = self.queue.now();
        let process = &mut self.processes[i];
        let Some(machine) = &mut process.machine else { return };
        let ((), time) = timed(|| handle(machine, now));
        process.processor += time;
        self.execute_actions(i);
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        self.with_machine(to, |machine, now| match (machine, message) {
            (Machine::Client(client), Message::Response(response)) => {
                client.receive(now, address(from), response)
            }
            (Machine::Voter(voter, _), message) => voter.receive(now, address(from), message),
            _ => {}
        });
    }

    fn write_done(&mut self, voter: usize, number: u64) {
        self.with_machine(voter, |machine, now| {
            if let Machine::Voter(voter, _) = machine {
                voter.persisted(now, number, Ok(()));
            }
        });
    }

    fn tick(&mut self, i: usize) {
        if self.processes[i].next_tick != Some(self.queue.now()) {
            return;
        }
        self.processes[i].next_tick = None;
        self.with_machine(i, |machine, now| match machine {
            Machine::Voter(voter, _) => voter.tick(now),
            Machine::Client(client) => client.tick(now),
        });
    }

    fn execute_actions(&mut self, i: usize) {
        let Some(mut machine) = self.processes[i].machine.take() else { return };
        let due = match &mut machine {
            Machine::Voter(voter, store) => {
                self.execute_voter_actions(i, voter, store);
                voter.next_tick()
            }
            Machine::Client(client) => {
                while let Some(action) = client.next_action() {
                    if let ClientAction::Send { to, request } = action {
                        self.send(i, to, Message::Request(request));
                    }
                }
                client.next_tick()
            }
        };
        self.processes[i].machine = Some(machine);
        self.schedule_tick(i, due);
    }

    fn execute_voter_actions(&mut self, i: usize, voter: &mut Voter, store: &Store) {
        while let Some(action) = voter.next_action() {
            match action {
                VoterAction::Send { to, message } => self.send(i, to, message),
                VoterAction::Write(batch) => {
                    store.write(&batch).expect("a disk in memory accepts every write");
                    let done = Event::WriteDone { voter: i, number: batch.number };
                    self.queue.schedule(STORE_WRITE, done);
                }
                VoterAction::Report(_) => {}
            }
        }
    }

    fn schedule_tick(&mut self, i: usize, due: Duration) {
        let now = self.queue.now();
        let at = due.max(now);
        let is_earlier = self.processes[i].next_tick.is_none_or(|planned| at < planned || planned < now);
        if due < Duration::MAX && is_earlier {
            self.processes[i].next_tick = Some(at);
            self.queue.schedule(at - now, Event::Tick(i));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let Some(to) = self.network.process_at(to) else { return };
        let size = self.network.wire_size(&message);
        self.processes[from].traffic.record_sent(size);
        self.processes[to].traffic.record_received(size);
        let delay = self.network.draw_delay();
        self.queue.schedule(delay, Event::Message { from, to, message });
    }

    /// Returns the process that holds a zone's lease.
    fn lease_holder(&self, zone: usize) -> Option<usize> {
        let first = VOTERS + zone * CLIENTS_PER_ZONE;
        let holds = |i: &usize| match &self.processes[*i].machine {
            Some(Machine::Client(client)) => {
                client.valid_token(self.queue.now(), &lease_name(zone)).is_some()
            }
            _ => false,
        };
        (first..first + CLIENTS_PER_ZONE).find(holds)
    }

    fn leader(&self) -> Option<usize> {
        let leads = |i: &usize| match &self.processes[*i].machine {
            Some(Machine::Voter(voter, _)) => voter.state() == VoterState::Leader,
            _ => false,
        };
        (0..VOTERS).find(leads)
    }

    /// Runs until all leases are held; returns the delay until each was first held, in milliseconds.
    fn run_until_all_held(&mut self, limits: &Limits) -> Result<Vec<f64>, NotRun> {
        let start = self.queue.now();
        let mut held_at: Vec<Option<f64>> = vec![None; self.zones];
        while held_at.iter().any(Option::is_none) {
            if self.queue.now() - start > ALL_HELD_MAX {
                let reached = held_at.iter().flatten().count();
                return Err(NotRun::NotInForce {
                    reached,
                    expected: self.zones,
                    after_s: ALL_HELD_MAX.as_secs(),
                });
            }
            self.run(POLL_INTERVAL, limits)?;
            let elapsed = (self.queue.now() - start).as_secs_f64() * 1e3;
            for (zone, held_at) in held_at.iter_mut().enumerate().filter(|(_, at)| at.is_none()) {
                *held_at = self.lease_holder(zone).map(|_| elapsed);
            }
        }
        Ok(held_at.into_iter().flatten().collect())
    }

    /// Crashes the leader and all lease holders at once.
    fn crash(&mut self, limits: &Limits) -> Result<Figures, NotRun> {
        let holders: Vec<usize> = (0..self.zones).filter_map(|zone| self.lease_holder(zone)).collect();
        let crashed: Vec<usize> = holders.into_iter().chain(self.leader()).collect();
        crashed.into_iter().for_each(|i| self.processes[i].machine = None);
        self.reset_counts();
        let start = self.queue.now();
        let delays = self.run_until_all_held(limits)?;
        let mut figures = self.figures(self.queue.now() - start);
        figures.extend(Value::of(delays).map(|delays| (Quantity::InForceMs, delays)));
        Ok(figures)
    }

    fn reset_counts(&mut self) {
        for process in &mut self.processes {
            (process.traffic, process.processor) = (TrafficCount::default(), Duration::ZERO);
        }
    }

    /// Returns traffic and processor time of the running voters.
    fn figures(&self, span: Duration) -> Figures {
        let running = || self.processes.iter().take(VOTERS).filter(|process| process.machine.is_some());
        let traffic: Vec<TrafficCount> = running().map(|process| process.traffic).collect();
        let mut figures = traffic_rates(&traffic, span);
        let shares = running().map(|process| process.processor.as_secs_f64() / span.as_secs_f64());
        let shares = Value::of(shares.collect());
        figures.extend(shares.map(|share| (Quantity::ProcessorShare, share)));
        figures
    }

    /// Returns the heap memory of each running voter, without its store.
    fn voter_state(mut self, limits: &Limits) -> Option<Value> {
        let memory = limits.memory();
        let mut freed = Vec::new();
        for process in self.processes.iter_mut().take(VOTERS) {
            if let Some(Machine::Voter(voter, _store)) = process.machine.take() {
                freed.push(memory.freed_by(|| drop(voter)) as f64);
            }
        }
        Value::of(freed)
    }
}
