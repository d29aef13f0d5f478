//! Many processes of the program with faults between them: what each tells of the others becomes equal and true, and
//! stays so. Steps wait for what is seen, with generous limits; the views' own pace is set fast.

use fleet::{MemberStatus, Status};
use rig::check::Truth;
use rig::load::{play, Load};
use rig::process::call;
use rig::relay::Rule;
use rig::yard::{Spec, Yard, TENANTS};
use rustix::process::Signal;
use std::net::{SocketAddr, UdpSocket};
use std::process::Command;
use std::time::Duration;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{sleep, timeout, Instant};

const S: Duration = Duration::from_secs(1);
/// For views to settle; they take some seconds.
const BOUND: Duration = Duration::from_secs(60);

/// Guards the machine against all fleets at once: a node that gets no processor is no fault of the fleet.
static PLACES: Semaphore = Semaphore::const_new(2);

async fn place() -> SemaphorePermit<'static> {
    PLACES.acquire().await.unwrap()
}

fn spec(nodes: usize) -> Spec {
    Spec::new(env!("CARGO_BIN_EXE_molevale"), nodes)
}

async fn started(spec: Spec) -> Yard {
    let nodes = spec.nodes;
    let yard = Yard::start(spec).await.unwrap();
    settled(&yard, 0..nodes).await;
    yard
}

/// All that run see each other, and nobody else.
async fn settled(yard: &Yard, running: impl IntoIterator<Item = usize>) -> Duration {
    truly(yard, &Yard::truth(running)).await
}

async fn truly(yard: &Yard, truth: &Truth) -> Duration {
    match yard.settled(truth, BOUND).await {
        Ok(took) => took,
        Err(wrong) => panic!("not settled after {BOUND:?}: {wrong:?}"),
    }
}

async fn status(yard: &Yard, viewer: usize, of: usize) -> Option<MemberStatus> {
    seen(yard, viewer, of).await.map(|s| s.2)
}

/// What a node tells.
async fn shown(yard: &Yard, i: usize) -> Option<Status> {
    yard.statuses().await.remove(&Yard::name(i))?
}

/// How one node sees another: where, in which life, and what it holds it to be.
async fn seen(yard: &Yard, viewer: usize, of: usize) -> Option<(SocketAddr, u64, MemberStatus)> {
    let view = shown(yard, viewer).await?.view;
    let line = view.members.into_iter().find(|m| m.name == Yard::name(of))?;
    Some((line.address, line.incarnation, line.status))
}

