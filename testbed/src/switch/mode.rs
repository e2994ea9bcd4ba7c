//! The ways in which a stand-in can behave.

use std::net;

/// Names a way to behave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModeKind {
    /// Calls are carried out and answered.
    #[default]
    Ok,
    /// Calls are refused with 503.
    Down,
    /// Calls are taken and never carried out or answered.
    Silent,
    /// Calls wait for the delay before they are carried out.
    Slow,
    /// Writes are carried out, then the connection is closed unanswered; reads are answered.
    LoseAnswers,
}

/// Describes a way to behave; the body of `POST /admin/mode`.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mode {
    /// The way.
    pub mode: ModeKind,
    /// The delay of [`ModeKind::Slow`], in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// The only address that meets the mode; `None` for all without one of their own.
    #[serde(default)]
    pub only_source: Option<net::IpAddr>,
    /// How many calls meet the mode before it ends; `None` for all until it is changed.
    #[serde(default)]
    pub calls: Option<u32>,
}

impl Mode {
    /// Creates a mode for all calls of all sources.
    pub fn new(mode: ModeKind) -> Self {
        Self { mode, ..Self::default() }
    }

    /// Returns the mode for calls of one source.
    #[must_use]
    pub fn only(self, source: net::IpAddr) -> Self {
        Self { only_source: Some(source), ..self }
    }

    /// Returns the mode for a number of calls.
    #[must_use]
    pub fn calls(self, calls: u32) -> Self {
        Self { calls: Some(calls), ..self }
    }

    /// Returns the mode with a delay.
    #[must_use]
    pub fn delay_ms(self, delay_ms: u64) -> Self {
        Self { delay_ms, ..self }
    }
}
