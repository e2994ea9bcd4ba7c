//! Logging to standard error as JSON lines.

use log4rs::{append::console, config, encode::json};

use crate::settings;

/// Installs the global logger, which writes one JSON object per line to standard error.
///
/// # Errors
///
/// Returns an error if the process already has a global logger.
pub fn start(settings: &settings::Logs) -> anyhow::Result<()> {
    let appender = console::ConsoleAppender::builder()
        .target(console::Target::Stderr)
        .encoder(Box::new(json::JsonEncoder::new()))
        .build();
    // At level info, tarpc writes a line for every call between daemons.
    let tarpc_logger =
        config::Logger::builder().build("tarpc", log::LevelFilter::Warn.min(settings.level));
    let root = config::Root::builder().appender("stderr").build(settings.level);
    let appender = config::Appender::builder().build("stderr", Box::new(appender));
    let config = log4rs::Config::builder().appender(appender).logger(tarpc_logger).build(root)?;
    log4rs::init_config(config)?;
    Ok(())
}
