//! Cluster of three voters in one thread. Messages and writes complete without delay, so each run produces the same bytes.

#[path = "image.rs"]
pub mod image;

use coordination::{
    ClusterStatus, Holder, LeaseTable, Message, Operation, Outcome, Request, Response, Store, Timing, Voter,
    VoterAction, VoterConfig, VoterMember, VoterState,
};
use sha2::{Digest, Sha256};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Results of the fixed run, recorded from version 6e5c6e9.
pub const TERM: u64 = 2;
pub const LEADER_DISK: u64 = 101;
pub const CLUSTER_ID: u64 = 15_296_787_881_804_620_516;
pub const TOKENS: [u64; 3] = [1_700_000_021_000, 1_700_000_021_001, 1_700_000_021_002];
/// Names of the clients.
pub const CLIENTS: [&str; 3] = ["c0", "c1", "c2"];

const FLEET: &str = "golden";
const STEP: Duration = Duration::from_millis(10);
const UNIX_MS: u64 = 1_700_000_000_000;
/// Number of saved states; with the other commands, enough log entries for a snapshot.
const SAVED_STATES: u8 = 255;

/// In-memory disk.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk(Arc<Mutex<Vec<u8>>>);

impl MemoryDisk {
    pub fn from_bytes(bytes: Vec<u8>) -> MemoryDisk {
        MemoryDisk(Arc::new(Mutex::new(bytes)))
    }

    pub fn bytes(&self) -> Vec<u8> {
        self.0.lock().unwrap().clone()
    }

    pub fn copy(&self) -> MemoryDisk {
        MemoryDisk::from_bytes(self.bytes())
    }
}

impl redb::StorageBackend for MemoryDisk {
    fn len(&self) -> Result<u64, std::io::Error> {
        Ok(self.0.lock().unwrap().len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let start = offset as usize;
        out.copy_from_slice(&self.0.lock().unwrap()[start..start + out.len()]);
        Ok(())
    }

    fn set_len(&self, length: u64) -> Result<(), std::io::Error> {
        self.0.lock().unwrap().resize(length as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), std::io::Error> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        let start = offset as usize;
        self.0.lock().unwrap()[start..start + data.len()].copy_from_slice(data);
        Ok(())
    }
}

/// Status of the cluster, as reported by the leader.
pub struct Status {
    pub cluster_id: u64,
    pub term: u64,
    table: LeaseTable,
}

impl Status {
    pub fn leases(&self) -> Vec<(&str, Option<&str>, u64)> {
        self.table
            .leases
            .iter()
            .map(|(name, record)| {
                (name.as_str(), record.holder.as_ref().map(|h| h.name.as_str()), record.token)
            })
            .collect()
    }

    pub fn last_token(&self) -> u64 {
        self.table.last_token
    }

    pub fn saved_state(&self, lease: &str) -> &[u8] {
        &self.table.leases[lease].state
    }

    pub fn voters(&self) -> Vec<&str> {
        self.table.voters.values().map(|voter| voter.name.as_str()).collect()
    }

    pub fn history_length(&self) -> usize {
        self.table.history.len()
    }
}

/// Three voters, and clients that send requests to the leader.
pub struct Cluster {
    now: Duration,
    disks: Vec<MemoryDisk>,
    voters: Vec<(Voter, Store)>,
    in_flight: VecDeque<(SocketAddr, SocketAddr, Message)>,
    responses: Vec<Response>,
    last_request_id: u64,
    messages_sent: u64,
    messages_digest: Sha256,
}

fn address(voter: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + voter as u16))
}

fn client_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8000))
}

impl Cluster {
    /// Starts three new voters and runs them until one is the leader.
    pub fn form() -> Cluster {
        Cluster::start((0..3).map(|_| MemoryDisk::default()).collect(), 0)
    }

    /// Starts the voters whose stores are on these disks, a majority, and runs them until one is the leader.
    pub fn reopen(disks: Vec<MemoryDisk>) -> Cluster {
        Cluster::start(disks, 10)
    }

    fn start(disks: Vec<MemoryDisk>, process_id_offset: u64) -> Cluster {
        let member = |voter: usize| VoterMember { name: format!("v{voter}"), address: address(voter) };
        let now = Duration::from_secs(1);
        let voter = |(i, disk): (usize, &MemoryDisk)| {
            let (name, disk_id) = (format!("v{i}"), 100 + i as u64);
            let (store, contents) = Store::open(disk.clone(), FLEET, &name, disk_id, disk_id).unwrap();
            assert_eq!(contents.identity.disk_id, disk_id);
            let config = VoterConfig {
                member: member(i),
                initial_voters: (0..3).map(member).collect(),
                timing: Timing { lease: Duration::from_secs(10), election: Duration::from_secs(1) },
                process_id: process_id_offset + 1 + i as u64,
                seed: 5 + i as u64,
                clock_origin_unix_ms: UNIX_MS,
            };
            (Voter::new(config, contents, now), store)
        };
        let voters = disks.iter().enumerate().map(voter).collect();
        let mut cluster = Cluster {
            now,
            disks,
            voters,
            in_flight: VecDeque::new(),
            responses: Vec::new(),
            last_request_id: 0,
            messages_sent: 0,
            messages_digest: Sha256::new(),
        };
        cluster.run(Duration::from_secs(20));
        assert!(cluster.leader().is_some(), "no leader was elected");
        cluster
    }

