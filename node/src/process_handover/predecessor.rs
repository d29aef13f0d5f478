//! The side of the new process: takes over from its predecessor.

use super::link::{Link, Message};
use super::{HeldResources, NodeState, REPLY_TIMEOUT};
use std::io::{self, ErrorKind};
use std::os::fd::OwnedFd;
use std::path::Path;
use tokio::net::{TcpListener, UnixStream};
use tokio::time::timeout;

/// The process that serves now, before the handover.
pub struct Predecessor {
    /// Its state.
    pub state: NodeState,
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
    /// Connects to the handover socket at this path and receives listener and state.
    pub async fn look_up(path: &Path) -> PredecessorLookup {
        let Ok(stream) = UnixStream::connect(path).await else { return PredecessorLookup::Absent };
        let received = timeout(REPLY_TIMEOUT, Predecessor::receive_state(stream)).await;
        match received.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into())) {
            Ok((listener, predecessor)) => PredecessorLookup::Serving(listener, predecessor),
            Err(e) => {
                log::warn!(event = "predecessor_unresponsive", error:% = e;
                    "predecessor does not respond; starting beside it");
                PredecessorLookup::Unresponsive
            }
        }
    }

    async fn receive_state(stream: UnixStream) -> io::Result<(TcpListener, Predecessor)> {
        let mut link = Link::new(stream);
        let listener = link.receive_descriptors().await?.into_iter().next().ok_or(ErrorKind::InvalidData)?;
        let listener = std::net::TcpListener::from(listener);
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let state = serde_json::from_str(&link.read_line().await?)?;
        Ok((listener, Predecessor { state, link }))
    }

    /// Reports that this process serves; returns the resources that the predecessor still holds. From then on
    /// the predecessor accepts nothing new.
    pub async fn take_over(mut self) -> (HeldResources, PredecessorLink) {
        let exchange = async {
            self.link.send(Message::Serving).await?;
            Ok::<HeldResources, io::Error>(serde_json::from_str(&self.link.read_line().await?)?)
        };
        let held = timeout(REPLY_TIMEOUT, exchange).await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        let held = held.unwrap_or_else(|e| {
            log::warn!(event = "predecessor_silent", error:% = e;
                "predecessor stopped responding; assuming that it holds no resources");
            HeldResources::default()
        });
        log::info!(event = "handover_taken_over", descriptors = held.descriptors, bodies_kib = held.bodies_kib;
            "took over from the predecessor, which still holds these resources");
        (held, PredecessorLink(self.link))
    }
}

/// Link to the predecessor after this process has taken over.
pub struct PredecessorLink(Link);

impl PredecessorLink {
    /// Receives the running requests of the predecessor and passes them to `adopt`, which returns whether it
    /// continues them; passes each report of held resources to `on_held_resources`, and an empty one when the
    /// predecessor ends.
    pub async fn run(
        mut self,
        mut on_held_resources: impl FnMut(HeldResources),
        mut adopt: impl FnMut(&str, [OwnedFd; 2]) -> bool,
    ) {
        let mut ended = self.0.send(Message::Ready).await.is_err();
        while !ended {
            ended = self.receive_message(&mut on_held_resources, &mut adopt).await.is_err();
        }
        log::info!(event = "predecessor_ended"; "predecessor has ended");
        on_held_resources(HeldResources::default());
    }

    async fn receive_message(
        &mut self,
        on_held_resources: &mut impl FnMut(HeldResources),
        adopt: &mut impl FnMut(&str, [OwnedFd; 2]) -> bool,
    ) -> io::Result<()> {
        let sockets = self.0.receive_descriptors().await?;
        let json = self.0.read_line().await?;
        match <[OwnedFd; 2]>::try_from(sockets) {
            Ok(sockets) => {
                let is_accepted = adopt(&json, sockets);
                self.0.send(if is_accepted { Message::JobAccepted } else { Message::JobRejected }).await
            }
            Err(_) => {
                on_held_resources(serde_json::from_str(&json)?);
                Ok(())
            }
        }
    }
}
