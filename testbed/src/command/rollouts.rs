//! `testbed rollouts`

use std::{path, thread};

use anyhow::Context as _;
use testbed::rollout;

/// Options of `testbed rollouts`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Options {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "runs of each kind", meta = "COUNT", default = "100")]
    runs: u64,
    #[options(no_short, help = "how many runs are played at once", meta = "COUNT", default = "2")]
    jobs: usize,
    #[options(no_short, help = "play only kinds whose names hold this", meta = "TEXT")]
    only: Option<String>,
    #[options(no_short, help = "where to draw the plot", meta = "FILE")]
    plot: Option<path::PathBuf>,
}

pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    let only = options.only.as_deref().unwrap_or_default();
    let mut cells = rollout::cells();
    cells.retain(|cell| cell.to_string().contains(only));
    anyhow::ensure!(
        !cells.is_empty(),
        "no kind's name holds {only:?}; without --only all are played"
    );
    let size = cells.len().div_ceil(options.jobs.max(1));
    let rows: Vec<_> = thread::scope(|scope| {
        let part = |cells: &[rollout::Cell]| {
            let cells = cells.to_vec();
            scope.spawn(move || {
                cells.into_iter().map(|cell| rollout::row(cell, options.runs)).collect::<Vec<_>>()
            })
        };
        let parts: Vec<_> = cells.chunks(size).map(part).collect();
        let played = parts.into_iter().map(thread::ScopedJoinHandle::join);
        played.map(|rows| rows.unwrap_or_default()).collect::<Vec<_>>().concat()
    });
    println!(
        "| new version, beside | runs | reverted | complete in time | too much | most tried | last after 50th bad, ms |"
    );
    println!("|---|---|---|---|---|---|---|");
    for row in &rows {
        println!(
            "| {} | {} | {} | {} | {} | {:.3} | {} |",
            row.name,
            row.runs,
            row.reverted,
            row.complete,
            row.exposed,
            row.most_tried,
            row.latest_ms
        );
    }
    if let Some(plot) = &options.plot {
        std::fs::write(plot, rollout::svg(&rows)?).with_context(|| plot.display().to_string())?;
    }
    Ok(())
}
