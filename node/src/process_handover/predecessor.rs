//! The process that served before, as the new one sees it.

use super::link::{Link, Message};
use super::{HeldResources, NodeState, ANSWER_TIMEOUT};
use std::io::{self, ErrorKind};
use std::os::fd::OwnedFd;
use std::path::Path;
use tokio::net::{TcpListener, UnixStream};
use tokio::time::timeout;

/// The process that serves now.
pub struct Predecessor {
    /// What it knew.
    pub state: NodeState,
    link: Link,
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
        let asked = timeout(ANSWER_TIMEOUT, Predecessor::ask(link)).await;
        match asked.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into())) {
            Ok((listener, before)) => PredecessorLookup::Serving(listener, before),
            Err(e) => {
                log::warn!(event = "predecessor_unresponsive", error:% = e;
                    "the process before gives no answer: starting beside it");
                PredecessorLookup::Unresponsive
            }
        }
    }

    async fn ask(stream: UnixStream) -> io::Result<(TcpListener, Predecessor)> {
        let mut link = Link::new(stream);
        let listener = link.receive_descriptors().await?.into_iter().next().ok_or(ErrorKind::InvalidData)?;
        let listener = std::net::TcpListener::from(listener);
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let state = serde_json::from_str(&link.read_line().await?)?;
        Ok((listener, Predecessor { state, link }))
    }

    /// Tells it that this process serves; returns what it still holds. From here on it takes nothing new.
    pub async fn take_over(mut self) -> (HeldResources, PredecessorLink) {
        let told = async {
            self.link.send(Message::Serving).await?;
            Ok::<HeldResources, io::Error>(serde_json::from_str(&self.link.read_line().await?)?)
        };
        let held = timeout(ANSWER_TIMEOUT, told).await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        let held = held.unwrap_or_else(|e| {
            log::warn!(event = "predecessor_silent", error:% = e;
                "the process before has fallen silent: it is taken to hold nothing");
            HeldResources::default()
        });
        log::info!(event = "handover_taken_over", descriptors = held.descriptors, bodies_kib = held.bodies_kib;
            "took over from the process before, which still holds this much");
        (held, PredecessorLink(self.link))
    }
}

/// What remains of the process before.
pub struct PredecessorLink(Link);

impl PredecessorLink {
    /// Takes the jobs that run there over, each as `adopt` says whether it can be; then brings each word on what
    /// it still holds, and nothing, at its end.
    pub async fn run(
        mut self,
        mut hear: impl FnMut(HeldResources),
        mut adopt: impl FnMut(&str, [OwnedFd; 2]) -> bool,
    ) {
        let mut ended = self.0.send(Message::Ready).await.is_err();
        while !ended {
            ended = self.word(&mut hear, &mut adopt).await.is_err();
        }
        log::info!(event = "predecessor_ended"; "the process before has ended");
        hear(HeldResources::default());
    }

    async fn word(
        &mut self,
        hear: &mut impl FnMut(HeldResources),
        adopt: &mut impl FnMut(&str, [OwnedFd; 2]) -> bool,
    ) -> io::Result<()> {
        let sockets = self.0.receive_descriptors().await?;
        let text = self.0.read_line().await?;
        match <[OwnedFd; 2]>::try_from(sockets) {
            Ok(sockets) => {
                let accepted = adopt(&text, sockets);
                self.0.send(if accepted { Message::JobAccepted } else { Message::JobRejected }).await
            }
            Err(_) => {
                hear(serde_json::from_str(&text)?);
                Ok(())
            }
        }
    }
}
