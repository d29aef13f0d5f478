//! ViewFault plans: faults injected into nodes at given times, from a TOML file, and the outcome of running one.

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

/// A plan: the cluster, its load, and the faults.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Whether they are members of one fleet.
    #[serde(default = "yes")]
    pub fleet: bool,
    /// Whether members coordinate: three voters, and one node of each zone that follows discovery.
    #[serde(default)]
    pub duties: bool,
    /// Number of workers.
    pub workers: usize,
    /// Jobs a second.
    pub rate: f64,
    /// Quota of each of the two tenants, in jobs a second.
    pub quota: f64,
    /// Duration of the load, in seconds.
    pub length_s: f64,
    /// Probe interval of membership, in milliseconds.
    #[serde(default = "probe")]
    pub probe_ms: u64,
    /// Faults.
    #[serde(default)]
    pub fault: Vec<Spanned<Step>>,
}

fn yes() -> bool {
    true
}

fn probe() -> u64 {
    250
}

/// A fault, at its time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// When, in seconds from the load's start.
    pub at_s: f64,
    /// Kind.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// To which nodes; with `part`, who is on one side of the cut; with `link`, from whom.
    #[serde(default)]
    pub nodes: Vec<usize>,
    /// With `link`: to whom.
    #[serde(default)]
    pub to: Vec<usize>,
    /// With `link`: the rule.
    #[serde(default)]
    pub rule: LinkRule,
    /// With `workers`: how many more, all cold.
    #[serde(default)]
    pub count: usize,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Kill processes.
    Kill,
    /// Start processes.
    Start,
    /// Stop them where they stand.
    Stop,
    /// Let them go on.
    GoOn,
    /// Ask them to end.
    Term,
    /// Cut these off from all others.
    Part,
    /// A rule from some to some.
    Link,
    /// Everything passes again.
    Heal,
    /// More workers, cold.
    Workers,
}

/// Interval between two status reports of a node.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for the views to become equal and true.
const SETTLE_LIMIT: Duration = Duration::from_secs(30);
/// Time that nodes without membership have to start.
const START_TIME: Duration = Duration::from_secs(2);
/// Number of voters of a plan with duties.
const VOTERS: usize = 3;
/// Duration of a lease, in milliseconds.
const LEASE_MS: u64 = 2500;
/// Least probe interval, in milliseconds.
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
    /// Returns the first part that is wrong, by its line.
    pub fn parse(text: &str) -> Result<Plan, PlanError> {
        let line = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
        let plan: Plan = toml::from_str(text).map_err(|e| PlanError {
            line: e.span().map_or(1, |s| line(s.start)),
            reason: e.message().trim().replace('\n', " "),
        })?;
        let bad = |at: usize, reason: &str| Err(PlanError { line: line(at), reason: reason.to_string() });
        if plan.duties && plan.nodes < VOTERS {
            return bad(0, "duties want 3 nodes at least, for the voters");
        }
        if !(1..=NODES_MAX).contains(&plan.nodes) {
            return bad(0, &format!("nodes: 1 to {NODES_MAX} are allowed"));
        }
        let above = |x: f64| x.is_finite() && x > 0.0;
        if !above(plan.rate) || !above(plan.quota) || !above(plan.length_s) || plan.probe_ms < PROBE_MIN_MS {
            return bad(0, "rate, quota and length_s must be above zero, and probe_ms 100 at least");
        }
        for step in &plan.fault {
            let (at, step) = (step.span().start, step.get_ref());
            let part = |x: f64| (0.0..=1.0).contains(&x);
            if step.nodes.iter().chain(&step.to).any(|i| *i >= plan.nodes) {
                return bad(at, "there is no such node");
            }
            if !step.at_s.is_finite() || !(0.0..=plan.length_s).contains(&step.at_s) {
                return bad(at, "at_s lies outside the plan");
            }
            if !part(step.rule.loss) || !part(step.rule.twice) || !part(step.rule.mutated) {
                return bad(at, "loss, twice and mutated are parts, from 0 to 1");
            }
        }
        Ok(plan)
    }
}

