//! What every node is to the voters: it asks for duties, holds on to them, gives them back, and knows by its own clock
//! until when it may act.

use crate::table::Holder;
use crate::word::{Answer, Ask, Reply, Told, Wish};
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
pub enum Errand {
    /// Bring this ask to a voter.
    Send {
        /// Where it is reached.
        to: SocketAddr,
        /// What is asked.
        ask: Ask,
    },
    /// The duty is this node's from now on.
    Taken {
        /// Which.
        duty: String,
        /// Under which token: it goes along with each act.
        token: u64,
        /// What the holder before left.
        left: Vec<u8>,
    },
    /// The duty is this node's no more: whatever is under way must not go on.
    Lost {
        /// Which.
        duty: String,
        /// Its token.
        token: u64,
        /// Why.
        why: Lost,
    },
}

/// Why a duty is held no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// No voter confirmed it in time.
    Lapsed,
    /// The voters say that it is another's.
    Taken,
    /// This node gave it back.
    Given,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    token: u64,
    until: Duration,
}

#[derive(Default)]
struct Want {
    wanted: bool,
    lease: Option<Lease>,
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
    who: Holder,
    timing: Timing,
    voters: Vec<SocketAddr>,
    leader: Option<SocketAddr>,
    turn: usize,
    silent: u32,
    heard: Option<Duration>,
    wants: BTreeMap<String, Want>,
    number: u64,
    errands: VecDeque<Errand>,
}

impl Client {
    /// A client of these voters.
    pub fn new(who: Holder, timing: Timing, voters: Vec<SocketAddr>) -> Client {
        let voters = voters.into_iter().take(VOTERS).collect();
        Client {
            who,
            timing,
            voters,
            leader: None,
            turn: 0,
            silent: 0,
            heard: None,
            wants: BTreeMap::new(),
            number: 0,
            errands: VecDeque::new(),
        }
    }

    /// The next thing to do, if there is one.
    pub fn errand(&mut self) -> Option<Errand> {
        self.errands.pop_front()
    }

    /// From now on this duty is wanted: it is asked for until it is given up.
    pub fn want(&mut self, now: Duration, duty: &str) {
        let want = self.wants.entry(duty.to_string()).or_default();
        if !want.wanted {
            (want.wanted, want.next) = (true, now);
        }
    }

    /// This duty is given back, where it is held, and not asked for any more.
    pub fn give(&mut self, now: Duration, duty: &str) {
        let Some(want) = self.wants.get_mut(duty) else { return };
        want.wanted = false;
        if let Some(lease) = want.lease.take() {
            // First it holds it no more, then the voters hear of that.
            (want.giving, want.given, want.next) = (Some((lease.token, lease.until)), lease.token, now);
            self.lose(duty, lease.token, Lost::Given);
        } else if want.giving.is_none() {
            self.wants.remove(duty);
        }
    }

    /// Leaves word for whoever holds this duty next, under the token that it is held under now.
    pub fn leave(&mut self, now: Duration, duty: &str, left: Vec<u8>) {
        if let Some(want) = self.wants.get_mut(duty).filter(|w| w.lease.is_some()) {
            (want.leave, want.next) = (Some(left), now);
        }
    }

    /// Whether the word left for the next holder has yet to be agreed on.
    pub fn leaving(&self, duty: &str) -> bool {
        self.wants.get(duty).is_some_and(|w| w.leave.is_some())
    }

    /// The token under which this node may act on a duty at this moment. To be asked right before each act.
    pub fn may_act(&self, now: Duration, duty: &str) -> Option<u64> {
        let lease = self.wants.get(duty)?.lease.filter(|l| now < l.until)?;
        Some(lease.token)
    }

    /// The duties that are held now, with their tokens and how long each may yet be acted on.
    pub fn held(&self, now: Duration) -> impl Iterator<Item = (&str, u64, Duration)> {
        self.wants.iter().filter_map(move |(duty, want)| {
            let lease = want.lease.filter(|l| now < l.until)?;
            Some((duty.as_str(), lease.token, lease.until - now))
        })
    }

    /// Who holds a duty that is wanted here, as the voters said last.
    pub fn other(&self, duty: &str) -> Option<(&str, u64)> {
        let (name, token) = self.wants.get(duty)?.other.as_ref()?;
        Some((name, *token))
    }

    /// When [`Client::tick`] is due next.
    pub fn due(&self) -> Duration {
        let each = self.wants.values().map(|w| w.lease.map_or(w.next, |l| l.until.min(w.next)));
        each.min().unwrap_or(Duration::MAX)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        let lapsed = |w: &Want| w.lease.filter(|l| now >= l.until);
        let over: Vec<(String, u64)> =
            self.wants.iter().filter_map(|(d, w)| Some((d.clone(), lapsed(w)?.token))).collect();
        for (duty, token) in over {
            if let Some(want) = self.wants.get_mut(&duty) {
                want.lease = None;
            }
            self.lose(&duty, token, Lost::Lapsed);
        }
        // A duty that was given back and of which nobody heard is over by itself by then.
        self.wants.retain(|_, w| w.wanted || w.giving.is_some_and(|(_, until)| now < until));
        let due: Vec<String> =
            self.wants.iter().filter(|(_, w)| now >= w.next).map(|(d, _)| d.clone()).collect();
        for duty in due {
            self.ask(now, &duty);
        }
    }

