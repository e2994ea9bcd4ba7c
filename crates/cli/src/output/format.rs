//! Output formats.

use std::str;

/// An output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Format {
    /// Human-readable columns.
    #[default]
    Table,
    /// JSON for programs.
    Json,
    /// YAML that `apply` accepts.
    Yaml,
}

impl str::FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            "yaml" => Ok(Self::Yaml),
            _ => Err(format!("`{text}` is not a format; use table, json or yaml")),
        }
    }
}
