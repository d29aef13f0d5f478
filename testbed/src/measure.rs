//! Measurements of membership and coordination: how long a change takes, and what it costs.

use crate::cluster::{self, Cluster};
use crate::coordination as emulated;
use crate::emulated::{name, Spec, World};
use crate::emulated_broadcast;
use crate::fault_proxy::LinkRule;
use hdrhistogram::Histogram;
use membership::{MemberStatus, MembershipEvent};
use std::fmt;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

/// Measurements of a fleet of one size.
#[derive(Clone, Debug)]
pub struct Figures {
    nodes: usize,
    plays: u64,
    way: &'static str,
    /// From a kill to the first node that holds the killed one dead, in milliseconds.
    detected: Histogram<u64>,
    /// From a kill until all hold it dead.
    all: Histogram<u64>,
    /// From a restart until all views are equal and true.
    joined: Histogram<u64>,
    false_deaths: u64,
    messages: f64,
    bytes: f64,
    cpu: f64,
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let span = |h: &Histogram<u64>| {
            format!("{:.1} / {:.1} s", h.value_at_quantile(0.5) as f64 / 1e3, h.max() as f64 / 1e3)
        };
        write!(
            f,
            "{} nodes, {}, {} plays: first to notice {}, all {}, joined {} (median / worst); {} false deaths; each node: \
             {:.1} messages/s, {:.0} bytes/s, {:.3}% of a core",
            self.nodes,
            self.way,
            self.plays,
            span(&self.detected),
            span(&self.all),
            span(&self.joined),
            self.false_deaths,
            self.messages,
            self.bytes,
            self.cpu * 100.0
        )
    }
}

fn figures(nodes: usize, plays: u64, way: &'static str) -> Figures {
    let (detected, all, joined) = (histogram(), histogram(), histogram());
    Figures { nodes, plays, way, detected, all, joined, false_deaths: 0, messages: 0.0, bytes: 0.0, cpu: 0.0 }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

/// Records a duration, in milliseconds.
fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.record(duration.as_millis() as u64).expect("a histogram without bounds takes every value");
}

/// Measures membership in emulated time, with the times that a node has by default.
///
/// # Panics
/// Where the views do not become equal and true after a change.
pub fn emulated_membership(nodes: usize, plays: u64) -> Figures {
    let mut figures = figures(nodes, plays, "emulated");
    let mut world = World::started(Spec { nodes, ..Spec::default() });
    world.run(Duration::from_secs(60));
    let expected = world.expected_views();
    let settled = world.until(Duration::from_secs(120), &expected);
    assert!(settled.is_ok(), "the fleet does not settle: {settled:?}");
    let total =
        |w: &World| (0..nodes).map(|i| w.counters(i)).fold((0, 0), |t, f| (t.0 + f.sent, t.1 + f.sent_bytes));
    let (before, real, calm) = (total(&world), Instant::now(), Duration::from_secs(30));
    world.run(calm);
    let after = total(&world);
    let each = nodes as f64 * calm.as_secs_f64();
    figures.messages = (after.0 - before.0) as f64 / each;
    figures.bytes = (after.1 - before.1) as f64 / each;
    // The emulator's own work is in it: it is an upper bound.
    figures.cpu = real.elapsed().as_secs_f64() / each;
    for play in 0..plays {
        let victim = (play as usize * 7 + 3) % nodes;
        world.events.clear();
        let killed = world.now();
        world.kill(victim);
        let expected = world.expected_views();
        let all = world.until(Duration::from_secs(120), &expected);
        let Ok(all) = all else { panic!("the fleet does not settle: {all:?}") };
        let down = |n: &&(Duration, usize, MembershipEvent)| matches!(&n.2, MembershipEvent::Down(id) if id.name == name(victim));
        let first = world.events.iter().find(down).map_or(all, |n| n.0 - killed);
        record(&mut figures.detected, first);
        record(&mut figures.all, all);
        world.start(victim);
        let expected = world.expected_views();
        let joined = world.until(Duration::from_secs(120), &expected);
        let Ok(joined) = joined else { panic!("the fleet does not settle: {joined:?}") };
        record(&mut figures.joined, joined);
        figures.false_deaths += world
            .events
            .iter()
            .filter(|n| matches!(&n.2, MembershipEvent::Down(id) if id.name != name(victim)))
            .count() as u64;
    }
    figures
}

