//! Between the zone's list and who follows discovery here: lines of the list are brought in the form that discovery has.

use super::ListBroadcastStatus;
use crate::list::{ListBody, Member};
use crate::platform::ListSharing;
use ::coordination::{BroadcastAction, BroadcastMessage, Entry, ListBroadcast, ListDelta};
use ::membership::{name_hash, Peer};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Lists that wait at most; one more is made up for by a later one.
const QUEUE: usize = 64;
/// A holder whose discovery gives no answer for so long gives the duty back ...
const FAILING: Duration = Duration::from_millis(1500);
/// ... and does not ask for it again before this is over.
const FAILED: Duration = Duration::from_secs(15);

/// The duties' side of a zone's list.
pub struct Lists {
    spread: ListBroadcast,
    asks: watch::Sender<bool>,
    feed: mpsc::Sender<ListBody>,
    /// What discovery tells; the task takes it.
    pub told: Option<mpsc::Receiver<ListBody>>,
    down: Arc<AtomicBool>,
    down_since: Option<Duration>,
    failed_at: Option<Duration>,
    place: watch::Receiver<Option<SocketAddr>>,
}

/// The next list that discovery tells; none comes where that is not shared.
pub async fn next(told: &mut Option<mpsc::Receiver<ListBody>>) -> Option<ListBody> {
    match told {
        Some(told) => told.recv().await,
        None => std::future::pending().await,
    }
}

fn source(place: &watch::Receiver<Option<SocketAddr>>) -> u64 {
    place.borrow().map_or(0, |at| name_hash(&at.to_string()))
}

impl Lists {
    /// Both sides, where lists are shared.
    pub fn pair(
        on: bool,
        place: watch::Receiver<Option<SocketAddr>>,
    ) -> (Option<Lists>, Option<ListSharing>) {
        if !on {
            return (None, None);
        }
        let (asks, follow_asks) = watch::channel(true);
        let ((feed, fed), (tell, told)) = (mpsc::channel(QUEUE), mpsc::channel(QUEUE));
        let down = Arc::new(AtomicBool::new(false));
        let lists = Lists {
            spread: ListBroadcast::new("", source(&place)),
            asks,
            feed,
            told: Some(told),
            down: down.clone(),
            down_since: None,
            failed_at: None,
            place,
        };
        (
            Some(lists),
            Some(ListSharing { watches: follow_asks, received: fed, publish: tell, unreachable: down }),
        )
    }

    /// The node's name, before anything else.
    pub fn named(&mut self, name: &str) {
        self.spread = ListBroadcast::new(name, source(&self.place));
    }

    /// The zone's nodes.
    pub fn peers(&mut self, peers: &[&Peer]) {
        self.spread.set_peers(peers.iter().map(|p| (p.name.clone(), p.address)).collect());
    }

    /// When [`Lists::tick`] is due.
    pub fn due(&self) -> Duration {
        self.spread.next_tick()
    }

    /// See [`Spread::tick`].
    pub fn tick(&mut self, now: Duration, holds: bool) {
        self.spread.tick(now, holds);
    }

    /// See [`Spread::hold`].
    pub fn hold(&mut self, now: Duration, token: u64) {
        self.spread.lease_acquired(now, token);
    }

    /// See [`Spread::release`].
    pub fn release(&mut self, now: Duration) {
        self.spread.lease_lost(now);
    }

    /// See [`Spread::hear`].
    pub fn hear(&mut self, now: Duration, from: SocketAddr, message: BroadcastMessage) {
        self.moved();
        self.spread.receive(now, from, message);
    }

    /// Discovery told this node.
    pub fn told(&mut self, now: Duration, list: &ListBody, holds: bool) {
        self.moved();
        let line = |m: &Member| {
            let bytes = serde_json::to_vec(m).ok()?;
            Some(Entry { key: m.id().to_string(), removed: m.is_gone(), bytes })
        };
        let lines = list.members.iter().filter_map(line).collect();
        let change = ListDelta { version: list.revision, complete: list.complete, entries: lines };
        self.spread.publish(now, &change, holds);
    }

    fn moved(&mut self) {
        if self.place.has_changed().unwrap_or(false) {
            self.place.mark_unchanged();
            self.spread.set_source(source(&self.place));
        }
    }

    /// Whether the duty is to be given back, for discovery gives no answer here.
    pub fn failing(&mut self, now: Duration) -> bool {
        if !self.down.load(Ordering::Relaxed) || !self.spread.polls_discovery() {
            self.down_since = None;
            return false;
        }
        let since = *self.down_since.get_or_insert(now);
        let failing = now.saturating_sub(since) >= FAILING;
        if failing {
            self.failed_at = Some(now);
        }
        failing
    }

    /// Whether it was so a while ago: others are to have the duty.
    pub fn failed(&self, now: Duration) -> bool {
        self.failed_at.is_some_and(|at| now.saturating_sub(at) < FAILED)
    }

    /// What is to be seen of it.
    pub fn shown(&self) -> ListBroadcastStatus {
        ListBroadcastStatus {
            polls_discovery: self.spread.polls_discovery(),
            version: self.spread.version(),
            metrics: self.spread.metrics(),
        }
    }

    /// Carries out what is to be done here; the words to be brought to others.
    pub fn carry_out(&mut self) -> Vec<(SocketAddr, BroadcastMessage)> {
        let mut words = Vec::new();
        while let Some(step) = self.spread.next_action() {
            match step {
                BroadcastAction::Send { to, message } => words.push((to, message)),
                BroadcastAction::PollDiscovery(asks) => {
                    log::debug!("duties: discovery is {}asked from here", if asks { "" } else { "not " });
                    self.asks.send_replace(asks);
                }
                BroadcastAction::Apply(change) => {
                    let members: Vec<Member> =
                        change.entries.iter().filter_map(|l| serde_json::from_slice(&l.bytes).ok()).collect();
                    if members.len() < change.entries.len() {
                        log::warn!(
                            "duties: {} lines of a list can't be read",
                            change.entries.len() - members.len()
                        );
                    }
                    let list = ListBody { revision: change.version, complete: change.complete, members };
                    if self.feed.try_send(list).is_err() {
                        // Who feeds the core is behind: it has to hear all of it from discovery.
                        self.asks.send_replace(true);
                    }
                }
            }
        }
        words
    }
}
