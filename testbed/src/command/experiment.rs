//! `testbed experiment`

use std::path;

use anyhow::Context as _;
use testbed::experiment::{compare, policy, scenario};

/// Options of `testbed experiment`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Options {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "the scenario file", meta = "FILE")]
    scenario: Option<path::PathBuf>,
    #[options(help = "how many seeds, from 1", meta = "N", default = "5")]
    seeds: u64,
    #[options(no_short, help = "the policies, by comma; all if not given", meta = "NAMES")]
    policies: Option<String>,
    #[options(no_short, help = "run at these loads instead, by comma", meta = "LOADS")]
    loads: Option<String>,
    #[options(no_short, help = "how many runs go on at once", meta = "N", default = "4")]
    threads: usize,
    #[options(help = "`table` or `json`", meta = "FORMAT", default = "table")]
    output: String,
}

pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    let file = options.scenario.as_deref().context("name a scenario with --scenario FILE")?;
    let mut scenario = read(file)?;
    if let Some(loads) = &options.loads {
        scenario.loads = loads.split(',').map(str::parse).collect::<Result<_, _>>()?;
    }
    let policies = match &options.policies {
        Some(names) => names.split(',').map(str::parse).collect::<Result<_, _>>()?,
        None => policy::Variant::ALL.to_vec(),
    };
    let plan = compare::Plan { policies, seeds: options.seeds, threads: options.threads };
    let comparison = compare::compare(&scenario, &plan);
    match options.output.as_str() {
        "json" => println!("{}", serde_json::to_string_pretty(&comparison)?),
        "table" => print(&comparison, options.seeds),
        other => anyhow::bail!("`{other}` is no output format; use table or json"),
    }
    Ok(())
}

/// Reads a scenario file.
pub(crate) fn read(file: &path::Path) -> anyhow::Result<scenario::Scenario> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    scenario::Scenario::from_yaml(&text).with_context(|| file.display().to_string())
}

fn print(comparison: &compare::Comparison, seeds: u64) {
    println!(
        "{}: capacity {:.1} requests/s, {seeds} seeds",
        comparison.scenario, comparison.capacity
    );
    println!("Values are means over the seeds, with [least, greatest].\n");
    println!("{}\n", compare::policy_table(comparison));
    println!("{}", compare::latency_table(comparison));
}
