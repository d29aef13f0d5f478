//! Ownership of a running request during its transfer to the successor process: a state machine without I/O.
//!
//! The predecessor suspends both sockets of a request and offers them together with a [claim](super::Claim), a token
//! that only one of the two processes can take. The successor takes the claim before it acts. If no reply comes in
//! time, the predecessor takes the claim back and resumes the request; if the claim is gone, the successor may act
//! already, so the predecessor waits for the reply or for the end of the link, which proves that the successor has
//! ended. After an accepted offer the predecessor only watches: if the successor ends before it has written a byte of
//! the answer, the predecessor reports the failure to the client.
//!
//! `node/tests/transfer_model.rs` checks the protocol over all interleavings, with stalls and kills at each step.

/// Whether a process took a claim, or found that the other one had taken it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimResult {
    /// This process took it, and the other one no longer can.
    Taken,
    /// The other process has taken it.
    Lost,
}

/// Owner of a running request, as its predecessor process knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ownership {
    /// This process runs it.
    Here,
    /// It is offered to the successor. Nothing acts on it here, and what happens to it here waits.
    Offered,
    /// The successor runs it, and this process watches.
    Successor,
    /// The successor has ended before it answered: this process reports the failure to the client.
    Reclaimed,
    /// Its attempt has ended here: it can no longer be offered.
    EndedHere,
    /// Nothing is left to do here: the successor has begun its answer, or the client has left.
    EndedElsewhere,
}

/// Event in the transfer of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TransferEvent {
    /// The request is frozen, to be offered.
    Offered,
    /// The successor has accepted it.
    Accepted,
    /// The successor has rejected it, or the offer could not be sent.
    Rejected,
    /// There was no reply in time, or none that can be understood; this process has tried to take the claim.
    ReplyOverdue(ClaimResult),
    /// The link has ended, which proves that the successor has ended; this process has tried to take the claim.
    SuccessorEnded {
        /// Whether the successor had taken the claim.
        claim: ClaimResult,
        /// Whether it had begun to answer the client.
        is_answer_begun: bool,
    },
    /// The link can no longer be used, although the successor may live; this process has tried to take the claim.
    LinkFailed(ClaimResult),
    /// The successor has begun to answer the client, or the client no longer waits.
    AnswerBegun,
    /// The attempt has an outcome here: a response, a failure, or an order to stop.
    AttemptEnded,
}

impl Ownership {
    /// State after an event. An event that does not concern the state, such as a late reply, leaves it as it is.
    #[must_use]
    pub fn after(self, event: TransferEvent) -> Ownership {
        match self {
            Ownership::Here => after_while_here(event),
            Ownership::Offered => after_while_offered(event),
            Ownership::Successor => after_while_at_successor(event),
            Ownership::Reclaimed | Ownership::EndedHere | Ownership::EndedElsewhere => self,
        }
    }

    /// Whether this process may act on the request: read, write and close its sockets, answer it or send it again.
    pub fn may_act_here(self) -> bool {
        matches!(self, Ownership::Here | Ownership::EndedHere | Ownership::Reclaimed)
    }

    /// Whether the owner can still change, so that what happens to the request here must wait.
    pub fn is_undecided(self) -> bool {
        matches!(self, Ownership::Offered | Ownership::Successor)
    }

    /// Whether the request belongs, or belonged at its end, to the successor.
    pub fn is_elsewhere(self) -> bool {
        matches!(self, Ownership::Successor | Ownership::EndedElsewhere)
    }
}

fn after_while_here(event: TransferEvent) -> Ownership {
    match event {
        TransferEvent::Offered => Ownership::Offered,
        TransferEvent::AttemptEnded => Ownership::EndedHere,
        _ => Ownership::Here,
    }
}

fn after_while_offered(event: TransferEvent) -> Ownership {
    match event {
        TransferEvent::Accepted => Ownership::Successor,
        TransferEvent::Rejected => Ownership::Here,
        TransferEvent::ReplyOverdue(ClaimResult::Taken)
        | TransferEvent::LinkFailed(ClaimResult::Taken)
        | TransferEvent::SuccessorEnded { claim: ClaimResult::Taken, .. } => Ownership::Here,
        TransferEvent::SuccessorEnded { claim: ClaimResult::Lost, is_answer_begun } => {
            after_end_of_successor(is_answer_begun)
        }
        TransferEvent::LinkFailed(ClaimResult::Lost) => Ownership::EndedElsewhere,
        TransferEvent::ReplyOverdue(ClaimResult::Lost)
        | TransferEvent::Offered
        | TransferEvent::AnswerBegun
        | TransferEvent::AttemptEnded => Ownership::Offered,
    }
}

fn after_while_at_successor(event: TransferEvent) -> Ownership {
    match event {
        TransferEvent::SuccessorEnded { is_answer_begun, .. } => after_end_of_successor(is_answer_begun),
        TransferEvent::AnswerBegun | TransferEvent::LinkFailed(_) => Ownership::EndedElsewhere,
        _ => Ownership::Successor,
    }
}

/// A second answer would be read as that of the client's next request.
fn after_end_of_successor(is_answer_begun: bool) -> Ownership {
    if is_answer_begun {
        Ownership::EndedElsewhere
    } else {
        Ownership::Reclaimed
    }
}

/// What a successor does with an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reception {
    /// It owns the request from now on.
    Adopt,
    /// It leaves the request alone.
    Reject,
}

impl Reception {
    /// Decides on an offer: the successor owns a request only if it took the claim. `can_continue` tells whether it
    /// knows the request's class and tenant and has the resources.
    pub fn of_offer(claim: ClaimResult, can_continue: bool) -> Reception {
        match (claim, can_continue) {
            (ClaimResult::Taken, true) => Reception::Adopt,
            (ClaimResult::Taken, false) | (ClaimResult::Lost, _) => Reception::Reject,
        }
    }
}
