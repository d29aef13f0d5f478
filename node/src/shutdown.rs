//! From SIGTERM to the end.

use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::time::sleep;

/// New connections go on coming for a while after SIGTERM; what comes in 0.7 s must be answered.
const ACCEPTING: Duration = Duration::from_millis(720);

/// Where a node is between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It was told to stop; it still takes what comes.
    Stopping,
    /// It takes nothing new, answers what it has and closes connections that are idle.
    Closing,
}

/// The phases of this process, driven by SIGTERM (or SIGINT).
pub fn on_signal() -> std::io::Result<watch::Receiver<Phase>> {
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let (sender, receiver) = watch::channel(Phase::Serving);
    tokio::spawn(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        log::info!("told to stop");
        stop(&sender).await;
    });
    Ok(receiver)
}

/// Goes through the phases once.
pub async fn stop(phase: &watch::Sender<Phase>) {
    phase.send_replace(Phase::Stopping);
    sleep(ACCEPTING).await;
    phase.send_replace(Phase::Closing);
}
