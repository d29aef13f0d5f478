//! What every node is to the voters: it asks for duties, holds on to them, gives them back, and knows by its own clock
//! until when it may act.

use crate::lease_table::Holder;
use crate::message::{ClusterStatus, Operation, Outcome, Request, Response};
use crate::Timing;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Asks of one wish whose answer may still come.
const OUT: usize = 4;
/// Voters that are known at once.
const VOTERS: usize = 16;

/// What the embedder is to do.
#[derive(Debug, PartialEq)]
pub enum ClientAction {
    /// Bring this ask to a voter.
    Send {
        /// Where it is reached.
        to: SocketAddr,
        /// What is asked.
        request: Request,
    },
    /// The duty is this node's from now on.
    Acquired {
        /// Which.
        lease: String,
        /// Under which token: it goes along with each act.
        token: u64,
        /// What the holder before left.
        state: Vec<u8>,
    },
    /// The duty is this node's no more: whatever is under way must not go on.
    Lost {
        /// Which.
        lease: String,
        /// Its token.
        token: u64,
        /// Why.
        reason: LeaseLost,
    },
}

/// Why a duty is held no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseLost {
    /// No voter confirmed it in time.
    Expired,
    /// The voters say that it is another's.
    TakenOver,
    /// This node gave it back.
    Released,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    token: u64,
    until: Duration,
}

#[derive(Default)]
struct Want {
    wanted: bool,
    grant: Option<Grant>,
    /// The token that is being given back; it was told as lost before the first word of that went out.
    giving: Option<(u64, Duration)>,
    /// The last token that was given back. The word of that may come late, so it is never acted on again.
    given: u64,
    leave: Option<Vec<u8>>,
    out: VecDeque<(u64, Duration)>,
    next: Duration,
    /// Who holds it, as the voters said last.
    other: Option<(String, u64)>,
}

/// One node's part in the duties.
pub struct Client {
    client: Holder,
    timing: Timing,
    voters: Vec<SocketAddr>,
    leader: Option<SocketAddr>,
    turn: usize,
    silent: u32,
    heard: Option<Duration>,
    wants: BTreeMap<String, Want>,
    number: u64,
    actions: VecDeque<ClientAction>,
}

impl Client {
    /// A client of these voters.
    pub fn new(client: Holder, timing: Timing, voters: Vec<SocketAddr>) -> Client {
        let voters = voters.into_iter().take(VOTERS).collect();
        Client {
            client,
            timing,
            voters,
            leader: None,
            turn: 0,
            silent: 0,
            heard: None,
            wants: BTreeMap::new(),
            number: 0,
            actions: VecDeque::new(),
        }
    }

    /// The next thing to do, if there is one.
    pub fn next_action(&mut self) -> Option<ClientAction> {
        self.actions.pop_front()
    }

    /// From now on this duty is wanted: it is asked for until it is given up.
    pub fn acquire(&mut self, now: Duration, lease: &str) {
        let want = self.wants.entry(lease.to_string()).or_default();
        if !want.wanted {
            (want.wanted, want.next) = (true, now);
        }
    }

    /// This duty is given back, where it is held, and not asked for any more.
    pub fn release(&mut self, now: Duration, lease: &str) {
        let Some(want) = self.wants.get_mut(lease) else { return };
        want.wanted = false;
        if let Some(grant) = want.grant.take() {
            // First it holds it no more, then the voters hear of that.
            (want.giving, want.given, want.next) = (Some((grant.token, grant.until)), grant.token, now);
            self.lost(lease, grant.token, LeaseLost::Released);
        } else if want.giving.is_none() {
            self.wants.remove(lease);
        }
    }

    /// Leaves word for whoever holds this duty next, under the token that it is held under now.
    pub fn save_state(&mut self, now: Duration, lease: &str, state: Vec<u8>) {
        if let Some(want) = self.wants.get_mut(lease).filter(|w| w.grant.is_some()) {
            (want.leave, want.next) = (Some(state), now);
        }
    }

    /// Whether the word left for the next holder has yet to be agreed on.
    pub fn is_saving_state(&self, lease: &str) -> bool {
        self.wants.get(lease).is_some_and(|w| w.leave.is_some())
    }

