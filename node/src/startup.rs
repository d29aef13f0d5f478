//! Startup of a node: one step for each part, in the order in which the parts start.

use crate::config::{self, Config, ConfigSources, LoadedConfig, MembershipConfig};
use crate::counters::Counters;
use crate::faktory::FaktoryConfig;
use crate::management::Management;
use crate::memory::HeapGauge;
use crate::phase::Phases;
use crate::platform::{ListSharing, ProcessMemory};
use crate::process_handover::{self, Predecessor, PredecessorLookup};
use crate::reload::Reload;
use crate::settings_merge::EffectiveSettings;
use crate::signals::{Command, Signals};
use crate::transient::retry_local_failures;
use crate::{coordination, faktory, logger, membership, platform};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// Time for which a start is retried while the machine has no free descriptor or buffer.
pub(crate) const START_RETRY_LIMIT: Duration = Duration::from_secs(4);
/// Time for which a start looks for a predecessor again while the address for clients is in use.
const ADDRESS_IN_USE_LIMIT: Duration = Duration::from_secs(1);
/// Pause between these look-ups.
const LOOK_UP_INTERVAL: Duration = Duration::from_millis(20);

/// Error that prevents the start of a node, or ends it.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration can't be read.
    #[error(transparent)]
    Config(#[from] config::Error),
    /// The runtime can't be created.
    #[error("cannot create the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The signal handlers can't be installed.
    #[error("cannot install the signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The management address can't be bound.
    #[error("cannot listen on {address} (management): {source}")]
    BindManagement {
        /// Address in the configuration.
        address: SocketAddr,
        /// Error of the system call.
        source: io::Error,
    },
    /// The address for clients can't be bound.
    #[error("cannot listen on {address}: {source}")]
    BindClients {
        /// Address in the configuration.
        address: SocketAddr,
        /// Error of the system call.
        source: io::Error,
    },
    /// Membership can't start.
    #[error(transparent)]
    Membership(#[from] membership::StartError),
    /// The platform frontend can't start, or has ended early.
    #[error(transparent)]
    Platform(#[from] platform::Error),
    /// The Faktory frontend can't start, or has ended early.
    #[error(transparent)]
    Faktory(#[from] faktory::Error),
}

/// Creates the single-threaded runtime of the process.
///
/// # Errors
/// [`Error::Runtime`] if the event queue can't be created.
pub fn runtime() -> Result<Runtime, Error> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(Error::Runtime)
}

/// Runs a node until it is stopped and all accepted requests are answered.
///
/// # Errors
/// If the configuration is invalid, a part can't start, or a frontend ends early.
pub fn run_node(
    faktory_file: Option<PathBuf>,
    fleet_file: Option<PathBuf>,
    heap: HeapGauge,
) -> Result<(), Error> {
    let sources = ConfigSources::new(faktory_file, fleet_file)?;
    let loaded = sources.read()?;
    logger::init(loaded.node.as_ref().map_or("faktory", |c| &c.name));
    runtime()?.block_on(start_and_serve(sources, loaded, heap))
}

async fn start_and_serve(sources: ConfigSources, loaded: LoadedConfig, heap: HeapGauge) -> Result<(), Error> {
    let memory = ProcessMemory { plan: loaded.memory_plan(), heap };
    let LoadedConfig { node: config, faktory, membership } = loaded.clone();
    let reload = Reload::new(sources, loaded);
    let (ready, is_ready) = watch::channel(false);
    let mut startup = Startup::new(&reload).await?;
    startup.start_membership(config.as_ref(), membership.as_ref(), &reload)?;
    startup.start_coordination(config.as_ref(), membership.as_ref());
    reload.on_signal(startup.signals.clone());
    startup.bind_management(config.as_ref(), is_ready).await?;
    startup.report_counters_on_signal();
    // Before the handover from a running process: if this start fails, that process must go on serving.
    let faktory_listener = bind_faktory(faktory).await?;
    log::info!(event = "serving"; "serving");
    memory.plan.log();
    let served = startup.serve_frontends(config, faktory_listener, ready, memory).await;
    startup.shut_down().await;
    served
}

async fn bind_faktory(config: Option<FaktoryConfig>) -> Result<Option<(TcpListener, FaktoryConfig)>, Error> {
    match config {
        Some(config) => Ok(Some((faktory::listen(&config).await?, config))),
        None => Ok(None),
    }
}

/// Counters of the frontends.
#[derive(Clone, Default)]
struct FrontendCounters {
    platform: Arc<Counters>,
    faktory: Arc<Counters>,
}

impl FrontendCounters {
    fn log(&self) {
        log::info!("counters: platform {}", self.platform);
        log::info!("counters: faktory {}", self.faktory);
    }
}

/// The parts of the node that have started, and what the later ones need.
struct Startup {
    phases: Phases,
    signals: Signals,
    counters: FrontendCounters,
    discovery: watch::Receiver<Option<SocketAddr>>,
    effective_settings: watch::Sender<EffectiveSettings>,
    membership: Option<membership::Handle>,
    coordination: Option<coordination::Handle>,
    list_sharing: Option<ListSharing>,
}

impl Startup {
    /// Installs the signal handlers; from here on SIGTERM stops the node gracefully.
    async fn new(reload: &Reload) -> Result<Startup, Error> {
        let phases = Phases::default();
        let signals = retry_local_failures(START_RETRY_LIMIT, || async { Signals::start() }).await;
        let signals = signals.map_err(Error::Signals)?;
        phases.stop_on_signal(signals.clone());
        Ok(Startup {
            phases,
            signals,
            counters: FrontendCounters::default(),
            discovery: reload.discovery(),
            effective_settings: reload.effective_settings(),
            membership: None,
            coordination: None,
            list_sharing: None,
        })
    }

    /// Starts membership if the node has a configuration and a fleet file.
    fn start_membership(
        &mut self,
        config: Option<&Config>,
        fleet: Option<&MembershipConfig>,
        reload: &Reload,
    ) -> Result<(), Error> {
        let (Some(config), Some(fleet)) = (config, fleet) else { return Ok(()) };
        self.membership = Some(membership::start(membership::Dependencies {
            name: config.name.clone(),
            config: fleet.clone(),
            keys: reload.keys(),
            settings: self.effective_settings.subscribe(),
            phase: self.phases.subscribe(),
        })?);
        Ok(())
    }

    /// Starts coordination if the fleet file has that section.
    fn start_coordination(&mut self, config: Option<&Config>, fleet: Option<&MembershipConfig>) {
        let (Some(membership), Some(config), Some(fleet)) = (&self.membership, config, fleet) else { return };
        let Some(settings) = fleet.file.coordination.clone() else { return };
        let (list_delivery, list_sharing) =
            coordination::ListDelivery::pair(settings.list_broadcast, self.discovery.clone());
        self.list_sharing = list_sharing;
        self.coordination = Some(coordination::start(coordination::Dependencies {
            name: config.name.clone(),
            fleet_name: fleet.file.fleet.clone(),
            zone: fleet.file.zone.clone(),
            address: fleet.file.advertise,
            state_directory: settings.state_directory.as_ref().map(|path| fleet.directory.join(path)),
            settings,
            membership: membership.clone(),
            phase: self.phases.subscribe(),
            list_delivery,
            phases: self.phases.clone(),
            counters: self.counters.platform.clone(),
        }));
    }

    /// Serves the management address, if the configuration has one.
    async fn bind_management(
        &self,
        config: Option<&Config>,
        ready: watch::Receiver<bool>,
    ) -> Result<(), Error> {
        let Some(address) = config.and_then(|c| c.management) else { return Ok(()) };
        let listener = retry_local_failures(START_RETRY_LIMIT, || TcpListener::bind(address)).await;
        let listener = listener.map_err(|source| Error::BindManagement { address, source })?;
        let management = Management {
            phases: self.phases.clone(),
            ready,
            membership: self.membership.clone(),
            coordination: self.coordination.clone(),
        };
        tokio::spawn(management.serve(listener));
        Ok(())
    }

    /// Logs the counters at each SIGUSR1.
    fn report_counters_on_signal(&self) {
        let (signals, counters, membership) =
            (self.signals.clone(), self.counters.clone(), self.membership.clone());
        tokio::spawn(async move {
            loop {
                signals.received(Command::Report).await;
                counters.log();
                if let Some(membership) = &membership {
                    membership.log_counters().await;
                }
            }
        });
    }

    /// Serves the configured frontends until all have ended or one fails.
    async fn serve_frontends(
        &mut self,
        config: Option<Config>,
        faktory: Option<(TcpListener, FaktoryConfig)>,
        ready: watch::Sender<bool>,
        memory: ProcessMemory,
    ) -> Result<(), Error> {
        let list_sharing = self.list_sharing.take();
        let platform = async {
            match config {
                Some(config) => self.serve_platform(config, ready, list_sharing, memory).await,
                None => Ok(()),
            }
        };
        let faktory = async {
            match faktory {
                Some((listener, config)) => {
                    let (counters, phases) = (self.counters.faktory.clone(), self.phases.clone());
                    Ok(faktory::serve(config, listener, counters, phases, &memory.plan).await?)
                }
                None => Ok(()),
            }
        };
        tokio::try_join!(platform, faktory).map(|_| ())
    }

    /// Takes over from the predecessor, if there is one, and serves the platform's clients.
    async fn serve_platform(
        &self,
        config: Config,
        ready: watch::Sender<bool>,
        list_sharing: Option<ListSharing>,
        memory: ProcessMemory,
    ) -> Result<(), Error> {
        let address = config.listen;
        let handover_path = process_handover::socket_path(address);
        let Some((listener, predecessor)) = self.obtain_listener(address, handover_path.as_deref()).await?
        else {
            log::info!(event = "stopped_before_serving"; "stop requested before this process served; nothing taken over");
            return Ok(());
        };
        let dependencies = platform::Dependencies {
            counters: self.counters.platform.clone(),
            phases: self.phases.clone(),
            discovery: self.discovery.clone(),
            effective_settings: self.effective_settings.clone(),
            ready,
            predecessor,
            handover_path,
            membership: self.membership.clone(),
            list_sharing,
            memory,
        };
        Ok(platform::serve(config, listener, dependencies).await?)
    }

    /// Obtains the listener for clients from a predecessor, if there is one, or binds the address. `None` if the process is
    /// told to stop meanwhile: another successor may be taking over already, whose handover socket this one would replace.
    async fn obtain_listener(
        &self,
        address: SocketAddr,
        handover_path: Option<&Path>,
    ) -> Result<Option<(TcpListener, Option<Predecessor>)>, Error> {
        let started = Instant::now();
        loop {
            let lookup = match handover_path {
                Some(path) => Predecessor::look_up(path).await,
                None => PredecessorLookup::Absent,
            };
            if self.phases.is_stop_requested() {
                return Ok(None);
            }
            let bound = match lookup {
                PredecessorLookup::Serving(listener, predecessor) => {
                    return Ok(Some((listener, Some(predecessor))))
                }
                PredecessorLookup::Unresponsive => bind_clients(address, true).await,
                PredecessorLookup::Absent => bind_clients(address, false).await,
            };
            match bound {
                Ok(listener) => return Ok(Some((listener, None))),
                // A process of this node that started at the same time may have bound it, and offer its handover soon.
                Err(Error::BindClients { source, .. })
                    if handover_path.is_some()
                        && source.kind() == ErrorKind::AddrInUse
                        && started.elapsed() < ADDRESS_IN_USE_LIMIT =>
                {
                    log::debug!(event = "address_in_use"; "address in use; looking for a predecessor again");
                    sleep(LOOK_UP_INTERVAL).await;
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Logs the counters, releases the node's leases and leaves the fleet.
    async fn shut_down(&self) {
        self.counters.log();
        if let Some(coordination) = &self.coordination {
            coordination.shutdown().await;
        }
        if let Some(membership) = &self.membership {
            membership.log_counters().await;
            membership.leave().await;
        }
    }
}

/// Binds the address for clients; `shared` with a process that holds it and does not respond.
async fn bind_clients(address: SocketAddr, shared: bool) -> Result<TcpListener, Error> {
    let listener = retry_local_failures(START_RETRY_LIMIT, async || platform::listen(address, shared)).await;
    listener.map_err(|source| Error::BindClients { address, source })
}