/// Waits until this holds.
async fn until<F: std::future::Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < BOUND, "not after {BOUND:?}: {what}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// How often a log tells of an event.
fn told(log: &str, event: &str) -> usize {
    let mark = format!("\"event\":\"{event}\"");
    log.lines().filter(|l| l.contains(&mark)).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_third_is_killed_at_once_and_all_are_restarted_at_once() {
    let _place = place().await;
    let mut yard = started(spec(9)).await;
    (0..3).for_each(|i| yard.kill(i)); // all seeds
    settled(&yard, 3..9).await;
    for (name, shown) in yard.statuses().await {
        let stand = shown.unwrap().fleet_size;
        assert_eq!((stand.siblings, stand.senders), (6, 9), "{name}");
    }
    // With all seeds gone, one that starts anew is found by those that hold it dead.
    yard.kill(5);
    settled(&yard, [3, 4, 6, 7, 8]).await;
    yard.start_node(5).unwrap();
    settled(&yard, 3..9).await;
    (0..9).for_each(|i| yard.kill(i));
    (0..9).for_each(|i| yard.start_node(i).unwrap());
    settled(&yard, 0..9).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn halves_hold_each_other_dead_and_find_each_other_again() {
    let _place = place().await;
    let yard = started(spec(8)).await;
    let parts = [0, 1, 0, 1, 0, 1, 0, 1];
    yard.relays.part(&parts);
    let mut truth = Yard::truth(0..8);
    truth.parts.values_mut().zip(parts).for_each(|(part, p)| *part = p);
    truly(&yard, &truth).await;
    sleep(3 * S).await; // both go on for a while, each for itself
    for (name, shown) in yard.statuses().await {
        let stand = shown.unwrap().fleet_size;
        // Each half may share the quotas alone, and neither what cold workers bear: the other half may be sending.
        assert_eq!((stand.siblings, stand.senders), (4, 8), "{name}");
    }
    yard.relays.heal();
    settled(&yard, 0..8).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_reaches_half_of_the_others_stays_and_one_cut_one_way_comes_back() {
    let _place = place().await;
    let yard = started(spec(8)).await;
    for to in [1, 3, 5, 7] {
        yard.relays.rule(0, to, Rule { cut: true, ..Rule::default() });
        yard.relays.rule(to, 0, Rule { cut: true, ..Rule::default() });
    }
    let start = Instant::now();
    while start.elapsed() < 5 * S {
        assert!(
            status(&yard, 1, 0).await.is_some_and(MemberStatus::is_present),
            "others reach it in its place"
        );
        sleep(S / 5).await;
    }
    yard.relays.heal();
    (1..8).for_each(|to| yard.relays.rule(0, to, Rule { cut: true, ..Rule::default() }));
    until("the others miss one that hears and is not heard", || async {
        status(&yard, 1, 0).await == Some(MemberStatus::Dead)
    })
    .await;
    yard.relays.heal();
    settled(&yard, 0..8).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fifth_of_all_datagrams_is_lost_and_nobody_is_held_dead_for_good() {
    let _place = place().await;
    let yard = started(spec(8)).await;
    let bad = Rule { loss: 0.2, twice: 0.1, mutated: 0.02, jitter_ms: 30, ..Rule::default() };
    yard.relays.everywhere(8, bad);
    let length = std::env::var("RIG_LONG").map_or(10 * S, |_| 60 * S);
    sleep(length).await;
    yard.relays.heal();
    settled(&yard, 0..8).await;
    let refused: u64 = yard.statuses().await.values().flatten().map(|s| s.counters.refused.seal).sum();
    assert!(refused > 0, "mutated ones were refused");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopped_process_learns_that_it_was_held_dead_and_comes_back() {
    let _place = place().await;
    let mut yard = started(spec(8)).await;
    yard.node(6).stop();
    settled(&yard, [0, 1, 2, 3, 4, 5, 7]).await;
    let deaths = |yard: &Yard| (0..8).map(|i| told(&yard.log(i), "member_down")).sum::<usize>();
    let before = deaths(&yard);
    yard.node(6).go_on();
    settled(&yard, 0..8).await;
    assert_eq!(told(&yard.log(6), "returned"), 1);
    assert_eq!(deaths(&yard), before, "what nobody answered it while it stood still is held against nobody");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restart_before_the_death_was_noticed_is_a_new_life() {
    let _place = place().await;
    let mut yard = started(spec(8)).await;
    let before = shown(&yard, 2).await.unwrap().view.incarnation;
    yard.kill(2);
    yard.start_node(2).unwrap();
    settled(&yard, 0..8).await;
    assert!(shown(&yard, 2).await.unwrap().view.incarnation > before);
    assert!((0..8).all(|i| told(&yard.log(i), "member_down") == 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_processes_with_one_name_one_yields_and_no_view_flaps() {
    let _place = place().await;
    let mut yard = Yard::prepare(spec(8)).await.unwrap();
    (0..7).for_each(|i| yard.start_node(i).unwrap());
    settled(&yard, 0..7).await;
    yard.start_as(7, &Yard::name(4)).unwrap();
    let at = yard.advertise(7);
    until("the older one yields", || async {
        shown(&yard, 4).await.is_some_and(|s| s.view.yielded_to == Some(at))
    })
    .await;
    until("the others know the newer one", || async {
        seen(&yard, 0, 4).await.is_some_and(|s| s.0 == at && s.2 == MemberStatus::Alive)
    })
    .await;
    let first = seen(&yard, 0, 4).await;
    let start = Instant::now();
    while start.elapsed() < 5 * S {
        assert_eq!(seen(&yard, 0, 4).await, first);
        sleep(S / 5).await;
    }
    let said = yard.log(4);
    assert!(told(&said, "yielded") == 1 && told(&said, "rival") >= 1, "{said}");
    // It serves all the same, and takes its place again when the other is gone.
    assert_eq!(call(yard.listen(4), "GET", "/up").await.map(|a| a.0), Some(200));
    yard.kill(7);
    settled(&yard, 0..7).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_is_told_to_end_leaves_and_one_that_drains_is_no_sibling() {
    let _place = place().await;
    let mut yard = started(spec(6)).await;
    let at = yard.node(2).management;
    assert_eq!(call(at, "POST", "/healthcheck/fail").await.map(|a| a.0), Some(200));
    until("one fewer takes jobs", || async {
        shown(&yard, 0).await.is_some_and(|s| (s.fleet_size.siblings, s.fleet_size.senders) == (5, 6))
    })
    .await;
    assert_eq!(status(&yard, 0, 2).await, Some(MemberStatus::Draining));
    yard.node(2).signal(Signal::TERM);
    until("it ended", || std::future::ready(yard.node(2).ended().is_some())).await;
    until("it left, and did not die", || async { status(&yard, 0, 2).await == Some(MemberStatus::Left) })
        .await;
    settled(&yard, [0, 1, 3, 4, 5]).await;
    assert!([0, 1, 3, 4, 5].iter().all(|i| told(&yard.log(*i), "member_down") == 0));
}

/// Both processes of a node at an upgrade, either killed or stopped at each step: the node keeps its place.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upgrade_is_one_node_whatever_becomes_of_either_process() {
    let _place = place().await;
    let mut yard = started(spec(5)).await;
    let up = |at| async move { call(at, "GET", "/healthcheck").await.map(|a| a.0) == Some(200) };
    let dead = |yard: &Yard| [0, 1, 3, 4].iter().map(|i| told(&yard.log(*i), "member_down")).sum::<usize>();

    // As it should go.
    yard.start_node(2).unwrap();
    let at = yard.node(2).management;
    until("the new process serves", || up(at)).await;
    settled(&yard, 0..5).await;
    yard.before[0].signal(Signal::TERM);
    until("the old one ends", || std::future::ready(yard.before[0].ended().is_some())).await;
    settled(&yard, 0..5).await;
    assert_eq!(dead(&yard), 0);
    yard.before.clear();

    // The new one is killed before it serves: the old one goes on as if nothing had been.
    yard.start_node(2).unwrap();
    yard.kill(2);
    yard.nodes[2] = yard.before.pop();
    settled(&yard, 0..5).await;

    // The new one is killed right after it took over: the old one takes its place back.
    yard.start_node(2).unwrap();
    let at = yard.node(2).management;
    until("the new process serves", || up(at)).await;
    yard.kill(2);
    yard.nodes[2] = yard.before.pop();
    settled(&yard, 0..5).await;

    // The old one stands still before it is asked: the new one serves beside it, and is heard in its place.
    yard.node(2).stop();
    yard.start_node(2).unwrap();
    let at = yard.node(2).management;
    until("the new process serves", || up(at)).await;
    settled(&yard, 0..5).await;
    yard.before[0].go_on();
    sleep(2 * S).await; // it may want its place back; it is the older one
    settled(&yard, 0..5).await;
    yard.before.clear();
    settled(&yard, 0..5).await;

    // The old one stands still, or dies, after the hand-over.
    for kill in [false, true] {
        yard.start_node(2).unwrap();
        let at = yard.node(2).management;
        until("the new process serves", || up(at)).await;
        match kill {
            true => yard.before.clear(),
            false => yard.before[0].stop(),
        }
        settled(&yard, 0..5).await;
        yard.before.clear();
    }

    // The new one stands still after the hand-over, for longer than a suspicion: the node is gone, and comes back.
    yard.start_node(2).unwrap();
    let at = yard.node(2).management;
    until("the new process serves", || up(at)).await;
    yard.node(2).stop();
    settled(&yard, [0, 1, 3, 4]).await;
    yard.node(2).go_on();
    settled(&yard, 0..5).await;
}

/// Whoever has no key, the wrong one, or old datagrams, changes nothing; a flood costs no job its time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn strangers_replays_and_floods_change_nothing() {
    let _place = place().await;
    let mut yard = started(Spec { workers: 3, quota: 100.0, ..spec(6) }).await;
    yard.relays.tape();
    sleep(3 * S).await;
    // What the dead one said is said again, to all, many times: it stays dead.
    yard.kill(5);
    settled(&yard, 0..5).await;
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for node in 0..5 {
        for taped in (0..6).flat_map(|to| yard.relays.taped(to)) {
            socket.send_to(&taped, yard.talk(node)).unwrap();
        }
    }
    settled(&yard, 0..5).await;
    let load = Load { rate: 15.0, length: 5 * S, seed: 3, tenants: TENANTS.map(String::from).to_vec() };
    let calm = timeout(BOUND, play(load.clone(), vec![yard.listen(0)])).await.unwrap();
    // A flood, from here on, of whatever.
    let target = yard.talk(0);
    let flood = std::thread::spawn(move || {
        let start = std::time::Instant::now();
        let mut sent = 0u64;
        while start.elapsed() < 6 * S {
            let bytes = [sent as u8; 1800];
            let length = [3, 60, 1399, 1800][sent as usize % 4];
            let _ = socket.send_to(&bytes[..length], target);
            sent += 1;
            if sent.is_multiple_of(64) {
                std::thread::sleep(Duration::from_millis(1));
            }
        }
        sent
    });
    let memory = yard.node(0).memory_kib().unwrap();
    let ticks = yard.node(0).ticks().unwrap();
    let report = timeout(BOUND, play(load, vec![yard.listen(0)])).await.unwrap();
    let sent = flood.join().unwrap();
    assert!(sent > 20_000, "{sent}");
    assert!(report.in_time + report.due / 10 >= calm.in_time, "{report}, and before that {calm}");
    let grown = yard.node(0).memory_kib().unwrap() - memory.min(yard.node(0).memory_kib().unwrap());
    assert!(grown < 8 * 1024, "{grown} KiB more");
    let used = yard.node(0).ticks().unwrap() - ticks;
    assert!(used < 250, "{used} hundredths of a second, of about 500, jobs included");
    settled(&yard, 0..5).await;
    let told = shown(&yard, 0).await.unwrap();
    let refused = told.counters.refused;
    assert!(refused.replayed + refused.astray + refused.unproven > 0, "{refused:?}");
    assert!(refused.oversized > 0 && refused.malformed > 0 && told.floods > 0, "{refused:?}");

    // Another key: neither side takes what the other sends.
    std::fs::write(yard.folder().join("fleet.key"), "current 00112233445566778899aabbccddeeff").unwrap();
    yard.start_node(5).unwrap();
    settled(&yard, 0..5).await;
    let alone = shown(&yard, 5).await.unwrap();
    assert!(!alone.view.joined && alone.fleet_size.siblings == 6, "one that hears nobody goes by the plan");
    yard.kill(5);

    // Keys change under SIGHUP, one step after the other, with all in one fleet at each.
    let new = "5a".repeat(32);
    let steps = [
        format!("{}previous {new}\n", rig::yard::KEY),
        format!("current {new}\n{}", rig::yard::KEY.replace("current", "previous")),
        format!("current {new}\n"),
    ];
    for keys in steps {
        std::fs::write(yard.folder().join("fleet.key"), keys).unwrap();
        for i in 0..5 {
            yard.node(i).signal(Signal::HUP);
            settled(&yard, 0..5).await;
        }
    }
    yard.start_node(5).unwrap();
    settled(&yard, 0..6).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_tell_each_other_the_tenants_rates_and_operators_the_view() {
    let _place = place().await;
    let mut yard = started(Spec { workers: 3, quota: 20.0, ..spec(4) }).await;
    let load = Load { rate: 20.0, length: 4 * S, seed: 5, tenants: TENANTS.map(String::from).to_vec() };
    let report = play(load, (0..4).map(|i| yard.listen(i)).collect()).await;
    assert!(report.in_time > report.due / 2, "{report}");
    for (name, shown) in yard.statuses().await {
        assert!(shown.unwrap().counters.rates > 0, "{name} heard of nobody's tenants");
    }
    let at = yard.node(1).management.to_string();
    let show = |arguments: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_molevale")).args(arguments).output().unwrap();
        (out.status.code(), String::from_utf8(out.stdout).unwrap(), String::from_utf8(out.stderr).unwrap())
    };
    let (code, out, _) = show(&["fleet", "show", &at]);
    assert_eq!(code, Some(0));
    assert!(out.starts_with("fleet rig, as n01 sees it: 4 take jobs, 4 may be sending\n"), "{out}");
    assert!((0..4).all(|i| out.contains(&Yard::name(i))) && out.matches(" alive ").count() == 4, "{out}");
    let (_, json, _) = show(&["fleet", "show", &at, "--json"]);
    let shown: fleet::Status = serde_json::from_str(&json).unwrap();
    assert_eq!(shown.view.members.len(), 4);
    yard.kill(1);
    let (code, _, said) = show(&["fleet", "show", &at]);
    assert!(code == Some(1) && said.starts_with("molevale: ") && said.lines().count() == 1, "{said}");
}
