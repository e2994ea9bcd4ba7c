//! Keys that identify resources.

use std::fmt;

use crate::resource;

/// The identity of one resource.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct ResourceKey {
    /// The kind of the resource.
    pub kind: resource::Kind,
    /// The name, unique within the kind.
    pub name: String,
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}
