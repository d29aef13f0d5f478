//! Embedder of the voter: its store, actions and events.

use super::clock::boottime;
use super::store_folder::{self, OpenError};
use super::task::{Completion, Task};
use crate::phase::Phase;
use ::coordination::{
    Store, StoreContents, StoreError, Voter, VoterAction, VoterConfig, VoterEvent, VoterMember,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Initial pause before a store whose disk failed is opened again. It doubles with each failure.
const REOPEN_PAUSE: Duration = Duration::from_secs(1);
/// Maximum of that pause.
const REOPEN_PAUSE_MAX: Duration = Duration::from_secs(16);
/// Interval at which opening a store is retried while another process of this node has it open.
const IN_USE_RETRY: Duration = Duration::from_millis(200);

/// The voter of this node, if it has one, and the state of opening its store.
pub(super) struct VoterHost {
    voter: Option<(Voter, Arc<Store>)>,
    is_opening: bool,
    /// Time at which a store whose disk failed is opened again; `Duration::MAX` if none has failed.
    reopen_at: Duration,
    reopen_pause: Duration,
}

impl Default for VoterHost {
    fn default() -> Self {
        VoterHost { voter: None, is_opening: false, reopen_at: Duration::MAX, reopen_pause: REOPEN_PAUSE }
    }
}

impl VoterHost {
    pub(super) fn running(&self) -> Option<&Voter> {
        self.voter.as_ref().map(|(voter, _)| voter)
    }

    pub(super) fn running_mut(&mut self) -> Option<&mut Voter> {
        self.voter.as_mut().map(|(voter, _)| voter)
    }

    pub(super) fn next_tick(&self) -> Duration {
        self.running().map_or(Duration::MAX, Voter::next_tick).min(self.reopen_at)
    }

    /// Stops the voter and closes its store, which another process can open then.
    pub(super) fn close(&mut self) {
        self.voter = None;
    }

    /// Schedules the next attempt to open the store, with exponential backoff.
    fn schedule_reopen(&mut self, now: Duration) {
        self.reopen_at = now + self.reopen_pause;
        self.reopen_pause = (self.reopen_pause * 2).min(REOPEN_PAUSE_MAX);
    }
}

impl Task {
    pub(super) fn tick_voter(&mut self, now: Duration) {
        if now >= self.voter.reopen_at {
            self.voter.reopen_at = Duration::MAX;
            self.open_store();
        }
        if let Some(voter) = self.voter.running_mut().filter(|voter| now >= voter.next_tick()) {
            voter.tick(now);
        }
    }

    /// Opens the store on a blocking thread, if this node has a state directory.
    pub(super) fn open_store(&mut self) {
        let directory = self.dependencies.state_directory.clone().filter(|_| !self.voter.is_opening);
        let Some(directory) = directory else { return };
        let (fleet, node) = (self.dependencies.fleet_name.clone(), self.dependencies.name.clone());
        let completions = self.completions.clone();
        self.voter.is_opening = true;
        tokio::task::spawn_blocking(move || {
            let mut opened = store_folder::open(&directory, &fleet, &node);
            while matches!(opened, Err(OpenError::InUse)) && !completions.is_closed() {
                std::thread::sleep(IN_USE_RETRY);
                opened = store_folder::open(&directory, &fleet, &node);
            }
            // Fails once the task has ended.
            let _ = completions.blocking_send(Completion::StoreOpened(opened.map(Box::new)));
        });
    }

    pub(super) fn store_opened(&mut self, outcome: Result<Box<(Store, StoreContents)>, OpenError>) {
        self.voter.is_opening = false;
        if self.phase == Phase::HandedOver {
            return;
        }
        match outcome {
            Ok(opened) => {
                let (store, contents) = *opened;
                self.start_voter(store, contents);
            }
            Err(error @ OpenError::Unavailable { .. }) => {
                log::warn!(event = "voter_store_unavailable", reason:% = error;
                    "voter's store can't be opened now; it will be retried");
                self.voter.schedule_reopen(boottime());
            }
            Err(error) => log::error!(event = "voter_store_unusable", reason:% = error;
                "voter's store can't be used; this node does not vote"),
        }
    }

    fn start_voter(&mut self, store: Store, contents: StoreContents) {
        let identity = &contents.identity;
        log::info!(event = "voter_store_opened", disk_id = identity.disk_id, starts = identity.starts;
            "voter's store opened");
        let now = boottime();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let member =
            |(name, address): &(String, SocketAddr)| VoterMember { name: name.clone(), address: *address };
        let dependencies = &self.dependencies;
        let config = VoterConfig {
            member: VoterMember { name: dependencies.name.clone(), address: dependencies.address },
            initial_voters: dependencies.settings.voters.iter().map(member).collect(),
            timing: self.timing,
            process_id: dependencies.membership.process_id(),
            seed: fastrand::u64(..),
            clock_origin_unix_ms: unix.saturating_sub(now).as_millis() as u64,
        };
        self.voter.voter = Some((Voter::new(config, contents, now), Arc::new(store)));
    }

    /// Handles the outcome of a write. If it failed, the voter is stopped and its store opened again later: everything
    /// that was acknowledged is durable, so the voter recovers from the store as after a crash.
    pub(super) fn write_completed(&mut self, number: u64, outcome: Result<(), StoreError>) {
        let now = boottime();
        let has_failed = outcome.is_err();
        if let Some(voter) = self.voter.running_mut() {
            voter.persisted(now, number, outcome);
        }
        if has_failed {
            self.execute_actions(); // including the voter's report of the failure
            self.voter.close();
            self.voter.schedule_reopen(now);
        } else {
            self.voter.reopen_pause = REOPEN_PAUSE;
        }
    }

    /// Executes the voter's actions.
    pub(super) fn drive_voter(&mut self) {
        let Some((mut voter, store)) = self.voter.voter.take() else { return };
        while let Some(action) = voter.next_action() {
            match action {
                VoterAction::Send { to, message } => self.send_coordination(to, message),
                VoterAction::Write(batch) => {
                    let (store, completions) = (store.clone(), self.completions.clone());
                    tokio::task::spawn_blocking(move || {
                        let outcome = store.write(&batch);
                        // Dropped before the outcome is sent, so that a successor process can open the store.
                        drop(store);
                        // Fails once the task has ended.
                        let _ = completions.blocking_send(Completion::Written(batch.number, outcome));
                    });
                }
                VoterAction::Report(event) => log_event(&event),
            }
        }
        self.voter.voter = Some((voter, store));
    }
}

fn log_event(event: &VoterEvent) {
    match event {
        VoterEvent::ClusterFormed { cluster_id } => {
            log::info!(event = "cluster_formed", cluster_id = cluster_id; "voters formed a cluster");
        }
        VoterEvent::VotingEnabled => log::info!(event = "voting_enabled"; "voting enabled"),
        VoterEvent::BecameLeader { term } => {
            log::info!(event = "became_leader", term = term; "voter became the leader")
        }
        VoterEvent::LeadershipLost => log::info!(event = "leadership_lost"; "voter lost the leadership"),
        VoterEvent::StaleCopy => log::error!(event = "voter_store_stale_copy";
            "voter's store was copied or restored from an older copy: it does not vote; remove the voter, empty its \
             state directory and add it again"),
        VoterEvent::NotMember => log::warn!(event = "voter_not_member";
            "voter's disk is not a member of the cluster and does not vote until it is added"),
        VoterEvent::StorageFailed { reason } => log::error!(event = "voter_store_failed", reason = reason;
            "voter's store failed; the voter neither votes nor grants leases until the store can be opened again"),
        VoterEvent::VotersChanged { names } => {
            log::info!(event = "voters_changed", voters = names.join(", "); "voters changed");
        }
        VoterEvent::LeaseGranted { lease, holder, token } => {
            log::info!(event = "lease_granted", lease = lease, holder = holder.name, token = token;
                "lease granted");
        }
    }
}
