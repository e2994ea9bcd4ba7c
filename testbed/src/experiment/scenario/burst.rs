//! Bursts: many requests at one moment.

/// Describes requests that arrive at one moment, on top of the steady arrivals.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When, in milliseconds from the start.
    pub at_ms: u64,
    /// How many requests.
    pub requests: u32,
    /// The class of the requests.
    pub class: String,
    /// The account that sends them; `None` draws it as for steady arrivals.
    #[serde(default)]
    pub account: Option<String>,
}
