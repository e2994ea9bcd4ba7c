//! Output as a table, JSON or YAML.

mod format;
mod table;

use std::io;

use crate::failure::Failure;

pub(crate) use format::Format;
pub(crate) use table::{Table, resources};

/// Writes a value in the chosen format.
pub(crate) fn show<T: serde::Serialize>(
    format: Format,
    value: &T,
    table: impl FnOnce(&T) -> Table,
    out: &mut dyn io::Write,
) -> Result<(), Failure> {
    let text = match format {
        Format::Table => table(value).to_text(),
        Format::Json => {
            let text = serde_json::to_string_pretty(value);
            text.map_err(|error| Failure::Format(error.to_string()))? + "\n"
        }
        Format::Yaml => {
            serde_yaml_ng::to_string(value).map_err(|error| Failure::Format(error.to_string()))?
        }
    };
    out.write_all(text.as_bytes())?;
    Ok(())
}
