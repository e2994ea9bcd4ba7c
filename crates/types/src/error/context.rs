//! Errors and the context in which they occurred.

use crate::error;

/// The place where an error occurred.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Context {
    /// The path of the invalid field, such as `spec.weight`.
    #[serde(default)]
    pub field: Option<String>,
    /// The resource, endpoint or peer concerned.
    #[serde(default)]
    pub subject: Option<String>,
    /// The current version of the resource, for a conflict.
    #[serde(default)]
    pub current: Option<u64>,
}

/// An error with a remedy.
///
/// ```
/// use trefoildyke_types::error::{Error, ErrorKind};
///
/// let error = Error::new(ErrorKind::Invalid, "weight is 0").at("spec.weight").remedy("use 1 or more");
/// assert_eq!(error.to_string(), "spec.weight: weight is 0; use 1 or more");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Error {
    /// The kind of the error.
    pub kind: error::ErrorKind,
    /// What happened.
    pub message: String,
    /// What to do about the error.
    pub remedy: String,
    /// Where the error occurred.
    #[serde(default)]
    pub context: Context,
}

impl Error {
    /// Creates an error with the default remedy of its kind.
    pub fn new(kind: error::ErrorKind, message: impl Into<String>) -> Self {
        let remedy = kind.remedy().to_owned();
        Self { kind, message: message.into(), remedy, context: Context::default() }
    }

    /// Returns the error with the path of the field concerned.
    #[must_use]
    pub fn at(mut self, field: &str) -> Self {
        self.context.field = Some(field.to_owned());
        self
    }

    /// Returns the error with the resource, endpoint or peer concerned.
    #[must_use]
    pub fn about(mut self, subject: &impl ToString) -> Self {
        self.context.subject = Some(subject.to_string());
        self
    }

    /// Returns the error with the current version of the resource.
    #[must_use]
    pub fn current(mut self, version: u64) -> Self {
        self.context.current = Some(version);
        self
    }

    /// Returns the error with a more specific remedy.
    #[must_use]
    pub fn remedy(mut self, remedy: impl Into<String>) -> Self {
        self.remedy = remedy.into();
        self
    }
}
