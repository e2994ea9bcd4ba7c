//! Validation of names and of identifiers for engines.

use trefoildyke_types::error;

use crate::config::check::{invalid, limits};

/// Checks the name of a resource, host, zone or request class.
pub(crate) fn resource(field: &str, name: &str) -> Result<(), error::Error> {
    let is_outer = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    let is_inner = |c: char| is_outer(c) || matches!(c, '-' | '.' | '_');
    let valid = name.len() <= limits::NAME_LENGTH
        && name.starts_with(is_outer)
        && name.ends_with(is_outer)
        && name.chars().all(is_inner);
    if valid {
        return Ok(());
    }
    let remedy = format!(
        "use 1 to {} lower-case letters, digits, `-`, `.` or `_`, beginning and ending with a letter or digit",
        limits::NAME_LENGTH
    );
    Err(invalid(format!("`{}` is not a name", truncated(name))).at(field).remedy(remedy))
}

/// Checks an identifier that is passed to engines, such as a model's name or version.
pub(crate) fn ident(field: &str, ident: &str) -> Result<(), error::Error> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_' | '/' | ':');
    if (1..=limits::IDENT_LENGTH).contains(&ident.len()) && ident.chars().all(allowed) {
        return Ok(());
    }
    let remedy =
        format!("use 1 to {} letters, digits, `-`, `.`, `_`, `/` or `:`", limits::IDENT_LENGTH);
    Err(invalid(format!("`{}` is not allowed here", truncated(ident))).at(field).remedy(remedy))
}

/// Returns the start of a text, for use in an error message.
fn truncated(text: &str) -> String {
    text.chars().take(limits::NAME_LENGTH).collect()
}
