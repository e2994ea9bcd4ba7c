//! Signals that stop the process gracefully.

use std::io;

use tokio::signal::unix;

/// Waits for SIGTERM or SIGINT and returns its name.
pub(crate) async fn stop_signal() -> io::Result<&'static str> {
    let mut term = unix::signal(unix::SignalKind::terminate())?;
    let mut int = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => Ok("SIGTERM"),
        _ = int.recv() => Ok("SIGINT"),
    }
}
