//! One goal and its verdict.

use std::fmt;

/// Says whether a goal is met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The measured value is within the goal.
    Met,
    /// The measured value is not within the goal.
    NotMet,
    /// The goal is not measured here.
    NotRun,
}

impl Verdict {
    /// Returns the verdict for a goal that holds or not.
    pub fn of(holds: bool) -> Self {
        if holds { Self::Met } else { Self::NotMet }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Met => "met",
            Self::NotMet => "NOT met",
            Self::NotRun => "not run",
        })
    }
}

/// Holds one goal, what was measured and the verdict.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Goal {
    /// What is wanted.
    pub wanted: String,
    /// The scenario.
    pub scenario: String,
    /// What was measured.
    pub measured: String,
    /// Whether it is met.
    pub verdict: Verdict,
}

/// Returns the goals as a table for a person to read.
pub fn goal_table(goals: &[Goal]) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(["goal", "scenario", "measured", "verdict"]);
    for goal in goals {
        let verdict = goal.verdict.to_string();
        table.add_row([&goal.wanted, &goal.scenario, &goal.measured, &verdict]);
    }
    table
}
