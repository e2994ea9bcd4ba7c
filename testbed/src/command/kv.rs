//! `testbed kv`

use std::{net, time};

use testbed::kv;

use crate::command::stop;

/// Options of `testbed kv`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Options {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "where to listen", meta = "ADDRESS")]
    listen: Option<net::SocketAddr>,
    #[options(no_short, help = "writes a second", meta = "N")]
    writes_per_s: Option<u32>,
    #[options(no_short, help = "reads a second", meta = "N")]
    reads_per_s: Option<u32>,
    #[options(no_short, help = "how long each call takes", meta = "MS")]
    delay_ms: Option<u64>,
    #[options(no_short, help = "changes kept for watches", meta = "N")]
    history: Option<usize>,
}

pub(crate) async fn run(options: Options) -> anyhow::Result<()> {
    let default = kv::Settings::default();
    let running = kv::serve(kv::Settings {
        listen: options.listen.unwrap_or(default.listen),
        writes_per_s: options.writes_per_s.unwrap_or(default.writes_per_s),
        reads_per_s: options.reads_per_s.unwrap_or(default.reads_per_s),
        delay: options.delay_ms.map_or(default.delay, time::Duration::from_millis),
        history: options.history.unwrap_or(default.history),
    })
    .await?;
    stop::print_address(running.address())?;
    stop::wait_for_signal().await?;
    running.stop().await;
    Ok(())
}
