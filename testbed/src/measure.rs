//! Measurements of membership and coordination: how long changes take to propagate, and what the protocols
//! cost.

use crate::cluster::{self, Cluster};
use crate::coordination as emulated;
use crate::emulated_broadcast;
use crate::emulated_membership::{name, EmulatedFleet, Spec};
use crate::fault_proxy::LinkRule;
use hdrhistogram::Histogram;
use membership::{MemberStatus, MembershipEvent};
use std::fmt;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

/// Measurements of a fleet of one size.
#[derive(Clone, Debug)]
pub struct MembershipMeasurement {
    nodes: usize,
    runs: u64,
    environment: &'static str,
    /// Time from a kill until the first node considers the killed one dead, in milliseconds.
    first_detected: Histogram<u64>,
    /// Time from a kill until all nodes consider it dead.
    all_detected: Histogram<u64>,
    /// Time from a restart until all views have settled.
    joined: Histogram<u64>,
    false_deaths: u64,
    messages_per_s: f64,
    bytes_per_s: f64,
    cpu_share: f64,
}

impl fmt::Display for MembershipMeasurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let span = |h: &Histogram<u64>| {
            format!("{:.1} / {:.1} s", h.value_at_quantile(0.5) as f64 / 1e3, h.max() as f64 / 1e3)
        };
        write!(
            f,
            "{} nodes, {}, {} runs: first detection {}, all {}, joined {} (median / worst); {} false deaths; \
             per node: {:.1} messages/s, {:.0} bytes/s, {:.3}% of a core",
            self.nodes,
            self.environment,
            self.runs,
            span(&self.first_detected),
            span(&self.all_detected),
            span(&self.joined),
            self.false_deaths,
            self.messages_per_s,
            self.bytes_per_s,
            self.cpu_share * 100.0
        )
    }
}

fn measurement(nodes: usize, runs: u64, environment: &'static str) -> MembershipMeasurement {
    let (first_detected, all_detected, joined) = (histogram(), histogram(), histogram());
    MembershipMeasurement {
        nodes,
        runs,
        environment,
        first_detected,
        all_detected,
        joined,
        false_deaths: 0,
        messages_per_s: 0.0,
        bytes_per_s: 0.0,
        cpu_share: 0.0,
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("3 significant digits are supported")
}

/// Records a duration, in milliseconds.
fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.record(duration.as_millis() as u64).expect("the histogram resizes itself");
}

/// Measures membership in emulated time, with the default timing of a node.
///
/// # Panics
/// If the views do not settle after a change.
pub fn emulated_membership(nodes: usize, runs: u64) -> MembershipMeasurement {
    let mut measurement = measurement(nodes, runs, "emulated");
    let mut world = EmulatedFleet::started(Spec { nodes, ..Spec::default() });
    world.run(Duration::from_secs(60));
    let expected = world.expected_views();
    let settled = world.run_until_converged(Duration::from_secs(120), &expected);
    assert!(settled.is_ok(), "the fleet does not settle: {settled:?}");
    let total = |w: &EmulatedFleet| {
        (0..nodes).map(|i| w.counters(i)).fold((0, 0), |t, f| (t.0 + f.sent, t.1 + f.sent_bytes))
    };
    let (before, real, idle_time) = (total(&world), Instant::now(), Duration::from_secs(30));
    world.run(idle_time);
    let after = total(&world);
    let each = nodes as f64 * idle_time.as_secs_f64();
    measurement.messages_per_s = (after.0 - before.0) as f64 / each;
    measurement.bytes_per_s = (after.1 - before.1) as f64 / each;
    // Includes the emulator's own work, so it is an upper bound.
    measurement.cpu_share = real.elapsed().as_secs_f64() / each;
    for run in 0..runs {
        let victim = (run as usize * 7 + 3) % nodes;
        world.events.clear();
        let killed = world.now();
        world.kill(victim);
        let expected = world.expected_views();
        let all = world.run_until_converged(Duration::from_secs(120), &expected);
        let Ok(all) = all else { panic!("the fleet does not settle: {all:?}") };
        let down = |n: &&(Duration, usize, MembershipEvent)| matches!(&n.2, MembershipEvent::Down(id) if id.name == name(victim));
        let first = world.events.iter().find(down).map_or(all, |n| n.0 - killed);
        record(&mut measurement.first_detected, first);
        record(&mut measurement.all_detected, all);
        world.start(victim);
        let expected = world.expected_views();
        let joined = world.run_until_converged(Duration::from_secs(120), &expected);
        let Ok(joined) = joined else { panic!("the fleet does not settle: {joined:?}") };
        record(&mut measurement.joined, joined);
        measurement.false_deaths += world
            .events
            .iter()
            .filter(|n| matches!(&n.2, MembershipEvent::Down(id) if id.name != name(victim)))
            .count() as u64;
    }
    measurement
}

