//! Cluster under test: real processes on their own loopback addresses, with workers, discovery, and fault
//! proxies between the nodes. Dropping it ends all processes.

mod addresses;
mod configuration;
mod spec;

pub use addresses::{free_block, Block};
pub use spec::{CoordinationSpec, Spec};

use crate::check::{view_faults, ExpectedViews, ViewFault};
use crate::discovery::Discovery;
use crate::fault_proxy::FaultProxies;
use crate::process::Process;
use crate::soak::shim::{self, Control};
use crate::worker::Worker;
use membership::{Status, View};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

/// Content of the key file of all clusters under test.
pub const KEY_FILE_TEXT: &str = "current 0f1e2d3c4b5a69788796a5b4c3d2e1f00f1e2d3c4b5a69788796a5b4c3d2e1f0\n";
/// Maximum number of nodes: a block has an address for each node and each proxy.
pub const NODES_MAX: usize = 100;
/// Interval at which the views are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Port for messages between nodes.
const GOSSIP_PORT: u16 = 7946;
/// First host number of the proxies.
const PROXY_HOST: usize = 100;
/// First host number of the workers, and the number of workers on one port.
const WORKER_HOST: usize = 200;
const WORKERS_PER_PORT: usize = 50;

/// Tenants in the cluster's settings.
pub const TENANTS: [&str; 2] = ["primorje-spedicija", "savinja-logistika"];

/// Real processes with their workers, discovery and fault proxies.
pub struct Cluster {
    /// Parameters.
    pub spec: Spec,
    /// Process of each node; `None` if none runs.
    pub nodes: Vec<Option<Process>>,
    /// Processes whose successors have started.
    pub predecessors: Vec<Process>,
    /// Fault proxies between the nodes.
    pub proxies: FaultProxies,
    /// Workers by number, with their start time in Unix milliseconds (0 if warm); `None` if removed.
    pub workers: Vec<Option<(Worker, u64)>>,
    /// Discovery, which publishes the workers to the nodes.
    pub discovery: Discovery,
    /// Nodes that have a state directory without being listed as voters.
    pub nodes_with_state: BTreeSet<usize>,
    folder: PathBuf,
    block: Block,
    starts: u16,
    shims: Option<FaultShims>,
    _lock: TcpListener,
}

/// The fault injection library, and its control file for each node.
struct FaultShims {
    library: PathBuf,
    controls: Vec<Control>,
}

/// Number of the next cluster in this process.
static NEXT_CLUSTER: AtomicU32 = AtomicU32::new(0);

impl Cluster {
    /// Starts a cluster with all its nodes.
    ///
    /// # Errors
    /// See [`Cluster::prepare`] and [`Cluster::start_node`].
    pub async fn start(spec: Spec) -> io::Result<Cluster> {
        let mut cluster = Cluster::prepare(spec).await?;
        for i in 0..cluster.spec.nodes {
            cluster.start_node(i)?;
        }
        Ok(cluster)
    }

