//! Engines of a scenario, grouped by hardware generation.

/// Describes engines of one hardware generation.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineGroup {
    /// The generation, for reports.
    pub generation: String,
    /// How many engines.
    pub count: u16,
    /// The speed relative to the engine model's defaults; 1 for these.
    pub speed: f64,
    /// How many requests an engine runs at once; at least 1.
    pub slots: u32,
    /// How many prompt tokens the prefix cache holds.
    pub cache_tokens: u32,
}
