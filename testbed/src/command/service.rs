//! `testbed service`

use std::{net, time};

use testbed::service;

use crate::command::stop;

/// Options of `testbed service`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Options {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "where to listen", meta = "ADDRESS")]
    listen: Option<net::SocketAddr>,
    #[options(no_short, help = "how long a call takes", meta = "MS")]
    call_ms: Option<u64>,
    #[options(no_short, help = "calls at once", meta = "N")]
    slots: Option<usize>,
    #[options(no_short, help = "how old load reports are", meta = "MS")]
    report_lag_ms: Option<u64>,
}

pub(crate) async fn run(options: Options) -> anyhow::Result<()> {
    let default = service::Settings::default();
    let running = service::serve(service::Settings {
        listen: options.listen.unwrap_or(default.listen),
        call_time: options.call_ms.map_or(default.call_time, time::Duration::from_millis),
        slots: options.slots.unwrap_or(default.slots),
        report_lag: options.report_lag_ms.map_or(default.report_lag, time::Duration::from_millis),
    })
    .await?;
    stop::print_address(running.address())?;
    stop::wait_for_signal().await?;
    running.stop().await;
    Ok(())
}
