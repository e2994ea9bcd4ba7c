//! Parsing of resources and changes as operators write them.

use serde::{Deserialize, de::DeserializeOwned};
use trefoildyke_types::{error, resource};

use crate::config::{ChangeSet, Deletion};

/// The fields common to all resources, with the spec not parsed yet.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    kind: resource::Kind,
    name: String,
    #[serde(default)]
    spec: serde_json::Value,
    #[serde(default)]
    generation: u64,
    #[serde(default)]
    resource_version: u64,
    #[serde(default)]
    status: Option<resource::Status>,
}

/// A change whose resources are not parsed yet.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Change {
    #[serde(default)]
    puts: Vec<serde_json::Value>,
    #[serde(default)]
    deletions: Vec<Deletion>,
}

/// Parses one resource from a JSON text; unknown fields are refused.
///
/// # Errors
///
/// Fails with `Invalid`, the field's path if the error is in a field, and a remedy.
pub fn from_json(text: &[u8]) -> Result<resource::Resource, error::Error> {
    let value = serde_json::from_slice(text).map_err(|error| {
        invalid(format!("this is not JSON: {error}")).remedy("send one resource as a JSON object")
    })?;
    from_value(value)
}

/// Parses the resources of a YAML text with any number of documents; empty documents are skipped.
///
/// # Errors
///
/// Fails with `Invalid`, the document's number, the field's path if the error is in a field, and a
/// remedy.
pub fn from_yaml(text: &str) -> Result<Vec<resource::Resource>, error::Error> {
    let mut resources = Vec::new();
    for (index, document) in serde_yaml_ng::Deserializer::from_str(text).enumerate() {
        let value = parse_yaml(document).map_err(|error| {
            invalid(format!("document {} is not YAML: {error}", index + 1))
                .remedy("write each resource as a YAML mapping, documents parted by `---`")
        })?;
        if !value.is_null() {
            let resource = from_value(value).map_err(|mut error| {
                error.message = format!("document {}: {}", index + 1, error.message);
                error
            })?;
            resources.push(resource);
        }
    }
    Ok(resources)
}

/// Parses a document by way of a YAML value, which refuses duplicate keys.
fn parse_yaml(
    document: serde_yaml_ng::Deserializer<'_>,
) -> Result<serde_json::Value, serde_yaml_ng::Error> {
    let value = serde_yaml_ng::Value::deserialize(document)?;
    serde_yaml_ng::from_value(value)
}

/// Parses one resource from a JSON value; unknown fields are refused.
///
/// # Errors
///
/// Fails with `Invalid`, the field's path if the error is in a field, and a remedy.
pub fn from_value(value: serde_json::Value) -> Result<resource::Resource, error::Error> {
    let document: Document = parse(value, "")?;
    let key = resource::ResourceKey { kind: document.kind, name: document.name };
    let spec = parse_spec(key.kind, document.spec).map_err(|error| error.about(&key))?;
    Ok(resource::Resource {
        name: key.name,
        spec,
        generation: document.generation,
        resource_version: document.resource_version,
        status: document.status,
    })
}

/// Parses a change: a list of resources to put, or an object with `puts` and `deletions`.
///
/// # Errors
///
/// Fails with `Invalid`, the field's path if the error is in a field, and a remedy.
pub fn change_from_json(text: &[u8]) -> Result<ChangeSet, error::Error> {
    let value: serde_json::Value = serde_json::from_slice(text).map_err(|error| {
        invalid(format!("this is not JSON: {error}"))
            .remedy("send a list of resources, or an object with `puts` and `deletions`")
    })?;
    let change: Change = match value {
        serde_json::Value::Array(puts) => Change { puts, deletions: Vec::new() },
        other => parse(other, "")?,
    };
    let puts = change.puts.into_iter().enumerate().map(|(index, value)| {
        from_value(value).map_err(|error| {
            let field = error.context.field.as_ref();
            let path = field.map_or_else(String::new, |field| format!(".{field}"));
            error.at(&format!("[{index}]{path}"))
        })
    });
    Ok(ChangeSet { puts: puts.collect::<Result<_, _>>()?, deletions: change.deletions })
}

fn parse_spec(
    kind: resource::Kind,
    value: serde_json::Value,
) -> Result<resource::Spec, error::Error> {
    match kind {
        resource::Kind::ClientAccount => parse(value, "spec").map(resource::Spec::ClientAccount),
        resource::Kind::Endpoint => parse(value, "spec").map(resource::Spec::Endpoint),
        resource::Kind::EndpointPool => parse(value, "spec").map(resource::Spec::EndpointPool),
        resource::Kind::EngineOrder => parse(value, "spec").map(resource::Spec::EngineOrder),
        resource::Kind::PlannedStop => parse(value, "spec").map(resource::Spec::PlannedStop),
        resource::Kind::Tier => parse(value, "spec").map(resource::Spec::Tier),
    }
}

/// Deserializes a value; the field path of an error starts with `prefix`.
fn parse<T: DeserializeOwned>(value: serde_json::Value, prefix: &str) -> Result<T, error::Error> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        let field = match (prefix, path.as_str()) {
            ("", path) => path.to_owned(),
            (prefix, ".") => prefix.to_owned(),
            (prefix, path) => format!("{prefix}.{path}"),
        };
        let error = invalid(error.inner().to_string());
        if field == "." { error } else { error.at(&field) }
    })
}

fn invalid(message: impl Into<String>) -> error::Error {
    error::Error::new(error::ErrorKind::Invalid, message)
}
