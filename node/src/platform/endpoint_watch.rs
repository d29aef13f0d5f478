//! Follows discovery: the list that was known, then the whole list, then one watch after the other.

use super::pool::Pool;
use super::socket::Socket;
use super::Job;
use crate::counters::Counters;
use crate::dispatcher::Handle;
use crate::list::ListBody;
use crate::names::Names;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// A list of some thousand workers.
const BODY_MAX: usize = 4 << 20;
/// For which a watch waits where discovery is one service for all nodes. With [`SILENCE`] and [`PAUSE`] behind it, a watch
/// that falls silent is opened anew so soon that all nodes together have their answers within the 6 s after which a change
/// counts as told, however many ask.
const WAIT: Duration = Duration::from_secs(3);
/// The same for the first call, and after one that failed, less the pause before it: long enough that a service which is
/// some seconds behind with its calls is not asked again before it could answer.
const WAIT_UNSURE: Duration = Duration::from_secs(2);
/// And at least. Behind the longest pause, a call that falls silent then is still made anew within the 6 s.
const WAIT_LEAST: Duration = Duration::from_secs(1);
/// The waits where lists are pushed: the agent is this machine's own and answers at no cost, and what it has counts as told
/// whether or not it was asked. A silent watch is to be seen soon.
const WAIT_PUSHED: Duration = Duration::from_secs(1);
/// Until the agent is surely there again, no long wait may hang on a call that it has forgotten.
const WAIT_PUSHED_UNSURE: Duration = Duration::from_millis(100);
/// Beyond the wait, before a silent call is given up and made anew.
const SILENCE: Duration = Duration::from_millis(1500);
/// Between calls after a failure; within 200 ms the watch goes on.
const PAUSE: Duration = Duration::from_millis(50);
/// The longest pause after calls that discovery turned away, which says that it is asked too much.
const PAUSE_MAX: Duration = Duration::from_secs(3);
/// The same where lists are pushed: the agent is asked by this node alone, and what it has counts as told at once.
const PAUSE_PUSHED_MAX: Duration = Duration::from_millis(200);

/// Brings the worker list to the pool and the core.
pub struct EndpointWatch {
    pub handle: Handle<Job>,
    pub pool: Arc<Pool>,
    pub names: watch::Receiver<Arc<Names>>,
    pub counters: Arc<Counters>,
    /// How many nodes ask discovery, this one included.
    pub siblings: u32,
    /// Whether discovery is one service that answers all of them in turn.
    pub asked: bool,
    /// For random numbers.
    pub seed: u64,
    /// All workers, as told last.
    pub latest_list: Arc<Mutex<ListBody>>,
    /// Where one node follows discovery for others: the way there and back.
    pub shared: Option<ListSharing>,
}

/// How the nodes of a zone share their calls for lists.
pub struct ListSharing {
    /// Whether discovery is asked from here.
    pub watches: watch::Receiver<bool>,
    /// EndpointWatch of the node that asks for all.
    pub received: mpsc::Receiver<ListBody>,
    /// What discovery told here.
    pub publish: mpsc::Sender<ListBody>,
    /// Whether discovery gives no answer here.
    pub unreachable: Arc<AtomicBool>,
}

/// A word of those who share.
enum Word {
    Ask(bool),
    Fed(ListBody),
}

impl ListSharing {
    /// The next word; none comes where nothing is shared, or no more.
    async fn next(shared: &mut Option<ListSharing>) -> Word {
        if let Some(ListSharing { watches, received, .. }) = shared {
            tokio::select! {
                Ok(()) = watches.changed() => return Word::Ask(*watches.borrow_and_update()),
                Some(list) = received.recv() => return Word::Fed(list),
                else => {}
            }
        }
        std::future::pending().await
    }
}

type Sender = SendRequest<Empty<Bytes>>;
type Place = watch::Receiver<Option<SocketAddr>>;

impl EndpointWatch {
    /// Feeds the list that was known, then all that discovery tells, wherever it is at each moment.
    pub async fn follow(mut self, mut place: Place, known: Option<ListBody>) {
        let mut shared = self.shared.take();
        let down = shared.as_ref().map_or_else(Arc::default, |s| s.unreachable.clone());
        // The list that was known is a version of discovery's own: it tells what has changed since.
        let mut version = known.as_ref().map(|known| known.revision);
        if let Some(known) = known {
            self.feed(&ListBody { complete: true, ..known });
        }
        let start = |at: Option<SocketAddr>, version, place: &Place| {
            let pauses = Pauses::new(self.siblings, self.asked, self.seed);
            at.map(|at| Source::start(at, version, place.clone(), pauses, down.clone()))
        };
        let first = *place.borrow_and_update();
        let mut source = start(first, version, &place);
        let mut next: Option<Source> = None;
        loop {
            tokio::select! {
                biased;
                Ok(()) = place.changed() => {
                    let at = *place.borrow_and_update();
                    next = start(at, None, &place);
                }
                word = ListSharing::next(&mut shared) => match word {
                    Word::Ask(true) => source = start(*place.borrow(), version, &place),
                    Word::Ask(false) => source = None,
                    Word::Fed(list) => {
                        version = Some(list.revision);
                        self.take(&list);
                    }
                },
                // Guards the list while discovery moves: the old address counts until the new one has told all.
                list = heard(&mut next) => {
                    version = Some(list.revision);
                    self.told(&shared, list);
                    source = next.take();
                }
                list = heard(&mut source) => {
                    version = Some(list.revision);
                    self.told(&shared, list);
                }
            }
        }
    }

