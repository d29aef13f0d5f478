//! Fault plans: faults injected into nodes at given times, read from a TOML file, and their execution.

use crate::check::ViewFault;
use crate::cluster::{Cluster, CoordinationSpec, Spec, NODES_MAX, TENANTS};
use crate::fault_proxy::LinkRule;
use crate::load::{run_load, Load, Report};
use membership::Status;
use rustix::process::Signal;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};
use toml::Spanned;

/// A fault plan: the cluster, its load, and the faults.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Whether the nodes are members of one fleet.
    #[serde(default = "default_fleet")]
    pub fleet: bool,
    /// Whether members coordinate: three voters, and one node of each zone polls discovery for the others.
    #[serde(default, rename = "duties")]
    pub coordination: bool,
    /// Number of workers.
    pub workers: usize,
    /// Requests per second.
    pub rate: f64,
    /// Quota of each of the two tenants, in requests per second.
    pub quota: f64,
    /// Duration of the load, in seconds.
    pub length_s: f64,
    /// Probe interval of membership, in milliseconds.
    #[serde(default = "default_probe_ms")]
    pub probe_ms: u64,
    /// Faults, in any order.
    #[serde(default, rename = "fault")]
    pub steps: Vec<Spanned<Step>>,
}

fn default_fleet() -> bool {
    true
}

fn default_probe_ms() -> u64 {
    250
}

/// A fault and its time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time since the start of the load, in seconds.
    pub at_s: f64,
    /// Kind of fault.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// Affected nodes; for `part` the nodes on one side, for `link` the senders.
    #[serde(default)]
    pub nodes: Vec<usize>,
    /// For `link`: the receivers.
    #[serde(default)]
    pub to: Vec<usize>,
    /// For `link`: the rule.
    #[serde(default)]
    pub rule: LinkRule,
    /// For `workers`: number of additional workers, started cold.
    #[serde(default)]
    pub count: usize,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Sends SIGKILL.
    Kill,
    /// Starts new processes.
    Start,
    /// Sends SIGSTOP.
    Stop,
    /// Sends SIGCONT.
    #[serde(rename = "go_on")]
    Resume,
    /// Sends SIGTERM.
    #[serde(rename = "term")]
    Terminate,
    /// Partitions these nodes from all others.
    #[serde(rename = "part")]
    Partition,
    /// Sets a fault rule from some nodes to some others.
    Link,
    /// Removes all fault rules.
    Heal,
    /// Starts additional workers, cold.
    Workers,
}

/// Interval at which status reports are recorded.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for the views to settle.
const SETTLE_LIMIT: Duration = Duration::from_secs(30);
/// Start time allowed for nodes without membership.
const START_TIME: Duration = Duration::from_secs(2);
/// Number of voters of a plan with coordination.
const VOTERS: usize = 3;
/// Duration of a lease, in milliseconds.
const LEASE_MS: u64 = 2500;
/// Minimum probe interval, in milliseconds.
const PROBE_MIN_MS: u64 = 100;

/// Error in a plan: the line, from 1, and the reason.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct PlanError {
    line: usize,
    reason: String,
}

impl PlanError {
    /// Line of the plan, from 1.
    pub fn line(&self) -> usize {
        self.line
    }
}

impl Plan {
    /// Parses and validates a plan.
    ///
    /// # Errors
    ///
    /// Returns the first invalid part and its line.
    pub fn parse(text: &str) -> Result<Plan, PlanError> {
        let line = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
        let plan: Plan = toml::from_str(text).map_err(|e| PlanError {
            line: e.span().map_or(1, |s| line(s.start)),
            reason: e.message().trim().replace('\n', " "),
        })?;
        let invalid = |at: usize, reason: &str| Err(PlanError { line: line(at), reason: reason.to_string() });
        if plan.coordination && plan.nodes < VOTERS {
            return invalid(0, "duties need at least 3 nodes, for the voters");
        }
        if !(1..=NODES_MAX).contains(&plan.nodes) {
            return invalid(0, &format!("nodes must be from 1 to {NODES_MAX}"));
        }
        let is_positive = |x: f64| x.is_finite() && x > 0.0;
        if !is_positive(plan.rate)
            || !is_positive(plan.quota)
            || !is_positive(plan.length_s)
            || plan.probe_ms < PROBE_MIN_MS
        {
            return invalid(0, "rate, quota and length_s must be above zero, and probe_ms at least 100");
        }
        for step in &plan.steps {
            let (at, step) = (step.span().start, step.get_ref());
            let is_ratio = |x: f64| (0.0..=1.0).contains(&x);
            if step.nodes.iter().chain(&step.to).any(|i| *i >= plan.nodes) {
                return invalid(at, "there is no such node");
            }
            if !step.at_s.is_finite() || !(0.0..=plan.length_s).contains(&step.at_s) {
                return invalid(at, "at_s must be from 0 to length_s");
            }
            if !is_ratio(step.rule.loss) || !is_ratio(step.rule.twice) || !is_ratio(step.rule.mutated) {
                return invalid(at, "loss, twice and mutated are ratios, from 0 to 1");
            }
        }
        Ok(plan)
    }
}

/// Status reports of all nodes, by time since the load's start.
pub type StatusHistory = Vec<(Duration, BTreeMap<String, Option<Status>>)>;

/// Outcome of a plan.
pub struct Outcome {
    /// Outcome of the load.
    pub report: Report,
    /// Time after the load's end until the views of all running nodes settled, or their faults.
    pub settled: Result<Duration, Vec<ViewFault>>,
    /// Status reports of the nodes, each half second from the load's start.
    pub history: StatusHistory,
    /// Number of workers that failed under overload while warming up.
    pub failed_workers: usize,
    /// Largest load of a worker that was warming up, as a share of the load at which it fails.
    pub peak_cold_load: f64,
    /// Number of idempotency keys that were executed more than once.
    pub repeated_keys: usize,
}

