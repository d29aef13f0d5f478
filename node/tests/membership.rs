//! Membership of real processes with injected network faults: their views converge to the true state and stay there. Each
//! step waits for an observed condition, with a generous timeout; the protocol runs with short intervals.
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

const SECOND: Duration = Duration::from_secs(1);
/// Time limit for views to converge, which takes some seconds.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Limits the clusters that run at once: a node that gets no processor time is no fault of membership.
static CLUSTER_SLOTS: Semaphore = Semaphore::const_new(2);

async fn cluster_slot() -> SemaphorePermit<'static> {
    CLUSTER_SLOTS.acquire().await.unwrap()
}

fn spec(nodes: usize) -> Spec {
    Spec::new(env!("CARGO_BIN_EXE_molevale"), nodes)
}

async fn start_cluster(spec: Spec) -> Cluster {
    let nodes = spec.nodes;
    let cluster = Cluster::start(spec).await.unwrap();
    wait_until_settled(&cluster, 0..nodes).await;
    cluster
}

/// Waits until the views of all running nodes contain exactly the running nodes.
async fn wait_until_settled(cluster: &Cluster, running: impl IntoIterator<Item = usize>) -> Duration {
    wait_for_views(cluster, &Cluster::expected_views(running)).await
}

async fn wait_for_views(cluster: &Cluster, expected: &ExpectedViews) -> Duration {
    match cluster.settled(expected, CONVERGENCE_TIMEOUT).await {
        Ok(took) => took,
        Err(differences) => panic!("views did not converge in {CONVERGENCE_TIMEOUT:?}: {differences:?}"),
    }
}

async fn member_status(cluster: &Cluster, viewer: usize, of: usize) -> Option<MemberStatus> {
    known_member(cluster, viewer, of).await.map(|s| s.2)
}

/// Status report of a node.
async fn node_status(cluster: &Cluster, i: usize) -> Option<Status> {
    cluster.statuses().await.remove(&Cluster::name(i))?
}

/// Address, incarnation and status under which one node knows another.
async fn known_member(
    cluster: &Cluster,
    viewer: usize,
    of: usize,
) -> Option<(SocketAddr, u64, MemberStatus)> {
    let view = node_status(cluster, viewer).await?.view;
    let member = view.members.into_iter().find(|m| m.name == Cluster::name(of))?;
    Some((member.address, member.incarnation, member.status))
}

