//! Resource references in arguments.

use trefoildyke_types::resource;

use crate::failure::Failure;

/// Parses `KIND` or `KIND/NAME`.
pub(crate) fn parse(text: &str) -> Result<(resource::Kind, Option<String>), Failure> {
    let (kind, name) = match text.split_once('/') {
        Some((kind, name)) => (kind, Some(name.to_owned())),
        None => (text, None),
    };
    let kind =
        kind.parse().map_err(|error: resource::UnknownKind| Failure::Usage(error.to_string()))?;
    Ok((kind, name))
}

/// Parses `KIND/NAME`.
pub(crate) fn parse_key(text: &str) -> Result<resource::ResourceKey, Failure> {
    match parse(text)? {
        (kind, Some(name)) => Ok(resource::ResourceKey { kind, name }),
        (kind, None) => Err(Failure::Usage(format!("`{text}` names no resource; use {kind}/NAME"))),
    }
}