    /// Asks an operator's question; the answer comes with this number.
    pub fn question(&mut self, now: Duration, to: SocketAddr, wish: Wish) -> Ask {
        self.number += 1;
        let ask = Ask { number: self.number, who: self.who.clone(), heard_ms: self.heard_ms(now), wish };
        self.errands.push_back(Errand::Send { to, ask: ask.clone() });
        ask
    }

    /// The voter to ask next: the leader, where one is known.
    pub fn voter(&mut self) -> Option<SocketAddr> {
        match self.leader {
            Some(leader) => Some(leader),
            None => self.voters.get(self.turn % self.voters.len().max(1)).copied(),
        }
    }

    /// The voter that was asked does not answer, or knows no leader.
    pub fn next_voter(&mut self) {
        (self.leader, self.turn) = (None, self.turn.wrapping_add(1));
    }

    /// Who the voters are, as one of them told.
    pub fn learn(&mut self, told: &Told) {
        for seat in told.table.seats.values() {
            if !self.voters.contains(&seat.address) && self.voters.len() < VOTERS {
                self.voters.push(seat.address);
            }
        }
    }

    /// Takes an answer in.
    pub fn answer(&mut self, now: Duration, from: SocketAddr, answer: Answer) {
        if answer.boot != self.who.boot {
            return;
        }
        // Only one that leads counts as heard: another voter may be next door, or this very node's.
        if !matches!(answer.reply, Reply::Elsewhere(_)) {
            self.heard = Some(now);
        }
        match &answer.reply {
            Reply::Listen => {
                (self.leader, self.silent) = (Some(from), 0);
                return self.hurry(now, answer.number);
            }
            Reply::Elsewhere(Some(at)) => {
                if self.leader != Some(*at) {
                    self.leader = Some(*at);
                    self.hurry(now, answer.number);
                }
                return;
            }
            Reply::Elsewhere(None) => {
                if self.leader == Some(from) || self.leader.is_none() {
                    self.next_voter();
                }
                return;
            }
            _ => (self.leader, self.silent) = (Some(from), 0),
        }
        let found = self.wants.iter().find_map(|(duty, w)| {
            let sent = w.out.iter().find(|(n, _)| *n == answer.number)?.1;
            Some((duty.clone(), sent))
        });
        let Some((duty, sent)) = found else { return };
        let usable = self.timing.usable();
        let Some(want) = self.wants.get_mut(&duty) else { return };
        match answer.reply {
            Reply::Granted { duty: of, token, left } if of == duty => {
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
                match &mut want.lease {
                    Some(lease) if lease.token == token => lease.until = lease.until.max(until),
                    Some(lease) if lease.token > token => {}
                    _ => {
                        let old = want.lease.replace(Lease { token, until });
                        if let Some(old) = old {
                            self.lose(&duty, old.token, Lost::Taken);
                        }
                        self.errands.push_back(Errand::Taken { duty, token, left });
                    }
                }
            }
            Reply::Busy { holder, token, .. } => want.other = Some((holder, token)),
            Reply::Gone { token, .. } => {
                want.giving = None;
                if let Some(lease) = want.lease.take_if(|l| l.token <= token) {
                    want.next = now + self.timing.renew();
                    self.lose(&duty, lease.token, Lost::Taken);
                }
            }
            Reply::Done => {
                want.leave = None;
                if want.giving.take().is_some() && !want.wanted {
                    self.wants.remove(&duty);
                }
            }
            _ => {}
        }
    }

    /// Asks again at once, what was asked of one that does not lead.
    fn hurry(&mut self, now: Duration, number: u64) {
        for want in self.wants.values_mut().filter(|w| w.out.iter().any(|(n, _)| *n == number)) {
            want.next = now;
        }
    }

    fn heard_ms(&self, now: Duration) -> u64 {
        self.heard.map_or(u64::MAX, |at| (now - at).as_millis() as u64)
    }

    fn lose(&mut self, duty: &str, token: u64, why: Lost) {
        self.errands.push_back(Errand::Lost { duty: duty.to_string(), token, why });
    }

    fn ask(&mut self, now: Duration, duty: &str) {
        // A voter that gave no word on the last two asks may be gone.
        self.silent += 1;
        if self.silent > 2 {
            self.next_voter();
            self.silent = 0;
        }
        let Some(to) = self.voter() else { return };
        let heard_ms = self.heard_ms(now);
        let patience = self.timing.renew() / 2;
        let renew = self.timing.renew();
        let Some(want) = self.wants.get_mut(duty) else { return };
        let duty = duty.to_string();
        let wish = match (&want.lease, want.giving, &want.leave) {
            (_, Some((token, _)), _) => Wish::Give { duty, token },
            (Some(lease), _, Some(left)) => Wish::Leave { duty, token: lease.token, left: left.clone() },
            (Some(lease), ..) => Wish::Have { duty, token: lease.token },
            _ => Wish::Have { duty, token: 0 },
        };
        // One that has no answer yet asks sooner: a lost word must not cost the lease.
        let answered = want.giving.is_none() && want.leave.is_none() && self.leader.is_some();
        want.next = now + if answered { renew } else { patience.min(Duration::from_millis(500)) };
        self.number += 1;
        if want.out.len() >= OUT {
            want.out.pop_front();
        }
        want.out.push_back((self.number, now));
        let ask = Ask { number: self.number, who: self.who.clone(), heard_ms, wish };
        self.errands.push_back(Errand::Send { to, ask });
    }
}
