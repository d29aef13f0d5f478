//! Demonstration of the fleet (`make fleet`).

use crate::cluster::{Cluster, Spec, TENANTS};
use crate::load::{play, Load};
use membership::{MemberStatus, Status};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Duration;
use tokio::time::sleep;

/// For the views to become equal and true.
const BOUND: Duration = Duration::from_secs(20);

/// Starts five nodes with workers and load, kills one, cuts one off, and prints what each sees.
pub async fn run(binary: &Path) -> Result<(), String> {
    let no = |e: std::io::Error| format!("cannot start {}: {e}", binary.display());
    let mut cluster =
        Cluster::start(Spec { workers: 4, quota: 12.0, ..Spec::new(binary, 5) }).await.map_err(no)?;
    println!("Five nodes, four workers, 20 jobs a second. Each row is what one node sees of each other.\n");
    let names = |i: &usize| Cluster::name(*i);
    settle(&cluster, "all five find each other", (0..5).map(|i| (i, 0)).collect()).await?;
    let length = Duration::from_secs(20);
    let load = Load { rate: 20.0, length, seed: 1, tenants: TENANTS.map(String::from).to_vec() };
    let load = tokio::spawn(play(load, (0..5).map(|i| cluster.listen(i)).collect()));
    sleep(Duration::from_secs(2)).await;
    cluster.kill(1);
    settle(&cluster, &format!("{} is killed", names(&1)), [0, 2, 3, 4].map(|i| (i, 0)).to_vec()).await?;
    cluster.proxies.partition(&[0, 0, 0, 0, 1]);
    let parts = [(0, 0), (2, 0), (3, 0), (4, 1)].to_vec();
    settle(&cluster, &format!("{} is cut off from the other nodes, not from workers", names(&4)), parts)
        .await?;
    cluster.proxies.heal();
    cluster.start_node(1).map_err(no)?;
    settle(&cluster, "the cut is mended and the killed one started again", (0..5).map(|i| (i, 0)).collect())
        .await?;
    let r = load.await.map_err(|e| e.to_string())?;
    println!(
        "Meanwhile {} jobs were due: {} served in time, {} late, {} refused, {} failed, {} lost with the node that was \
         killed or before the front noticed it. Worth served: {:.2}.",
        r.due,
        r.in_time,
        r.late,
        r.refused,
        r.failed,
        r.lost + r.nowhere,
        r.worth
    );
    Ok(())
}

async fn settle(cluster: &Cluster, what: &str, running: Vec<(usize, u32)>) -> Result<(), String> {
    let mut truth = Cluster::truth(running.iter().map(|(i, _)| *i));
    for (i, part) in running {
        truth.parts.insert(Cluster::name(i), part);
    }
    match cluster.settled(&truth, BOUND).await {
        Ok(took) => println!("{what}: equal and true after {:.1} s", took.as_secs_f64()),
        Err(wrong) => {
            let wrong: Vec<String> = wrong.iter().map(|f| f.to_string()).collect();
            return Err(format!("{what}: the views did not settle in {BOUND:?}: {}", wrong.join(", ")));
        }
    }
    println!("{}", table(&cluster.statuses().await));
    Ok(())
}

/// A row for each node: what it holds of each other.
fn table(statuses: &BTreeMap<String, Option<Status>>) -> String {
    let known = statuses.values().flatten().flat_map(|s| &s.view.members).map(|m| &m.name);
    let names: BTreeSet<&String> = known.chain(statuses.keys()).collect();
    let mut out = format!("  {:6}", "");
    names.iter().for_each(|n| out += &format!("{n:>9}"));
    for (name, told) in statuses {
        out += &format!("\n  {name:6}");
        let Some(told) = told else {
            out += "  tells nothing";
            continue;
        };
        for other in &names {
            let m = told.view.members.iter().find(|m| m.name == ***other);
            let word = match m.map(|m| m.status) {
                None => "unknown",
                Some(MemberStatus::Alive) => "alive",
                Some(MemberStatus::Suspect) => "suspect",
                Some(MemberStatus::Draining) => "draining",
                Some(MemberStatus::Left) => "left",
                Some(MemberStatus::Dead) => "dead",
            };
            out += &format!("{word:>9}");
        }
        out +=
            &format!("   {} take jobs, {} may be sending", told.fleet_size.siblings, told.fleet_size.senders);
    }
    out + "\n"
}
