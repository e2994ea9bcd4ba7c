//! What can be wrong with the settings.

use std::{io, path};

/// Says why the settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read {file}: {cause}; pass the settings file with --config FILE")]
    Read {
        /// The file.
        file: path::PathBuf,
        /// Why it cannot be read.
        cause: io::Error,
    },
    /// The text is not YAML of the expected form.
    #[error("{0}; --check-config without a file prints every key with its default")]
    Form(String),
    /// A value is outside its range.
    #[error("{field}: {message}; {remedy}")]
    Value {
        /// The field's path.
        field: &'static str,
        /// What is wrong.
        message: String,
        /// What to set instead.
        remedy: &'static str,
    },
}
