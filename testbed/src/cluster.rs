//! Cluster under test: a fleet of real processes on loopback addresses of its own, with workers, discovery and relays between
//! the nodes. All processes end when the value is dropped.

use crate::check::{faults, Fault, Truth};
use crate::discovery::Discovery;
use crate::fault_proxy::FaultProxies;
use crate::process::Process;
use crate::soak::shim::{self, Control};
use crate::wire;
use crate::worker::{Worker, WorkerProfile};
use membership::{Status, View};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

/// Key that all fleets under test share.
pub const KEY: &str = "current 0f1e2d3c4b5a69788796a5b4c3d2e1f00f1e2d3c4b5a69788796a5b4c3d2e1f0\n";
/// Nodes at most: one address for each and one for its relay, in one block.
pub const NODES_MAX: usize = 100;
/// Between two looks at the views.
const LOOK: Duration = Duration::from_millis(100);
/// Held while a block of addresses is in use, so that no two clusters share one.
const LOCK_PORT: u16 = 7900;

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The program.
    pub binary: PathBuf,
    /// Nodes; at most [`NODES_MAX`].
    pub nodes: usize,
    /// Whether they talk.
    pub fleet: bool,
    /// Workers.
    pub workers: usize,
    /// How they work.
    pub kind: WorkerProfile,
    /// Jobs a second that each of the two tenants may send.
    pub quota: f64,
    /// Between two probes of a node; all other times of the talk go by it.
    pub probe_ms: u64,
    /// For what relays draw.
    pub seed: u64,
    /// Whether there are duties, and which.
    pub coordination: Option<CoordinationSpec>,
}

/// The duties of a cluster's nodes. The first `voters` of them vote.
#[derive(Clone, Debug)]
pub struct CoordinationSpec {
    /// 3 or 5.
    pub voters: usize,
    /// For which a duty is granted.
    pub lease_ms: u64,
    /// Whether one node of each zone follows discovery for the others.
    pub lists: bool,
    /// Whether nodes may be restarted one after another.
    pub rolling_restart: bool,
    /// Calls that one node makes for all: name, whom, how often.
    pub scheduled_calls: Vec<(String, SocketAddr, u64)>,
}

impl Spec {
    /// A small fleet that settles fast.
    pub fn new(binary: impl Into<PathBuf>, nodes: usize) -> Spec {
        let (binary, kind) = (binary.into(), WorkerProfile::default());
        Spec {
            binary,
            nodes,
            fleet: true,
            workers: 0,
            kind,
            quota: 1000.0,
            probe_ms: 250,
            seed: 1,
            coordination: None,
        }
    }

    /// For how long views have to be right before they count as settled: as long as a suspicion may take.
    pub fn settle_time(&self) -> Duration {
        Duration::from_millis(self.probe_ms * 6)
    }
}

/// The tenants of the cluster's settings.
pub const TENANTS: [&str; 2] = ["primorje-spedicija", "savinja-logistika"];

/// A fleet of real processes with its workers, discovery and relays.
pub struct Cluster {
    /// What it is made of.
    pub spec: Spec,
    /// The nodes' processes; `None` where none runs.
    pub nodes: Vec<Option<Process>>,
    /// Processes that were taken over from and are on their way to their end.
    pub predecessors: Vec<Process>,
    /// What lies between them.
    pub proxies: FaultProxies,
    /// The workers, by number; `None` where one is gone.
    pub workers: Vec<Option<(Worker, u64)>>,
    /// Where the nodes hear of them.
    pub discovery: Discovery,
    /// Nodes that have a state folder, though they are no voters by the file.
    pub stateful: BTreeSet<usize>,
    folder: PathBuf,
    block: [u8; 2],
    starts: u16,
    shims: Option<Shims>,
    _lock: TcpListener,
}

/// The library that makes system calls of the nodes fail, and what it is to inject into each.
struct Shims {
    library: PathBuf,
    controls: Vec<Control>,
}

static NEXT: AtomicU32 = AtomicU32::new(0);

