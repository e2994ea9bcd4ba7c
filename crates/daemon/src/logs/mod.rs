//! Logs as JSON lines.

use log4rs::{append::console, config, encode::json};

use crate::settings;

/// Starts logging to standard error, one JSON object a line.
///
/// # Errors
///
/// Fails if the process logs already.
pub fn start(settings: &settings::Logs) -> anyhow::Result<()> {
    let appender = console::ConsoleAppender::builder()
        .target(console::Target::Stderr)
        .encoder(Box::new(json::JsonEncoder::new()))
        .build();
    // Every call between daemons is a line at level info otherwise.
    let calls =
        config::Logger::builder().build("tarpc", log::LevelFilter::Warn.min(settings.level));
    let root = config::Root::builder().appender("stderr").build(settings.level);
    let appender = config::Appender::builder().build("stderr", Box::new(appender));
    let config = log4rs::Config::builder().appender(appender).logger(calls).build(root)?;
    log4rs::init_config(config)?;
    Ok(())
}
