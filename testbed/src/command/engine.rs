//! `testbed engine`

use std::{net, time};

use testbed::{engine, model};

use crate::command::stop;

/// Options of `testbed engine`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Options {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "where to listen", meta = "ADDRESS")]
    listen: Option<net::SocketAddr>,
    #[options(no_short, help = "the hardware's generation, 0 (newest) to 3", meta = "N")]
    generation: Option<usize>,
    #[options(no_short, help = "streams at once", meta = "N")]
    slots: Option<u32>,
    #[options(no_short, help = "prompt blocks in the prefix cache", meta = "N")]
    cache_blocks: Option<u32>,
    #[options(no_short, help = "how old load reports are", meta = "MS")]
    report_lag_ms: Option<u64>,
    #[options(no_short, help = "how late cache events come", meta = "MS")]
    event_lag_ms: Option<u64>,
    #[options(no_short, help = "lose about one cache event in N; 0 for none", meta = "N")]
    event_loss: Option<u32>,
    #[options(no_short, help = "how long a finished stream is kept", meta = "MS")]
    keep_ms: Option<u64>,
    #[options(no_short, help = "how long an order takes", meta = "MS")]
    order_ms: Option<u64>,
    #[options(no_short, help = "take orders with old fencing tokens as well")]
    ignore_fencing: bool,
}

pub(crate) async fn run(options: Options) -> anyhow::Result<()> {
    let running = engine::serve(settings(&options)?).await?;
    stop::print_address(running.address())?;
    stop::wait_for_signal().await?;
    running.stop().await;
    Ok(())
}

fn settings(options: &Options) -> anyhow::Result<engine::Settings> {
    let default = engine::Settings::default();
    let params = &default.params;
    let millis = time::Duration::from_millis;
    let generation = options.generation.unwrap_or(0);
    let speed = model::GENERATION_SPEEDS.get(generation).copied();
    let speed = speed.ok_or_else(|| anyhow::anyhow!("no generation {generation}; use 0 to 3"))?;
    Ok(engine::Settings {
        listen: options.listen.unwrap_or(default.listen),
        params: model::Params {
            speed,
            slots: options.slots.unwrap_or(params.slots),
            cache_blocks: options.cache_blocks.unwrap_or(params.cache_blocks),
            report_lag: options.report_lag_ms.map_or(params.report_lag, millis),
            event_lag: options.event_lag_ms.map_or(params.event_lag, millis),
            event_loss: options.event_loss.unwrap_or(params.event_loss),
            ..params.clone()
        },
        checks_fencing: !options.ignore_fencing,
        order_time: options.order_ms.map_or(default.order_time, millis),
        keep: options.keep_ms.map_or(default.keep, millis),
    })
}
