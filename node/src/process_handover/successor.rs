//! The side of the old process: offers the handover at a Unix socket and transfers running requests.

use super::link::{Link, Message};
use super::{HandoverSource, REPLY_TIMEOUT};
use crate::phase::Phases;
use std::io::{self, ErrorKind};
use std::os::fd::AsFd;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::sync::Weak;
use std::time::Duration;
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// Time for the new process to serve after it has received listener and state, and again to be ready for
/// running requests.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between reports of the resources that the old process still holds.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Number of yields to the runtime in which idle connections close before the first report: a task needs one
/// to see the phase, and one to end.
const IDLE_CLOSE_YIELDS: u32 = 3;
/// Pause after a failed accept, for instance without a free descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Waits at this path for a successor and hands over to it, as long as there is a listener. Calls
/// `on_displaced` if another process has bound the path while this one was stalled.
pub async fn serve_successors(
    path: &Path,
    listener: Weak<TcpListener>,
    phases: &Phases,
    source: &impl HandoverSource,
    on_displaced: impl Fn(),
) {
    let mut socket = match bind(path) {
        Ok(socket) => socket,
        // Without the socket, the next process starts as after a stop.
        Err(error) => {
            return log::warn!(event = "handover_unavailable", path:% = path.display(), error:%;
                "handover unavailable: no process can take over from this one");
        }
    };
    let mut own_inode = inode(path);
    log::info!(event = "handover_offered", path:% = path.display(); "ready to hand over to another process");
    while listener.strong_count() > 0 {
        match socket.accept().await {
            Ok((stream, _)) => {
                let Err(error) = hand_over(stream, &listener, phases, source).await else { continue };
                log::warn!(event = "handover_failed", error:%;
                    "handover failed; this process continues to serve");
                // The process that failed may already have replaced the socket at this path; unless it is bound
                // again, no later process could take over.
                if inode(path) == own_inode {
                    continue;
                }
                if UnixStream::connect(path).await.is_ok() {
                    log::warn!(event = "handover_socket_replaced";
                        "another process has replaced the handover socket of this one");
                    on_displaced();
                    continue;
                }
                match bind(path) {
                    Ok(bound) => (socket, own_inode) = (bound, inode(path)),
                    Err(error) => {
                        log::warn!(event = "handover_socket_lost", path:% = path.display(), error:%;
                            "handover socket could not be bound again");
                    }
                }
            }
            Err(error) => {
                log::warn!(event = "handover_accept_failed", error:%;
                    "accepting a connection at the handover socket failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Inode of the file at this path, which distinguishes it from a later file of the same name.
fn inode(path: &Path) -> Option<u64> {
    std::fs::metadata(path).ok().map(|m| m.ino())
}

/// Binds a socket under a temporary name and renames it, which atomically replaces a leftover file.
fn bind(path: &Path) -> io::Result<UnixListener> {
    let temporary = path.with_extension(std::process::id().to_string());
    let _ = std::fs::remove_file(&temporary); // exists only if an earlier process had the same process id
    let socket = UnixListener::bind(&temporary)?;
    std::fs::rename(&temporary, path)?;
    Ok(socket)
}

async fn hand_over(
    stream: UnixStream,
    listener: &Weak<TcpListener>,
    phases: &Phases,
    source: &impl HandoverSource,
) -> io::Result<()> {
    let mut link = Link::new(stream);
    let exchange = async {
        let listener = listener.upgrade().ok_or(ErrorKind::NotConnected)?;
        link.send_descriptors(&[listener.as_fd()]).await?;
        drop(listener);
        link.send_json(&source.node_state()).await
    };
    timeout(REPLY_TIMEOUT, exchange).await??;
    log::info!(event = "handover_started"; "new process received listener and state");
    timeout(START_TIMEOUT, link.expect(Message::Serving)).await??;
    let phase_before = phases.hand_over();
    source.close_idle();
    let error = match transfer_jobs(&mut link, source).await {
        Ok(()) => report_held_resources(&mut link, source).await,
        Err(e) => e,
    };
    phases.undo_hand_over(phase_before);
    Err(error)
}

/// Reports the held resources, and transfers the running requests one after the other.
async fn transfer_jobs(link: &mut Link, source: &impl HandoverSource) -> io::Result<()> {
    // Lets idle connections close first: the new process can then use their descriptors.
    for _ in 0..IDLE_CLOSE_YIELDS {
        yield_now().await;
    }
    link.send_json(&source.held_resources()).await?;
    timeout(START_TIMEOUT, link.expect(Message::Ready)).await??;
    let mut jobs = source.freeze_jobs().await.into_iter();
    let (mut transferred, mut result) = (0, Ok(()));
    for job in jobs.by_ref() {
        let sockets = [job.sockets[0].tcp_stream().as_fd(), job.sockets[1].tcp_stream().as_fd()];
        let Some(json) = (job.to_json)() else {
            (job.finish)(false);
            continue;
        };
        let exchange = async {
            link.send_descriptors(&sockets).await?;
            link.send_line(&json).await?;
            link.read_line().await
        };
        let reply =
            timeout(REPLY_TIMEOUT, exchange).await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        let is_accepted = reply.as_ref().is_ok_and(|line| Message::JobAccepted.matches(line));
        transferred += usize::from(is_accepted);
        (job.finish)(is_accepted);
        if let Err(e) = reply {
            result = Err(e);
            break;
        }
    }
    // If the other process has failed, the remaining requests continue here.
    jobs.for_each(|job| (job.finish)(false));
    log::info!(event = "jobs_transferred", jobs = transferred;
        "running requests transferred to the new process");
    result
}

/// Reports the held resources at an interval until the link ends.
async fn report_held_resources(link: &mut Link, source: &impl HandoverSource) -> io::Error {
    loop {
        if let Err(e) = link.send_held_resources(&source.held_resources()).await {
            return e;
        }
        if let Ok(Err(e)) = timeout(REPORT_INTERVAL, link.read_line()).await {
            return e;
        }
    }
}