/// Measures membership of real processes that are otherwise idle.
///
/// # Errors
/// If a process can't be started, or the views do not settle in time.
pub async fn real_membership(binary: &Path, nodes: usize, runs: u64) -> io::Result<MembershipMeasurement> {
    let mut measurement = measurement(nodes, runs, "real processes");
    // Default timing of a node.
    let mut cluster =
        Cluster::start(cluster::Spec { probe_ms: 1000, ..cluster::Spec::new(binary, nodes) }).await?;
    let fail = |faults: Vec<crate::check::ViewFault>| io::Error::other(format!("not settled: {}", faults[0]));
    let bound = Duration::from_secs(60);
    cluster.settled(&Cluster::expected_views(0..nodes), bound).await.map_err(fail)?;
    let ticks = |cluster: &Cluster| cluster.nodes.iter().flatten().filter_map(|p| p.cpu_ticks()).sum::<u64>();
    let (before, idle_time) = ((ticks(&cluster), cluster.proxies.counters()), Duration::from_secs(20));
    tokio::time::sleep(idle_time).await;
    let after = (ticks(&cluster), cluster.proxies.counters());
    let each = nodes as f64 * idle_time.as_secs_f64();
    measurement.messages_per_s = (after.1.datagrams - before.1.datagrams) as f64 / each;
    measurement.bytes_per_s = (after.1.bytes - before.1.bytes) as f64 / each;
    measurement.cpu_share = (after.0 - before.0) as f64 / 100.0 / each;
    for run in 0..runs {
        let victim = (run as usize * 7 + 3) % nodes;
        let killed = Instant::now();
        cluster.kill(victim);
        let expected = Cluster::expected_views((0..nodes).filter(|i| *i != victim));
        let mut first = None;
        while first.is_none() && killed.elapsed() < bound {
            let views = cluster.views().await;
            let dead = |v: &membership::View| {
                v.members.iter().any(|m| m.name == Cluster::name(victim) && m.status == MemberStatus::Dead)
            };
            first = views.values().flatten().any(dead).then(|| killed.elapsed());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let since = killed.elapsed();
        let all = since + cluster.settled(&expected, bound).await.map_err(fail)?;
        record(&mut measurement.first_detected, first.unwrap_or(all));
        record(&mut measurement.all_detected, all);
        cluster.start_node(victim)?;
        let joined = cluster.settled(&Cluster::expected_views(0..nodes), bound).await.map_err(fail)?;
        record(&mut measurement.joined, joined);
        let views = cluster.views().await;
        measurement.false_deaths += views
            .values()
            .flatten()
            .filter(|v| v.members.iter().any(|m| m.status == MemberStatus::Dead))
            .count() as u64;
    }
    Ok(measurement)
}

/// Measures in emulated time, with the default timing of a node, how long a lease is vacant for each way in
/// which its holder fails, and what holding it costs. Returns a line for each measurement.
///
/// # Panics
/// If nobody holds the lease in time.
pub fn lease_vacancies(runs: u64) -> Vec<String> {
    let mut lines = Vec::new();
    for way in ["released", "killed", "isolated", "killed with the leader"] {
        let mut spans = histogram();
        for seed in 0..runs {
            let spec =
                emulated::Spec { timing: ::coordination::Timing::default(), ..emulated::Spec::new(seed) };
            let mut cluster = emulated::EmulatedCluster::started(spec);
            cluster.run_until_held(Duration::from_secs(60)).expect("a node holds the lease");
            cluster.run(Duration::from_millis(10_000 + seed * 317 % 5000));
            let (holder, token) = cluster.holder().expect("the lease is held");
            let start = cluster.now();
            match way {
                "released" => cluster.release_lease(holder),
                "killed" => cluster.crash(holder),
                "isolated" => (0..3).for_each(|v| {
                    let cut = LinkRule { cut: true, ..LinkRule::default() };
                    cluster.rules.set_rule(holder, v, cut);
                    cluster.rules.set_rule(v, holder, cut);
                }),
                _ => {
                    cluster.crash(holder);
                    cluster.crash(cluster.leader().expect("there is a leader"));
                }
            }
            while cluster.holder().is_none_or(|(_, t)| t == token) {
                cluster.run(Duration::from_millis(2));
            }
            record(&mut spans, cluster.now() - start);
        }
        let span = |v: u64| v as f64 / 1e3;
        lines.push(format!(
            "{way}: {:.2} / {:.2} s until the next holder may act (median / worst of {runs})",
            span(spans.value_at_quantile(0.5)),
            span(spans.max())
        ));
    }
    let spec = emulated::Spec { timing: ::coordination::Timing::default(), ..emulated::Spec::new(1) };
    let mut cluster = emulated::EmulatedCluster::started(spec);
    cluster.run(Duration::from_secs(30));
    let writes = |w: &emulated::EmulatedCluster| (0..3).map(|i| w.voter_metrics(i).writes).sum::<u64>();
    let (messages, before) = (cluster.messages_sent, writes(&cluster));
    cluster.run(Duration::from_secs(100));
    lines.push(format!(
        "idle, one lease, 3 voters, 2 requesters: {:.1} messages per second in all, {:.2} writes",
        (cluster.messages_sent - messages) as f64 / 100.0,
        (writes(&cluster) - before) as f64 / 100.0
    ));
    lines
}

/// Measures the calls to discovery and how long a change takes to reach the last node of a zone. Returns a
/// line for each way in which nodes receive the list.
///
/// # Panics
/// If a node lags by more than the last change at the end.
pub fn list_broadcast(nodes: usize, runs: u64) -> Vec<String> {
    let mut lines = Vec::new();
    for (shared, killed, loss) in
        [(false, false, 0.0), (true, false, 0.0), (true, false, 0.1), (true, true, 0.0)]
    {
        let (mut calls, mut messages, mut most) = (0, 0, 0.0_f64);
        let mut spans = histogram();
        for seed in 0..runs {
            let outcome = emulated_broadcast::run(emulated_broadcast::Spec {
                nodes,
                shared,
                holder_killed: killed,
                loss,
                seed,
            });
            (calls, messages) = (calls + outcome.calls, messages + outcome.messages);
            most = most.max(outcome.peak_send_rate);
            for span in outcome.propagation_ms {
                record(&mut spans, Duration::from_millis(span));
            }
        }
        let way = match (shared, killed) {
            (false, _) => "each node polls".to_string(),
            (_, true) => "one node polls, killed in the middle".to_string(),
            _ => format!("one node polls, {:.0}% loss", loss * 100.0),
        };
        lines.push(format!(
            "{nodes} nodes, {way}: {} calls a minute; a change reaches the last node after {} / {} ms \
             (median / worst); {:.1} messages per second and node, {most:.1} at most",
            calls / runs,
            spans.value_at_quantile(0.5),
            spans.max(),
            messages as f64 / runs as f64 / 57.0 / nodes as f64
        ));
    }
    lines
}
