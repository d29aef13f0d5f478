//! One node over two processes while a new version takes over. The new process asks the one before it, over a
//! Unix socket, for its listener and what it knows; once it serves, the old one takes nothing new and answers
//! what it has. What either holds counts for both, and the end of their link tells each of the other's end.

use crate::endpoint_list::EndpointList;
use crate::phase::Phases;
use crate::platform::socket::SocketHandle;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Weak;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// For an answer of the other process; one that gives none is held to hang.
const ANSWER_WAIT: Duration = Duration::from_secs(1);
/// For the new process to serve once it was told all.
const START_WAIT: Duration = Duration::from_secs(10);
/// Between words on what the old process still holds.
const WORD_EVERY: Duration = Duration::from_millis(50);
/// Turns of the runtime in which idle connections close before the first word on what is held: one to hear of the
/// phase, one to end.
const SETTLE: u32 = 3;
/// Between tries to accept where there is no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What goes with the listener.
#[derive(Serialize, Deserialize)]
pub struct NodeState {
    /// The workers as the old process knows them.
    pub known: EndpointList,
    /// The wire ids that are open there.
    pub ids: Vec<String>,
}

/// What the old process may hold at most from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HeldResources {
    /// Descriptors.
    pub descriptors: usize,
    /// Memory for bodies.
    pub bodies_kib: usize,
}

/// A running job that was taken up: it moves, or it is let go and goes on here.
pub struct FrozenJob {
    /// What goes with its sockets, as of the moment in which it goes; `None` where that can't be told.
    pub record: Box<dyn FnOnce() -> Option<String> + Send>,
    /// Its client's and its worker's.
    pub sockets: [SocketHandle; 2],
    /// Whether the other process has it.
    pub finish: Box<dyn FnOnce(bool) + Send>,
}

/// A front that can be taken over.
pub trait HandoverSource {
    /// What goes with the listener.
    fn node_state(&self) -> NodeState;
    /// What is held now.
    fn held_resources(&self) -> HeldResources;
    /// Nothing new comes: what is kept for later can go.
    fn close_idle(&self);
    /// Takes up the running jobs that can move.
    fn freeze_jobs(&self) -> impl Future<Output = Vec<FrozenJob>> + Send;
}

/// Where the process that serves this address waits for the next one: in `TMPDIR`, which the platform keeps to
/// one node; without it there are no upgrades.
pub fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|f| !f.is_empty())?;
    Some(PathBuf::from(folder).join(format!("molevale-{listen}")))
}

/// The process that serves now, as the new one sees it.
pub struct Predecessor {
    /// What it knew.
    pub state: NodeState,
    link: BufReader<UnixStream>,
}

/// Who serves now.
pub enum PredecessorLookup {
    /// A process that hands over, and its listener with all that waits there.
    Serving(TcpListener, Predecessor),
    /// A process that gives no answer.
    Unresponsive,
    /// Nobody; a file may be left from a process that is gone.
    Absent,
}

impl Predecessor {
    /// Asks at this place.
    pub async fn look_up(place: &Path) -> PredecessorLookup {
        let Ok(link) = UnixStream::connect(place).await else { return PredecessorLookup::Absent };
        let asked = timeout(ANSWER_WAIT, Predecessor::ask(link)).await;
        match asked.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into())) {
            Ok((listener, before)) => PredecessorLookup::Serving(listener, before),
            Err(e) => {
                log::warn!("upgrade: the process before gives no answer, starting without it: {e}");
                PredecessorLookup::Unresponsive
            }
        }
    }

    async fn ask(link: UnixStream) -> io::Result<(TcpListener, Predecessor)> {
        let listener = link.async_io(Interest::READABLE, || receive(&link)).await?;
        let listener = listener.into_iter().next().ok_or(ErrorKind::InvalidData)?;
        let listener = std::net::TcpListener::from(listener);
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let mut link = BufReader::new(link);
        let state = serde_json::from_str(&line(&mut link).await?)?;
        Ok((listener, Predecessor { state, link }))
    }

    /// Tells it that this process serves; returns what it still holds. From here on it takes nothing new.
    pub async fn take_over(mut self) -> (HeldResources, PredecessorLink) {
        let told = async {
            self.link.get_mut().write_all(b"serving\n").await?;
            Ok::<HeldResources, io::Error>(serde_json::from_str(&line(&mut self.link).await?)?)
        };
        let held = timeout(ANSWER_WAIT, told).await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        let held = held.unwrap_or_else(|e| {
            log::warn!("upgrade: the process before has fallen silent: {e}");
            HeldResources::default()
        });
        log::info!("upgrade: took over from the process before, which still holds {held:?}");
        (held, PredecessorLink(self.link))
    }
}

