//! Membership of real processes with faults between them: their views become equal and true, and stay so. Each step waits
//! for what it needs to see, with a generous limit; the timing of the protocol is set short.
#![allow(clippy::too_many_lines, reason = "a test is a script of steps")]
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use membership::{MemberStatus, Status};
use rustix::process::Signal;
use std::net::{SocketAddr, UdpSocket};
use std::process::Command;
use std::time::Duration;
use testbed::check::ExpectedViews;
use testbed::cluster::{Cluster, Spec, TENANTS};
use testbed::fault_proxy::LinkRule;
use testbed::load::{run_load, Load, Report};
use testbed::process::call;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{sleep, timeout, Instant};

const S: Duration = Duration::from_secs(1);
/// Time limit for views to converge, which takes some seconds.
const BOUND: Duration = Duration::from_secs(60);

/// Limits the clusters that run at once: a node that gets no processor time is no fault of membership.
static CLUSTER_SLOTS: Semaphore = Semaphore::const_new(2);

async fn cluster_slot() -> SemaphorePermit<'static> {
    CLUSTER_SLOTS.acquire().await.unwrap()
}

fn spec(nodes: usize) -> Spec {
    Spec::new(env!("CARGO_BIN_EXE_molevale"), nodes)
}

async fn started(spec: Spec) -> Cluster {
    let nodes = spec.nodes;
    let cluster = Cluster::start(spec).await.unwrap();
    settled(&cluster, 0..nodes).await;
    cluster
}

/// Waits until the views of all running nodes hold each other, and nobody else.
async fn settled(cluster: &Cluster, running: impl IntoIterator<Item = usize>) -> Duration {
    truly(cluster, &Cluster::expected_views(running)).await
}

async fn truly(cluster: &Cluster, expected: &ExpectedViews) -> Duration {
    match cluster.settled(expected, BOUND).await {
        Ok(took) => took,
        Err(wrong) => panic!("not settled after {BOUND:?}: {wrong:?}"),
    }
}

async fn status(cluster: &Cluster, viewer: usize, of: usize) -> Option<MemberStatus> {
    seen(cluster, viewer, of).await.map(|s| s.2)
}

/// Status report of a node.
async fn status_of(cluster: &Cluster, i: usize) -> Option<Status> {
    cluster.statuses().await.remove(&Cluster::name(i))?
}

/// Address, incarnation and status under which one node knows another.
async fn seen(cluster: &Cluster, viewer: usize, of: usize) -> Option<(SocketAddr, u64, MemberStatus)> {
    let view = status_of(cluster, viewer).await?.view;
    let line = view.members.into_iter().find(|m| m.name == Cluster::name(of))?;
    Some((line.address, line.incarnation, line.status))
}