    /// The token under which this node may act on a duty at this moment. To be asked right before each act.
    pub fn may_act(&self, now: Duration, lease: &str) -> Option<u64> {
        let grant = self.wants.get(lease)?.grant.filter(|l| now < l.until)?;
        Some(grant.token)
    }

    /// The duties that are held now, with their tokens and how long each may yet be acted on.
    pub fn held_leases(&self, now: Duration) -> impl Iterator<Item = (&str, u64, Duration)> {
        self.wants.iter().filter_map(move |(lease, want)| {
            let grant = want.grant.filter(|l| now < l.until)?;
            Some((lease.as_str(), grant.token, grant.until - now))
        })
    }

    /// Who holds a duty that is wanted here, as the voters said last.
    pub fn other_holder(&self, lease: &str) -> Option<(&str, u64)> {
        let (name, token) = self.wants.get(lease)?.other.as_ref()?;
        Some((name, *token))
    }

    /// When [`Client::tick`] is due next.
    pub fn next_tick(&self) -> Duration {
        let each = self.wants.values().map(|w| w.grant.map_or(w.next, |l| l.until.min(w.next)));
        each.min().unwrap_or(Duration::MAX)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        let lapsed = |w: &Want| w.grant.filter(|l| now >= l.until);
        let over: Vec<(String, u64)> =
            self.wants.iter().filter_map(|(d, w)| Some((d.clone(), lapsed(w)?.token))).collect();
        for (lease, token) in over {
            if let Some(want) = self.wants.get_mut(&lease) {
                want.grant = None;
            }
            self.lost(&lease, token, LeaseLost::Expired);
        }
        // A duty that was given back and of which nobody heard is over by itself by then.
        self.wants.retain(|_, w| w.wanted || w.giving.is_some_and(|(_, until)| now < until));
        let due: Vec<String> =
            self.wants.iter().filter(|(_, w)| now >= w.next).map(|(d, _)| d.clone()).collect();
        for lease in due {
            self.ask(now, &lease);
        }
    }

    /// Asks an operator's question; the answer comes with this number.
    pub fn request(&mut self, now: Duration, to: SocketAddr, wish: Operation) -> Request {
        self.number += 1;
        let ask = Request {
            id: self.number,
            client: self.client.clone(),
            silence_ms: self.silence_ms(now),
            operation: wish,
        };
        self.actions.push_back(ClientAction::Send { to, request: ask.clone() });
        ask
    }

    /// The voter to ask next: the leader, where one is known.
    pub fn target_voter(&mut self) -> Option<SocketAddr> {
        match self.leader {
            Some(leader) => Some(leader),
            None => self.voters.get(self.turn % self.voters.len().max(1)).copied(),
        }
    }

    /// The voter that was asked does not answer, or knows no leader.
    pub fn try_next_voter(&mut self) {
        (self.leader, self.turn) = (None, self.turn.wrapping_add(1));
    }

    /// Who the voters are, as one of them told.
    pub fn update_voters(&mut self, told: &ClusterStatus) {
        for seat in told.table.voters.values() {
            if !self.voters.contains(&seat.address) && self.voters.len() < VOTERS {
                self.voters.push(seat.address);
            }
        }
    }

