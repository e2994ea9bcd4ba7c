//! `testbed load`

use std::{net, path};

use anyhow::Context as _;
use testbed::{
    experiment::{arrivals, run},
    load, measure,
};

use crate::command::experiment;

/// Options of `testbed load`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Options {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the scenario file", meta = "FILE")]
    scenario: Option<path::PathBuf>,
    #[options(help = "the daemons' callers' addresses, by comma", meta = "ADDRESSES")]
    daemons: String,
    #[options(help = "KEY for all accounts or ACCOUNT=KEY for one; repeat", meta = "KEY")]
    key: Vec<String>,
    #[options(no_short, help = "the pool", meta = "NAME", default = "assistant")]
    pool: String,
    #[options(no_short, help = "the model", meta = "NAME", default = "assistant")]
    model: String,
    #[options(no_short, help = "the load, as a multiple of the scenario's capacity", meta = "X")]
    load: Option<f64>,
    #[options(no_short, help = "steady requests a second, in place of --load", meta = "N")]
    rate: Option<f64>,
    #[options(no_short, help = "for how long requests arrive", meta = "MS")]
    duration_ms: Option<u64>,
    #[options(no_short, help = "the seed of the arrivals", meta = "N", default = "1")]
    seed: u64,
    #[options(no_short, help = "attempts after the first, at the next daemon", meta = "N")]
    retries: u32,
    #[options(no_short, help = "wait as long as a refusal says before trying again")]
    obey: bool,
    #[options(no_short, help = "send requests that must not be run twice")]
    non_idempotent: bool,
    #[options(
        no_short,
        help = "measure what a daemon adds to a call of this engine instead",
        meta = "ADDRESS"
    )]
    overhead: Option<net::SocketAddr>,
    #[options(no_short, help = "rounds of the overhead measurement", meta = "N", default = "200")]
    rounds: u32,
    #[options(no_short, help = "the daemons' process ids, to show what they use", meta = "PIDS")]
    pids: Option<String>,
    #[options(help = "`table` or `json`", meta = "FORMAT", default = "table")]
    output: String,
}

pub(crate) async fn run(options: Options) -> anyhow::Result<()> {
    let plan = load::Plan {
        daemons: load::parse_addresses(&options.daemons)?,
        keys: load::AccountKeys::parse(&options.key),
        pool: options.pool.as_str().into(),
        model: options.model.as_str().into(),
        idempotent: !options.non_idempotent,
        retries: load::Retries { most: options.retries, obey: options.obey },
    };
    let file = options.scenario.as_deref().context("name a scenario with --scenario FILE")?;
    let mut scenario = experiment::read(file)?;
    if let Some(duration_ms) = options.duration_ms {
        scenario.duration_ms = duration_ms;
    }
    if let Some(engine) = options.overhead {
        let overhead = load::Overhead {
            engine,
            account: scenario.accounts[0].name.as_str().into(),
            class: scenario.classes[0].name.clone(),
            rounds: options.rounds,
        };
        let figures = load::measure_overhead(&plan, &overhead).await?;
        let title = format!("{} rounds, {} failed calls", overhead.rounds, figures.failed);
        return print(&options.output, &figures, &title, &load::overhead_table(&figures));
    }
    let load = options.load.unwrap_or(scenario.loads[0]);
    let rate = options.rate.unwrap_or_else(|| load * run::capacity(&scenario));
    let arrivals = arrivals::generate(&scenario, rate, options.seed);
    let pids = pids(options.pids.as_deref().unwrap_or(""))?;
    let before: Vec<_> = pids.iter().map(|pid| measure::Usage::of(*pid)).collect();
    let logs = load::drive(&plan, &scenario, &arrivals).await?;
    let tokens: u64 = logs.iter().map(|log| log.gaps.len() as u64 + 1).sum();
    let figures = load::LoadFigures::of(&scenario, rate, &arrivals, &logs);
    let title = format!(
        "{}: {rate:.1} requests/s, {} attempts, {} refusals, {} broken answers, endings {:?}",
        figures.scenario,
        figures.attempts,
        figures.refusals,
        figures.broken.len(),
        figures.endings
    );
    print(&options.output, &figures, &title, &load::load_table(&figures))?;
    for (pid, before) in pids.iter().zip(before) {
        let after = measure::Usage::of(*pid);
        let busy_ms = after.busy.saturating_sub(before.busy).as_millis();
        println!(
            "process {pid}: {busy_ms} ms of processor time for its part of {} requests and {tokens} \
             pieces of answers; {} KiB resident before, {} KiB after",
            arrivals.len(),
            before.resident >> 10,
            after.resident >> 10
        );
    }
    anyhow::ensure!(figures.broken.is_empty(), "broken answers: {:?}", figures.broken);
    Ok(())
}

fn pids(text: &str) -> anyhow::Result<Vec<u32>> {
    let words = text.split(',').filter(|word| !word.is_empty());
    words.map(|word| Ok(word.trim().parse()?)).collect()
}

fn print(
    format: &str,
    figures: &impl serde::Serialize,
    title: &str,
    table: &impl std::fmt::Display,
) -> anyhow::Result<()> {
    match format {
        "json" => println!("{}", serde_json::to_string_pretty(figures)?),
        "table" => println!("{title}\n\n{table}"),
        other => anyhow::bail!("`{other}` is no output format; use table or json"),
    }
    Ok(())
}