/// What remains of the process before.
pub struct PredecessorLink(BufReader<UnixStream>);

impl PredecessorLink {
    /// Takes the jobs that run there over, each as `adopt` says whether it can be; then brings each word on what
    /// it still holds, and nothing, at its end.
    pub async fn run(
        mut self,
        mut hear: impl FnMut(HeldResources),
        mut adopt: impl FnMut(&str, [OwnedFd; 2]) -> bool,
    ) {
        let mut ended = self.0.get_mut().write_all(b"ready\n").await.is_err();
        while !ended {
            ended = self.word(&mut hear, &mut adopt).await.is_err();
        }
        log::info!("upgrade: the process before has ended");
        hear(HeldResources::default());
    }

    async fn word(
        &mut self,
        hear: &mut impl FnMut(HeldResources),
        adopt: &mut impl FnMut(&str, [OwnedFd; 2]) -> bool,
    ) -> io::Result<()> {
        // A job's sockets come with its first byte, and nothing comes behind a job before it has its answer.
        let sockets = match self.0.buffer() {
            [] => {
                let link = self.0.get_ref();
                link.async_io(Interest::READABLE, || receive(link)).await?
            }
            _ => {
                self.0.consume(1);
                Vec::new()
            }
        };
        let text = line(&mut self.0).await?;
        match <[OwnedFd; 2]>::try_from(sockets) {
            Ok(sockets) => {
                let word: &[u8] = if adopt(&text, sockets) { b"ok\n" } else { b"no\n" };
                self.0.get_mut().write_all(word).await
            }
            Err(_) => {
                hear(serde_json::from_str(&text)?);
                Ok(())
            }
        }
    }
}