/// Measures membership of real processes that have nothing else to do.
///
/// # Errors
/// Where a process can't be started, or the views do not become equal and true in time.
pub async fn real_membership(binary: &Path, nodes: usize, plays: u64) -> io::Result<Figures> {
    let mut figures = figures(nodes, plays, "real processes");
    // The times that a node has by default.
    let mut cluster =
        Cluster::start(cluster::Spec { probe_ms: 1000, ..cluster::Spec::new(binary, nodes) }).await?;
    let fail = |wrong: Vec<crate::check::ViewFault>| io::Error::other(format!("not settled: {}", wrong[0]));
    let bound = Duration::from_secs(60);
    cluster.settled(&Cluster::expected_views(0..nodes), bound).await.map_err(fail)?;
    let ticks = |cluster: &Cluster| cluster.nodes.iter().flatten().filter_map(|p| p.cpu_ticks()).sum::<u64>();
    let (before, calm) = ((ticks(&cluster), cluster.proxies.counters()), Duration::from_secs(20));
    tokio::time::sleep(calm).await;
    let after = (ticks(&cluster), cluster.proxies.counters());
    let each = nodes as f64 * calm.as_secs_f64();
    figures.messages = (after.1.datagrams - before.1.datagrams) as f64 / each;
    figures.bytes = (after.1.bytes - before.1.bytes) as f64 / each;
    figures.cpu = (after.0 - before.0) as f64 / 100.0 / each;
    for play in 0..plays {
        let victim = (play as usize * 7 + 3) % nodes;
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
        record(&mut figures.detected, first.unwrap_or(all));
        record(&mut figures.all, all);
        cluster.start_node(victim)?;
        let joined = cluster.settled(&Cluster::expected_views(0..nodes), bound).await.map_err(fail)?;
        record(&mut figures.joined, joined);
        let views = cluster.views().await;
        figures.false_deaths += views
            .values()
            .flatten()
            .filter(|v| v.members.iter().any(|m| m.status == MemberStatus::Dead))
            .count() as u64;
    }
    Ok(figures)
}

/// Measures how long nobody holds a lease, for each way in which its holder goes, and what holding it costs: in emulated
/// time, with the times that a node has by default. Returns a line for each measurement.
///
/// # Panics
/// Where nobody holds the lease in time.
pub fn lease_vacancies(plays: u64) -> Vec<String> {
    let mut ways = Vec::new();
    for way in ["handed on", "killed", "cut off", "killed with the leader"] {
        let mut spans = histogram();
        for seed in 0..plays {
            let spec =
                emulated::Spec { timing: ::coordination::Timing::default(), ..emulated::Spec::new(seed) };
            let mut cluster = emulated::EmulatedCluster::started(spec);
            cluster.run_until_held(Duration::from_secs(60)).expect("somebody holds it");
            cluster.run(Duration::from_millis(10_000 + seed * 317 % 5000));
            let (holder, token) = cluster.holder().expect("it is held");
            let start = cluster.now();
            match way {
                "handed on" => cluster.release_lease(holder),
                "killed" => cluster.crash(holder),
                "cut off" => (0..3).for_each(|v| {
                    let cut = LinkRule { cut: true, ..LinkRule::default() };
                    cluster.rules.set_rule(holder, v, cut);
                    cluster.rules.set_rule(v, holder, cut);
                }),
                _ => {
                    cluster.crash(holder);
                    cluster.crash(cluster.leader().expect("one leads"));
                }
            }
            while cluster.holder().is_none_or(|(_, t)| t == token) {
                cluster.run(Duration::from_millis(2));
            }
            record(&mut spans, cluster.now() - start);
        }
        let span = |v: u64| v as f64 / 1e3;
        ways.push(format!(
            "{way}: {:.2} / {:.2} s until the next one may act (median / worst of {plays})",
            span(spans.value_at_quantile(0.5)),
            span(spans.max())
        ));
    }
    let spec = emulated::Spec { timing: ::coordination::Timing::default(), ..emulated::Spec::new(1) };
    let mut cluster = emulated::EmulatedCluster::started(spec);
    cluster.run(Duration::from_secs(30));
    let writes = |w: &emulated::EmulatedCluster| (0..3).map(|i| w.voter_metrics(i).writes).sum::<u64>();
    let (words, before) = (cluster.messages_sent, writes(&cluster));
    cluster.run(Duration::from_secs(100));
    ways.push(format!(
        "calm, one duty, 3 voters, 2 that ask: {:.1} words a second in all, {:.2} writes",
        (cluster.messages_sent - words) as f64 / 100.0,
        (writes(&cluster) - before) as f64 / 100.0
    ));
    ways
}

/// Measures the calls to discovery and how long a change takes to the last node of a zone. Returns a line for each way in
/// which its nodes know the list.
///
/// # Panics
/// Where a node is behind by more than the last change at the end.
pub fn list_broadcast(nodes: usize, plays: u64) -> Vec<String> {
    let mut told = Vec::new();
    for (shared, killed, loss) in
        [(false, false, 0.0), (true, false, 0.0), (true, false, 0.1), (true, true, 0.0)]
    {
        let (mut calls, mut words, mut most) = (0, 0, 0.0_f64);
        let mut spans = histogram();
        for seed in 0..plays {
            let outcome = emulated_broadcast::run(emulated_broadcast::Spec {
                nodes,
                shared,
                holder_killed: killed,
                loss,
                seed,
            });
            (calls, words) = (calls + outcome.calls, words + outcome.messages);
            most = most.max(outcome.most);
            for span in outcome.last_ms {
                record(&mut spans, Duration::from_millis(span));
            }
        }
        let way = match (shared, killed) {
            (false, _) => "each for itself".to_string(),
            (_, true) => "one for all, killed in the middle".to_string(),
            _ => format!("one for all, {:.0}% lost", loss * 100.0),
        };
        told.push(format!(
            "{nodes} nodes, {way}: {} calls a minute; a change is with the last node after {} / {} ms (median / worst); \
             {:.1} words a second each, {most:.1} at most",
            calls / plays,
            spans.value_at_quantile(0.5),
            spans.max(),
            words as f64 / plays as f64 / 57.0 / nodes as f64
        ));
    }
    told
}
