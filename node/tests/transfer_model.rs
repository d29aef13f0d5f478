//! Model of the transfer of a running request between two processes, checked over all reachable states: either process
//! stalls at each step (a step that is not taken is a stall), either is killed at each step, replies are late or lost.
//! It drives the state machines of the program ([`Ownership`], [`Reception`]). With a guard removed the checker must find
//! a violation.
//!
//! The kernel is modeled as it behaves: a claim is taken once; the link delivers what was sent before its sender ended,
//! and then its end; the descriptors in a message that nobody receives are closed with the link; a connection to a worker
//! ends when the last holder of its socket closes it, or when a holder shuts it down.

use molevale::process_handover::{ClaimResult, Ownership, Reception, TransferEvent};
use stateright::{Checker, Model, Property};

/// Attempts that may be out at the worker, numbered from 0, over both processes.
const ATTEMPTS_MAX: u8 = 3;

/// Rule of the protocol that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Guard {
    /// The successor adopts only a request whose claim it took.
    ClaimBeforeAdoption,
    /// An overdue reply returns the request only with the claim.
    ClaimBeforeWithdrawal,
    /// An outcome that comes while the request is offered waits for the decision.
    OutcomeWaits,
    /// An answer that is decided while the request is offered waits for the decision.
    AnswerWaits,
    /// A close ends the connection for all holders of the socket.
    CloseShutsDown,
    /// A request is reclaimed only if its answer has not begun.
    AnswerNotBegun,
    /// The end of the link is acted on, not ignored.
    EndOfLinkReclaims,
    /// The successor keeps the link open as long as it lives.
    LinkOutlivesErrors,
}

/// Message on the link, in either direction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Reply {
    Accepted,
    Rejected,
}

/// The successor's part in one offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Successor {
    /// It has not received the offer.
    Waiting,
    /// It has received the offer, and tried to take the claim.
    Received(ClaimResult),
    /// It owns the request.
    Owner,
    /// It has rejected the offer.
    Rejected,
    /// It has answered the client.
    Answered,
}

/// Who holds the connection of the first attempt to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct WorkerSocket {
    held_by_predecessor: bool,
    held_by_successor: bool,
    in_message: bool,
    is_shut_down: bool,
}

impl WorkerSocket {
    /// Whether the worker considers the attempt as out.
    fn is_open(self) -> bool {
        !self.is_shut_down && (self.held_by_predecessor || self.held_by_successor || self.in_message)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    predecessor_lives: bool,
    successor_lives: bool,
    /// Whether the successor's end of the link is open.
    link_is_open: bool,
    owner: Ownership,
    /// Whether the predecessor was ordered to stop the attempt, by a timeout, the deadline or a cancel.
    stop_requested: bool,
    /// Whether the predecessor has decided on an answer while the attempt runs.
    answer_decided: bool,
    claim_is_taken: bool,
    /// Whether the offer is in the successor's queue.
    offer_in_queue: bool,
    reply_in_queue: Option<Reply>,
    successor: Successor,
    first_attempt: WorkerSocket,
    /// Further attempts that each process has out; their sockets are its own.
    retries_of_predecessor: u8,
    retries_of_successor: u8,
    /// Whether the predecessor has answered the client; the successor has if it is [`Successor::Answered`].
    has_predecessor_answered: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// A timeout, the deadline or a cancel in the predecessor.
    RequestStop,
    /// The predecessor decides to reject or fail the request.
    DecideAnswer,
    Offer,
    ReplyOverdue,
    ReceiveReply,
    NoticeEndOfLink,
    /// The predecessor sees that the successor has begun to answer.
    NoticeAnswer,
    /// The predecessor ends the attempt and retries, or answers the client.
    EndAttempt {
        retries: bool,
    },
    AnswerHere,
    ReceiveOffer,
    DecideOffer {
        can_continue: bool,
    },
    /// The successor cancels the adopted attempt and retries.
    RetryAtSuccessor,
    AnswerAtSuccessor,
    /// The successor's link fails, although it lives.
    LinkError,
    KillPredecessor,
    KillSuccessor,
}

struct TransferModel {
    disabled_guard: Option<Guard>,
}

impl TransferModel {
    fn is_enabled(&self, guard: Guard) -> bool {
        self.disabled_guard != Some(guard)
    }
}

impl State {
    fn take_claim(&mut self) -> ClaimResult {
        if std::mem::replace(&mut self.claim_is_taken, true) {
            ClaimResult::Lost
        } else {
            ClaimResult::Taken
        }
    }