    /// Takes an answer in.
    pub fn receive(&mut self, now: Duration, from: SocketAddr, answer: Response) {
        if answer.process_id != self.client.process_id {
            return;
        }
        // Only one that leads counts as heard: another voter may be next door, or this very node's.
        if !matches!(answer.outcome, Outcome::NotLeader(_)) {
            self.heard = Some(now);
        }
        match &answer.outcome {
            Outcome::ConfirmReceipt => {
                (self.leader, self.silent) = (Some(from), 0);
                return self.retry_soon(now, answer.request_id);
            }
            Outcome::NotLeader(Some(at)) => {
                if self.leader != Some(*at) {
                    self.leader = Some(*at);
                    self.retry_soon(now, answer.request_id);
                }
                return;
            }
            Outcome::NotLeader(None) => {
                if self.leader == Some(from) || self.leader.is_none() {
                    self.try_next_voter();
                }
                return;
            }
            _ => (self.leader, self.silent) = (Some(from), 0),
        }
        let found = self.wants.iter().find_map(|(lease, w)| {
            let sent = w.out.iter().find(|(n, _)| *n == answer.request_id)?.1;
            Some((lease.clone(), sent))
        });
        let Some((lease, sent)) = found else { return };
        let usable = self.timing.holder_validity();
        let Some(want) = self.wants.get_mut(&lease) else { return };
        match answer.outcome {
            Outcome::Granted { lease: of, token, state } if of == lease => {
                let until = sent + usable;
                if token <= want.given || !want.wanted {
                    if want.giving.is_none() {
                        (want.giving, want.given, want.next) = (Some((token, now + usable)), token, now);
                    }
                    return;
                }
                if now >= until {
                    return; // too late to be of use: the next ask finds it held by this very node, and renews it
                }
                want.other = None;
                match &mut want.grant {
                    Some(grant) if grant.token == token => grant.until = grant.until.max(until),
                    Some(grant) if grant.token > token => {}
                    _ => {
                        let old = want.grant.replace(Grant { token, until });
                        if let Some(old) = old {
                            self.lost(&lease, old.token, LeaseLost::TakenOver);
                        }
                        self.actions.push_back(ClientAction::Acquired { lease, token, state });
                    }
                }
            }
            Outcome::HeldByOther { holder, token, .. } => want.other = Some((holder, token)),
            Outcome::NotHolder { token, .. } => {
                want.giving = None;
                if let Some(grant) = want.grant.take_if(|l| l.token <= token) {
                    want.next = now + self.timing.renew_interval();
                    self.lost(&lease, grant.token, LeaseLost::TakenOver);
                }
            }
            Outcome::Done => {
                want.leave = None;
                if want.giving.take().is_some() && !want.wanted {
                    self.wants.remove(&lease);
                }
            }
            _ => {}
        }
    }

    /// Asks again at once, what was asked of one that does not lead.
    fn retry_soon(&mut self, now: Duration, number: u64) {
        for want in self.wants.values_mut().filter(|w| w.out.iter().any(|(n, _)| *n == number)) {
            want.next = now;
        }
    }

    fn silence_ms(&self, now: Duration) -> u64 {
        self.heard.map_or(u64::MAX, |at| (now - at).as_millis() as u64)
    }

    fn lost(&mut self, lease: &str, token: u64, reason: LeaseLost) {
        self.actions.push_back(ClientAction::Lost { lease: lease.to_string(), token, reason });
    }

    fn ask(&mut self, now: Duration, lease: &str) {
        // A voter that gave no word on the last two asks may be gone.
        self.silent += 1;
        if self.silent > 2 {
            self.try_next_voter();
            self.silent = 0;
        }
        let Some(to) = self.target_voter() else { return };
        let silence_ms = self.silence_ms(now);
        let patience = self.timing.renew_interval() / 2;
        let renew = self.timing.renew_interval();
        let Some(want) = self.wants.get_mut(lease) else { return };
        let lease = lease.to_string();
        let wish = match (&want.grant, want.giving, &want.leave) {
            (_, Some((token, _)), _) => Operation::Release { lease, token },
            (Some(grant), _, Some(state)) => {
                Operation::SaveState { lease, token: grant.token, state: state.clone() }
            }
            (Some(grant), ..) => Operation::Acquire { lease, token: grant.token },
            _ => Operation::Acquire { lease, token: 0 },
        };
        // One that has no answer yet asks sooner: a lost word must not cost the lease.
        let answered = want.giving.is_none() && want.leave.is_none() && self.leader.is_some();
        want.next = now + if answered { renew } else { patience.min(Duration::from_millis(500)) };
        self.number += 1;
        if want.out.len() >= OUT {
            want.out.pop_front();
        }
        want.out.push_back((self.number, now));
        let ask = Request { id: self.number, client: self.client.clone(), silence_ms, operation: wish };
        self.actions.push_back(ClientAction::Send { to, request: ask });
    }
}
