//! Host of the voter: its store, its actions and its events.

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

/// Pause before a store whose disk failed is opened again, at first ...
const REOPEN_PAUSE: Duration = Duration::from_secs(1);
/// ... and after many failures.
const REOPEN_PAUSE_MAX: Duration = Duration::from_secs(16);
/// Interval between attempts to open a store that another process of this node has open.
const IN_USE_RETRY: Duration = Duration::from_millis(200);

/// The voter of this node, if it has one.
pub(super) struct VoterHost {
    voter: Option<(Voter, Arc<Store>)>,
    is_opening: bool,
    /// Time at which a store whose disk failed is opened again.
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

    /// Closes the store, for the process that serves now.
    pub(super) fn close(&mut self) {
        self.voter = None;
    }

    /// Plans to open the store again; each pause is twice the last.
    fn plan_reopen(&mut self, now: Duration) {
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

    /// Opens the store on a thread of its own, if this node has a folder for it.
    pub(super) fn open_store(&mut self) {
        let folder = self.dependencies.state_directory.clone().filter(|_| !self.voter.is_opening);
        let Some(folder) = folder else { return };
        let (fleet, node) = (self.dependencies.fleet_name.clone(), self.dependencies.name.clone());
        let completions = self.completions.clone();
        self.voter.is_opening = true;
        tokio::task::spawn_blocking(move || {
            let mut opened = store_folder::open(&folder, &fleet, &node);
            while matches!(opened, Err(OpenError::InUse)) && !completions.is_closed() {
                std::thread::sleep(IN_USE_RETRY);
                opened = store_folder::open(&folder, &fleet, &node);
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
                    "voter's store can't be opened now: it is tried again");
                self.voter.plan_reopen(boottime());
            }
            Err(error) => log::error!(event = "voter_store_unusable", reason:% = error;
                "this node is no voter: its store can't be used"),
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

    /// Handles the outcome of a write. If it failed, the voter is closed and its store opened again later: what was
    /// acknowledged is on the disk, so the voter continues from what is read back, as after a crash.
    pub(super) fn write_done(&mut self, number: u64, outcome: Result<(), StoreError>) {
        let now = boottime();
        let has_failed = outcome.is_err();
        if let Some(voter) = self.voter.running_mut() {
            voter.persisted(now, number, outcome);
        }
        if has_failed {
            self.carry_out_actions(); // the voter's report of it
            self.voter.close();
            self.voter.plan_reopen(now);
        } else {
            self.voter.reopen_pause = REOPEN_PAUSE;
        }
    }

    /// Carries out the actions of the voter.
    pub(super) fn drive_voter(&mut self) {
        let Some((mut voter, store)) = self.voter.voter.take() else { return };
        while let Some(action) = voter.next_action() {
            match action {
                VoterAction::Send { to, message } => self.send_coordination(to, message),
                VoterAction::Write(batch) => {
                    let (store, completions) = (store.clone(), self.completions.clone());
                    tokio::task::spawn_blocking(move || {
                        let outcome = store.write(&batch);
                        drop(store); // before the outcome is known: a process that takes over opens the folder
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
        VoterEvent::VotingEnabled => log::info!(event = "voting_enabled"; "voter may vote"),
        VoterEvent::BecameLeader { term } => log::info!(event = "became_leader", term = term; "voter leads"),
        VoterEvent::LeadershipLost => log::info!(event = "leadership_lost"; "voter leads no longer"),
        VoterEvent::StaleCopy => log::error!(event = "voter_store_stale_copy";
            "voter's store is an older copy or a copied one: it does not vote; remove the voter, empty its folder and add it \
             again"),
        VoterEvent::NotMember => log::warn!(event = "voter_not_member";
            "voter's disk is not among the voters: it does not vote until it is added"),
        VoterEvent::StorageFailed { reason } => log::error!(event = "voter_store_failed", reason = reason;
            "voter's store failed: it grants and votes nothing until the store can be opened again"),
        VoterEvent::VotersChanged { names } => {
            log::info!(event = "voters_changed", voters = names.join(", "); "voters changed");
        }
        VoterEvent::LeaseGranted { lease, holder, token } => {
            log::info!(event = "lease_granted", lease = lease, holder = holder.name, token = token;
                "lease granted");
        }
    }
}