/// Waits at this place for the next process and lets it take over, as long as there is a listener. `displaced` is called
/// where another process has taken the place while this one stood still.
pub async fn serve_successors(
    place: &Path,
    listener: Weak<TcpListener>,
    phases: &Phases,
    holder: &impl HandoverSource,
    displaced: impl Fn(),
) {
    let mut socket = match bind(place) {
        Ok(socket) => socket,
        // Where there are no such sockets, a new version starts as after a stop.
        Err(e) => return log::warn!("upgrade: off: {}: {e}", place.display()),
    };
    let mut own = number(place);
    log::info!("upgrade: the next process may take over at {}", place.display());
    while listener.strong_count() > 0 {
        match socket.accept().await {
            Ok((link, _)) => {
                let Err(e) = hand_over(link, &listener, phases, holder).await else { continue };
                log::warn!("upgrade: this process serves on: {e}");
                // Guards the next upgrade: the process that failed may have waited at this place already.
                if number(place) == own {
                    continue;
                }
                if UnixStream::connect(place).await.is_ok() {
                    log::warn!("upgrade: another process has taken this one's place");
                    displaced();
                    continue;
                }
                match bind(place) {
                    Ok(again) => (socket, own) = (again, number(place)),
                    Err(e) => log::warn!("upgrade: {}: {e}", place.display()),
                }
            }
            Err(e) => {
                log::warn!("upgrade: cannot accept: {e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Which file this is: another one of the same name has another number.
fn number(place: &Path) -> Option<u64> {
    std::fs::metadata(place).ok().map(|m| m.ino())
}

/// Guards against files that are left over: the new name takes the old one's place in one step.
fn bind(place: &Path) -> io::Result<UnixListener> {
    let own = place.with_extension(std::process::id().to_string());
    let _ = std::fs::remove_file(&own); // there is one only if this process's number was in use before
    let socket = UnixListener::bind(&own)?;
    std::fs::rename(&own, place)?;
    Ok(socket)
}

async fn hand_over(
    link: UnixStream,
    listener: &Weak<TcpListener>,
    phases: &Phases,
    holder: &impl HandoverSource,
) -> io::Result<()> {
    let mut link = BufReader::new(link);
    let told = async {
        let listener = listener.upgrade().ok_or(ErrorKind::NotConnected)?;
        let link = link.get_mut();
        link.async_io(Interest::WRITABLE, || send(link, &[listener.as_fd()])).await?;
        drop(listener);
        say(link, &holder.node_state()).await
    };
    timeout(ANSWER_WAIT, told).await??;
    log::info!("upgrade: a new process starts");
    if timeout(START_WAIT, line(&mut link)).await?? != "serving" {
        return Err(ErrorKind::InvalidData.into());
    }
    let before = phases.hand_over();
    holder.close_idle();
    let ended = match move_jobs(&mut link, holder).await {
        Ok(()) => follow_successor(&mut link, holder).await,
        Err(e) => e,
    };
    phases.undo_hand_over(before);
    Err(ended)
}

/// Says what is held, and hands the running jobs over, one after the other.
async fn move_jobs(link: &mut BufReader<UnixStream>, holder: &impl HandoverSource) -> io::Result<()> {
    // Idle connections close now; what they held is not to be missed by the new process.
    for _ in 0..SETTLE {
        yield_now().await;
    }
    say(link.get_mut(), &holder.held_resources()).await?;
    if timeout(START_WAIT, line(link)).await?? != "ready" {
        return Err(ErrorKind::InvalidData.into());
    }
    let mut jobs = holder.freeze_jobs().await.into_iter();
    let (mut moved, mut result) = (0, Ok(()));
    for job in jobs.by_ref() {
        let sockets = [job.sockets[0].descriptor().as_fd(), job.sockets[1].descriptor().as_fd()];
        let Some(text) = (job.record)() else {
            (job.finish)(false);
            continue;
        };
        let exchange = async {
            let own = link.get_ref();
            own.async_io(Interest::WRITABLE, || send(own, &sockets)).await?;
            link.get_mut().write_all(format!("{text}\n").as_bytes()).await?;
            line(link).await
        };
        let answer = timeout(ANSWER_WAIT, exchange).await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        let taken = matches!(answer.as_deref(), Ok("ok"));
        moved += usize::from(taken);
        (job.finish)(taken);
        if let Err(e) = answer {
            result = Err(e);
            break;
        }
    }
    // Guards those that are left where the other process has failed: they go on here.
    jobs.for_each(|job| (job.finish)(false));
    log::info!("upgrade: {moved} running jobs went over");
    result
}

async fn follow_successor(link: &mut BufReader<UnixStream>, holder: &impl HandoverSource) -> io::Error {
    loop {
        let word = async {
            link.get_mut().write_all(b"H").await?;
            say(link.get_mut(), &holder.held_resources()).await
        };
        if let Err(e) = word.await {
            return e;
        }
        if let Ok(Err(e)) = timeout(WORD_EVERY, line(link)).await {
            return e;
        }
    }
}

async fn say(link: &mut UnixStream, what: &impl Serialize) -> io::Result<()> {
    let mut text = serde_json::to_vec(what)?;
    text.push(b'\n');
    link.write_all(&text).await
}

async fn line(link: &mut BufReader<UnixStream>) -> io::Result<String> {
    let mut text = String::new();
    link.read_line(&mut text).await?;
    match text.strip_suffix('\n') {
        Some(line) => Ok(line.to_string()),
        None => Err(ErrorKind::UnexpectedEof.into()),
    }
}

fn send(link: &UnixStream, descriptors: &[BorrowedFd]) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    control.push(SendAncillaryMessage::ScmRights(descriptors));
    sendmsg(link, &[IoSlice::new(b"D")], &mut control, SendFlags::empty())?;
    Ok(())
}

/// One byte, and the descriptors that came with it.
fn receive(link: &UnixStream) -> io::Result<Vec<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0];
    let got = recvmsg(link, &mut [IoSliceMut::new(&mut byte)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    if got.bytes == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let descriptors = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    Ok(descriptors.flatten().collect())
}