/// Executes a plan with this program; calls `report_step` with a line for each step.
///
/// # Errors
/// If the cluster, a process or a worker can't be started, or the load fails.
pub async fn execute(plan: &Plan, binary: &Path, report_step: impl Fn(&str)) -> io::Result<Outcome> {
    let mut cluster = Cluster::start(plan.cluster_spec(binary)).await?;
    let mut running = vec![true; plan.nodes];
    if plan.fleet {
        let settled = cluster.settled(&Cluster::expected_views(0..plan.nodes), SETTLE_LIMIT).await;
        report_step(&match &settled {
            Ok(took) => format!("the views of {} nodes settled after {took:.1?}", plan.nodes),
            Err(faults) => format!("the views did not settle: {}", faults[0]),
        });
    } else {
        sleep(START_TIME).await;
    }
    let nodes = (0..plan.nodes).map(|i| cluster.listen(i)).collect();
    let (start, load) = (Instant::now(), tokio::spawn(run_load(plan.load(), nodes)));
    let mut steps: Vec<Step> = plan.steps.iter().map(|step| step.get_ref().clone()).collect();
    steps.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let mut history = StatusHistory::new();
    for step in steps {
        record_statuses(&cluster, start, Duration::from_secs_f64(step.at_s), &mut history).await;
        execute_step(&mut cluster, &mut running, &step).await?;
        report_step(&format!("{:5.1} s: {:?} {:?}", step.at_s, step.kind, step.nodes));
    }
    record_statuses(&cluster, start, Duration::from_secs_f64(plan.length_s), &mut history).await;
    let report = load.await.map_err(io::Error::other)?;
    let expected = Cluster::expected_views((0..plan.nodes).filter(|i| running[*i]));
    let settled = match plan.fleet {
        true => cluster.settled(&expected, SETTLE_LIMIT).await,
        false => Ok(Duration::ZERO),
    };
    Ok(outcome(&cluster, report, settled, history))
}

/// Builds the outcome from the report and the workers' records.
fn outcome(
    cluster: &Cluster,
    report: Report,
    settled: Result<Duration, Vec<ViewFault>>,
    history: StatusHistory,
) -> Outcome {
    let records: Vec<_> = cluster.workers.iter().flatten().map(|(worker, _)| worker.record()).collect();
    let mut keys: BTreeMap<&String, u32> = BTreeMap::new();
    records
        .iter()
        .flat_map(|record| &record.executions_by_key)
        .for_each(|(key, n)| *keys.entry(key).or_default() += n);
    Outcome {
        report,
        settled,
        history,
        failed_workers: records.iter().filter(|record| record.failed).count(),
        peak_cold_load: records.iter().map(|record| record.peak_cold_load).fold(0.0, f64::max),
        repeated_keys: keys.values().filter(|n| **n > 1).count(),
    }
}

impl Plan {
    fn cluster_spec(&self, binary: &Path) -> Spec {
        let coordination = CoordinationSpec {
            voters: VOTERS,
            lease_ms: LEASE_MS,
            list_broadcast: true,
            rolling_restart: false,
            scheduled_calls: Vec::new(),
        };
        Spec {
            fleet: self.fleet,
            coordination: self.coordination.then_some(coordination),
            workers: self.workers,
            quota: self.quota,
            probe_ms: self.probe_ms,
            seed: self.seed,
            ..Spec::new(binary, self.nodes)
        }
    }

    fn load(&self) -> Load {
        Load {
            rate: self.rate,
            duration: Duration::from_secs_f64(self.length_s),
            seed: self.seed,
            tenants: TENANTS.map(String::from).to_vec(),
        }
    }
}

/// Records the status reports each half second until this time.
async fn record_statuses(cluster: &Cluster, start: Instant, until: Duration, history: &mut StatusHistory) {
    while cluster.spec.fleet && start.elapsed() + STATUS_INTERVAL < until {
        history.push((start.elapsed(), cluster.statuses().await));
        sleep(STATUS_INTERVAL).await;
    }
    sleep_until(start + until).await;
}

async fn execute_step(cluster: &mut Cluster, running: &mut [bool], step: &Step) -> io::Result<()> {
    for i in step.nodes.iter().copied() {
        match step.kind {
            FaultKind::Kill => cluster.kill(i),
            FaultKind::Start => cluster.start_node(i)?,
            FaultKind::Stop | FaultKind::Resume | FaultKind::Terminate => {
                if let Some(process) = &mut cluster.nodes[i] {
                    process.signal(match step.kind {
                        FaultKind::Stop => Signal::STOP,
                        FaultKind::Resume => Signal::CONT,
                        _ => Signal::TERM,
                    });
                }
            }
            _ => {}
        }
        match step.kind {
            FaultKind::Kill | FaultKind::Stop | FaultKind::Terminate => running[i] = false,
            FaultKind::Start | FaultKind::Resume => running[i] = true,
            _ => {}
        }
    }
    match step.kind {
        FaultKind::Partition => {
            let partitions: Vec<u32> =
                (0..running.len()).map(|i| u32::from(step.nodes.contains(&i))).collect();
            cluster.proxies.partition(&partitions);
        }
        FaultKind::Heal => cluster.proxies.heal(),
        FaultKind::Link => {
            for from in &step.nodes {
                step.to
                    .iter()
                    .filter(|to| *to != from)
                    .for_each(|to| cluster.proxies.set_rule(*from, *to, step.rule));
            }
        }
        FaultKind::Workers => {
            for _ in 0..step.count {
                cluster.add_worker(true).await?;
            }
            cluster.publish_workers();
        }
        _ => {}
    }
    Ok(())
}
