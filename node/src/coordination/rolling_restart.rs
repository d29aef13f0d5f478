//! The roll on this node's side: it goes when the holder says so; and where the duty is held here, it carries on the roll.

use crate::phase::Phases;
use ::coordination::{FencingGuard, Member, RestartOutcome, RestartProgress, RestartStep, RollingRestart};
use membership::Peer;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// The duty's name.
pub const DUTY: &str = "roll";
/// Between two looks at how the roll goes.
const LOOK: Duration = Duration::from_millis(250);
/// Between two questions how the jobs go, and how many nodes are asked each time.
const ASK: Duration = Duration::from_secs(1);
const ASKED: usize = 8;
/// For clients to leave a node that drains, before it is ended.
const DRAIN: Duration = Duration::from_secs(1);

/// What an operator wants.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RestartRequest {
    /// A roll, with a number of its own; nodes of one zone that may be away at once.
    Begin {
        /// When it was asked for, in Unix time in milliseconds.
        id: u64,
        /// So many.
        away: u8,
    },
    /// No more of it.
    Stop,
}

/// What nodes tell each other of a roll.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RestartMessage {
    /// To the holder.
    Requested(RestartRequest),
    /// This process is to drain and end.
    Restart {
        /// The holder's token.
        token: u64,
        /// The process.
        process_id: u64,
    },
    /// How do the jobs go?
    HealthQuery {
        /// The holder's token.
        token: u64,
    },
    /// So.
    HealthReport {
        /// The process.
        process_id: u64,
        /// Jobs that failed since its start.
        failed: u64,
        /// Jobs that ended since its start.
        ended: u64,
    },
}

/// What this node has to do with rolls.
#[derive(Default)]
pub struct Hand {
    /// Guards this node against a holder that is none any more.
    pub fence: FencingGuard,
    roll: Option<RollingRestart>,
    next: Duration,
    ask_at: Duration,
    turn: usize,
    save: Option<RestartProgress>,
    words: VecDeque<(SocketAddr, Option<u64>)>,
    /// Of each process: failed and ended at the first word of it, and at the last.
    health: BTreeMap<u64, [(u64, u64); 2]>,
    going: bool,
}

fn members(peers: &[Peer]) -> Vec<Member> {
    let member = |p: &Peer| Member {
        name: p.name.clone(),
        zone: p.zone.clone(),
        address: p.address,
        process_id: p.process_id,
    };
    peers.iter().map(member).collect()
}

impl Hand {
    /// The duty is this node's: it goes on with what the last holder left.
    pub fn take(&mut self, own: &str, left: &[u8]) {
        self.roll =
            postcard::from_bytes::<RestartProgress>(left).ok().map(|p| RollingRestart::resume(own, p));
        self.health.clear();
        self.words.clear();
        self.next = Duration::ZERO;
    }

    /// It is no more.
    pub fn lose(&mut self) {
        (self.roll, self.save) = (None, None);
        self.words.clear();
    }

    /// An operator's word, to the holder.
    pub fn wanted(&mut self, own: &str, wanted: RestartRequest, peers: &[Peer]) {
        let running = self.roll.as_ref().is_some_and(|r| r.progress().outcome.is_none());
        match wanted {
            RestartRequest::Begin { id, away } if !running => {
                log::info!(event = "roll_begins", id = id, away = away; "duties: a roll begins, {} nodes", peers.len());
                self.health.clear();
                self.roll = Some(RollingRestart::start(own, id, away, &members(peers)));
            }
            RestartRequest::Begin { .. } => log::warn!("duties: a roll is under way; it goes on"),
            RestartRequest::Stop => {
                if let Some(roll) = &mut self.roll {
                    roll.stop(RestartOutcome::Cancelled);
                }
            }
        }
        self.next = Duration::ZERO;
    }

    /// When there is something to do.
    pub fn due(&self) -> Duration {
        match &self.roll {
            Some(roll) if roll.progress().outcome.is_none() || self.save.is_some() => self.next,
            _ => Duration::MAX,
        }
    }

    /// Goes on, where the duty may be acted on.
    pub fn look(&mut self, now: Duration, peers: &[Peer], may: bool) {
        self.next = now + LOOK;
        let Some(roll) = self.roll.as_mut().filter(|_| may) else { return };
        roll.advance(now, &members(peers));
        self.words.clear();
        while let Some(next) = roll.next_step() {
            match next {
                RestartStep::SaveProgress(progress) => {
                    let (done, total) = (progress.completed, progress.total);
                    match &progress.outcome {
                        Some(end) => log::info!(event = "roll_ended", end:? = end, done = done;
                            "duties: the roll ended, {done} of {total}: {end}"),
                        None => log::info!(event = "roll", done = done, total = total;
                            "duties: the roll is at {done} of {total}, under way: {:?}", progress.in_progress),
                    }
                    self.save = Some(progress);
                }
                RestartStep::Restart { address, process_id, .. } => {
                    self.words.push_back((address, Some(process_id)))
                }
            }
        }
        if now >= self.ask_at && !peers.is_empty() {
            self.ask_at = now + ASK;
            for i in 0..ASKED.min(peers.len()) {
                self.words.push_back((peers[(self.turn + i) % peers.len()].address, None));
            }
            self.turn = (self.turn + ASKED) % peers.len();
        }
    }

    /// What is to be left for the next holder, if that has changed.
    pub fn left(&mut self) -> Option<Vec<u8>> {
        postcard::to_stdvec(&self.save.take()?).ok()
    }

    /// The next word to be brought, once its token is known.
    pub fn word(&mut self) -> Option<(SocketAddr, impl FnOnce(u64) -> RestartMessage + use<>)> {
        let (to, boot) = self.words.pop_front()?;
        Some((to, move |token| match boot {
            Some(boot) => RestartMessage::Restart { token, process_id: boot },
            None => RestartMessage::HealthQuery { token },
        }))
    }

    /// How the jobs of a process went so far.
    pub fn health(&mut self, boot: u64, failed: u64, ended: u64) {
        if self.health.len() < 4096 || self.health.contains_key(&boot) {
            self.health.entry(boot).or_insert([(failed, ended); 2])[1] = (failed, ended);
        }
        let sum = |of: fn(&(u64, u64)) -> u64| {
            self.health.values().map(|[first, last]| of(last).saturating_sub(of(first))).sum::<u64>()
        };
        let (failed, ended) = (sum(|h| h.0), sum(|h| h.1));
        if let Some(roll) = &mut self.roll {
            roll.record_jobs(failed, ended);
        }
    }

    /// This process was told to go: it drains, and ends as at SIGTERM. Whoever runs it starts it anew.
    pub fn go(&mut self, phases: &Phases) {
        if std::mem::replace(&mut self.going, true) {
            return;
        }
        log::info!(event = "roll_goes"; "duties: the roll has come to this node: it drains and ends");
        let phases = phases.clone();
        phases.drain();
        tokio::spawn(async move {
            sleep(DRAIN).await;
            phases.stop().await;
        });
    }
}
