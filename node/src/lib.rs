//! A node that dispatches jobs: a core that knows no wire, and the fronts that carry its decisions out.
//!
//! [`run`] is the whole program; an embedder can also start [`platform::serve`] in a runtime of its own.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod counters;
pub mod dispatcher;
pub mod faktory;
pub mod logger;
pub mod platform;
pub mod shutdown;

use counters::Counters;
use faktory::Operator;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::signal::unix::{signal, SignalKind};

/// The descriptors that the platform's front needs at least.
const SOCKETS_MIN: usize = 128;

/// Runs a node as its environment says. Bad input ends it with one line on standard error and code 2.
pub fn run() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("molevale: {}", message.replace('\n', " "));
            ExitCode::from(2)
        }
    }
}

/// The command line: `molevale [--faktory FILE]`.
fn operator(mut arguments: impl Iterator<Item = String>) -> Result<Option<Operator>, String> {
    let usage = || "usage: molevale [--faktory FILE]".to_string();
    let path = match arguments.next().as_deref() {
        None => return Ok(None),
        Some("--faktory") => arguments.next().ok_or_else(usage)?,
        Some(_) => return Err(usage()),
    };
    if arguments.next().is_some() {
        return Err(usage());
    }
    let text = std::fs::read_to_string(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
    Operator::parse(&text).map(Some)
}

fn start() -> Result<(), String> {
    let operator = operator(std::env::args().skip(1))?;
    // Without a platform configuration, the second front may run alone.
    let alone = operator.is_some() && std::env::var_os("RELAY_CONFIG").is_none();
    let mut config = if alone { None } else { Some(config::from_environment()?) };
    if let (Some(config), Some(operator)) = (&mut config, &operator) {
        // Guards the descriptor limit where both fronts run: it is the process's.
        let left =
            config.limits.sockets.checked_sub(operator.connections).filter(|left| *left >= SOCKETS_MIN);
        config.limits.sockets =
            left.ok_or("operator's file: connections leave the platform too few sockets")?;
    }
    logger::start(config.as_ref().map_or("faktory", |c| &c.name));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    runtime.block_on(async {
        let phase = shutdown::on_signal().map_err(|e| format!("no signals: {e}"))?;
        let counters = [Arc::new(Counters::default()), Arc::new(Counters::default())];
        let say = |counters: &[Arc<Counters>; 2]| {
            log::info!("counters: platform {}", counters[0]);
            log::info!("counters: faktory {}", counters[1]);
        };
        let mut asked = signal(SignalKind::user_defined1()).map_err(|e| format!("no signals: {e}"))?;
        let on_request = counters.clone();
        tokio::spawn(async move {
            while asked.recv().await.is_some() {
                say(&on_request);
            }
        });
        let platform = async {
            match config {
                Some(config) => {
                    let at = config.listen;
                    let listener = platform::listen(at).map_err(|e| format!("cannot listen on {at}: {e}"))?;
                    platform::serve(config, listener, counters[0].clone(), phase.clone()).await
                }
                None => Ok(()),
            }
        };
        let faktory = async {
            match operator {
                Some(operator) => faktory::serve(operator, counters[1].clone(), phase.clone()).await,
                None => Ok(()),
            }
        };
        let served = tokio::try_join!(platform, faktory);
        say(&counters);
        served.map(|_| ())
    })
}
