//! What is logged.

/// Holds what is logged, as JSON lines on standard error.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Logs {
    /// The least level: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log::LevelFilter,
}

impl Default for Logs {
    fn default() -> Self {
        Self { level: log::LevelFilter::Info }
    }
}