    /// Starts a cluster without its nodes.
    ///
    /// # Errors
    /// If there are too many nodes, no address block is free, or a stand-in or file can't be created.
    pub async fn prepare(spec: Spec) -> io::Result<Cluster> {
        let too_many = || io::Error::new(io::ErrorKind::InvalidInput, format!("at most {NODES_MAX} nodes"));
        (1..=NODES_MAX).contains(&spec.nodes).then_some(()).ok_or_else(too_many)?;
        let number = NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed);
        let (block, _lock) = free_block(std::process::id().wrapping_mul(97).wrapping_add(number * 7919))?;
        let folder = std::env::temp_dir().join(format!("testbed-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("fleet.key"), KEY_FILE_TEXT)?;
        let proxy_addresses: Vec<SocketAddr> =
            (0..spec.nodes).map(|i| block.address(PROXY_HOST + i, GOSSIP_PORT)).collect();
        let node_addresses: Vec<SocketAddr> =
            (0..spec.nodes).map(|i| block.address(i, GOSSIP_PORT)).collect();
        let proxies = FaultProxies::start(&proxy_addresses, &node_addresses, spec.seed).await?;
        let discovery = Discovery::start(block.address(250, 8500), Vec::new()).await?;
        let mut cluster = Cluster {
            nodes: (0..spec.nodes).map(|_| None).collect(),
            predecessors: Vec::new(),
            proxies,
            workers: Vec::new(),
            discovery,
            nodes_with_state: BTreeSet::new(),
            folder,
            block,
            starts: 0,
            shims: None,
            _lock,
            spec,
        };
        for _ in 0..cluster.spec.workers {
            cluster.add_worker(false).await?;
        }
        cluster.publish_workers();
        Ok(cluster)
    }

    /// Runs nodes that are started from now on with the fault injection library.
    ///
    /// # Errors
    /// If the library can't be built, or a control file can't be created.
    pub fn enable_fault_shims(&mut self) -> io::Result<()> {
        let library = shim::build(&self.folder)?;
        let control = |i| Control::create(self.folder.join(format!("control-{i}")));
        let controls = (0..self.spec.nodes).map(control).collect::<io::Result<_>>()?;
        self.shims = Some(FaultShims { library, controls });
        Ok(())
    }

    /// Returns the control of the faults injected into a node's system calls.
    ///
    /// # Panics
    /// If the nodes run without the library.
    pub fn fault_control(&self, i: usize) -> &Control {
        &self.shims.as_ref().expect("enable_fault_shims was called").controls[i]
    }

    /// Returns the name of a node.
    pub fn name(i: usize) -> String {
        format!("n{i:02}")
    }

    /// Returns the address at which a node listens for clients.
    pub fn listen(&self, i: usize) -> SocketAddr {
        self.block.address(i, shim::CLIENT_PORT)
    }

    /// Returns the address that a node advertises to the others: its proxy's.
    pub fn advertise(&self, i: usize) -> SocketAddr {
        self.block.address(PROXY_HOST + i, GOSSIP_PORT)
    }

    /// Returns the address at which a node listens for other nodes, behind its proxy.
    pub fn gossip_address(&self, i: usize) -> SocketAddr {
        self.block.address(i, GOSSIP_PORT)
    }

    /// Returns the state directory of a node.
    pub fn state(&self, i: usize) -> PathBuf {
        self.folder.join(Cluster::name(i)).join("state")
    }

    /// Returns an address for a stand-in that a test starts.
    pub fn spare_address(&self, n: u16) -> SocketAddr {
        self.block.address(251, 8600 + n)
    }

    /// Returns the coordination status of a node, as JSON.
    pub async fn coordination_status(&self, i: usize) -> Option<Value> {
        let at = self.nodes[i].as_ref()?.management;
        let (status, body) = crate::process::call(at, "GET", "/fleet/duties").await?;
        serde_json::from_slice(&body).ok().filter(|_| status == 200)
    }

    /// Returns the folder of the cluster; it is removed on drop.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Starts a process for a node. One that is already running moves to [`Cluster::predecessors`].
    ///
    /// # Errors
    /// If a file can't be written or the program can't be started.
    pub fn start_node(&mut self, i: usize) -> io::Result<()> {
        self.start_as(i, &Cluster::name(i))
    }

    /// Like [`Cluster::start_node`], under another name.
    ///
    /// # Errors
    /// See [`Cluster::start_node`].
    pub fn start_as(&mut self, i: usize, name: &str) -> io::Result<()> {
        self.starts += 1;
        let folder = self.folder.join(Cluster::name(i));
        std::fs::create_dir_all(&folder)?;
        let file = folder.join("fleet.toml");
        std::fs::write(&file, self.fleet_file(i))?;
        let file = file.to_string_lossy().into_owned();
        let config = self.config(i, name);
        let arguments: &[&str] = if self.spec.fleet { &["--fleet", &file] } else { &[] };
        let variables: Vec<(&str, &Path)> = match &self.shims {
            Some(shims) => {
                vec![("LD_PRELOAD", &shims.library), ("SOAK_CONTROL", &shims.controls[i].path)]
            }
            None => Vec::new(),
        };
        let process = Process::start_with(&self.spec.binary, &folder, &config, arguments, &variables)?;
        if let Some(mut old) = self.nodes[i].replace(process) {
            if old.exit_status().is_none() {
                self.predecessors.push(old);
            }
        }
        Ok(())
    }

    /// Publishes all workers in discovery.
    pub fn publish_workers(&self) {
        self.discovery.publish(self.endpoint_entries());
    }

    /// Publishes all workers in discovery, one of them as draining.
    pub fn publish_draining(&self, n: usize) {
        let mut entries = self.endpoint_entries();
        let id = format!("w{n:03}");
        entries
            .iter_mut()
            .filter(|entry| entry["id"] == id.as_str())
            .for_each(|entry| entry["phase"] = "terminating".into());
        self.discovery.publish(entries);
    }

    /// Starts a worker without publishing it. Returns its number.
    ///
    /// # Errors
    /// If its address can't be bound.
    pub async fn add_worker(&mut self, cold: bool) -> io::Result<usize> {
        let n = self.workers.len();
        let address =
            self.block.address(WORKER_HOST + n % WORKERS_PER_PORT, 8100 + (n / WORKERS_PER_PORT) as u16);
        let worker = Worker::start(address, self.spec.worker_profile, cold).await?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.workers.push(Some((worker, if cold { unix.as_millis() as u64 } else { 0 })));
        Ok(n)
    }

    /// Returns the process of a running node.
    ///
    /// # Panics
    /// If the node has no process, which is a fault of the test.
    pub fn node(&mut self, i: usize) -> &mut Process {
        self.nodes[i].as_mut().expect("this node has a process")
    }

    /// Restarts each node whose process has exited, as a supervisor does. Returns the restarted nodes.
    ///
    /// # Errors
    /// See [`Cluster::start_node`].
    pub fn restart_ended(&mut self) -> io::Result<Vec<usize>> {
        let ended = |p: &mut Option<Process>| p.as_mut().is_some_and(|p| p.exit_status().is_some());
        let all: Vec<usize> =
            self.nodes.iter_mut().enumerate().filter_map(|(i, p)| ended(p).then_some(i)).collect();
        all.iter().try_for_each(|i| self.start_node(*i))?;
        Ok(all)
    }

    /// Kills a node's process.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i] = None;
    }

