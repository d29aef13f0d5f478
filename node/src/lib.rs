//! A node that dispatches jobs: a core that knows no wire, and the fronts that carry its decisions out.
//!
//! [`run`] is the whole program; an embedder can also start [`platform::serve`] in a runtime of its own.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod acceptor;
pub mod cli;
pub mod config;
pub mod coordination;
pub mod counters;
pub mod dispatcher;
pub mod endpoint_list;
pub mod faktory;
pub mod invariants;
pub mod logger;
pub mod management;
pub mod membership;
pub mod metrics;
pub mod names;
pub mod operator_client;
pub mod phase;
pub mod platform;
pub mod process_handover;
pub mod reload;
pub mod settings_merge;
pub mod signals;
pub mod transient;

use config::{ConfigSources, LoadedConfig};
use counters::Counters;
use management::Management;
use phase::Phases;
use platform::Dependencies;
use process_handover::{Predecessor, PredecessorLookup};
use reload::Reload;
use signals::{Command, Signals};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// For which a start outlasts a machine that has no descriptor or buffer left.
const START_WAIT: Duration = Duration::from_secs(4);

/// Does what the command line says; without a command, runs a node as its environment says. Bad input ends it with one
/// line on standard error and code 2, a node that could not be asked with code 1.
pub fn run() -> ExitCode {
    let cli = match cli::parse(std::env::args_os()) {
        Ok(Some(cli)) => cli,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => return fail(&error.to_string(), 2),
    };
    match cli.command {
        Some(cli::Command::Fleet(command)) => {
            match asked(async { command.run().await.map_err(|error| error.to_string()) }) {
                Ok(text) => {
                    print!("{text}");
                    ExitCode::SUCCESS
                }
                Err(message) => fail(&message, 1),
            }
        }
        None => match start(cli.faktory, cli.fleet) {
            Ok(()) => ExitCode::SUCCESS,
            Err(message) => fail(&message, 2),
        },
    }
}

fn fail(message: &str, code: u8) -> ExitCode {
    eprintln!("molevale: {}", message.replace('\n', " "));
    ExitCode::from(code)
}

fn asked(call: impl std::future::Future<Output = Result<String, String>>) -> Result<String, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| format!("no runtime: {e}"))?.block_on(call)
}

fn start(faktory: Option<PathBuf>, fleet: Option<PathBuf>) -> Result<(), String> {
    let sources = ConfigSources::new(faktory, fleet)?;
    let told = sources.read()?;
    let LoadedConfig { config, operator, fleet: talk } = told.clone();
    logger::start(config.as_ref().map_or("faktory", |c| &c.name));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    runtime.block_on(async {
        let phases = Phases::default();
        let signals = transient::retry_local_failures(START_WAIT, || async { Signals::start() }).await;
        let signals = signals.map_err(|e| format!("no signals: {e}"))?;
        phases.stop_on_signal(signals.clone());
        let (ready, follow_ready) = watch::channel(false);
        let reload = Reload::new(sources, told);
        let (discovery, effective_settings) = (reload.discovery(), reload.effective_settings());
        let duties_file = talk.as_ref().and_then(|talk| {
            let file = talk.file.duties.clone()?;
            let folder = file.state.as_ref().map(|state| talk.folder.join(state));
            Some((file, folder, talk.file.fleet.clone(), talk.file.zone.clone(), talk.file.advertise))
        });
        let fleet = match (talk, &config) {
            (Some(talk), Some(config)) => {
                let started = membership::start(membership::Dependencies {
                    name: config.name.clone(),
                    talk,
                    keys: reload.keys(),
                    planned: reload.effective_settings(),
                    phase: phases.subscribe(),
                });
                Some(started.map_err(|error| error.to_string())?)
            }
            _ => None,
        };
        let counters = [Arc::new(Counters::default()), Arc::new(Counters::default())];
        let mut shared = None;
        let duties = match (&fleet, &config, duties_file) {
            (Some(fleet), Some(config), Some((file, folder, fleet_name, zone, own))) => {
                let (name, fleet, phase) = (config.name.clone(), fleet.clone(), phases.subscribe());
                let (lists, theirs) = coordination::ListDelivery::pair(file.lists, reload.discovery());
                shared = theirs;
                let (phases, counters) = (phases.clone(), counters[0].clone());
                Some(coordination::start(coordination::Dependencies {
                    name,
                    fleet_name,
                    zone,
                    address: own,
                    settings: file,
                    folder,
                    fleet,
                    phase,
                    list_delivery: lists,
                    phases,
                    counters,
                }))
            }
            _ => None,
        };
        reload.on_signal(signals.clone());
        if let Some(at) = config.as_ref().and_then(|c| c.management) {
            let listener = transient::retry_local_failures(START_WAIT, || TcpListener::bind(at)).await;
            let listener = listener.map_err(|e| format!("cannot listen on {at} (management): {e}"))?;
            let management = Management {
                phases: phases.clone(),
                ready: follow_ready,
                fleet: fleet.clone(),
                duties: duties.clone(),
            };
            tokio::spawn(management.serve(listener));
        }
        let say = |counters: &[Arc<Counters>; 2]| {
            log::info!("counters: platform {}", counters[0]);
            log::info!("counters: faktory {}", counters[1]);
        };
        let (on_request, of_fleet) = (counters.clone(), fleet.clone());
        tokio::spawn(async move {
            loop {
                signals.received(Command::Report).await;
                say(&on_request);
                if let Some(fleet) = &of_fleet {
                    fleet.log_counters().await;
                }
            }
        });
        // Before another process is asked for its place: a start that fails must leave that one serving.
        let operator = match operator {
            Some(operator) => {
                Some((faktory::listen(&operator).await.map_err(|error| error.to_string())?, operator))
            }
            None => None,
        };
        log::info!("serving");
        let platform = async {
            match config {
                Some(config) => {
                    let at = config.listen;
                    let place = process_handover::socket_path(at);
                    let found = match &place {
                        Some(place) => Predecessor::look_up(place).await,
                        None => PredecessorLookup::Absent,
                    };
                    let listen = async |beside| {
                        let listener = transient::retry_local_failures(START_WAIT, async || {
                            platform::listen(at, beside)
                        })
                        .await;
                        listener.map_err(|e| format!("cannot listen on {at}: {e}"))
                    };
                    let (listener, before) = match found {
                        PredecessorLookup::Serving(listener, before) => (listener, Some(before)),
                        PredecessorLookup::Unresponsive => (listen(true).await?, None),
                        PredecessorLookup::Absent => (listen(false).await?, None),
                    };
                    let counters = counters[0].clone();
                    let (phases, fleet) = (phases.clone(), fleet.clone());
                    let dependencies = Dependencies {
                        counters,
                        phases,
                        discovery,
                        effective_settings,
                        ready,
                        predecessor: before,
                        handover_path: place,
                        fleet,
                        list_sharing: shared,
                    };
                    platform::serve(config, listener, dependencies).await.map_err(|e| e.to_string())
                }
                None => Ok(()),
            }
        };
        let faktory = async {
            match operator {
                Some((listener, operator)) => {
                    let served = faktory::serve(operator, listener, counters[1].clone(), phases.subscribe());
                    served.await.map_err(|error| error.to_string())
                }
                None => Ok(()),
            }
        };
        let served = tokio::try_join!(platform, faktory);
        say(&counters);
        if let Some(duties) = &duties {
            duties.shutdown().await;
        }
        if let Some(fleet) = &fleet {
            fleet.log_counters().await;
            fleet.leave().await;
        }
        served.map(|_| ())
    })
}
