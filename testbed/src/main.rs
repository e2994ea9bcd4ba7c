//! Stand-ins for the outside systems, a load tool and experiments.

mod command;

use gumdrop::Options as _;

fn main() -> anyhow::Result<()> {
    let options = command::Options::parse_args_default_or_exit();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(command::run(options))
}