    /// Applies an event to the predecessor's state machine, and does what the change requires.
    fn apply(&mut self, event: TransferEvent) {
        let before = self.owner;
        self.owner = before.after(event);
        if before == self.owner {
            return;
        }
        match self.owner {
            Ownership::Successor | Ownership::EndedElsewhere => {
                self.first_attempt.held_by_predecessor = false
            }
            Ownership::Reclaimed => {
                self.first_attempt.is_shut_down = true;
                self.first_attempt.held_by_predecessor = false;
            }
            Ownership::Here | Ownership::Offered | Ownership::EndedHere => {}
        }
    }

    /// Number of answers that the client got.
    fn answers(&self) -> u8 {
        u8::from(self.has_predecessor_answered) + u8::from(self.successor == Successor::Answered)
    }

    /// Whether the predecessor may act on the request and has not answered it.
    fn predecessor_acts(&self) -> bool {
        self.predecessor_lives && self.owner.may_act_here() && !self.has_predecessor_answered
    }

    fn successor_acts(&self) -> bool {
        self.successor_lives && self.successor == Successor::Owner
    }

    /// Whether a live process owns the request or will decide on it.
    fn is_cared_for(&self) -> bool {
        let decides_here = self.predecessor_lives && self.owner.is_undecided();
        let decides_there = self.successor_lives && self.successor == Successor::Received(ClaimResult::Taken);
        self.predecessor_acts() || self.successor_acts() || decides_here || decides_there
    }

    /// Whether a live process has the request: the predecessor always, the successor once it took the claim.
    fn has_heir(&self) -> bool {
        let is_claimed = matches!(self.successor, Successor::Received(ClaimResult::Taken) | Successor::Owner);
        self.predecessor_lives || (self.successor_lives && is_claimed)
    }

    /// Number of attempts that are out at workers.
    fn attempts_out(&self) -> u8 {
        u8::from(self.first_attempt.is_open()) + self.retries_of_predecessor + self.retries_of_successor
    }

    fn is_link_ended(&self) -> bool {
        !self.successor_lives || !self.link_is_open
    }

    fn predecessor_steps(&self, steps: &mut Vec<Step>) {
        if self.owner == Ownership::Here || self.owner == Ownership::Offered {
            steps.extend([Step::RequestStop, Step::DecideAnswer]);
        }
        let is_unoffered =
            self.successor == Successor::Waiting && !self.claim_is_taken && !self.offer_in_queue;
        if self.owner == Ownership::Here && is_unoffered && !self.answer_decided {
            steps.push(Step::Offer);
        }
        if self.owner == Ownership::Offered {
            steps.push(Step::ReplyOverdue);
        }
        if self.reply_in_queue.is_some() {
            steps.push(Step::ReceiveReply);
        } else if self.is_link_ended() {
            steps.push(Step::NoticeEndOfLink);
        }
        if self.owner == Ownership::Successor && self.answers() > 0 {
            steps.push(Step::NoticeAnswer);
        }
        if self.stop_requested {
            steps.extend([Step::EndAttempt { retries: true }, Step::EndAttempt { retries: false }]);
        }
        let is_attempt_over = matches!(self.owner, Ownership::EndedHere | Ownership::Reclaimed);
        if (is_attempt_over || self.answer_decided) && !self.has_predecessor_answered {
            steps.push(Step::AnswerHere);
        }
        steps.push(Step::KillPredecessor);
    }

    fn successor_steps(&self, steps: &mut Vec<Step>) {
        if self.offer_in_queue && self.link_is_open {
            steps.push(Step::ReceiveOffer);
        }
        if let Successor::Received(_) = self.successor {
            steps.extend([true, false].map(|can_continue| Step::DecideOffer { can_continue }));
        }
        if self.successor_acts() {
            steps.extend([Step::RetryAtSuccessor, Step::AnswerAtSuccessor]);
        }
        if self.link_is_open {
            steps.push(Step::LinkError);
        }
        steps.push(Step::KillSuccessor);
    }
}

impl TransferModel {
    fn offer(&self, state: &mut State) {
        state.apply(TransferEvent::Offered);
        if state.owner == Ownership::Offered && !state.is_link_ended() {
            (state.offer_in_queue, state.first_attempt.in_message) = (true, true);
        }
    }

