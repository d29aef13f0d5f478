//! Exclusive leases for the nodes of a fleet, and the tasks of their holders.
//!
//! A small Raft group of voters grants each lease for a limited time, with a monotonically increasing fencing token. All
//! nodes are clients of the voters. A lease holder makes scheduled calls, polls discovery on behalf of its zone, or performs
//! a rolling restart of the fleet.
//!
//! | type | role |
//! | --- | --- |
//! | [`Voter`] | member of the Raft group that grants leases |
//! | [`Store`] | durable store of a voter, on `redb` |
//! | [`Client`] | acquires and renews leases, and tracks how long each is valid |
//! | [`FencingGuard`] | rejects operations with a stale fencing token |
//! | [`ListBroadcast`] | distribution of a zone's endpoint list from the lease holder to all nodes |
//! | [`RollingRestart`] | restart of a fleet's nodes by the lease holder |
//!
//! These types are state machines without I/O, clocks or threads: the embedder passes in messages, timer ticks and the
//! outcomes of writes together with the current time, and carries out the actions that they return. The same code runs over
//! sockets and in emulated time.
//!
//! Times are durations on a monotonic clock of the embedder that keeps running while the machine is suspended. Clocks of
//! different processes are never compared.
//!
//! # Example
//!
//! Three voters grant a lease to a client; messages are delivered without delay.
//!
//! ```
//! use coordination::{
//!     Client, ClientAction, Holder, Message, Store, Timing, Voter, VoterAction, VoterConfig, VoterMember,
//! };
//! use redb::backends::InMemoryBackend;
//! use std::collections::VecDeque;
//! use std::net::SocketAddr;
//! use std::time::Duration;
//!
//! let address = |i: usize| SocketAddr::from(([127, 0, 0, 1], 7000 + i as u16));
//! let member = |i: usize| VoterMember { name: format!("voter-{i}"), address: address(i) };
//! let client_address = address(9);
//! let mut now = Duration::ZERO;
//!
//! let mut voters = Vec::new();
//! for i in 0..3 {
//!     let disk_id = 100 + i as u64;
//!     let (store, contents) = Store::open(InMemoryBackend::new(), "fleet", &member(i).name, disk_id, 0)?;
//!     let config = VoterConfig {
//!         member: member(i),
//!         initial_voters: (0..3).map(member).collect(),
//!         timing: Timing::default(),
//!         process_id: disk_id,
//!         seed: disk_id,
//!         clock_origin_unix_ms: 1_700_000_000_000,
//!     };
//!     voters.push((Voter::new(config, contents, now), store));
//! }
//! let process = Holder { name: "node-1".into(), process_id: 1 };
//! let mut client = Client::new(process, Timing::default(), (0..3).map(address).collect());
//! client.acquire(now, "lists/zone-a");
//!
//! let mut messages: VecDeque<(SocketAddr, SocketAddr, Message)> = VecDeque::new();
//! while client.valid_token(now, "lists/zone-a").is_none() {
//!     now += Duration::from_millis(10);
//!     client.tick(now);
//!     voters.iter_mut().for_each(|(voter, _)| voter.tick(now));
//!     loop {
//!         while let Some(action) = client.next_action() {
//!             if let ClientAction::Send { to, request } = action {
//!                 messages.push_back((client_address, to, Message::Request(request)));
//!             }
//!         }
//!         for (i, (voter, store)) in voters.iter_mut().enumerate() {
//!             while let Some(action) = voter.next_action() {
//!                 match action {
//!                     VoterAction::Send { to, message } => messages.push_back((address(i), to, message)),
//!                     VoterAction::Write(batch) => voter.persisted(now, batch.number, store.write(&batch)),
//!                     VoterAction::Report(event) => println!("voter-{i}: {event:?}"),
//!                 }
//!             }
//!         }
//!         let Some((from, to, message)) = messages.pop_front() else { break };
//!         match message {
//!             Message::Response(response) => client.receive(now, from, response),
//!             message => {
//!                 let receiver = (0..3).find(|i| address(*i) == to).expect("a voter has this address");
//!                 voters[receiver].0.receive(now, from, message);
//!             }
//!         }
//!     }
//! }
//! assert!(client.valid_token(now, "lists/zone-a").is_some_and(|token| token >= 1_700_000_000_000));
//! # Ok::<(), coordination::StoreError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod fencing;
mod lease_table;
mod list_broadcast;
mod message;
mod raft_log;
mod rolling_restart;
mod store;
mod timing;
mod voter;

pub use client::{Client, ClientAction, LeaseLost};
pub use fencing::{FencingGuard, StaleToken};
pub use lease_table::{
    ApplyResult, ChangeKind, Command, Holder, LeaseChange, LeaseRecord, LeaseTable, VoterMember, HISTORY_MAX,
    LEASES_MAX, STATE_MAX,
};
pub use list_broadcast::{
    BroadcastAction, BroadcastMessage, BroadcastMetrics, ListBroadcast, ListDelta, ListEntry,
};
pub use message::{
    ClusterStatus, Handshake, HandshakeAnswer, Message, Operation, Outcome, Request, Response, VoterStatus,
    MESSAGE_MAX, NAME_MAX,
};
pub use rolling_restart::{
    FleetMember, RestartOutcome, RestartProgress, RestartStep, RollingRestart, IN_PROGRESS_MAX,
    MISSING_TOLERANCE, RETURN_TIMEOUT,
};
pub use store::{DiskIdentity, ProcessStart, Store, StoreContents, StoreError, WriteBatch};
pub use timing::Timing;
pub use voter::{Voter, VoterAction, VoterConfig, VoterEvent, VoterMetrics, VoterState};
