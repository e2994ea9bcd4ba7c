//! `testbed recovery`

use std::path;

use anyhow::Context as _;
use testbed::recovery;

/// Options of `testbed recovery`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Options {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "where to draw the plot", meta = "FILE")]
    plot: Option<path::PathBuf>,
}

pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    let rows = recovery::rows();
    let lengths = recovery::LENGTHS_MS.map(|length| format!("{length} ms"));
    println!("| recovery after | {} |", lengths.join(" | "));
    println!("|---|{}", "---|".repeat(lengths.len()));
    for row in &rows {
        let time = |ms: &Option<u64>| ms.map_or("over 15 s".to_owned(), |ms| format!("{ms} ms"));
        let times: Vec<_> = row.recovery_ms.iter().map(time).collect();
        println!("| {} | {} |", row.name, times.join(" | "));
    }
    if let Some(plot) = &options.plot {
        let text = recovery::svg(&rows)?;
        std::fs::write(plot, text).with_context(|| plot.display().to_string())?;
    }
    Ok(())
}
