//! The formats of the output.

use std::str;

/// Names a format of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Format {
    /// Columns for a person.
    #[default]
    Table,
    /// JSON for a program.
    Json,
    /// YAML, as `apply` takes it.
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
