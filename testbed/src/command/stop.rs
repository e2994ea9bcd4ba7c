//! What long-running subcommands share.

use std::{io::Write as _, net};

use tokio::signal::unix;

/// Prints the address as the first line of standard output, for whoever started the process.
pub(crate) fn print_address(address: net::SocketAddr) -> anyhow::Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "listening {address}")?;
    out.flush()?;
    Ok(())
}

/// Waits until the process is told to end.
pub(crate) async fn wait_for_signal() -> anyhow::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        result = tokio::signal::ctrl_c() => result?,
    }
    Ok(())
}