    fn reply_overdue(&self, state: &mut State) {
        let claim = if self.is_enabled(Guard::ClaimBeforeWithdrawal) {
            state.take_claim()
        } else {
            ClaimResult::Taken
        };
        state.apply(TransferEvent::ReplyOverdue(claim));
    }

    fn notice_end_of_link(&self, state: &mut State) {
        if !self.is_enabled(Guard::EndOfLinkReclaims) {
            return;
        }
        let claim = state.take_claim();
        let is_answer_begun = self.is_enabled(Guard::AnswerNotBegun) && state.answers() > 0;
        state.apply(TransferEvent::SuccessorEnded { claim, is_answer_begun });
    }

    /// The attempt's outcome in the predecessor, which retries or fails the request.
    fn end_attempt(&self, state: &mut State, retries: bool) -> Option<()> {
        if self.is_enabled(Guard::OutcomeWaits) || !state.owner.is_undecided() {
            state.apply(TransferEvent::AttemptEnded);
            if state.owner != Ownership::EndedHere {
                return None;
            }
        }
        state.stop_requested = false;
        state.first_attempt.held_by_predecessor = false;
        // A socket that was never shared has no other holder.
        state.first_attempt.is_shut_down |= self.is_enabled(Guard::CloseShutsDown);
        if retries {
            state.retries_of_predecessor += 1;
        }
        Some(())
    }

    fn decide_offer(&self, state: &mut State, claim: ClaimResult, can_continue: bool) {
        let claim = if self.is_enabled(Guard::ClaimBeforeAdoption) { claim } else { ClaimResult::Taken };
        let reply = match Reception::of_offer(claim, can_continue) {
            Reception::Adopt => {
                state.successor = Successor::Owner;
                Reply::Accepted
            }
            Reception::Reject => {
                state.successor = Successor::Rejected;
                state.first_attempt.held_by_successor = false;
                Reply::Rejected
            }
        };
        if state.predecessor_lives && state.link_is_open {
            state.reply_in_queue = Some(reply);
        }
    }

    fn retry_at_successor(&self, state: &mut State) -> Option<()> {
        if state.retries_of_successor == 0 {
            state.first_attempt.held_by_successor = false;
            state.first_attempt.is_shut_down |= self.is_enabled(Guard::CloseShutsDown);
            state.retries_of_successor = 1;
            return Some(());
        }
        None
    }