/// Waits until a condition holds.
async fn wait_until<F: std::future::Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < CONVERGENCE_TIMEOUT, "not within {CONVERGENCE_TIMEOUT:?}: {what}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Number of log records with this event.
fn count_events(log: &str, event: &str) -> usize {
    let field = format!("\"event\":\"{event}\"");
    log.lines().filter(|l| l.contains(&field)).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn views_converge_after_a_third_is_killed_and_after_all_restart() {
    let _slot = cluster_slot().await;
    let mut cluster = start_cluster(spec(9)).await;
    (0..3).for_each(|i| cluster.kill(i)); // all of the seeds
    wait_until_settled(&cluster, 3..9).await;
    for (name, status) in cluster.statuses().await {
        let size = status.unwrap().fleet_size;
        assert_eq!((size.dispatchers, size.senders), (6, 9), "{name}");
    }
    // Without seeds, a restarted node is found by the members that consider it dead.
    cluster.kill(5);
    wait_until_settled(&cluster, [3, 4, 6, 7, 8]).await;
    cluster.start_node(5).unwrap();
    wait_until_settled(&cluster, 3..9).await;
    (0..9).for_each(|i| cluster.kill(i));
    (0..9).for_each(|i| cluster.start_node(i).unwrap());
    wait_until_settled(&cluster, 0..9).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partitioned_halves_declare_each_other_dead_and_merge_after_healing() {
    let _slot = cluster_slot().await;
    let cluster = start_cluster(spec(8)).await;
    let partition_of = [0, 1, 0, 1, 0, 1, 0, 1];
    cluster.proxies.partition(&partition_of);
    let mut expected = Cluster::expected_views(0..8);
    expected.partitions.values_mut().zip(partition_of).for_each(|(partition, p)| *partition = p);
    wait_for_views(&cluster, &expected).await;
    sleep(3 * SECOND).await; // both halves run on separately for a while
    for (name, status) in cluster.statuses().await {
        let size = status.unwrap().fleet_size;
        // Each half divides the quotas among itself, but not the limits of cold workers: the other half may still be sending.
        assert_eq!((size.dispatchers, size.senders), (4, 8), "{name}");
    }
    cluster.proxies.heal();
    wait_until_settled(&cluster, 0..8).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partially_reachable_member_stays_and_one_way_partition_heals() {
    let _slot = cluster_slot().await;
    let cluster = start_cluster(spec(8)).await;
    for to in [1, 3, 5, 7] {
        cluster.proxies.set_rule(0, to, LinkRule { cut: true, ..LinkRule::default() });
        cluster.proxies.set_rule(to, 0, LinkRule { cut: true, ..LinkRule::default() });
    }
    let start = Instant::now();
    while start.elapsed() < 5 * SECOND {
        assert!(
            member_status(&cluster, 1, 0).await.is_some_and(MemberStatus::is_present),
            "indirect probes reach it"
        );
        sleep(SECOND / 5).await;
    }
    cluster.proxies.heal();
    (1..8).for_each(|to| cluster.proxies.set_rule(0, to, LinkRule { cut: true, ..LinkRule::default() }));
    wait_until("a member that receives but is not heard is declared dead", || async {
        member_status(&cluster, 1, 0).await == Some(MemberStatus::Dead)
    })
    .await;
    cluster.proxies.heal();
    wait_until_settled(&cluster, 0..8).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn views_converge_after_a_fifth_of_datagrams_was_lost() {
    let _slot = cluster_slot().await;
    let cluster = start_cluster(spec(8)).await;
    let lossy = LinkRule { loss: 0.2, twice: 0.1, mutated: 0.02, jitter_ms: 30, ..LinkRule::default() };
    cluster.proxies.set_default_rule(8, lossy);
    let duration = std::env::var("TESTBED_LONG").map_or(10 * SECOND, |_| 60 * SECOND);
    sleep(duration).await;
    cluster.proxies.heal();
    wait_until_settled(&cluster, 0..8).await;
    let rejected: u64 =
        cluster.statuses().await.values().flatten().map(|s| s.counters.rejected.unauthenticated).sum();
    assert!(rejected > 0, "no mutated datagram was rejected");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_process_rejoins_and_declares_nobody_dead() {
    let _slot = cluster_slot().await;
    let mut cluster = start_cluster(spec(8)).await;
    cluster.node(6).stop();
    wait_until_settled(&cluster, [0, 1, 2, 3, 4, 5, 7]).await;
    let deaths =
        |cluster: &Cluster| (0..8).map(|i| count_events(&cluster.log(i), "member_down")).sum::<usize>();
    let before = deaths(&cluster);
    cluster.node(6).resume();
    wait_until_settled(&cluster, 0..8).await;
    assert_eq!(count_events(&cluster.log(6), "rejoined"), 1);
    assert_eq!(
        deaths(&cluster),
        before,
        "probes that went unanswered while it was paused count against no member"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_before_detection_takes_a_higher_incarnation() {
    let _slot = cluster_slot().await;
    let mut cluster = start_cluster(spec(8)).await;
    let before = node_status(&cluster, 2).await.unwrap().view.incarnation;
    cluster.kill(2);
    cluster.start_node(2).unwrap();
    wait_until_settled(&cluster, 0..8).await;
    assert!(node_status(&cluster, 2).await.unwrap().view.incarnation > before);
    assert!((0..8).all(|i| count_events(&cluster.log(i), "member_down") == 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn older_of_two_processes_with_one_name_yields_without_flapping() {
    let _slot = cluster_slot().await;
    let mut cluster = Cluster::prepare(spec(8)).await.unwrap();
    (0..7).for_each(|i| cluster.start_node(i).unwrap());
    wait_until_settled(&cluster, 0..7).await;
    cluster.start_as(7, &Cluster::name(4)).unwrap();
    let at = cluster.advertise(7);
    wait_until("the older process yields", || async {
        node_status(&cluster, 4).await.is_some_and(|s| s.view.yielded_to == Some(at))
    })
    .await;
    wait_until("the other members know the newer process", || async {
        known_member(&cluster, 0, 4).await.is_some_and(|s| s.0 == at && s.2 == MemberStatus::Alive)
    })
    .await;
    let first = known_member(&cluster, 0, 4).await;
    let start = Instant::now();
    while start.elapsed() < 5 * SECOND {
        assert_eq!(known_member(&cluster, 0, 4).await, first);
        sleep(SECOND / 5).await;
    }
    let log = cluster.log(4);
    assert!(count_events(&log, "name_yielded") == 1 && count_events(&log, "name_conflict") >= 1, "{log}");
    // It still serves clients, and uses its name again once the other process is gone.
    assert_eq!(call(cluster.listen(4), "GET", "/up").await.map(|a| a.0), Some(200));
    cluster.kill(7);
    wait_until_settled(&cluster, 0..7).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn terminated_member_leaves_and_draining_member_is_no_dispatcher() {
    let _slot = cluster_slot().await;
    let mut cluster = start_cluster(spec(6)).await;
    let at = cluster.node(2).management;
    assert_eq!(call(at, "POST", "/healthcheck/fail").await.map(|a| a.0), Some(200));
    wait_until("one member fewer accepts requests", || async {
        node_status(&cluster, 0)
            .await
            .is_some_and(|s| (s.fleet_size.dispatchers, s.fleet_size.senders) == (5, 6))
    })
    .await;
    assert_eq!(member_status(&cluster, 0, 2).await, Some(MemberStatus::Draining));
    cluster.node(2).signal(Signal::TERM);
    wait_until("the process has exited", || std::future::ready(cluster.node(2).exit_status().is_some()))
        .await;
    wait_until("the member left and is not declared dead", || async {
        member_status(&cluster, 0, 2).await == Some(MemberStatus::Left)
    })
    .await;
    wait_until_settled(&cluster, [0, 1, 3, 4, 5]).await;
    assert!([0, 1, 3, 4, 5].iter().all(|i| count_events(&cluster.log(*i), "member_down") == 0));
}

/// During a process handover either process is killed or paused at each step: the node stays a member.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[allow(clippy::too_many_lines, reason = "one scenario, step by step")]
async fn process_handover_keeps_the_member_whichever_process_fails() {
    let _slot = cluster_slot().await;
    let mut cluster = start_cluster(spec(5)).await;
    let is_up = |at| async move { call(at, "GET", "/healthcheck").await.map(|a| a.0) == Some(200) };
    let deaths = |cluster: &Cluster| {
        [0, 1, 3, 4].iter().map(|i| count_events(&cluster.log(*i), "member_down")).sum::<usize>()
    };

    // Without faults.
    cluster.start_node(2).unwrap();
    let at = cluster.node(2).management;
    wait_until("the successor serves", || is_up(at)).await;
    wait_until_settled(&cluster, 0..5).await;
    cluster.predecessors[0].signal(Signal::TERM);
    wait_until("the predecessor exits", || {
        std::future::ready(cluster.predecessors[0].exit_status().is_some())
    })
    .await;
    wait_until_settled(&cluster, 0..5).await;
    assert_eq!(deaths(&cluster), 0);
    cluster.predecessors.clear();

    // The successor is killed before it serves: the predecessor continues.
    cluster.start_node(2).unwrap();
    cluster.kill(2);
    cluster.nodes[2] = cluster.predecessors.pop();
    wait_until_settled(&cluster, 0..5).await;

    // The successor is killed right after it took over: the predecessor serves again.
    cluster.start_node(2).unwrap();
    let at = cluster.node(2).management;
    wait_until("the successor serves", || is_up(at)).await;
    cluster.kill(2);
    cluster.nodes[2] = cluster.predecessors.pop();
    wait_until_settled(&cluster, 0..5).await;

    // The predecessor is paused before the handover: the successor serves beside it and represents the node.
    cluster.node(2).stop();
    cluster.start_node(2).unwrap();
    let at = cluster.node(2).management;
    wait_until("the successor serves", || is_up(at)).await;
    wait_until_settled(&cluster, 0..5).await;
    cluster.predecessors[0].resume();
    sleep(2 * SECOND).await; // the predecessor may claim the name again; it is the older process
    wait_until_settled(&cluster, 0..5).await;
    cluster.predecessors.clear();
    wait_until_settled(&cluster, 0..5).await;

    // The predecessor is paused or killed after the handover.
    for kill in [false, true] {
        cluster.start_node(2).unwrap();
        let at = cluster.node(2).management;
        wait_until("the successor serves", || is_up(at)).await;
        match kill {
            true => cluster.predecessors.clear(),
            false => cluster.predecessors[0].stop(),
        }
        wait_until_settled(&cluster, 0..5).await;
        cluster.predecessors.clear();
    }

    // The successor is paused after the handover for longer than the suspicion timeout: the node is removed and rejoins.
    cluster.start_node(2).unwrap();
    let at = cluster.node(2).management;
    wait_until("the successor serves", || is_up(at)).await;
    cluster.node(2).stop();
    wait_until_settled(&cluster, [0, 1, 3, 4]).await;
    cluster.node(2).resume();
    wait_until_settled(&cluster, 0..5).await;
}

/// Sends invalid datagrams of several lengths for this time. Returns how many.
fn flood(target: SocketAddr, duration: Duration) -> u64 {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let start = std::time::Instant::now();
    let mut sent = 0u64;
    while start.elapsed() < duration {
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

/// Requests of a load: those that were due, and those that were served in time.
#[derive(Clone, Copy, Debug, Default)]
struct LoadCounts {
    due: u64,
    in_time: u64,
}

impl LoadCounts {
    fn add(&mut self, report: &Report) {
        self.due += report.due;
        self.in_time += report.in_time;
    }

    fn in_time_ratio(self) -> f64 {
        self.in_time as f64 / self.due as f64
    }
}

/// Runs a load against a flooded node, and at the same time one of the same rate against a node without a flood.
/// Checks the memory and processor time that the flood costs.
async fn run_flooded_and_control(
    cluster: &mut Cluster,
    [flooded, control]: [usize; 2],
    seed: u64,
) -> [Report; 2] {
    let load =
        |seed| Load { rate: 15.0, duration: 5 * SECOND, seed, tenants: TENANTS.map(String::from).to_vec() };
    let (memory, ticks) =
        (cluster.node(flooded).memory_kib().unwrap(), cluster.node(flooded).cpu_ticks().unwrap());
    let target = cluster.gossip_address(flooded);
    let flooding = std::thread::spawn(move || flood(target, 6 * SECOND));
    let loads = async {
        tokio::join!(
            run_load(load(seed), vec![cluster.listen(flooded)]),
            run_load(load(seed + 1), vec![cluster.listen(control)])
        )
    };
    let (flooded_report, control_report) = timeout(CONVERGENCE_TIMEOUT, loads).await.unwrap();
    let sent = flooding.join().unwrap();
    assert!(sent > 20_000, "{sent}");
    let grown = cluster.node(flooded).memory_kib().unwrap().saturating_sub(memory);
    assert!(grown < 8 * 1024, "memory grew by {grown} KiB");
    let used = cluster.node(flooded).cpu_ticks().unwrap() - ticks;
    assert!(used < 250, "{used} ticks of 10 ms used, of about 500, requests included");
    [flooded_report, control_report]
}

/// A flooded node and a control node get the same load at the same time, so that other load on the machine and the
/// workers affects both alike. Then they swap roles.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn flood_of_datagrams_makes_no_request_miss_its_deadline() {
    let _slot = cluster_slot().await;
    let mut cluster = start_cluster(Spec { workers: 6, quota: 100.0, ..spec(6) }).await;
    sleep(9 * SECOND).await; // the workers have warmed up by then
    let (mut flooded, mut control) = (LoadCounts::default(), LoadCounts::default());
    for (nodes, seed) in [([0, 1], 3), ([1, 0], 5)] {
        let [flooded_report, control_report] = run_flooded_and_control(&mut cluster, nodes, seed).await;
        flooded.add(&flooded_report);
        control.add(&control_report);
    }
    assert!(control.in_time_ratio() > 0.5, "{control:?}");
    assert!(
        flooded.in_time_ratio() + 0.1 >= control.in_time_ratio(),
        "flooded {flooded:?}, control {control:?}"
    );
    wait_until_settled(&cluster, 0..6).await;
    for node in [0, 1] {
        let status = node_status(&cluster, node).await.unwrap();
        let rejected = status.counters.rejected;
        assert!(rejected.oversized > 0 && rejected.malformed > 0 && status.floods > 0, "{rejected:?}");
    }
}

/// Replayed datagrams, and a process with another key, change no view.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replayed_datagrams_and_processes_with_another_key_change_nothing() {
    let _slot = cluster_slot().await;
    let mut cluster = start_cluster(Spec { workers: 3, quota: 100.0, ..spec(6) }).await;
    cluster.proxies.start_recording();
    sleep(3 * SECOND).await;
    // The dead member's recorded datagrams are replayed to all nodes, many times: it stays dead.
    cluster.kill(5);
    wait_until_settled(&cluster, 0..5).await;
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for node in 0..5 {
        for datagram in (0..6).flat_map(|to| cluster.proxies.recorded(to)) {
            socket.send_to(&datagram, cluster.gossip_address(node)).unwrap();
        }
    }
    wait_until_settled(&cluster, 0..5).await;
    let rejected = node_status(&cluster, 0).await.unwrap().counters.rejected;
    assert!(rejected.replayed + rejected.misdirected + rejected.without_session > 0, "{rejected:?}");

    // Another key: neither side accepts datagrams from the other.
    std::fs::write(cluster.folder().join("fleet.key"), "current 00112233445566778899aabbccddeeff").unwrap();
    cluster.start_node(5).unwrap();
    wait_until_settled(&cluster, 0..5).await;
    let isolated = node_status(&cluster, 5).await.unwrap();
    assert!(
        !isolated.view.joined && isolated.fleet_size.dispatchers == 6,
        "an isolated node uses the configured fleet size"
    );
    cluster.kill(5);

    // Keys are rotated by SIGHUP, step by step; all nodes stay in one fleet throughout.
    let new_key = "5a".repeat(32);
    let steps = [
        format!("{}previous {new_key}\n", testbed::cluster::KEY_FILE_TEXT),
        format!("current {new_key}\n{}", testbed::cluster::KEY_FILE_TEXT.replace("current", "previous")),
        format!("current {new_key}\n"),
    ];
    for keys in steps {
        std::fs::write(cluster.folder().join("fleet.key"), keys).unwrap();
        for i in 0..5 {
            cluster.node(i).signal(Signal::HUP);
            wait_until_settled(&cluster, 0..5).await;
        }
    }
    cluster.start_node(5).unwrap();
    wait_until_settled(&cluster, 0..6).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tenant_rates_are_exchanged_and_fleet_show_prints_the_view() {
    let _slot = cluster_slot().await;
    let mut cluster = start_cluster(Spec { workers: 3, quota: 20.0, ..spec(4) }).await;
    let load =
        Load { rate: 20.0, duration: 4 * SECOND, seed: 5, tenants: TENANTS.map(String::from).to_vec() };
    let report = run_load(load, (0..4).map(|i| cluster.listen(i)).collect()).await;
    assert!(report.in_time > report.due / 2, "{report}");
    for (name, status) in cluster.statuses().await {
        assert!(status.unwrap().counters.rate_messages > 0, "{name} received no tenant rates");
    }
    let at = cluster.node(1).management.to_string();
    let run_command = |arguments: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_molevale")).args(arguments).output().unwrap();
        (out.status.code(), String::from_utf8(out.stdout).unwrap(), String::from_utf8(out.stderr).unwrap())
    };
    let (code, out, _) = run_command(&["fleet", "show", &at]);
    assert_eq!(code, Some(0));
    assert!(out.starts_with("fleet testbed, as n01 sees it: 4 take jobs, 4 may be sending\n"), "{out}");
    assert!((0..4).all(|i| out.contains(&Cluster::name(i))) && out.matches(" alive ").count() == 4, "{out}");
    let (_, json, _) = run_command(&["fleet", "show", &at, "--json"]);
    let status: membership::Status = serde_json::from_str(&json).unwrap();
    assert_eq!(status.view.members.len(), 4);
    cluster.kill(1);
    let (code, _, stderr) = run_command(&["fleet", "show", &at]);
    assert!(code == Some(1) && stderr.starts_with("molevale: ") && stderr.lines().count() == 1, "{stderr}");
}
