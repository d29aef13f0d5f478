//! The side of the old process: offers the handover at a Unix socket and transfers running requests.

use super::link::{is_end_of_link, Link, Message};
use super::{inode, HandoverSource, OfferedRequest, Ownership, REPLY_TIMEOUT};
use crate::phase::Phases;
use std::io::{self, ErrorKind};
use std::os::fd::AsFd;
use std::path::Path;
use std::sync::Weak;
use std::time::Duration;
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::pin;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// Time for the new process to serve after it has received listener and state, and again to be ready for
/// running requests.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for the reply to an offer, after which this process takes the request back unless the new one has claimed it.
const OFFER_TIMEOUT: Duration = Duration::from_millis(100);
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
    let resume = || phases.undo_hand_over(phase_before);
    let mut transfer = Transfer::default();
    let error = match transfer.run(&mut link, source).await {
        Ok(()) => transfer.watch(&mut link, source, resume).await,
        Err(e) => e,
    };
    transfer.end(&error);
    resume();
    Err(error)
}

/// Transfer of the running requests to the new process.
struct Transfer<R> {
    /// Requests that the new process owns, or has claimed without a reply.
    transferred: Vec<R>,
    /// Requests that the new process has rejected.
    rejected: usize,
    /// Requests that this process has taken back because there was no reply in time.
    withdrawn: usize,
}

impl<R> Default for Transfer<R> {
    fn default() -> Self {
        Transfer { transferred: Vec::new(), rejected: 0, withdrawn: 0 }
    }
}

impl<R: OfferedRequest> Transfer<R> {
    /// Reports the held resources, and offers the running requests one after the other.
    async fn run(&mut self, link: &mut Link, source: &impl HandoverSource<Request = R>) -> io::Result<()> {
        // Lets idle connections close first: the new process can then use their descriptors.
        for _ in 0..IDLE_CLOSE_YIELDS {
            yield_now().await;
        }
        link.send_json(&source.report()).await?;
        let result = match timeout(START_TIMEOUT, link.receive()).await?? {
            Message::ReadyForRules => self.offer_all(link, source).await,
            // An earlier version would continue the requests by its own rules.
            Message::ReadyToClaim | Message::Ready => {
                log::info!(event = "transfer_unsupported";
                    "the new process is of an earlier version; running requests are answered here");
                Ok(())
            }
            Message::Serving | Message::JobAccepted | Message::JobRejected | Message::ListenerReleased => {
                return Err(ErrorKind::InvalidData.into())
            }
        };
        let Transfer { transferred, rejected, withdrawn } = self;
        log::info!(event = "jobs_transferred", jobs = transferred.len(), rejected = *rejected, withdrawn = *withdrawn;
            "running requests transferred to the new process");
        result
    }

    async fn offer_all(
        &mut self,
        link: &mut Link,
        source: &impl HandoverSource<Request = R>,
    ) -> io::Result<()> {
        for attempt_id in source.transferable().await {
            let Some(request) = source.offer(attempt_id).await else { continue };
            let result = self.offer(link, &request).await;
            // The others were not offered and stay here. This one is decided by the end of the transfer.
            if result.is_err() || request.check_answer().is_elsewhere() {
                self.transferred.push(request);
            }
            result?;
        }
        Ok(())
    }

    /// Offers one request. Returns after the reply, however late: replies carry no name, and come in the order of the
    /// offers.
    async fn offer(&mut self, link: &mut Link, request: &R) -> io::Result<()> {
        let Some(json) = request.to_json() else {
            request.reply_received(false);
            return Ok(());
        };
        let descriptors = request.descriptors();
        let exchange = async {
            link.send_descriptors(&descriptors).await?;
            link.send_line(&json).await?;
            link.receive().await
        };
        pin!(exchange);
        let mut is_withdrawn = false;
        let reply = match timeout(OFFER_TIMEOUT, &mut exchange).await {
            Ok(reply) => reply,
            Err(_) => {
                is_withdrawn = request.reply_overdue().may_act_here();
                exchange.await
            }
        };
        let is_accepted = match reply? {
            Message::JobAccepted => true,
            Message::JobRejected => false,
            Message::Serving
            | Message::Ready
            | Message::ReadyToClaim
            | Message::ReadyForRules
            | Message::ListenerReleased => return Err(ErrorKind::InvalidData.into()),
        };
        request.reply_received(is_accepted);
        self.withdrawn += usize::from(is_withdrawn);
        self.rejected += usize::from(!is_accepted && !is_withdrawn);
        Ok(())
    }

    /// Reports the held resources at an interval, and watches the transferred requests until the link ends. Calls
    /// `on_listener_released` if the successor stops accepting before.
    async fn watch(
        &mut self,
        link: &mut Link,
        source: &impl HandoverSource<Request = R>,
        on_listener_released: impl Fn(),
    ) -> io::Error {
        loop {
            self.transferred.retain(|request| request.check_answer().is_undecided());
            if let Err(e) = link.send_report(&source.report()).await {
                return e;
            }
            match timeout(REPORT_INTERVAL, link.read_line()).await {
                Ok(Ok(line)) if Message::parse(&line) == Some(Message::ListenerReleased) => {
                    log::info!(event = "listener_returned";
                        "the new process stops and accepts no more; this process accepts again unless it was stopped");
                    on_listener_released();
                }
                Ok(Err(e)) => return e,
                Ok(Ok(_)) | Err(_) => {}
            }
        }
    }

    /// Decides on the requests that are still transferred when the link ends.
    fn end(self, error: &io::Error) {
        let has_successor_ended = is_end_of_link(error);
        let reclaimed = self
            .transferred
            .iter()
            .map(
                |request| if has_successor_ended { request.successor_ended() } else { request.link_failed() },
            )
            .filter(|owner| *owner == Ownership::Reclaimed)
            .count();
        if reclaimed > 0 {
            log::warn!(event = "jobs_reclaimed", jobs = reclaimed;
                "the new process ended with transferred requests unanswered; they fail here");
        }
    }
}