    fn told(&self, shared: &Option<ListSharing>, list: ListBody) {
        self.take(&list);
        if let Some(shared) = shared {
            // One that finds no room is made up for by the whole list of later.
            let _ = shared.publish.try_send(list);
        }
    }

    fn take(&self, list: &ListBody) {
        self.feed(list);
        self.counters.lists.add();
    }

    fn feed(&self, list: &ListBody) {
        self.latest_list.lock().unwrap_or_else(PoisonError::into_inner).merge(list);
        self.pool.listed(&list.members, list.complete);
        // One without changes too: who begins to stand in the next one has started since.
        let names = self.names.borrow().clone();
        let entries = list.members.iter().map(|m| m.entry(&names)).collect();
        self.handle.list(entries, list.complete);
    }
}

/// One address of discovery: its whole list first, then one watch after the other.
struct Source {
    lists: mpsc::Receiver<ListBody>,
    task: AbortHandle,
}

impl Source {
    fn start(
        at: SocketAddr,
        version: Option<u64>,
        place: Place,
        pauses: Pauses,
        down: Arc<AtomicBool>,
    ) -> Source {
        let (tell, lists) = mpsc::channel(1);
        Source { lists, task: tokio::spawn(calls(at, version, place, pauses, tell, down)).abort_handle() }
    }
}

impl Drop for Source {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The next list of a source; none comes where there is no source, or where it has ended.
async fn heard(source: &mut Option<Source>) -> ListBody {
    if let Some(source) = source {
        if let Some(list) = source.lists.recv().await {
            return list;
        }
    }
    std::future::pending().await
}

/// The pauses after failed calls. Guards discovery against its own nodes: where it turns calls away, all of them
/// ask again, and each call that it turns away keeps it from answering one.
struct Pauses {
    rng: fastrand::Rng,
    /// For which a watch waits.
    wait: Duration,
    /// The same for the first call, and after one that failed, less the pause before it.
    wait_unsure: Duration,
    /// And at least.
    wait_least: Duration,
    first: Duration,
    next: Duration,
    longest: Duration,
}

impl Pauses {
    /// Where all nodes ask one service, the first pause grows with them, so that all together ask about as often as few do.
    fn new(siblings: u32, asked: bool, seed: u64) -> Pauses {
        let rng = fastrand::Rng::with_seed(seed);
        if asked {
            let first = (PAUSE / 4 * siblings).clamp(PAUSE, PAUSE_MAX);
            Pauses {
                rng,
                wait: WAIT,
                wait_unsure: WAIT_UNSURE,
                wait_least: WAIT_LEAST,
                first,
                next: first,
                longest: PAUSE_MAX,
            }
        } else {
            let (wait, unsure) = (WAIT_PUSHED, WAIT_PUSHED_UNSURE);
            Pauses {
                rng,
                wait,
                wait_unsure: unsure,
                wait_least: unsure,
                first: PAUSE,
                next: PAUSE,
                longest: PAUSE_PUSHED_MAX,
            }
        }
    }

    /// For which a watch waits, where this pause was before it.
    fn wait(&self, pause: Option<Duration>) -> Duration {
        match pause {
            None => self.wait,
            Some(pause) => self.wait_unsure.saturating_sub(pause).max(self.wait_least),
        }
    }

    fn answered(&mut self) {
        self.next = self.first;
    }

    /// After a call that was turned away.
    fn refused(&mut self) -> Duration {
        self.grow(self.longest)
    }

    /// After a list that can't be read.
    fn unread(&mut self) -> Duration {
        self.grow(PAUSE_MAX)
    }

