//! Three voters in one thread that hear each other at once and whose writes are done at once: the same bytes at each run.

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

/// What the fixed run comes to; recorded from 6e5c6e9.
pub const TERM: u64 = 2;
pub const LEADER_DISK: u64 = 101;
pub const FOUNDED: u64 = 15_296_787_881_804_620_516;
pub const TOKENS: [u64; 3] = [1_700_000_021_000, 1_700_000_021_001, 1_700_000_021_002];
/// Names of the clients.
pub const CLIENTS: [&str; 3] = ["c0", "c1", "c2"];

const FLEET: &str = "golden";
const STEP: Duration = Duration::from_millis(10);
const UNIX_MS: u64 = 1_700_000_000_000;
/// More entries than a log keeps before a snapshot takes their place.
const ENTRIES: u8 = 255;

/// A disk in memory.
#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Mutex<Vec<u8>>>);

impl Disk {
    pub fn of(bytes: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(bytes)))
    }

    pub fn bytes(&self) -> Vec<u8> {
        self.0.lock().unwrap().clone()
    }

    pub fn copy(&self) -> Disk {
        Disk::of(self.bytes())
    }
}

impl redb::StorageBackend for Disk {
    fn len(&self) -> Result<u64, std::io::Error> {
        Ok(self.0.lock().unwrap().len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let from = offset as usize;
        out.copy_from_slice(&self.0.lock().unwrap()[from..from + out.len()]);
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
        let from = offset as usize;
        self.0.lock().unwrap()[from..from + data.len()].copy_from_slice(data);
        Ok(())
    }
}

/// What the leader tells, by names of this test.
pub struct Status {
    pub founded: u64,
    pub term: u64,
    table: LeaseTable,
}

impl Status {
    pub fn leases(&self) -> Vec<(&str, Option<&str>, u64)> {
        self.table
            .leases
            .iter()
            .map(|(name, held)| (name.as_str(), held.holder.as_ref().map(|h| h.name.as_str()), held.token))
            .collect()
    }

    pub fn last_token(&self) -> u64 {
        self.table.last_token
    }

    pub fn left(&self, duty: &str) -> &[u8] {
        &self.table.leases[duty].state
    }

    pub fn voters(&self) -> Vec<&str> {
        self.table.voters.values().map(|s| s.name.as_str()).collect()
    }

    pub fn history_length(&self) -> usize {
        self.table.history.len()
    }
}

/// Three voters, and clients that ask the leader.
pub struct Cluster {
    now: Duration,
    disks: Vec<Disk>,
    voters: Vec<(Voter, Store)>,
    on_the_way: VecDeque<(SocketAddr, SocketAddr, Message)>,
    answers: Vec<Response>,
    number: u64,
    sent: u64,
    digest: Sha256,
}

fn address(voter: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + voter as u16))
}

fn client_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8000))
}

impl Cluster {
    /// Three new voters, run until one leads.
    pub fn founded() -> Cluster {
        Cluster::start((0..3).map(|_| Disk::default()).collect(), 0)
    }

    /// Voters of the stores on these disks, a majority, run until one leads.
    pub fn reopened(disks: Vec<Disk>) -> Cluster {
        Cluster::start(disks, 10)
    }

    fn start(disks: Vec<Disk>, boot: u64) -> Cluster {
        let seat = |voter: usize| VoterMember { name: format!("v{voter}"), address: address(voter) };
        let now = Duration::from_secs(1);
        let voter = |(i, disk): (usize, &Disk)| {
            let (name, number) = (format!("v{i}"), 100 + i as u64);
            let (store, found) = Store::open(disk.clone(), FLEET, &name, number, number).unwrap();
            assert_eq!(found.identity.disk_id, number);
            let setup = VoterConfig {
                member: seat(i),
                initial_voters: (0..3).map(seat).collect(),
                timing: Timing { lease: Duration::from_secs(10), election: Duration::from_secs(1) },
                process_id: boot + 1 + i as u64,
                seed: 5 + i as u64,
                clock_origin_unix_ms: UNIX_MS,
            };
            (Voter::new(setup, found, now), store)
        };
        let voters = disks.iter().enumerate().map(voter).collect();
        let mut cluster = Cluster {
            now,
            disks,
            voters,
            on_the_way: VecDeque::new(),
            answers: Vec::new(),
            number: 0,
            sent: 0,
            digest: Sha256::new(),
        };
        cluster.run(Duration::from_secs(20));
        assert!(cluster.leader().is_some(), "nobody leads");
        cluster
    }

