//! `testbed plot`

use std::path;

use anyhow::Context as _;
use testbed::experiment::{compare, plot};

/// Options of `testbed plot`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Options {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "the JSON of `testbed experiment -o json`", meta = "FILE")]
    run: Option<path::PathBuf>,
    #[options(no_short, help = "the directory for the plot", meta = "DIR", default = "docs/plots")]
    directory: path::PathBuf,
}

pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    let file = options.run.as_deref().context("name a run with --run FILE")?;
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let comparison: compare::Comparison =
        serde_json::from_str(&text).with_context(|| file.display().to_string())?;
    let svg = plot::goodput_svg(&comparison)?;
    std::fs::create_dir_all(&options.directory)?;
    let path = options.directory.join(format!("goodput-{}.svg", comparison.scenario));
    std::fs::write(&path, svg).with_context(|| path.display().to_string())?;
    println!("{}", path.display());
    Ok(())
}
