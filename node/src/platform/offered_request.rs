//! A running request of this process that is offered to its successor: its frozen sockets, its claim, and what each
//! outcome of the offer does to them.

use super::job_handover::{ClientHandle, TransferredJob};
use super::request_ownership::RequestOwnership;
use super::socket::SocketHandle;
use super::Job;
use crate::dispatcher::Handle;
use crate::process_handover::{Claim, ClaimResult, OfferedRequest, Ownership, TransferEvent};
use std::os::fd::{AsFd, BorrowedFd};
use std::time::Duration;
use tokio::time::Instant;

/// Time after a request's deadline for which its answer by the successor is awaited.
const LATE_ANSWER_TIME: Duration = Duration::from_secs(1);

/// A frozen request with what is needed to end its offer.
pub struct PlatformOffer {
    handle: Handle<Job>,
    ownership: RequestOwnership,
    client: ClientHandle,
    worker: SocketHandle,
    transferred: TransferredJob,
    frozen_at: Instant,
    deadline: Instant,
    claim: Claim,
    /// Bytes written to the client's socket before the offer; `None` if the kernel does not count them.
    written_before: Option<u64>,
}

impl PlatformOffer {
    /// Freezes the sockets of a request, unless its attempt has already ended or no claim can be created.
    pub fn freeze(
        handle: Handle<Job>,
        ownership: RequestOwnership,
        client: ClientHandle,
        worker: SocketHandle,
        (transferred, deadline): (TransferredJob, Instant),
    ) -> Option<PlatformOffer> {
        let claim = Claim::new().ok()?;
        if ownership.apply(TransferEvent::Offered).1 != Ownership::Offered {
            return None;
        }
        client.socket_handle.freeze();
        worker.freeze();
        client.begin_transfer(ownership.clone());
        let written_before = client.socket_handle.bytes_written();
        let frozen_at = Instant::now();
        let (request, wire_id) = (ownership.attempt_id().request, transferred.wire_id());
        log::debug!(event = "request_offered", request, wire_id; "request frozen to be transferred");
        Some(PlatformOffer {
            handle,
            ownership,
            client,
            worker,
            transferred,
            frozen_at,
            deadline,
            claim,
            written_before,
        })
    }

    /// Tries to take the claim back.
    fn take_claim(&self) -> ClaimResult {
        self.claim.take()
    }

    /// Whether the successor has written to the client. If the kernel does not say, it may have.
    fn is_answer_begun(&self) -> bool {
        self.written_before.is_none() || self.client.socket_handle.bytes_written() != self.written_before
    }

    fn apply(&self, event: TransferEvent) -> Ownership {
        let (before, after) = self.ownership.apply(event);
        if before != after {
            self.enter(before, after);
        }
        after
    }

    /// Does what a change of the owner requires of the sockets and the request here.
    fn enter(&self, before: Ownership, after: Ownership) {
        match after {
            Ownership::Here => {
                self.client.socket_handle.thaw();
                self.worker.thaw();
            }
            Ownership::Successor => self.worker.release(),
            Ownership::Reclaimed => {
                // The successor has ended: its attempt must not run on because this process holds the socket.
                self.worker.close();
                self.client.socket_handle.thaw();
            }
            Ownership::EndedElsewhere => {
                self.worker.release();
                self.client.socket_handle.release();
                self.client.finished.notify_one();
            }
            Ownership::Offered | Ownership::EndedHere => {}
        }
        // The request leaves the dispatcher once, when it no longer runs here.
        if before == Ownership::Offered && after != Ownership::Here {
            self.handle.transferred(self.ownership.attempt_id());
        }
    }
}

impl OfferedRequest for PlatformOffer {
    fn to_json(&self) -> Option<String> {
        // The time since the freeze is deducted from the time left to the client, which further attempts also pass on.
        let transferred = self.transferred.clone().delayed_by(self.frozen_at.elapsed());
        serde_json::to_string(&transferred.with_send_time()).ok()
    }

    fn descriptors(&self) -> Vec<BorrowedFd<'_>> {
        let sockets = [&self.client.socket_handle, &self.worker].map(|socket| socket.tcp_stream().as_fd());
        sockets.into_iter().chain([self.claim.as_fd()]).collect()
    }

    fn reply_received(&self, is_accepted: bool) -> Ownership {
        self.apply(if is_accepted { TransferEvent::Accepted } else { TransferEvent::Rejected })
    }

    fn reply_overdue(&self) -> Ownership {
        self.apply(TransferEvent::ReplyOverdue(self.take_claim()))
    }

    fn successor_ended(&self) -> Ownership {
        let (claim, is_answer_begun) = (self.take_claim(), self.is_answer_begun());
        self.apply(TransferEvent::SuccessorEnded { claim, is_answer_begun })
    }

    fn link_failed(&self) -> Ownership {
        self.apply(TransferEvent::LinkFailed(self.take_claim()))
    }

    fn check_answer(&self) -> Ownership {
        let owner = self.ownership.owner();
        if owner != Ownership::Successor {
            return owner;
        }
        let is_late = Instant::now() > self.deadline + LATE_ANSWER_TIME;
        if is_late || self.is_answer_begun() || self.client.socket_handle.is_peer_closed() {
            return self.apply(TransferEvent::AnswerBegun);
        }
        owner
    }
}
