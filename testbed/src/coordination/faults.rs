//! Starts, crashes and stalls of emulated processes.

use super::node::{address, name, Process};
use super::processing::{NETWORK_DELAY, OPERATION_INTERVAL};
use super::{EmulatedCluster, Event, LEASE};
use crate::disk::MemDisk;
use ::coordination::{Client, Holder, Store, Voter, VoterConfig, VoterMember};
use rand::RngExt;
use std::time::Duration;

/// Name of the emulated fleet.
const FLEET: &str = "emulated";
/// Unix time at the start of each process, in milliseconds.
const UNIX_MS: u64 = 1_700_000_000_000;
/// Time from the release of the lease to the end of a process that is shut down.
const SHUTDOWN_TIME: Duration = Duration::from_secs(1);

impl EmulatedCluster {
    /// Starts a process, in place of one that may run at the node.
    pub fn start(&mut self, node: usize) {
        // The store of the previous process writes when it is closed, so it must be closed before the disk is
        // opened again.
        self.nodes[node].process = None;
        let (process_id, seed, now) = (self.rng.random(), self.rng.random(), self.local_time(node));
        let member = |voter| VoterMember { name: name(voter), address: address(voter) };
        let initial_voters: Vec<VoterMember> = (0..self.spec.voters).map(member).collect();
        let holder = Holder { name: name(node), process_id };
        let voters = initial_voters.iter().map(|member| member.address).collect();
        let mut client = Client::new(holder, self.spec.timing, voters);
        if self.spec.candidates.contains(&node) {
            client.acquire(now, LEASE);
        }
        let timing = self.spec.timing;
        let config = VoterConfig {
            member: member(node),
            initial_voters,
            timing,
            process_id,
            seed,
            clock_origin_unix_ms: UNIX_MS,
        };
        let voter = self.open_voter(node, config, now);
        self.nodes[node].process = Some(Process {
            process_id,
            client,
            voter,
            is_stalled: false,
            inbox: Vec::new(),
            stalled_operation: None,
            wake_at: None,
        });
        self.queue.schedule(OPERATION_INTERVAL, Event::StartOperation { node, process_id });
        self.execute_actions(node);
    }

    /// Opens the voter of a node that is a voter or whose disk holds a store.
    fn open_voter(&mut self, node: usize, config: VoterConfig, now: Duration) -> Option<(Voter, Store)> {
        let (disk, location) = (self.nodes[node].disk.clone(), self.nodes[node].location);
        if node >= self.spec.voters && disk.bytes().is_empty() {
            return None;
        }
        let opened = Store::open(disk, FLEET, &name(node), self.rng.random(), location);
        opened.ok().map(|(store, contents)| (Voter::new(config, contents, now), store))
    }

    /// Starts a node that is not a voter with an empty store, so that it can be added as one.
    pub fn start_with_disk(&mut self, node: usize) {
        let disk = MemDisk::new();
        let location = self.nodes[node].location;
        drop(Store::open(disk.clone(), FLEET, &name(node), self.rng.random(), location));
        self.nodes[node].disk = disk;
        self.start(node);
    }

    /// Crashes a process. A write in progress may have reached the disk or not.
    pub fn crash(&mut self, node: usize) {
        self.nodes[node].process = None;
    }

    /// Shuts a process down as SIGTERM does: it releases the lease first and ends one second later.
    pub fn shut_down(&mut self, node: usize) {
        self.release_lease(node);
        self.run(SHUTDOWN_TIME);
        self.crash(node);
    }

    /// Stalls a process; if it holds the lease, between the lease check and the sending of an operation.
    pub fn stall(&mut self, node: usize) {
        let (now, local) = (self.now(), self.local_time(node));
        if let Some(process) = self.nodes[node].process.as_mut().filter(|process| !process.is_stalled) {
            process.is_stalled = true;
            process.stalled_operation = process.begin_operation(node, now, local);
        }
    }

    /// Resumes a stalled process, which sends its pending operation first.
    pub fn resume(&mut self, node: usize) {
        let process = self.nodes[node].process.as_mut().filter(|process| process.is_stalled);
        let Some(process) = process else { return };
        process.is_stalled = false;
        process.wake_at = None;
        let (stalled_operation, process_id) = (process.stalled_operation.take(), process.process_id);
        let inbox = std::mem::take(&mut process.inbox);
        if let Some(operation) = stalled_operation {
            self.queue.schedule(NETWORK_DELAY, Event::OperationArrived { operation });
        }
        inbox.into_iter().for_each(|(from, message)| self.deliver(from, node, message));
        self.queue.schedule(OPERATION_INTERVAL, Event::StartOperation { node, process_id });
        self.wake(node);
    }
}
