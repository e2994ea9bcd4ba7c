//! `testbed hosts`

use std::{net, path, time};

use anyhow::Context as _;
use testbed::hosts;
use trefoildyke_wire::platform::message;

use crate::command::stop;

/// Options of `testbed hosts`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Options {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "where to listen", meta = "ADDRESS")]
    listen: Option<net::SocketAddr>,
    #[options(no_short, help = "how far the list lags", meta = "MS")]
    lag_ms: Option<u64>,
    #[options(no_short, help = "a JSON file with the hosts at the start", meta = "FILE")]
    file: Option<path::PathBuf>,
}

pub(crate) async fn run(options: Options) -> anyhow::Result<()> {
    let default = hosts::Settings::default();
    let running = hosts::serve(hosts::Settings {
        listen: options.listen.unwrap_or(default.listen),
        lag: options.lag_ms.map_or(default.lag, time::Duration::from_millis),
        hosts: options.file.as_deref().map(read_hosts).transpose()?.unwrap_or_default(),
    })
    .await?;
    stop::print_address(running.address())?;
    stop::wait_for_signal().await?;
    running.stop().await;
    Ok(())
}

fn read_hosts(file: &path::Path) -> anyhow::Result<Vec<message::Host>> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let list: message::HostList =
        serde_json::from_str(&text).with_context(|| file.display().to_string())?;
    Ok(list.hosts)
}
