//! Settings of the logs.

/// The settings of the logs, which are written as JSON lines to standard error.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Logs {
    /// The minimum level of the messages that are logged: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log::LevelFilter,
}

impl Default for Logs {
    fn default() -> Self {
        Self { level: log::LevelFilter::Info }
    }
}
