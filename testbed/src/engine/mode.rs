//! The ways in which the stand-in can behave.

/// Names a way to behave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModeKind {
    /// As it should.
    #[default]
    Ok,
    /// No step ends; beats go on.
    Freeze,
    /// Every step takes `factor` times as long.
    Straggle,
    /// The streams open now stay open and never send anything again; new ones work.
    Silent,
    /// Each stream's next `factor` chunks answer another request.
    Cross,
}

/// Describes a way to behave; the body of `POST /admin/mode`.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mode {
    /// The way.
    pub mode: ModeKind,
    /// What the way needs a number for.
    #[serde(default = "one")]
    pub factor: f64,
}

impl Mode {
    /// Creates a mode with factor 1.
    pub const fn new(mode: ModeKind) -> Self {
        Self { mode, factor: 1.0 }
    }

    /// Returns the mode with another factor.
    #[must_use]
    pub const fn factor(self, factor: f64) -> Self {
        Self { factor, ..self }
    }
}

fn one() -> f64 {
    1.0
}