impl Cluster {
    /// Starts everything.
    pub async fn start(spec: Spec) -> io::Result<Cluster> {
        let mut cluster = Cluster::prepare(spec).await?;
        for i in 0..cluster.spec.nodes {
            cluster.start_node(i)?;
        }
        Ok(cluster)
    }

    /// Starts all but the nodes.
    pub async fn prepare(spec: Spec) -> io::Result<Cluster> {
        let too_many = || io::Error::new(io::ErrorKind::InvalidInput, format!("at most {NODES_MAX} nodes"));
        (1..=NODES_MAX).contains(&spec.nodes).then_some(()).ok_or_else(too_many)?;
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let (block, _lock) = block(std::process::id().wrapping_mul(97).wrapping_add(number * 7919))?;
        let folder = std::env::temp_dir().join(format!("testbed-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("fleet.key"), KEY)?;
        let at = |host: usize, port| address(block, host, port);
        let fronts: Vec<SocketAddr> = (0..spec.nodes).map(|i| at(100 + i, 7946)).collect();
        let hosts: Vec<SocketAddr> = (0..spec.nodes).map(|i| at(i, 7946)).collect();
        let proxies = FaultProxies::start(&fronts, &hosts, spec.seed).await?;
        let discovery = Discovery::start(at(250, 8500), Vec::new()).await?;
        let mut cluster = Cluster {
            nodes: (0..spec.nodes).map(|_| None).collect(),
            predecessors: Vec::new(),
            proxies,
            workers: Vec::new(),
            discovery,
            stateful: BTreeSet::new(),
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
        cluster.list();
        Ok(cluster)
    }

    /// Has the nodes that are started from here on run with a library that makes their system calls fail.
    ///
    /// # Errors
    /// Where it can't be built.
    pub fn with_shims(&mut self) -> io::Result<()> {
        let library = shim::build(&self.folder)?;
        let control = |i| Control::create(self.folder.join(format!("control-{i}")));
        let controls = (0..self.spec.nodes).map(control).collect::<io::Result<_>>()?;
        self.shims = Some(Shims { library, controls });
        Ok(())
    }

    /// What is injected into a node's calls.
    ///
    /// # Panics
    /// Where the nodes run without the library.
    pub fn control(&self, i: usize) -> &Control {
        &self.shims.as_ref().expect("nodes with the library").controls[i]
    }

    /// The name of a node.
    pub fn name(i: usize) -> String {
        format!("n{i:02}")
    }

    /// Where clients connect to a node.
    pub fn listen(&self, i: usize) -> SocketAddr {
        address(self.block, i, 8000)
    }

    /// Where the other nodes reach it: its relay.
    pub fn advertise(&self, i: usize) -> SocketAddr {
        address(self.block, 100 + i, 7946)
    }

    /// Where it listens for them itself.
    pub fn gossip_address(&self, i: usize) -> SocketAddr {
        address(self.block, i, 7946)
    }

    /// The state folder of a node.
    pub fn state(&self, i: usize) -> PathBuf {
        self.folder.join(Cluster::name(i)).join("state")
    }

    /// An address for a stand-in of the test's own.
    pub fn spare_address(&self, n: u16) -> SocketAddr {
        address(self.block, 251, 8600 + n)
    }

    /// What a node tells of the duties, as JSON.
    pub async fn duties(&self, i: usize) -> Option<Value> {
        let at = self.nodes[i].as_ref()?.management;
        let (status, body) = crate::process::call(at, "GET", "/fleet/duties").await?;
        serde_json::from_slice(&body).ok().filter(|_| status == 200)
    }

    /// What belongs to the cluster; gone with it.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Starts a process for a node: anew, or beside one that runs, which is then in [`Cluster::predecessors`].
    pub fn start_node(&mut self, i: usize) -> io::Result<()> {
        self.start_as(i, &Cluster::name(i))
    }

    /// The same, under another name.
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
            if old.ended().is_none() {
                self.predecessors.push(old);
            }
        }
        Ok(())
    }

    fn fleet_file(&self, i: usize) -> String {
        let seeds: Vec<String> =
            (0..self.spec.nodes.min(3)).map(|s| format!("{:?}", self.advertise(s).to_string())).collect();
        let p = self.spec.probe_ms;
        let mut duties = String::new();
        if let Some(d) = &self.spec.coordination {
            let voter = |v| format!("{{ name = \"{}\", at = \"{}\" }}", Cluster::name(v), self.advertise(v));
            let voters: Vec<String> = (0..d.voters).map(voter).collect();
            let state = if i < d.voters || self.stateful.contains(&i) { "state = \"state\"\n" } else { "" };
            duties = format!(
                "[duties]\n{state}voters = [{}]\nlease_ms = {}\nelection_ms = 500\nlists = {}\nroll = {}\n",
                voters.join(", "),
                d.lease_ms,
                d.lists,
                d.rolling_restart
            );
            for (name, at, every) in &d.scheduled_calls {
                duties += &format!(
                    "[[duties.errand]]\nname = \"{name}\"\nat = \"{at}\"\npath = \"/{name}\"\nevery_ms = {every}\n"
                );
            }
        }
        format!(
            "fleet = \"testbed\"\nlisten = \"{}\"\nadvertise = \"{}\"\nzone = \"z{}\"\nkey_file = \"../fleet.key\"\n\
             seeds = [{}]\n[timing]\nprobe_ms = {p}\nanswer_ms = {}\nsuspicion_ms = {}\ncontact_ms = {p}\n{duties}",
            self.gossip_address(i),
            self.advertise(i),
            i % 2,
            seeds.join(", "),
            p * 2 / 5,
            p * 4
        )
    }

    fn config(&self, i: usize, name: &str) -> Value {
        let mut settings = wire::settings(true, 250_000);
        let ms = |d: Duration| d.as_micros() as u64;
        let kind = &self.spec.kind;
        settings["Siblings"] = self.spec.nodes.into();
        settings["Ordinal"] = i.into();
        settings["Limits"]["Peers"] = self.spec.fleet.into();
        settings["Prices"] = json!({"Peer": 0.01});
        settings["OverShareWorth"] = 0.05.into();
        settings["Invariants"] = json!({"ColdShare": kind.cold_share, "WarmUpUs": ms(kind.warm_up),
            "FallMultiple": kind.fall_multiple, "FallUs": ms(kind.fall)});
        let tenant = |name: &&str| json!({"Name": name, "QuotaPerS": self.spec.quota, "Share": 0.5});
        settings["Parties"] = TENANTS.iter().map(tenant).collect();
        for (profile, class) in [0, 1].into_iter().zip(crate::load::classes()) {
            settings["Profiles"][profile]["AimUs"] = ms(class.aim).into();
            settings["Profiles"][profile]["AimStretch"] = class.stretch.into();
            settings["Profiles"][profile]["DeadlineUs"] = ms(class.deadline).into();
        }
        json!({"name": name, "listen": self.listen(i).to_string(), "discovery": self.discovery.address.to_string(),
            "management": address(self.block, i, 9000 + self.starts).to_string(), "seed": format!("{:x}", i + 1),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 0, "complete": true, "members": self.lines()}, "settings": settings})
    }

