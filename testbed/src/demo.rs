//! Demonstration of membership (`make fleet`).

use crate::check::ViewFault;
use crate::cluster::{Cluster, Spec, TENANTS};
use crate::load::{run_load, Load};
use membership::{MemberStatus, Status};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::task::JoinError;
use tokio::time::sleep;

/// Time limit for the views to settle.
const SETTLE_LIMIT: Duration = Duration::from_secs(20);
/// Number of nodes.
const NODES: usize = 5;
/// Requests per second.
const RATE: f64 = 20.0;
/// Duration of the load.
const LOAD_LENGTH: Duration = Duration::from_secs(20);
/// Time of load before the first fault.
const BEFORE_FAULTS: Duration = Duration::from_secs(2);
/// Node that is killed, and node that is isolated.
const KILLED: usize = 1;
const ISOLATED: usize = 4;

/// Error of the demonstration.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// A node can't be started.
    #[error("cannot start {}: {source}", binary.display())]
    Start {
        /// Path of the program.
        binary: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The views did not settle in time.
    #[error("{step}: the views did not settle in {SETTLE_LIMIT:?}: {}", list(faults))]
    NotSettled {
        /// Last step before the failure.
        step: String,
        /// Faults of the views at the end.
        faults: Vec<ViewFault>,
    },
    /// The load's task panicked.
    #[error(transparent)]
    Load(#[from] JoinError),
}

fn list(faults: &[ViewFault]) -> String {
    faults.iter().map(ViewFault::to_string).collect::<Vec<_>>().join(", ")
}

/// Starts five nodes with workers and load, kills one, isolates one, and prints the view of each.
///
/// # Errors
/// If the program can't be started, or the views of the nodes don't settle in time.
pub async fn run(binary: &Path) -> Result<(), DemoError> {
    let cannot_start = |source| DemoError::Start { binary: binary.to_path_buf(), source };
    let spec = Spec { workers: 4, quota: 12.0, ..Spec::new(binary, NODES) };
    let mut cluster = Cluster::start(spec).await.map_err(cannot_start)?;
    println!("Five nodes, four workers, 20 requests per second. Each row is the view of one node.\n");
    let all: Vec<(usize, u32)> = (0..NODES).map(|i| (i, 0)).collect();
    settle(&cluster, "all five nodes have joined", &all).await?;
    let tenants = TENANTS.map(String::from).to_vec();
    let load = Load { rate: RATE, duration: LOAD_LENGTH, seed: 1, tenants };
    let load = tokio::spawn(run_load(load, (0..NODES).map(|i| cluster.listen(i)).collect()));
    sleep(BEFORE_FAULTS).await;
    cluster.kill(KILLED);
    let killed = format!("{} is killed", Cluster::name(KILLED));
    settle(&cluster, &killed, &[(0, 0), (2, 0), (3, 0), (4, 0)]).await?;
    cluster.proxies.partition(&[0, 0, 0, 0, 1]);
    let isolated =
        format!("{} is isolated from the other nodes, not from the workers", Cluster::name(ISOLATED));
    settle(&cluster, &isolated, &[(0, 0), (2, 0), (3, 0), (4, 1)]).await?;
    cluster.proxies.heal();
    cluster.start_node(KILLED).map_err(cannot_start)?;
    settle(&cluster, "the partition is healed and the killed node restarted", &all).await?;
    let report = load.await?;
    println!(
        "Load: {} requests due, {} in time, {} late, {} shed, {} failed, {} lost with the killed node or \
         sent to it before the health check failed. Priority weight served in time: {:.2}.",
        report.due,
        report.in_time,
        report.late,
        report.shed,
        report.failed,
        report.lost + report.without_node,
        report.weight_in_time
    );
    Ok(())
}

/// Waits until the views have settled, for these running nodes and their partitions, and prints them.
async fn settle(cluster: &Cluster, step: &str, running: &[(usize, u32)]) -> Result<(), DemoError> {
    let mut expected = Cluster::expected_views(running.iter().map(|(node, _)| *node));
    for (node, partition) in running {
        expected.partitions.insert(Cluster::name(*node), *partition);
    }
    let settled = cluster.settled(&expected, SETTLE_LIMIT).await;
    let took = settled.map_err(|faults| DemoError::NotSettled { step: step.to_string(), faults })?;
    println!("{step}: settled after {:.1} s", took.as_secs_f64());
    println!("{}", table(&cluster.statuses().await));
    Ok(())
}

/// Formats a row for each node: the status that it reports of each member.
fn table(statuses: &BTreeMap<String, Option<Status>>) -> String {
    let known = statuses.values().flatten().flat_map(|s| &s.view.members).map(|m| &m.name);
    let names: BTreeSet<&String> = known.chain(statuses.keys()).collect();
    let mut out = format!("  {:6}", "");
    names.iter().for_each(|n| out += &format!("{n:>9}"));
    for (name, status) in statuses {
        out += &format!("\n  {name:6}");
        let Some(status) = status else {
            out += "  reports nothing";
            continue;
        };
        for other in &names {
            let member = status.view.members.iter().find(|member| member.name == ***other);
            let label = match member.map(|member| member.status) {
                None => "unknown",
                Some(MemberStatus::Alive) => "alive",
                Some(MemberStatus::Suspect) => "suspect",
                Some(MemberStatus::Draining) => "draining",
                Some(MemberStatus::Left) => "left",
                Some(MemberStatus::Dead) => "dead",
            };
            out += &format!("{label:>9}");
        }
        out += &format!(
            "   {} accept requests, {} may send to workers",
            status.fleet_size.dispatchers, status.fleet_size.senders
        );
    }
    out + "\n"
}
