//! The side of the new process: takes over from its predecessor.

use super::link::{is_end_of_link, Link, Message};
use super::{inode, Claim, ClaimResult, HandoverReport, NodeState, Reception, REPLY_TIMEOUT};
use std::future::pending;
use std::io::{self, ErrorKind};
use std::os::fd::OwnedFd;
use std::path::Path;
use tokio::net::{TcpListener, UnixStream};
use tokio::time::timeout;

/// The process that serves now, before the handover.
pub struct Predecessor {
    /// Its state.
    pub state: Box<NodeState>,
    link: Link,
}

/// Result of a look-up of the predecessor.
pub enum PredecessorLookup {
    /// The listener, with its backlog, and the process that hands it over.
    Serving(TcpListener, Predecessor),
    /// There is a process, but it does not reply.
    Unresponsive,
    /// There is no process, though a socket file of one that has ended may remain.
    Absent,
}

impl Predecessor {
    /// Connects to the handover socket at this path and receives listener and state. If another process has replaced the
    /// socket meanwhile, that one serves now, and is asked instead.
    pub async fn look_up(path: &Path) -> PredecessorLookup {
        loop {
            let socket = inode(path);
            let Ok(stream) = UnixStream::connect(path).await else { return PredecessorLookup::Absent };
            let received = timeout(REPLY_TIMEOUT, Predecessor::receive_state(stream)).await;
            let error = match received.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into())) {
                Ok((listener, predecessor)) => return PredecessorLookup::Serving(listener, predecessor),
                Err(error) => error,
            };
            if inode(path) == socket {
                log::warn!(event = "predecessor_unresponsive", error:%;
                    "predecessor does not respond; starting beside it");
                return PredecessorLookup::Unresponsive;
            }
            log::info!(event = "predecessor_replaced", error:%;
                "another process has taken over from the predecessor; asking that one");
        }
    }

    async fn receive_state(stream: UnixStream) -> io::Result<(TcpListener, Predecessor)> {
        let mut link = Link::new(stream);
        let listener = link.receive_descriptors().await?.into_iter().next().ok_or(ErrorKind::InvalidData)?;
        let listener = std::net::TcpListener::from(listener);
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let state = Box::new(serde_json::from_str(&link.read_line().await?)?);
        Ok((listener, Predecessor { state, link }))
    }

    /// Reports that this process serves; returns the predecessor's first report. From then on the predecessor accepts
    /// nothing new.
    pub async fn take_over(mut self) -> (HandoverReport, PredecessorLink) {
        let exchange = async {
            self.link.send(Message::Serving).await?;
            Ok::<HandoverReport, io::Error>(serde_json::from_str(&self.link.read_line().await?)?)
        };
        let report =
            timeout(REPLY_TIMEOUT, exchange).await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        let is_report_pending = report.as_ref().is_err_and(|error| error.kind() == ErrorKind::TimedOut);
        let report = report.unwrap_or_else(|e| {
            log::warn!(event = "predecessor_silent", error:% = e;
                "predecessor stopped responding; assuming that it holds no resources");
            HandoverReport::default()
        });
        log::info!(event = "handover_taken_over", descriptors = report.held.descriptors, bodies_kib = report.held.bodies_kib;
            "took over from the predecessor, which still holds these resources");
        let ready_message = ready_message(&self.state);
        let link =
            PredecessorLink { link: self.link, ready_message, is_report_pending, is_release_sent: false };
        (report, link)
    }
}

/// Link to the predecessor after this process has taken over.
pub struct PredecessorLink {
    link: Link,
    /// Message that asks for the running requests.
    ready_message: Message,
    /// Whether the first report of held resources is still to come.
    is_report_pending: bool,
    /// Whether the predecessor was told that this process has released the listener.
    is_release_sent: bool,
}

impl PredecessorLink {
    /// Receives the running requests of the predecessor and passes those that this process has claimed to `adopt`,
    /// which returns whether it continues them; passes each report to `on_report`, and an
    /// empty one when the predecessor ends. Tells the predecessor once `has_released_listener`. Returns only when the
    /// predecessor ends: that one takes the end of the link for the end of this process, so the link is kept open after
    /// any other error.
    pub async fn run(
        mut self,
        mut on_report: impl FnMut(HandoverReport),
        mut adopt: impl FnMut(&str, [OwnedFd; 2]) -> bool,
        has_released_listener: impl Fn() -> bool,
    ) {
        let received = self.receive_messages(&mut on_report, &mut adopt, &has_released_listener).await;
        let error = match received {
            Ok(never) => match never {},
            Err(error) => error,
        };
        if !is_end_of_link(&error) {
            log::warn!(event = "handover_link_unusable", error:%;
                "message of the predecessor can't be read; nothing more is adopted from it");
            pending::<()>().await;
        }
        log::info!(event = "predecessor_ended"; "predecessor has ended");
        on_report(HandoverReport::default());
    }

    async fn receive_messages(
        &mut self,
        on_report: &mut impl FnMut(HandoverReport),
        adopt: &mut impl FnMut(&str, [OwnedFd; 2]) -> bool,
        has_released_listener: &impl Fn() -> bool,
    ) -> io::Result<std::convert::Infallible> {
        if self.is_report_pending {
            on_report(serde_json::from_str(&self.link.read_line().await?)?);
        }
        self.link.send(self.ready_message).await?;
        loop {
            let descriptors = self.link.receive_descriptors().await?;
            let json = self.link.read_line().await?;
            if descriptors.is_empty() {
                on_report(serde_json::from_str(&json)?);
                // These reports follow the last offer, for whose reply the message could be taken.
                if has_released_listener() {
                    self.send_listener_released().await?;
                }
                continue;
            }
            let reply = match receive_offer(&json, descriptors, adopt) {
                Reception::Adopt => Message::JobAccepted,
                Reception::Reject => Message::JobRejected,
            };
            self.link.send(reply).await?;
        }
    }

    /// Tells the predecessor, once, that this process has released the listener.
    async fn send_listener_released(&mut self) -> io::Result<()> {
        if self.is_release_sent {
            return Ok(());
        }
        self.is_release_sent = true;
        self.link.send(Message::ListenerReleased).await
    }
}

/// The message that asks a predecessor for its running requests. One of an earlier version knows only the shorter ones.
fn ready_message(state: &NodeState) -> Message {
    match (state.offers_claims, &state.class_rules) {
        (true, Some(_)) => Message::ReadyForRules,
        (true, None) => Message::ReadyToClaim,
        (false, _) => Message::Ready,
    }
}

/// Decides on an offer. One without a claim is rejected: its predecessor may act on it meanwhile.
fn receive_offer(
    json: &str,
    descriptors: Vec<OwnedFd>,
    adopt: &mut impl FnMut(&str, [OwnedFd; 2]) -> bool,
) -> Reception {
    let Ok([client, worker, claim]) = <[OwnedFd; 3]>::try_from(descriptors) else {
        log::debug!(event = "offer_without_claim"; "offer without a claim rejected");
        return Reception::Reject;
    };
    let claim = Claim::received(claim).take();
    let can_continue = claim == ClaimResult::Taken && adopt(json, [client, worker]);
    let reception = Reception::of_offer(claim, can_continue);
    log::debug!(event = "offer_received", claim:?, reception:?; "request of the predecessor received");
    reception
}
