//! The text form of errors.

use std::fmt;

use crate::error;

impl fmt::Display for error::Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(subject) = &self.context.subject {
            write!(f, "{subject}: ")?;
        }
        if let Some(field) = &self.context.field {
            write!(f, "{field}: ")?;
        }
        f.write_str(&self.message)?;
        if let Some(version) = self.context.current {
            write!(f, " (current version {version})")?;
        }
        write!(f, "; {}", self.remedy)
    }
}

impl std::error::Error for error::Error {}
