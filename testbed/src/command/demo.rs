//! `testbed demo`

use testbed::demo;

/// Options of `testbed demo`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Options {
    #[options(help = "print this help")]
    help: bool,
}

pub(crate) async fn run(_options: Options) -> anyhow::Result<()> {
    let report = demo::run().await?;
    print!("{report}");
    anyhow::ensure!(report.holds(), "not everything ended as it should; see the outcomes above");
    Ok(())
}
