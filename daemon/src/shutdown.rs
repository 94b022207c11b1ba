//! Waiting for the signal that asks a process to stop.

use tokio::signal::unix::{SignalKind, signal};

/// Returns when SIGTERM or SIGINT arrives.
pub async fn wait_for_signal() {
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) else {
        // Without handlers the default action ends the process.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
