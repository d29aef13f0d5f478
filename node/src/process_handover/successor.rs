//! Processes that take over from this one: the socket at which they ask, and the transfer of running jobs to one.

use super::link::{Link, Message};
use super::{HandoverSource, ANSWER_TIMEOUT};
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

/// Time for the new process to serve, once it has the listener and the state, and then to be ready for running jobs.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between reports of the resources that the old process still holds.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Turns of the runtime in which idle connections close before the first report: one to hear of the phase, one to end.
const SETTLING_TURNS: u32 = 3;
/// Pause after a failed accept, where there is no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

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
        Err(error) => {
            return log::warn!(event = "handover_unavailable", path:% = place.display(), error:%;
                "no process can take over from this one");
        }
    };
    let mut own = inode(place);
    log::info!(event = "handover_offered", path:% = place.display(); "another process may take over");
    while listener.strong_count() > 0 {
        match socket.accept().await {
            Ok((link, _)) => {
                let Err(error) = hand_over(link, &listener, phases, holder).await else { continue };
                log::warn!(event = "handover_failed", error:%;
                    "handover failed: this process continues to serve");
                // Guards the next upgrade: the process that failed may have waited at this place already.
                if inode(place) == own {
                    continue;
                }
                if UnixStream::connect(place).await.is_ok() {
                    log::warn!(event = "handover_socket_replaced";
                        "another process has taken this one's place");
                    displaced();
                    continue;
                }
                match bind(place) {
                    Ok(again) => (socket, own) = (again, inode(place)),
                    Err(error) => {
                        log::warn!(event = "handover_socket_lost", path:% = place.display(), error:%;
                            "handover socket not bound again");
                    }
                }
            }
            Err(error) => {
                log::warn!(event = "handover_accept_failed", error:%;
                    "no process accepted at the handover socket");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Which file this is: another one of the same name has another number.
fn inode(place: &Path) -> Option<u64> {
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
    let mut link = Link::new(link);
    let told = async {
        let listener = listener.upgrade().ok_or(ErrorKind::NotConnected)?;
        link.send_descriptors(&[listener.as_fd()]).await?;
        drop(listener);
        link.send_json(&holder.node_state()).await
    };
    timeout(ANSWER_TIMEOUT, told).await??;
    log::info!(event = "handover_started"; "a new process starts");
    timeout(START_TIMEOUT, link.expect(Message::Serving)).await??;
    let before = phases.hand_over();
    holder.close_idle();
    let ended = match transfer_jobs(&mut link, holder).await {
        Ok(()) => follow_successor(&mut link, holder).await,
        Err(e) => e,
    };
    phases.undo_hand_over(before);
    Err(ended)
}

/// Says what is held, and hands the running jobs over, one after the other.
async fn transfer_jobs(link: &mut Link, holder: &impl HandoverSource) -> io::Result<()> {
    // Idle connections close now; what they held is not to be missed by the new process.
    for _ in 0..SETTLING_TURNS {
        yield_now().await;
    }
    link.send_json(&holder.held_resources()).await?;
    timeout(START_TIMEOUT, link.expect(Message::Ready)).await??;
    let mut jobs = holder.freeze_jobs().await.into_iter();
    let (mut moved, mut result) = (0, Ok(()));
    for job in jobs.by_ref() {
        let sockets = [job.sockets[0].descriptor().as_fd(), job.sockets[1].descriptor().as_fd()];
        let Some(text) = (job.to_json)() else {
            (job.finish)(false);
            continue;
        };
        let exchange = async {
            link.send_descriptors(&sockets).await?;
            link.send_line(&text).await?;
            link.read_line().await
        };
        let answer =
            timeout(ANSWER_TIMEOUT, exchange).await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        let taken = answer.as_ref().is_ok_and(|line| Message::JobAccepted.is(line));
        moved += usize::from(taken);
        (job.finish)(taken);
        if let Err(e) = answer {
            result = Err(e);
            break;
        }
    }
    // Guards those that are left where the other process has failed: they go on here.
    jobs.for_each(|job| (job.finish)(false));
    log::info!(event = "jobs_transferred", jobs = moved; "running jobs transferred to the new process");
    result
}

async fn follow_successor(link: &mut Link, holder: &impl HandoverSource) -> io::Error {
    loop {
        if let Err(e) = link.send_held_resources(&holder.held_resources()).await {
            return e;
        }
        if let Ok(Err(e)) = timeout(REPORT_INTERVAL, link.read_line()).await {
            return e;
        }
    }
}