    fn lines(&self) -> Vec<Value> {
        let workers = self.workers.iter().enumerate().filter_map(|(n, w)| Some((n, w.as_ref()?)));
        workers
            .map(|(n, (w, since))| wire::line(&format!("w{n:03}"), w.address, "in_service", *since))
            .collect()
    }

    /// Tells discovery who is there.
    pub fn list(&self) {
        self.discovery.tell(self.lines());
    }

    /// The same, with one worker that drains.
    pub fn list_draining(&self, n: usize) {
        let mut lines = self.lines();
        let id = format!("w{n:03}");
        lines.iter_mut().filter(|l| l["id"] == id.as_str()).for_each(|l| l["phase"] = "terminating".into());
        self.discovery.tell(lines);
    }

    /// One worker more; discovery is not told. Returns its number.
    pub async fn add_worker(&mut self, cold: bool) -> io::Result<usize> {
        let n = self.workers.len();
        let at = address(self.block, 200 + n % 50, 8100 + (n / 50) as u16);
        let worker = Worker::start(at, self.spec.kind, cold).await?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.workers.push(Some((worker, if cold { unix.as_millis() as u64 } else { 0 })));
        Ok(n)
    }

    /// The process of a node that runs.
    ///
    /// # Panics
    /// Where none runs: a test that says so is wrong.
    pub fn node(&mut self, i: usize) -> &mut Process {
        self.nodes[i].as_mut().expect("this node has a process")
    }

