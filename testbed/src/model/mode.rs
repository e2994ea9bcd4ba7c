//! Faults that a modelled engine can show.

/// Says how an engine behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    /// At its usual speed.
    #[default]
    Ok,
    /// No step ends until the mode changes.
    Freeze,
    /// Every step takes so many times as long.
    Straggle(f64),
}