    /// Returns the status reports of all nodes, by name; `None` for a node that reports none.
    pub async fn statuses(&self) -> BTreeMap<String, Option<Status>> {
        let mut calls = JoinSet::new();
        for (i, process) in self.nodes.iter().enumerate() {
            let Some(at) = process.as_ref().map(|p| p.management) else { continue };
            calls.spawn(async move { (Cluster::name(i), crate::process::fleet_status(at).await) });
        }
        let mut all = BTreeMap::new();
        while let Some(Ok((name, status))) = calls.join_next().await {
            all.insert(name, status);
        }
        all
    }

    /// Returns the membership views of all nodes.
    pub async fn views(&self) -> BTreeMap<String, Option<View>> {
        self.statuses().await.into_iter().map(|(n, s)| (n, s.map(|s| s.view))).collect()
    }

    /// Returns the expected views if these nodes run, in one partition.
    pub fn expected_views(running: impl IntoIterator<Item = usize>) -> ExpectedViews {
        ExpectedViews { partitions: running.into_iter().map(|i| (Cluster::name(i), 0)).collect() }
    }

    /// Waits until the views have been equal and as expected for [`Spec::settle_time`]. Returns the time
    /// until they were.
    ///
    /// # Errors
    /// Returns the last faults if the views do not settle within `bound`.
    pub async fn settled(
        &self,
        expected: &ExpectedViews,
        bound: Duration,
    ) -> Result<Duration, Vec<ViewFault>> {
        let start = Instant::now();
        let (mut correct_since, mut last_faults): (Option<Instant>, Vec<ViewFault>) = (None, Vec::new());
        loop {
            let faults = view_faults(expected, &self.views().await);
            if faults.is_empty() {
                let since = *correct_since.get_or_insert_with(Instant::now);
                if since.elapsed() >= self.spec.settle_time() {
                    return Ok(since - start);
                }
            } else {
                (correct_since, last_faults) = (None, faults);
            }
            if correct_since.is_none() && start.elapsed() >= bound {
                return Err(last_faults);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the log of a node's last process.
    pub fn log(&self, i: usize) -> String {
        let log = self.nodes[i].as_ref().map(|p| p.log.clone());
        log.and_then(|path| std::fs::read_to_string(path).ok()).unwrap_or_default()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.nodes.clear();
        self.predecessors.clear();
        if std::thread::panicking() {
            eprintln!("the nodes' logs are kept in {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
