//! Waits for the signal that requests a process to stop.

use tokio::signal::unix::{SignalKind, signal};

/// Returns when the process receives SIGTERM or SIGINT.
pub async fn wait_for_signal() {
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) else {
        // If no handler can be installed, the signal's default action ends the process.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