    fn leader(&self) -> Option<usize> {
        (0..self.voters.len()).find(|i| self.voters[*i].0.state() == VoterState::Leader)
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            for i in 0..self.voters.len() {
                if self.voters[i].0.next_tick() <= self.now {
                    self.voters[i].0.tick(self.now);
                }
            }
            self.carry_out_actions();
        }
    }

    /// Carries out the actions of the voters and delivers their messages until nothing is left.
    fn carry_out_actions(&mut self) {
        loop {
            for i in 0..self.voters.len() {
                while let Some(action) = self.voters[i].0.next_action() {
                    match action {
                        VoterAction::Send { to, message } => {
                            self.messages_sent += 1;
                            self.messages_digest.update(to.to_string());
                            self.messages_digest.update(postcard::to_stdvec(&message).unwrap());
                            self.in_flight.push_back((address(i), to, message));
                        }
                        VoterAction::Write(batch) => {
                            let outcome = self.voters[i].1.write(&batch);
                            self.voters[i].0.persisted(self.now, batch.number, outcome);
                        }
                        VoterAction::Report(_) => {}
                    }
                }
            }
            let Some((from, to, message)) = self.in_flight.pop_front() else { return };
            match (message, (0..3).find(|i| address(*i) == to)) {
                (_, Some(i)) if i >= self.voters.len() => {} // the voter is not running
                (message, Some(i)) => self.voters[i].0.receive(self.now, from, message),
                (Message::Response(response), None) => self.responses.push(response),
                (message, None) => panic!("unexpected message to a client: {message:?}"),
            }
        }
    }

    /// Sends a request to the leader, and runs the cluster until its response has arrived.
    fn request(&mut self, client: usize, operation: Operation) -> Outcome {
        self.last_request_id += 1;
        let process = Holder { name: CLIENTS[client].into(), process_id: 50 + client as u64 };
        let request =
            Request { id: self.last_request_id, client: process, last_response_age_ms: 0, operation };
        let leader = self.leader().unwrap();
        self.voters[leader].0.receive(self.now, client_address(), Message::Request(request));
        self.carry_out_actions();
        for _ in 0..500 {
            if let Some(position) = self.responses.iter().position(|r| r.request_id == self.last_request_id) {
                return self.responses.remove(position).outcome;
            }
            self.run(STEP);
        }
        panic!("no response from the leader")
    }

    /// Acquires or renews a lease, and returns its token.
    pub fn acquire(&mut self, lease: &str, client: usize, token: u64) -> u64 {
        match self.request(client, Operation::Acquire { lease: lease.into(), token }) {
            Outcome::Granted { lease: granted, token, .. } if granted == lease => token,
            other => panic!("{other:?}"),
        }
    }

    /// Requests a lease, and returns whether another client holds it.
    pub fn is_held_by_other(&mut self, lease: &str, client: usize) -> bool {
        matches!(
            self.request(client, Operation::Acquire { lease: lease.into(), token: 0 }),
            Outcome::HeldByOther { .. }
        )
    }

    /// Runs the fixed script: grants, a release, saved states, and enough entries for a snapshot.
    pub fn run_script(&mut self) {
        let first = self.acquire("errand/a", 0, 0);
        let second = self.acquire("lists/z", 1, 0);
        for state in 0..SAVED_STATES {
            let operation =
                Operation::SaveState { lease: "errand/a".into(), token: first, state: vec![state] };
            assert_eq!(self.request(0, operation), Outcome::Done);
        }
        let third = self.acquire("roll", 2, 0);
        assert!(first < second && second < third);
        assert_eq!(
            self.request(1, Operation::Release { lease: "lists/z".into(), token: second }),
            Outcome::Done
        );
        let operation = Operation::SaveState { lease: "errand/a".into(), token: first, state: vec![7, 3] };
        assert_eq!(self.request(0, operation), Outcome::Done);
        self.run(Duration::from_secs(1));
    }

    /// Requests the status from the leader.
    pub fn status(&mut self) -> Status {
        match self.request(0, Operation::Status) {
            Outcome::Status(status) => {
                let ClusterStatus { table, cluster_id, term, .. } = *status;
                Status { cluster_id, term, table }
            }
            other => panic!("{other:?}"),
        }
    }

    /// Returns the number of messages sent by voters, and a digest of their receivers and bytes.
    pub fn sent_digest(&self) -> String {
        let digest = self.messages_digest.clone().finalize();
        format!("{} {}", self.messages_sent, digest.iter().map(|b| format!("{b:02x}")).collect::<String>())
    }

    /// Stops the voters, and returns their disks.
    pub fn stop(self) -> Vec<MemoryDisk> {
        drop(self.voters);
        self.disks
    }
}
