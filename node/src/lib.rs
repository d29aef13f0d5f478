//! A node that dispatches jobs: a core that knows no wire, and the fronts that carry its decisions out.
//!
//! [`run`] is the whole program; an embedder can also start [`platform::serve`] in a runtime of its own.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod counters;
pub mod dispatcher;
pub mod logger;
pub mod platform;
pub mod shutdown;

use counters::Counters;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::signal::unix::{signal, SignalKind};

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

fn start() -> Result<(), String> {
    let config = config::from_environment()?;
    logger::start(&config.name);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    runtime.block_on(async {
        let phase = shutdown::on_signal().map_err(|e| format!("no signals: {e}"))?;
        let counters = Arc::new(Counters::default());
        let mut asked = signal(SignalKind::user_defined1()).map_err(|e| format!("no signals: {e}"))?;
        let on_request = counters.clone();
        tokio::spawn(async move {
            while asked.recv().await.is_some() {
                log::info!("counters: {on_request}");
            }
        });
        let served = platform::serve(config, counters.clone(), phase).await;
        log::info!("counters: {counters}");
        served
    })
}