    fn link_error(&self, state: &mut State) -> Option<()> {
        if self.is_enabled(Guard::LinkOutlivesErrors) {
            return None; // the link stays open, and an unread offer is decided by its claim
        }
        state.link_is_open = false;
        (state.offer_in_queue, state.first_attempt.in_message) = (false, false);
        Some(())
    }
}

fn kill_predecessor(state: &mut State) {
    state.predecessor_lives = false;
    state.first_attempt.held_by_predecessor = false;
    state.retries_of_predecessor = 0;
    state.reply_in_queue = None;
}

fn kill_successor(state: &mut State) {
    state.successor_lives = false;
    state.first_attempt.held_by_successor = false;
    (state.offer_in_queue, state.first_attempt.in_message) = (false, false);
    state.retries_of_successor = 0;
}

impl Model for TransferModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            predecessor_lives: true,
            successor_lives: true,
            link_is_open: true,
            owner: Ownership::Here,
            stop_requested: false,
            answer_decided: false,
            claim_is_taken: false,
            offer_in_queue: false,
            reply_in_queue: None,
            successor: Successor::Waiting,
            first_attempt: WorkerSocket {
                held_by_predecessor: true,
                held_by_successor: false,
                in_message: false,
                is_shut_down: false,
            },
            retries_of_predecessor: 0,
            retries_of_successor: 0,
            has_predecessor_answered: false,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.predecessor_lives {
            state.predecessor_steps(steps);
        }
        if state.successor_lives {
            state.successor_steps(steps);
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::RequestStop => next.stop_requested = true,
            Step::Offer => self.offer(&mut next),
            Step::ReplyOverdue => self.reply_overdue(&mut next),
            Step::ReceiveReply => match next.reply_in_queue.take()? {
                Reply::Accepted => next.apply(TransferEvent::Accepted),
                Reply::Rejected => next.apply(TransferEvent::Rejected),
            },
            Step::NoticeEndOfLink => self.notice_end_of_link(&mut next),
            Step::NoticeAnswer => next.apply(TransferEvent::AnswerBegun),
            Step::EndAttempt { retries } => self.end_attempt(&mut next, retries)?,
            Step::DecideAnswer => next.answer_decided = true,
            Step::AnswerHere => {
                if self.is_enabled(Guard::AnswerWaits) && !next.owner.may_act_here() {
                    return None;
                }
                next.has_predecessor_answered = true;
            }
            Step::ReceiveOffer => {
                next.offer_in_queue = false;
                (next.first_attempt.in_message, next.first_attempt.held_by_successor) = (false, true);
                next.successor = Successor::Received(next.take_claim());
            }
            Step::DecideOffer { can_continue } => match next.successor {
                Successor::Received(claim) => self.decide_offer(&mut next, claim, can_continue),
                _ => return None,
            },
            Step::RetryAtSuccessor => self.retry_at_successor(&mut next)?,
            Step::AnswerAtSuccessor => next.successor = Successor::Answered,
            Step::LinkError => self.link_error(&mut next)?,
            Step::KillPredecessor => kill_predecessor(&mut next),
            Step::KillSuccessor => kill_successor(&mut next),
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never two owners that act", |_, state: &State| {
                !(state.predecessor_acts() && state.successor_acts())
            }),
            Property::always("never two attempts out", |_, state: &State| {
                state.answers() > 0 || state.attempts_out() <= 1
            }),
            Property::always("never two answers", |_, state: &State| state.answers() <= 1),
            Property::always("never ownerless while a process lives that can answer", |_, state: &State| {
                state.answers() > 0 || !state.has_heir() || state.is_cared_for()
            }),
            Property::always("a reclaimed request has no attempt out", |_, state: &State| {
                state.owner != Ownership::Reclaimed || state.attempts_out() == 0
            }),
            Property::sometimes("the successor answers", |_, state: &State| {
                state.successor == Successor::Answered
            }),
            Property::sometimes("the predecessor answers for a successor that ended", |_, state: &State| {
                state.owner == Ownership::Reclaimed && state.has_predecessor_answered
            }),
            Property::sometimes("an offer is withdrawn and its late reply ignored", |_, state: &State| {
                state.owner == Ownership::Here && state.successor == Successor::Rejected
            }),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.attempts_out() < ATTEMPTS_MAX
    }
}

fn violated_properties(disabled_guard: Option<Guard>) -> Vec<String> {
    let checker = TransferModel { disabled_guard }.checker().spawn_bfs().join();
    assert!(checker.is_done() && checker.unique_state_count() > 50);
    println!("{disabled_guard:?}: {} states", checker.unique_state_count());
    let sometimes = |name: &str| name.starts_with("the ") || name.starts_with("an ");
    let mut violated = Vec::new();
    for property in checker.model().properties() {
        let is_discovered = checker.discovery(property.name).is_some();
        if is_discovered != sometimes(property.name) {
            let steps = checker.discovery(property.name).map(|path| path.into_actions());
            println!("  {}: {steps:?}", property.name);
            violated.push(property.name.to_string());
        }
    }
    violated
}

/// Guards against incident 9474ef and its class: two processes that each take a request for their own.
#[test]
fn a_request_has_one_owner_through_every_stall_and_kill() {
    assert_eq!(violated_properties(None), Vec::<String>::new());
}

#[test]
fn removing_a_guard_violates_a_property() {
    let guards = [
        Guard::ClaimBeforeAdoption,
        Guard::ClaimBeforeWithdrawal,
        Guard::OutcomeWaits,
        Guard::AnswerWaits,
        Guard::CloseShutsDown,
        Guard::AnswerNotBegun,
        Guard::EndOfLinkReclaims,
        Guard::LinkOutlivesErrors,
    ];
    for guard in guards {
        let violated = violated_properties(Some(guard));
        println!("{guard:?}: {violated:?}");
        assert!(!violated.is_empty(), "{guard:?} can be removed without a violation");
    }
}
