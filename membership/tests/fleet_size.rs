//! Fleet size derived from a view.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use membership::{FleetSize, MemberInfo, MemberStatus, OtherMembers};

fn member(name: &str, status: MemberStatus, for_ms: u64) -> MemberInfo {
    let address = "127.0.0.1:1".parse().unwrap();
    MemberInfo {
        name: name.into(),
        zone: String::new(),
        address,
        incarnation: 1,
        process_id: 1,
        status,
        status_age_ms: for_ms,
    }
}

fn fleet_size(members: &[MemberInfo], planned: u32) -> FleetSize {
    FleetSize::from_members("m", &OtherMembers { members, joined: true }, planned)
}

#[test]
fn the_dead_shrink_the_siblings_late_and_the_senders_never() {
    use MemberStatus::*;
    let members = |dead_for| {
        [
            member("a", Alive, 0),
            member("b", Suspect, 0),
            member("c", Draining, 0),
            member("d", Left, 0),
            member("m", Alive, 0),
            member("x", Dead, dead_for),
        ]
    };
    let recently_dead = fleet_size(&members(999), 3);
    assert_eq!((recently_dead.dispatchers, recently_dead.ordinal, recently_dead.senders), (4, 2, 5));
    let old = fleet_size(&members(3_600_000), 3);
    assert_eq!((old.dispatchers, old.ordinal, old.senders), (3, 2, 5));
    assert_eq!(old.dispatcher_names, ["a", "b", "m"]);
    assert_eq!(fleet_size(&members(0), 20).senders, 20, "nor ever under the plan");
}

#[test]
fn a_node_that_has_heard_of_nobody_goes_by_the_plan() {
    let alone = FleetSize::from_members("m", &OtherMembers { members: &[], joined: false }, 7);
    assert_eq!((alone.dispatchers, alone.senders), (7, 7));
    assert_eq!(fleet_size(&[], 7).dispatchers, 1, "while one that saw all others go does not");
}
