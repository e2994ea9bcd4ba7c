//! The daemon that runs on every entry host.

use std::{io::Write as _, path};

use anyhow::Context as _;
use gumdrop::Options as _;
use trefoildyke_daemon::{daemon, logs, settings};

/// Serves callers, schedules their requests and coordinates them with the other daemons.
#[derive(Debug, gumdrop::Options)]
struct Options {
    #[options(help = "print this help")]
    help: bool,
    #[options(short = "c", help = "the settings file", meta = "FILE")]
    config: Option<path::PathBuf>,
    #[options(no_short, help = "check the settings and print them with every default")]
    check_config: bool,
    #[options(short = "V", help = "print the version")]
    version: bool,
}

fn main() -> anyhow::Result<()> {
    let options = Options::parse_args_default_or_exit();
    if options.version {
        println!("trefoildyked {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let settings = options.config.as_deref().map(settings::Settings::read).transpose()?;
    if options.check_config {
        print!("{}", settings.unwrap_or_default().to_yaml()?);
        return Ok(());
    }
    run(&settings.context("no settings file is given; pass --config FILE")?)
}

fn run(settings: &settings::Settings) -> anyhow::Result<()> {
    logs::start(&settings.logs)?;
    let daemon = daemon::Daemon::start(settings)?;
    let mut out = std::io::stdout();
    writeln!(out, "listening {}", daemon.addresses())?;
    out.flush()?;
    daemon.run_until_stopped()
}
