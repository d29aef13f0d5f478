//! Log records of the membership task.

use membership::{FleetSize, MembershipEvent, Status};

/// Logs a change of the view or of this node's participation.
pub(super) fn log_event(event: &MembershipEvent) {
    match event {
        MembershipEvent::Up(id) => log::info!(event = "member_up", member = id.name, zone = id.zone,
            address:% = id.address, incarnation = id.incarnation, process = id.process_id, phase:? = id.phase;
            "member is present"),
        MembershipEvent::Down(id) => log::warn!(event = "member_down", member = id.name, zone = id.zone,
            address:% = id.address, incarnation = id.incarnation; "member was declared dead"),
        MembershipEvent::Left(id) => log::info!(event = "member_left", member = id.name, zone = id.zone,
            incarnation = id.incarnation; "member left"),
        MembershipEvent::Removed(name) => {
            log::info!(event = "member_removed", member = name; "removed dead or left member from the view")
        }
        MembershipEvent::Rejoined(incarnation) => log::warn!(event = "rejoined", incarnation = incarnation;
            "rejoined the fleet with a new incarnation"),
        MembershipEvent::NameConflict(id) => log::warn!(event = "name_conflict", address:% = id.address,
            process = id.process_id; "another process claims this node's name"),
        MembershipEvent::Yielded(id) => log::error!(event = "name_yielded", address:% = id.address,
            process = id.process_id;
            "yielded this node's name to a newer process; this process serves requests but is not a member"),
    }
}

/// Logs a change of the fleet size.
pub(super) fn log_fleet_size(size: &FleetSize) {
    log::info!(event = "fleet_size_changed", siblings = size.dispatchers, ordinal = size.ordinal,
        senders = size.senders; "fleet size changed");
}

/// Logs the protocol counters.
pub(super) fn log_counters(status: &Status) {
    let Status { counters, floods, .. } = status;
    let rejected = counters.rejected;
    log::info!(event = "membership_counters",
        sent = counters.sent, sent_bytes = counters.sent_bytes,
        received = counters.received, received_bytes = counters.received_bytes,
        states = counters.full_states, rates = counters.rate_messages, deaths = counters.deaths,
        returns = counters.rejoins, sessions = counters.sessions, floods = *floods,
        oversized = rejected.oversized, version = rejected.version, seal = rejected.unauthenticated,
        malformed = rejected.malformed, astray = rejected.misdirected, replayed = rejected.replayed,
        unproven = rejected.without_session;
        "membership counters");
}
