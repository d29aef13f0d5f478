//! Datagrams: encoding of those sent; authentication, replay protection and dispatch of those received.

use super::{Action, Machine, Participation};
use crate::fragments::{split, MESSAGE_MAX};
use crate::packet::{decode, encode, Body, Packet, DATAGRAM_MAX, RATES_MAX};
use crate::session::ReplayCheck;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

impl Machine {
    /// Handles a received datagram. An invalid one is counted and ignored.
    pub fn handle_datagram(&mut self, now: Duration, bytes: &[u8]) {
        let now = self.timers.advance(now);
        let packet: Packet = match decode(&self.config.keys, bytes, DATAGRAM_MAX) {
            Ok(packet) => packet,
            Err(error) => return self.counters.rejected.count(error),
        };
        if packet.fleet_hash != self.fleet_hash
            || packet.to != self.config.advertise
            || packet.process_id == self.process_id
        {
            self.counters.rejected.misdirected += 1;
            return;
        }
        self.handle_packet(now, packet, bytes.len());
        self.apply_effects(now);
    }

    /// Sends tenant rates to another node, if it is present in the view. Rates beyond [`RATES_MAX`] are dropped.
    pub fn send_rates(&mut self, now: Duration, to: &str, mut rates: Vec<(u64, u16)>) {
        let now = self.timers.advance(now);
        let to = self.members.get_present(to).map(|member| member.identity.address);
        if let Some(to) = to.filter(|_| self.participation == Participation::Active) {
            rates.truncate(RATES_MAX);
            self.send(now, to, Body::Rates(self.config.name.clone(), rates));
        }
    }

    /// Sends a message of another subsystem to the node at an address, which need not be in the view. Delivery is not
    /// guaranteed, and a message longer than [`MESSAGE_MAX`] is not sent.
    pub fn send_message(&mut self, now: Duration, to: SocketAddr, bytes: &[u8]) {
        let now = self.timers.advance(now);
        if bytes.len() > MESSAGE_MAX || self.participation == Participation::Left {
            return;
        }
        self.last_message_number += 1;
        for fragment in split(bytes) {
            self.send(now, to, Body::Fragment(self.last_message_number, fragment));
        }
    }

    /// Encodes and sends a body, and keeps it in case the receiver responds with a challenge.
    pub(super) fn send(&mut self, now: Duration, to: SocketAddr, body: Body) {
        // Challenges and challenge responses are not resent: each answers one datagram of the receiver.
        if !matches!(body, Body::Challenge(_) | Body::ChallengeResponse(..)) {
            self.resend_buffer.push(now, to, body.clone());
        }
        self.last_sequence_number += 1;
        let packet = Packet {
            fleet_hash: self.fleet_hash,
            process_id: self.process_id,
            from: self.config.advertise,
            to,
            sequence_number: self.last_sequence_number,
            body,
        };
        let bytes = encode(&self.config.keys, &packet);
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.actions.push_back(Action::Send { to, bytes });
    }

    /// Handles a packet that is addressed to this node: checks its session, then handles the body.
    fn handle_packet(&mut self, now: Duration, packet: Packet, length: usize) {
        let Packet { process_id, from, sequence_number, body, .. } = packet;
        match body {
            Body::Challenge(nonce) => self.respond_to_challenge(now, from, nonce),
            Body::ChallengeResponse(nonce, resent) => {
                if !self.sessions.complete_challenge(now, process_id, sequence_number, nonce) {
                    self.counters.rejected.replayed += 1;
                } else if let Some(body) = resent {
                    self.handle_body(now, process_id, from, *body, length);
                }
            }
            body => {
                let rng = &mut self.rng;
                match self.sessions.check(now, process_id, sequence_number, || rng.random()) {
                    ReplayCheck::Accepted => self.handle_body(now, process_id, from, body, length),
                    ReplayCheck::Replayed => self.counters.rejected.replayed += 1,
                    ReplayCheck::Challenge(nonce) => {
                        self.counters.rejected.without_session += 1;
                        self.send(now, from, Body::Challenge(nonce));
                    }
                    ReplayCheck::ChallengePending => self.counters.rejected.without_session += 1,
                }
            }
        }
    }

    /// Echoes a nonce, which proves that this process is running, and resends the last body for that receiver.
    fn respond_to_challenge(&mut self, now: Duration, to: SocketAddr, nonce: u64) {
        if self.challenge_response_limit.acquire(now) {
            let resent = self.resend_buffer.take(now, to).map(Box::new);
            self.send(now, to, Body::ChallengeResponse(nonce, resent));
        }
    }

    /// Handles the body of an accepted packet.
    fn handle_body(&mut self, now: Duration, process_id: u64, from: SocketAddr, body: Body, length: usize) {
        self.counters.received += 1;
        self.counters.received_bytes += length as u64;
        if self.participation == Participation::Left {
            return;
        }
        match body {
            Body::Gossip(digest, data) => self.handle_gossip(now, process_id, from, digest, &data),
            Body::IdentityRequest => {
                if self.participation == Participation::Active {
                    let own = self.foca.identity().clone();
                    self.send(now, from, Body::IdentityResponse(own));
                }
            }
            Body::IdentityResponse(id) if id.process_id == process_id && id.is_valid() => {
                self.handle_identity_response(now, id)
            }
            Body::NameConflict(id) if id.is_valid() && id.name == self.config.name => {
                self.note_name_conflict(id)
            }
            Body::Rates(name, rates) if rates.len() <= RATES_MAX => {
                self.handle_rates(process_id, name, rates)
            }
            Body::Fragment(message, fragment) => {
                if let Some(bytes) = self.reassembler.insert(now, process_id, message, fragment) {
                    self.actions.push_back(Action::Message { from, bytes });
                }
            }
            _ => self.counters.rejected.malformed += 1,
        }
    }

    /// Passes on the rates of a node if they come from the process that is the present member of that name.
    fn handle_rates(&mut self, process_id: u64, name: String, rates: Vec<(u64, u16)>) {
        if self.members.get_present(&name).is_some_and(|member| member.identity.process_id == process_id) {
            self.counters.rate_messages += 1;
            self.actions.push_back(Action::Rates { from: name, rates });
        }
    }
}
