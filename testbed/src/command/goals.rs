//! `testbed goals`

use std::path;

use testbed::experiment::goals;

/// How many requests wait while decisions are timed.
const WAITING: [u64; 3] = [1_000, 10_000, 100_000];

/// Options of `testbed goals`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Options {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "the directory with the scenario files",
        meta = "DIR",
        default = "examples/scenarios"
    )]
    scenarios: path::PathBuf,
    #[options(no_short, help = "how many seeds, from 1", meta = "N", default = "5")]
    seeds: u64,
    #[options(no_short, help = "how many runs go on at once", meta = "N", default = "4")]
    threads: usize,
    #[options(help = "`table` or `json`", meta = "FORMAT", default = "table")]
    output: String,
}

pub(crate) fn run(options: Options) -> anyhow::Result<()> {
    let Options { scenarios, seeds, threads, .. } = options;
    let suite = goals::Suite { directory: scenarios, seeds, threads, waiting: WAITING };
    let goals = goals::measure(&suite)?;
    match options.output.as_str() {
        "json" => println!("{}", serde_json::to_string_pretty(&goals)?),
        "table" => {
            println!("Values are means over {seeds} seeds, with [least, greatest].\n");
            println!("{}", goals::goal_table(&goals));
        }
        other => anyhow::bail!("`{other}` is no output format; use table or json"),
    }
    Ok(())
}
