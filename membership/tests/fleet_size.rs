//! Fleet size, as derived from a view.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use membership::{FleetSize, MemberInfo, MemberStatus, OtherMembers};

fn member(name: &str, status: MemberStatus, status_age_ms: u64) -> MemberInfo {
    let address = "127.0.0.1:1".parse().unwrap();
    MemberInfo {
        name: name.into(),
        zone: String::new(),
        address,
        incarnation: 1,
        process_id: 1,
        status,
        status_age_ms,
    }
}

fn fleet_size(members: &[MemberInfo], planned_dispatchers: u32) -> FleetSize {
    FleetSize::from_members("m", &OtherMembers { members, joined: true }, planned_dispatchers)
}

#[test]
fn a_dead_member_is_excluded_from_dispatchers_after_a_delay_and_never_from_senders() {
    use MemberStatus::*;
    let members = |dead_for_ms| {
        [
            member("a", Alive, 0),
            member("b", Suspect, 0),
            member("c", Draining, 0),
            member("d", Left, 0),
            member("m", Alive, 0),
            member("x", Dead, dead_for_ms),
        ]
    };
    let recently_dead = fleet_size(&members(999), 3);
    assert_eq!((recently_dead.dispatchers, recently_dead.ordinal, recently_dead.senders), (4, 2, 5));
    let long_dead = fleet_size(&members(3_600_000), 3);
    assert_eq!((long_dead.dispatchers, long_dead.ordinal, long_dead.senders), (3, 2, 5));
    assert_eq!(long_dead.dispatcher_names, ["a", "b", "m"]);
    assert_eq!(fleet_size(&members(0), 20).senders, 20, "never below the planned number");
}

#[test]
fn a_node_that_never_saw_another_uses_the_planned_number() {
    let alone = FleetSize::from_members("m", &OtherMembers { members: &[], joined: false }, 7);
    assert_eq!((alone.dispatchers, alone.senders), (7, 7));
    assert_eq!(fleet_size(&[], 7).dispatchers, 1, "a node whose view became empty does not");
}
