//! Validation of names and other words.

use trefoildyke_types::error;

use crate::config::check::{invalid, limits};

/// Checks a resource's name, a host, a zone or a request class.
pub(crate) fn resource(field: &str, name: &str) -> Result<(), error::Error> {
    let ends = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    let inner = |c: char| ends(c) || matches!(c, '-' | '.' | '_');
    let valid = name.len() <= limits::NAME_LENGTH
        && name.starts_with(ends)
        && name.ends_with(ends)
        && name.chars().all(inner);
    if valid {
        return Ok(());
    }
    let remedy = format!(
        "use 1 to {} lower-case letters, digits, `-`, `.` or `_`, beginning and ending with a letter or digit",
        limits::NAME_LENGTH
    );
    Err(invalid(format!("`{}` is not a name", shortened(name))).at(field).remedy(remedy))
}

/// Checks a word that engines understand, such as a model's name or version.
pub(crate) fn word(field: &str, word: &str) -> Result<(), error::Error> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_' | '/' | ':');
    if (1..=limits::WORD_LENGTH).contains(&word.len()) && word.chars().all(allowed) {
        return Ok(());
    }
    let remedy =
        format!("use 1 to {} letters, digits, `-`, `.`, `_`, `/` or `:`", limits::WORD_LENGTH);
    Err(invalid(format!("`{}` is not allowed here", shortened(word))).at(field).remedy(remedy))
}

fn shortened(text: &str) -> String {
    text.chars().take(limits::NAME_LENGTH).collect()
}