    /// Each twice the last, and anywhere from a half of that to the whole, so that nodes don't stay in step.
    fn grow(&mut self, longest: Duration) -> Duration {
        let pause = self.next.min(longest).mul_f64(0.5 + 0.5 * self.rng.f64());
        self.next = (self.next * 2).min(longest);
        pause
    }
}

async fn calls(
    at: SocketAddr,
    mut version: Option<u64>,
    place: Place,
    mut pauses: Pauses,
    tell: mpsc::Sender<ListBody>,
    down: Arc<AtomicBool>,
) {
    let mut connection: Option<Sender> = None;
    // Before the next call, unless the last one had an answer.
    let mut pause = Some(Duration::ZERO);
    down.store(false, Ordering::Relaxed);
    loop {
        if let Some(pause) = pause {
            sleep(pause).await;
        }
        let wait = pauses.wait(pause);
        match call(&mut connection, at, version.map(|version| (version, wait))).await {
            // Guards a drain that was told: an older list of the same address takes nothing back. The whole list is asked
            // for, and counts whatever its version, for discovery may have begun anew.
            Ok(list) if version.is_some_and(|version| list.revision < version) => {
                log::warn!("discovery: {at}: version {} after {version:?}", list.revision);
                (version, pause) = (None, Some(pauses.refused()));
            }
            Ok(list) => {
                (version, pause) = (Some(list.revision), None);
                pauses.answered();
                if down.swap(false, Ordering::Relaxed) {
                    log::info!("discovery: {at} reached again");
                }
                if tell.send(list).await.is_err() {
                    return;
                }
            }
            Err(e) => {
                // Discovery has moved: this address owes nothing more.
                if *place.borrow() != Some(at) {
                    return;
                }
                // Said once for each time that it has none for us, not with each call.
                if !down.swap(true, Ordering::Relaxed) {
                    log::warn!("discovery: {at}: {e}");
                }
                pause = Some(match e {
                    // Over the same connection, with what it knows.
                    Trouble::TurnedAway(_) => pauses.refused(),
                    // Guards against a list that can't be read: the whole of it is fetched anew, and not in a spin.
                    Trouble::Unread(_) => {
                        (version, connection) = (None, None);
                        pauses.unread()
                    }
                    Trouble::Unreached(_) => {
                        connection = None;
                        PAUSE
                    }
                });
            }
        }
    }
}

#[derive(Debug)]
enum Trouble {
    /// No answer came.
    Unreached(String),
    /// It has no time for the call.
    TurnedAway(StatusCode),
    /// An answer came that is no list.
    Unread(String),
}

impl std::fmt::Display for Trouble {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Trouble::Unreached(e) => write!(f, "not reached: {e}"),
            Trouble::TurnedAway(status) => write!(f, "turned away: {status}"),
            Trouble::Unread(e) => write!(f, "a bad list: {e}"),
        }
    }
}

async fn call(
    connection: &mut Option<Sender>,
    at: SocketAddr,
    since: Option<(u64, Duration)>,
) -> Result<ListBody, Trouble> {
    let unreached = |e: &dyn std::fmt::Display| Trouble::Unreached(e.to_string());
    let target = match since {
        Some((version, wait)) => format!("/discovery/hosts?index={version}&wait={}", wait.as_millis()),
        None => "/discovery/hosts".to_string(),
    };
    let limit = SILENCE + since.map_or(Duration::ZERO, |(_, wait)| wait);
    let exchange = async {
        if let Some(sender) = connection {
            if sender.ready().await.is_err() {
                *connection = None;
            }
        }
        let sender = match connection {
            Some(sender) => sender,
            None => connection.insert(connect(at).await.map_err(|e| unreached(&e))?),
        };
        let request = Request::get(target).header(HOST, at.to_string()).body(Empty::new());
        let response = sender.send_request(request.map_err(|e| unreached(&e))?).await;
        let response = response.map_err(|e| unreached(&e))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), BODY_MAX).collect().await;
        let body = body.map_err(|e| match e.downcast_ref::<LengthLimitError>() {
            Some(_) => Trouble::Unread(format!("longer than {BODY_MAX} bytes")),
            None => unreached(&e),
        })?;
        let body = body.to_bytes();
        if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS {
            return Err(Trouble::TurnedAway(status));
        }
        if status != StatusCode::OK {
            return Err(Trouble::Unread(format!("status {status}")));
        }
        serde_json::from_slice(&body).map_err(|e| Trouble::Unread(e.to_string()))
    };
    timeout(limit, exchange).await.unwrap_or_else(|_| Err(Trouble::Unreached("silence".to_string())))
}

async fn connect(at: SocketAddr) -> Result<Sender, Box<dyn std::error::Error + Send + Sync>> {
    let socket = TcpStream::connect(at).await?;
    socket.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(Socket::new(socket))).await?;
    tokio::spawn(connection);
    Ok(sender)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards discovery while it is overbooked: together all nodes ask seldom, never in step, and less and less.
    #[test]
    fn pauses_grow_with_the_fleet_and_with_each_refusal() {
        let fleet = |n: u32| (0..u64::from(n)).map(move |seed| Pauses::new(n, true, seed));
        for n in [1, 4, 100, 300] {
            let calls: f64 = fleet(n).map(|mut p| 1.0 / p.refused().as_secs_f64()).sum();
            assert!(calls < 150.0, "{n} nodes ask {calls} times a second");
        }
        let firsts: std::collections::BTreeSet<_> = fleet(100).map(|mut p| p.refused()).collect();
        assert!(firsts.len() > 90, "they are not in step");
        let mut pauses = Pauses::new(100, true, 7);
        let mut last = Duration::ZERO;
        for _ in 0..10 {
            last = pauses.refused();
        }
        assert!(last >= PAUSE_MAX / 2 && last <= PAUSE_MAX);
        pauses.answered();
        assert!(pauses.refused() <= PAUSE / 4 * 100, "an answer ends it");
    }
}