/// Status reports of all nodes at some moments since the load's start.
pub type History = Vec<(Duration, BTreeMap<String, Option<Status>>)>;

/// Outcome of a plan.
pub struct Outcome {
    /// How the jobs ended.
    pub report: Report,
    /// How long after the load's end the views of all that ran were equal and true, or what was wrong.
    pub settled: Result<Duration, Vec<ViewFault>>,
    /// Status reports of the nodes each half second from the load's start on.
    pub history: History,
    /// Workers that failed under overload while they were warming up.
    pub failed_workers: usize,
    /// Largest load of a worker that was warming up, as a share of what makes it fail.
    pub peak_cold_load: f64,
    /// Idempotency keys that were done more than once.
    pub repeated_keys: usize,
}

/// Carries a plan out with this program; `report_step` is called with a line for each step.
///
/// # Errors
/// Where the cluster can't be started, a process or worker can't be started, or the load fails.
pub async fn execute(plan: &Plan, binary: &Path, report_step: impl Fn(&str)) -> io::Result<Outcome> {
    let mut cluster = Cluster::start(plan.cluster_spec(binary)).await?;
    let mut running = vec![true; plan.nodes];
    if plan.fleet {
        let settled = cluster.settled(&Cluster::expected_views(0..plan.nodes), SETTLE_LIMIT).await;
        report_step(&match &settled {
            Ok(took) => format!("the views of {} nodes are equal and true after {took:.1?}", plan.nodes),
            Err(wrong) => format!("the views did not settle: {}", wrong[0]),
        });
    } else {
        sleep(START_TIME).await;
    }
    let nodes = (0..plan.nodes).map(|i| cluster.listen(i)).collect();
    let (start, load) = (Instant::now(), tokio::spawn(run_load(plan.load(), nodes)));
    let mut steps: Vec<Step> = plan.fault.iter().map(|step| step.get_ref().clone()).collect();
    steps.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let mut history = History::new();
    for step in steps {
        watch(&cluster, start, Duration::from_secs_f64(step.at_s), &mut history).await;
        execute_step(&mut cluster, &mut running, &step).await?;
        report_step(&format!("{:5.1} s: {:?} {:?}", step.at_s, step.kind, step.nodes));
    }
    watch(&cluster, start, Duration::from_secs_f64(plan.length_s), &mut history).await;
    let report = load.await.map_err(io::Error::other)?;
    let expected = Cluster::expected_views((0..plan.nodes).filter(|i| running[*i]));
    let settled = match plan.fleet {
        true => cluster.settled(&expected, SETTLE_LIMIT).await,
        false => Ok(Duration::ZERO),
    };
    Ok(outcome(&cluster, report, settled, history))
}

/// Adds what the workers have recorded.
fn outcome(
    cluster: &Cluster,
    report: Report,
    settled: Result<Duration, Vec<ViewFault>>,
    history: History,
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
            coordination: self.duties.then_some(coordination),
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
async fn watch(cluster: &Cluster, start: Instant, until: Duration, history: &mut History) {
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
            FaultKind::Stop | FaultKind::GoOn | FaultKind::Term => {
                if let Some(process) = &mut cluster.nodes[i] {
                    process.signal(match step.kind {
                        FaultKind::Stop => Signal::STOP,
                        FaultKind::GoOn => Signal::CONT,
                        _ => Signal::TERM,
                    });
                }
            }
            _ => {}
        }
        match step.kind {
            FaultKind::Kill | FaultKind::Stop | FaultKind::Term => running[i] = false,
            FaultKind::Start | FaultKind::GoOn => running[i] = true,
            _ => {}
        }
    }
    match step.kind {
        FaultKind::Part => {
            let parts: Vec<u32> = (0..running.len()).map(|i| u32::from(step.nodes.contains(&i))).collect();
            cluster.proxies.partition(&parts);
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