    /// Starts anew whatever node's process has ended by itself, as whoever runs nodes does; which.
    pub fn restart_ended(&mut self) -> io::Result<Vec<usize>> {
        let ended = |p: &mut Option<Process>| p.as_mut().is_some_and(|p| p.ended().is_some());
        let all: Vec<usize> =
            self.nodes.iter_mut().enumerate().filter_map(|(i, p)| ended(p).then_some(i)).collect();
        all.iter().try_for_each(|i| self.start_node(*i))?;
        Ok(all)
    }

    /// Kills a node's process.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i] = None;
    }

    /// Status reports of all nodes, by name; `None` for a node that gives none.
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

    /// The views of all nodes.
    pub async fn views(&self) -> BTreeMap<String, Option<View>> {
        self.statuses().await.into_iter().map(|(n, s)| (n, s.map(|s| s.view))).collect()
    }

    /// The truth where these nodes run, in one part.
    pub fn truth(running: impl IntoIterator<Item = usize>) -> Truth {
        Truth { parts: running.into_iter().map(|i| (Cluster::name(i), 0)).collect() }
    }

    /// Waits until the views are equal and true, and have been for as long as a suspicion may take. How long that took,
    /// or what was wrong last.
    pub async fn settled(&self, truth: &Truth, bound: Duration) -> Result<Duration, Vec<Fault>> {
        let start = Instant::now();
        let (mut right_since, mut last): (Option<Instant>, Vec<Fault>) = (None, Vec::new());
        loop {
            let wrong = faults(truth, &self.views().await);
            if wrong.is_empty() {
                let since = *right_since.get_or_insert_with(Instant::now);
                if since.elapsed() >= self.spec.settle_time() {
                    return Ok(since - start);
                }
            } else {
                (right_since, last) = (None, wrong);
            }
            if right_since.is_none() && start.elapsed() >= bound {
                return Err(last);
            }
            sleep(LOOK).await;
        }
    }

    /// The log of a node's last process.
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
            eprintln!("the nodes' logs are left in {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Loopback addresses that no other cluster uses.
#[derive(Clone, Copy, Debug)]
pub struct Block([u8; 2]);

impl Block {
    /// The address of a host of the block, from 0 on.
    pub fn address(self, host: usize, port: u16) -> SocketAddr {
        address(self.0, host, port)
    }
}

/// A block of addresses, looked for from this number on, and what holds it.
///
/// # Errors
/// Where none is free.
pub fn free_block(first: u32) -> io::Result<(Block, TcpListener)> {
    let (block, lock) = block(first)?;
    Ok((Block(block), lock))
}

fn address(block: [u8; 2], host: usize, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, block[0], block[1], host as u8 + 1), port))
}

/// A block of addresses that no other cluster uses, and what holds it.
fn block(first: u32) -> io::Result<([u8; 2], TcpListener)> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for n in (0..512).map(|i| first.wrapping_add(i)) {
        let block = [64 + (n >> 8) as u8 % 128, n as u8];
        match TcpListener::bind(address(block, 253, LOCK_PORT)) {
            Ok(lock) => return Ok((block, lock)),
            Err(e) => last = e,
        }
    }
    Err(last)
}