/// Waits until a condition holds.
async fn until<F: std::future::Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < BOUND, "not after {BOUND:?}: {what}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Number of log records of an event.
fn count_events(log: &str, event: &str) -> usize {
    let mark = format!("\"event\":\"{event}\"");
    log.lines().filter(|l| l.contains(&mark)).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn views_converge_after_a_third_is_killed_and_after_all_restart() {
    let _slot = cluster_slot().await;
    let mut cluster = started(spec(9)).await;
    (0..3).for_each(|i| cluster.kill(i)); // all seeds
    settled(&cluster, 3..9).await;
    for (name, shown) in cluster.statuses().await {
        let stand = shown.unwrap().fleet_size;
        assert_eq!((stand.dispatchers, stand.senders), (6, 9), "{name}");
    }
    // With all seeds gone, one that starts anew is found by those that hold it dead.
    cluster.kill(5);
    settled(&cluster, [3, 4, 6, 7, 8]).await;
    cluster.start_node(5).unwrap();
    settled(&cluster, 3..9).await;
    (0..9).for_each(|i| cluster.kill(i));
    (0..9).for_each(|i| cluster.start_node(i).unwrap());
    settled(&cluster, 0..9).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partitioned_halves_declare_each_other_dead_and_merge_after_healing() {
    let _slot = cluster_slot().await;
    let cluster = started(spec(8)).await;
    let parts = [0, 1, 0, 1, 0, 1, 0, 1];
    cluster.proxies.partition(&parts);
    let mut expected = Cluster::expected_views(0..8);
    expected.partitions.values_mut().zip(parts).for_each(|(part, p)| *part = p);
    truly(&cluster, &expected).await;
    sleep(3 * S).await; // both go on for a while, each for itself
    for (name, shown) in cluster.statuses().await {
        let stand = shown.unwrap().fleet_size;
        // Each half may share the quotas alone, and neither what cold workers bear: the other half may be sending.
        assert_eq!((stand.dispatchers, stand.senders), (4, 8), "{name}");
    }
    cluster.proxies.heal();
    settled(&cluster, 0..8).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partially_reachable_member_stays_and_one_way_partition_heals() {
    let _slot = cluster_slot().await;
    let cluster = started(spec(8)).await;
    for to in [1, 3, 5, 7] {
        cluster.proxies.set_rule(0, to, LinkRule { cut: true, ..LinkRule::default() });
        cluster.proxies.set_rule(to, 0, LinkRule { cut: true, ..LinkRule::default() });
    }
    let start = Instant::now();
    while start.elapsed() < 5 * S {
        assert!(
            status(&cluster, 1, 0).await.is_some_and(MemberStatus::is_present),
            "others reach it in its place"
        );
        sleep(S / 5).await;
    }
    cluster.proxies.heal();
    (1..8).for_each(|to| cluster.proxies.set_rule(0, to, LinkRule { cut: true, ..LinkRule::default() }));
    until("the others miss one that hears and is not heard", || async {
        status(&cluster, 1, 0).await == Some(MemberStatus::Dead)
    })
    .await;
    cluster.proxies.heal();
    settled(&cluster, 0..8).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn views_converge_after_a_fifth_of_datagrams_was_lost() {
    let _slot = cluster_slot().await;
    let cluster = started(spec(8)).await;
    let bad = LinkRule { loss: 0.2, twice: 0.1, mutated: 0.02, jitter_ms: 30, ..LinkRule::default() };
    cluster.proxies.set_default_rule(8, bad);
    let length = std::env::var("TESTBED_LONG").map_or(10 * S, |_| 60 * S);
    sleep(length).await;
    cluster.proxies.heal();
    settled(&cluster, 0..8).await;
    let refused: u64 =
        cluster.statuses().await.values().flatten().map(|s| s.counters.rejected.unauthenticated).sum();
    assert!(refused > 0, "mutated ones were refused");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_process_rejoins_and_declares_nobody_dead() {
    let _slot = cluster_slot().await;
    let mut cluster = started(spec(8)).await;
    cluster.node(6).stop();
    settled(&cluster, [0, 1, 2, 3, 4, 5, 7]).await;
    let deaths =
        |cluster: &Cluster| (0..8).map(|i| count_events(&cluster.log(i), "member_down")).sum::<usize>();
    let before = deaths(&cluster);
    cluster.node(6).resume();
    settled(&cluster, 0..8).await;
    assert_eq!(count_events(&cluster.log(6), "rejoined"), 1);
    assert_eq!(
        deaths(&cluster),
        before,
        "what nobody answered it while it stood still is held against nobody"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_before_detection_takes_a_higher_incarnation() {
    let _slot = cluster_slot().await;
    let mut cluster = started(spec(8)).await;
    let before = status_of(&cluster, 2).await.unwrap().view.incarnation;
    cluster.kill(2);
    cluster.start_node(2).unwrap();
    settled(&cluster, 0..8).await;
    assert!(status_of(&cluster, 2).await.unwrap().view.incarnation > before);
    assert!((0..8).all(|i| count_events(&cluster.log(i), "member_down") == 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn older_of_two_processes_with_one_name_yields_without_flapping() {
    let _slot = cluster_slot().await;
    let mut cluster = Cluster::prepare(spec(8)).await.unwrap();
    (0..7).for_each(|i| cluster.start_node(i).unwrap());
    settled(&cluster, 0..7).await;
    cluster.start_as(7, &Cluster::name(4)).unwrap();
    let at = cluster.advertise(7);
    until("the older one yields", || async {
        status_of(&cluster, 4).await.is_some_and(|s| s.view.yielded_to == Some(at))
    })
    .await;
    until("the others know the newer one", || async {
        seen(&cluster, 0, 4).await.is_some_and(|s| s.0 == at && s.2 == MemberStatus::Alive)
    })
    .await;
    let first = seen(&cluster, 0, 4).await;
    let start = Instant::now();
    while start.elapsed() < 5 * S {
        assert_eq!(seen(&cluster, 0, 4).await, first);
        sleep(S / 5).await;
    }
    let said = cluster.log(4);
    assert!(count_events(&said, "name_yielded") == 1 && count_events(&said, "name_conflict") >= 1, "{said}");
    // It serves all the same, and takes its place again when the other is gone.
    assert_eq!(call(cluster.listen(4), "GET", "/up").await.map(|a| a.0), Some(200));
    cluster.kill(7);
    settled(&cluster, 0..7).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn terminated_member_leaves_and_draining_member_is_no_sibling() {
    let _slot = cluster_slot().await;
    let mut cluster = started(spec(6)).await;
    let at = cluster.node(2).management;
    assert_eq!(call(at, "POST", "/healthcheck/fail").await.map(|a| a.0), Some(200));
    until("one fewer takes jobs", || async {
        status_of(&cluster, 0)
            .await
            .is_some_and(|s| (s.fleet_size.dispatchers, s.fleet_size.senders) == (5, 6))
    })
    .await;
    assert_eq!(status(&cluster, 0, 2).await, Some(MemberStatus::Draining));
    cluster.node(2).signal(Signal::TERM);
    until("it ended", || std::future::ready(cluster.node(2).exit_status().is_some())).await;
    until("it left, and did not die", || async { status(&cluster, 0, 2).await == Some(MemberStatus::Left) })
        .await;
    settled(&cluster, [0, 1, 3, 4, 5]).await;
    assert!([0, 1, 3, 4, 5].iter().all(|i| count_events(&cluster.log(*i), "member_down") == 0));
}

/// Both processes of a node at an upgrade, either killed or stopped at each step: the node keeps its place.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[allow(clippy::too_many_lines, reason = "one scenario, step by step")]
async fn process_handover_keeps_the_member_whichever_process_fails() {
    let _slot = cluster_slot().await;
    let mut cluster = started(spec(5)).await;
    let up = |at| async move { call(at, "GET", "/healthcheck").await.map(|a| a.0) == Some(200) };
    let dead = |cluster: &Cluster| {
        [0, 1, 3, 4].iter().map(|i| count_events(&cluster.log(*i), "member_down")).sum::<usize>()
    };

    // As it should go.
    cluster.start_node(2).unwrap();
    let at = cluster.node(2).management;
    until("the new process serves", || up(at)).await;
    settled(&cluster, 0..5).await;
    cluster.predecessors[0].signal(Signal::TERM);
    until("the old one ends", || std::future::ready(cluster.predecessors[0].exit_status().is_some())).await;
    settled(&cluster, 0..5).await;
    assert_eq!(dead(&cluster), 0);
    cluster.predecessors.clear();

    // The new one is killed before it serves: the old one goes on as if nothing had been.
    cluster.start_node(2).unwrap();
    cluster.kill(2);
    cluster.nodes[2] = cluster.predecessors.pop();
    settled(&cluster, 0..5).await;

    // The new one is killed right after it took over: the old one takes its place back.
    cluster.start_node(2).unwrap();
    let at = cluster.node(2).management;
    until("the new process serves", || up(at)).await;
    cluster.kill(2);
    cluster.nodes[2] = cluster.predecessors.pop();
    settled(&cluster, 0..5).await;

    // The old one stands still before it is asked: the new one serves beside it, and is heard in its place.
    cluster.node(2).stop();
    cluster.start_node(2).unwrap();
    let at = cluster.node(2).management;
    until("the new process serves", || up(at)).await;
    settled(&cluster, 0..5).await;
    cluster.predecessors[0].resume();
    sleep(2 * S).await; // it may want its place back; it is the older one
    settled(&cluster, 0..5).await;
    cluster.predecessors.clear();
    settled(&cluster, 0..5).await;

    // The old one stands still, or dies, after the hand-over.
    for kill in [false, true] {
        cluster.start_node(2).unwrap();
        let at = cluster.node(2).management;
        until("the new process serves", || up(at)).await;
        match kill {
            true => cluster.predecessors.clear(),
            false => cluster.predecessors[0].stop(),
        }
        settled(&cluster, 0..5).await;
        cluster.predecessors.clear();
    }

    // The new one stands still after the hand-over, for longer than a suspicion: the node is gone, and comes back.
    cluster.start_node(2).unwrap();
    let at = cluster.node(2).management;
    until("the new process serves", || up(at)).await;
    cluster.node(2).stop();
    settled(&cluster, [0, 1, 3, 4]).await;
    cluster.node(2).resume();
    settled(&cluster, 0..5).await;
}

/// Sends datagrams of several lengths, none of them valid, for a time. Returns how many.
fn flood(target: SocketAddr, length: Duration) -> u64 {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let start = std::time::Instant::now();
    let mut sent = 0u64;
    while start.elapsed() < length {
        let bytes = [sent as u8; 1800];
        let length = [3, 60, 1399, 1800][sent as usize % 4];
        let _ = socket.send_to(&bytes[..length], target);
        sent += 1;
        if sent.is_multiple_of(64) {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    sent
}

/// Jobs of one load that were due, and that were served in time.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    due: u64,
    in_time: u64,
}

impl Served {
    fn add(&mut self, report: &Report) {
        self.due += report.due;
        self.in_time += report.in_time;
    }

    fn share(self) -> f64 {
        self.in_time as f64 / self.due as f64
    }
}

/// Plays a load against a node that is flooded, and one of the same rate against a node that is not, at the same time.
/// Checks the resources that the flood costs.
async fn play_flooded_and_calm(cluster: &mut Cluster, [hit, spared]: [usize; 2], seed: u64) -> [Report; 2] {
    let load = |seed| Load { rate: 15.0, duration: 5 * S, seed, tenants: TENANTS.map(String::from).to_vec() };
    let (memory, ticks) = (cluster.node(hit).memory_kib().unwrap(), cluster.node(hit).cpu_ticks().unwrap());
    let target = cluster.gossip_address(hit);
    let flooding = std::thread::spawn(move || flood(target, 6 * S));
    let plays = async {
        tokio::join!(
            run_load(load(seed), vec![cluster.listen(hit)]),
            run_load(load(seed + 1), vec![cluster.listen(spared)])
        )
    };
    let (flooded, calm) = timeout(BOUND, plays).await.unwrap();
    let sent = flooding.join().unwrap();
    assert!(sent > 20_000, "{sent}");
    let grown = cluster.node(hit).memory_kib().unwrap().saturating_sub(memory);
    assert!(grown < 8 * 1024, "{grown} KiB more");
    let used = cluster.node(hit).cpu_ticks().unwrap() - ticks;
    assert!(used < 250, "{used} hundredths of a second, of about 500, jobs included");
    [flooded, calm]
}

/// Two nodes, one flooded and one not, have the same load in the same seconds, so that whatever else the machine and the
/// workers do concerns both alike. Then they swap.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn flood_of_datagrams_costs_no_job_its_deadline() {
    let _slot = cluster_slot().await;
    let mut cluster = started(Spec { workers: 6, quota: 100.0, ..spec(6) }).await;
    sleep(9 * S).await; // the workers are warm then
    let (mut flooded, mut calm) = (Served::default(), Served::default());
    for (nodes, seed) in [([0, 1], 3), ([1, 0], 5)] {
        let [of_flooded, of_calm] = play_flooded_and_calm(&mut cluster, nodes, seed).await;
        flooded.add(&of_flooded);
        calm.add(&of_calm);
    }
    assert!(calm.share() > 0.5, "{calm:?}");
    assert!(flooded.share() + 0.1 >= calm.share(), "flooded {flooded:?}, at the same time calm {calm:?}");
    settled(&cluster, 0..6).await;
    for node in [0, 1] {
        let status = status_of(&cluster, node).await.unwrap();
        let rejected = status.counters.rejected;
        assert!(rejected.oversized > 0 && rejected.malformed > 0 && status.floods > 0, "{rejected:?}");
    }
}

/// A process without the key, or with datagrams of earlier, changes nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replayed_datagrams_and_processes_with_another_key_change_nothing() {
    let _slot = cluster_slot().await;
    let mut cluster = started(Spec { workers: 3, quota: 100.0, ..spec(6) }).await;
    cluster.proxies.start_recording();
    sleep(3 * S).await;
    // What the dead one said is said again, to all, many times: it stays dead.
    cluster.kill(5);
    settled(&cluster, 0..5).await;
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for node in 0..5 {
        for taped in (0..6).flat_map(|to| cluster.proxies.recorded(to)) {
            socket.send_to(&taped, cluster.gossip_address(node)).unwrap();
        }
    }
    settled(&cluster, 0..5).await;
    let rejected = status_of(&cluster, 0).await.unwrap().counters.rejected;
    assert!(rejected.replayed + rejected.misdirected + rejected.without_session > 0, "{rejected:?}");

    // Another key: neither side takes what the other sends.
    std::fs::write(cluster.folder().join("fleet.key"), "current 00112233445566778899aabbccddeeff").unwrap();
    cluster.start_node(5).unwrap();
    settled(&cluster, 0..5).await;
    let alone = status_of(&cluster, 5).await.unwrap();
    assert!(
        !alone.view.joined && alone.fleet_size.dispatchers == 6,
        "one that hears nobody goes by the plan"
    );
    cluster.kill(5);

    // Keys change under SIGHUP, one step after the other, with all in one fleet at each.
    let new = "5a".repeat(32);
    let steps = [
        format!("{}previous {new}\n", testbed::cluster::KEY_FILE_TEXT),
        format!("current {new}\n{}", testbed::cluster::KEY_FILE_TEXT.replace("current", "previous")),
        format!("current {new}\n"),
    ];
    for keys in steps {
        std::fs::write(cluster.folder().join("fleet.key"), keys).unwrap();
        for i in 0..5 {
            cluster.node(i).signal(Signal::HUP);
            settled(&cluster, 0..5).await;
        }
    }
    cluster.start_node(5).unwrap();
    settled(&cluster, 0..6).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tenant_rates_are_exchanged_and_fleet_show_prints_the_view() {
    let _slot = cluster_slot().await;
    let mut cluster = started(Spec { workers: 3, quota: 20.0, ..spec(4) }).await;
    let load = Load { rate: 20.0, duration: 4 * S, seed: 5, tenants: TENANTS.map(String::from).to_vec() };
    let report = run_load(load, (0..4).map(|i| cluster.listen(i)).collect()).await;
    assert!(report.in_time > report.due / 2, "{report}");
    for (name, shown) in cluster.statuses().await {
        assert!(shown.unwrap().counters.rate_messages > 0, "{name} heard of nobody's tenants");
    }
    let at = cluster.node(1).management.to_string();
    let show = |arguments: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_molevale")).args(arguments).output().unwrap();
        (out.status.code(), String::from_utf8(out.stdout).unwrap(), String::from_utf8(out.stderr).unwrap())
    };
    let (code, out, _) = show(&["fleet", "show", &at]);
    assert_eq!(code, Some(0));
    assert!(out.starts_with("fleet testbed, as n01 sees it: 4 take jobs, 4 may be sending\n"), "{out}");
    assert!((0..4).all(|i| out.contains(&Cluster::name(i))) && out.matches(" alive ").count() == 4, "{out}");
    let (_, json, _) = show(&["fleet", "show", &at, "--json"]);
    let shown: membership::Status = serde_json::from_str(&json).unwrap();
    assert_eq!(shown.view.members.len(), 4);
    cluster.kill(1);
    let (code, _, said) = show(&["fleet", "show", &at]);
    assert!(code == Some(1) && said.starts_with("molevale: ") && said.lines().count() == 1, "{said}");
}