    fn leader(&self) -> Option<usize> {
        (0..self.voters.len()).find(|i| self.voters[*i].0.state() == VoterState::Leader)
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            for i in 0..self.voters.len() {
                if self.voters[i].0.next_tick() <= self.now {
                    self.voters[i].0.tick(self.now);
                }
            }
            self.carry_out();
        }
    }

    /// Does what the voters want done, until they want nothing more.
    fn carry_out(&mut self) {
        loop {
            for i in 0..self.voters.len() {
                while let Some(action) = self.voters[i].0.next_action() {
                    match action {
                        VoterAction::Send { to, message } => {
                            self.sent += 1;
                            self.digest.update(to.to_string());
                            self.digest.update(postcard::to_stdvec(&message).unwrap());
                            self.on_the_way.push_back((address(i), to, message));
                        }
                        VoterAction::Write(batch) => {
                            let outcome = self.voters[i].1.write(&batch);
                            self.voters[i].0.persisted(self.now, batch.number, outcome);
                        }
                        VoterAction::Report(_) => {}
                    }
                }
            }
            let Some((from, to, message)) = self.on_the_way.pop_front() else { return };
            match (message, (0..3).find(|i| address(*i) == to)) {
                (_, Some(i)) if i >= self.voters.len() => {} // it is not there
                (message, Some(i)) => self.voters[i].0.receive(self.now, from, message),
                (Message::Response(answer), None) => self.answers.push(answer),
                (message, None) => panic!("{message:?} to a client"),
            }
        }
    }

    /// Asks the leader, and takes its answer to this very request; time passes until it is there.
    fn ask(&mut self, client: usize, wish: Operation) -> Outcome {
        self.number += 1;
        let who = Holder { name: CLIENTS[client].into(), process_id: 50 + client as u64 };
        let ask = Request { id: self.number, client: who, last_response_age_ms: 0, operation: wish };
        let leader = self.leader().unwrap();
        self.voters[leader].0.receive(self.now, client_address(), Message::Request(ask));
        self.carry_out();
        for _ in 0..500 {
            if let Some(at) = self.answers.iter().position(|a| a.request_id == self.number) {
                return self.answers.remove(at).outcome;
            }
            self.run(STEP);
        }
        panic!("no answer")
    }

    /// Takes or renews a lease; its token.
    pub fn renew(&mut self, duty: &str, client: usize, token: u64) -> u64 {
        match self.ask(client, Operation::Acquire { lease: duty.into(), token }) {
            Outcome::Granted { lease: of, token, .. } if of == duty => token,
            other => panic!("{other:?}"),
        }
    }

    /// Whether another holds this lease.
    pub fn is_refused(&mut self, duty: &str, client: usize) -> bool {
        matches!(
            self.ask(client, Operation::Acquire { lease: duty.into(), token: 0 }),
            Outcome::HeldByOther { .. }
        )
    }

    /// Grants, a release, what a holder leaves for the next, and so many entries that a snapshot is taken.
    pub fn play_script(&mut self) {
        let first = self.renew("errand/a", 0, 0);
        let second = self.renew("lists/z", 1, 0);
        for n in 0..ENTRIES {
            let wish = Operation::SaveState { lease: "errand/a".into(), token: first, state: vec![n] };
            assert_eq!(self.ask(0, wish), Outcome::Done);
        }
        let third = self.renew("roll", 2, 0);
        assert!(first < second && second < third);
        assert_eq!(self.ask(1, Operation::Release { lease: "lists/z".into(), token: second }), Outcome::Done);
        let wish = Operation::SaveState { lease: "errand/a".into(), token: first, state: vec![7, 3] };
        assert_eq!(self.ask(0, wish), Outcome::Done);
        self.run(Duration::from_secs(1));
    }

    /// What the leader tells.
    pub fn status(&mut self) -> Status {
        match self.ask(0, Operation::Status) {
            Outcome::Status(told) => {
                let ClusterStatus { table, cluster_id: founded, term, .. } = *told;
                Status { founded, term, table }
            }
            other => panic!("{other:?}"),
        }
    }

    /// How many messages were sent, and a digest of their receivers and bytes.
    pub fn sent_digest(&self) -> String {
        let digest = self.digest.clone().finalize();
        format!("{} {}", self.sent, digest.iter().map(|b| format!("{b:02x}")).collect::<String>())
    }

    /// Ends the voters; their disks.
    pub fn stop(self) -> Vec<Disk> {
        drop(self.voters);
        self.disks
    }
}
