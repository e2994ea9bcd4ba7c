//! Errors in the settings.

use std::{io, path};

/// The reason why the settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file cannot be read.
    #[error("cannot read {file}: {cause}; pass the settings file with --config FILE")]
    Read {
        /// The path of the file.
        file: path::PathBuf,
        /// Why it cannot be read.
        cause: io::Error,
    },
    /// The text is not YAML of the expected form, or a section of the settings is invalid.
    #[error("{0}; --check-config without a file prints every key with its default")]
    Form(String),
    /// A value is outside its range.
    #[error("{field}: {message}; {remedy}")]
    Value {
        /// The path of the field.
        field: &'static str,
        /// What is wrong.
        message: String,
        /// What to set instead.
        remedy: &'static str,
    },
}
