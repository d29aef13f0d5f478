//! Adapter to `foca`, the SWIM implementation: its configuration for a fleet size, and the effects that it requests.

use super::config::Timing;
use crate::member::{Identity, MemberStatus, Phase};
use crate::packet::GOSSIP_MAX;
use foca::{Member, Notification, PeriodicParams};
use std::collections::VecDeque;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Number of members that are asked for indirect probes, and that receive each round of gossip.
const FANOUT: NonZeroUsize = NonZeroUsize::new(3).expect("above zero");
/// Interval between rounds of gossip while there are updates to send.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);

/// Effects requested by `foca` that the machine has not yet carried out.
#[derive(Default)]
pub(super) struct SwimEffects {
    /// Messages to send, in order.
    pub sends: VecDeque<(Identity, Vec<u8>)>,
    /// Timers to schedule.
    pub timers: Vec<(foca::Timer<Identity>, Duration)>,
    /// Changed members, in order, and whether each is now up; `None` if another incarnation replaced a member in the
    /// same state.
    pub changed: Vec<(Identity, Option<bool>)>,
    /// Whether all members must be compared: there may be changes without a notification from `foca`.
    pub rescan: bool,
    /// Whether this node was declared dead.
    pub defunct: bool,
}

impl foca::Runtime<Identity> for &mut SwimEffects {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        match notification {
            Notification::MemberUp(id) => self.changed.push((id.clone(), Some(true))),
            Notification::MemberDown(id) => self.changed.push((id.clone(), Some(false))),
            Notification::Rename(_, id) => self.changed.push((id.clone(), None)),
            Notification::Defunct => self.defunct = true,
            _ => {}
        }
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.sends.push_back((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: foca::Timer<Identity>, after: Duration) {
        self.timers.push((event, after));
    }
}

/// Number of transmissions of each update: enough to reach all members, with a margin that grows with the logarithm of
/// their number.
pub(super) fn max_transmissions(members: usize) -> u32 {
    4 + 3 * (usize::BITS - members.leading_zeros())
}

/// Configuration of `foca` for a number of members.
pub(super) fn swim_config(timing: &Timing, members: usize) -> foca::Config {
    let transmissions = max_transmissions(members);
    foca::Config {
        probe_period: timing.probe_interval,
        probe_rtt: timing.probe_timeout,
        num_indirect_probes: FANOUT,
        max_transmissions: NonZeroU8::new(transmissions.min(60) as u8).unwrap_or(NonZeroU8::MAX),
        suspect_to_down_after: timing.suspicion_timeout,
        remove_down_after: Some(timing.remove_after),
        max_packet_size: NonZeroUsize::new(GOSSIP_MAX).unwrap_or(NonZeroUsize::MAX),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(PeriodicParams { frequency: GOSSIP_INTERVAL, num_members: FANOUT }),
    }
}

/// Derives a member's status from its `foca` state and its phase.
pub(super) fn member_status(member: &Member<Identity>) -> MemberStatus {
    match (member.state(), member.id().phase) {
        (_, Phase::Left) => MemberStatus::Left,
        (foca::State::Down, _) => MemberStatus::Dead,
        (_, Phase::Draining) => MemberStatus::Draining,
        (foca::State::Alive, _) => MemberStatus::Alive,
        (foca::State::Suspect, _) => MemberStatus::Suspect,
    }
}
