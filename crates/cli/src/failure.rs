//! Errors of a command.

use std::io;

use trefoildyke_types::error;

use crate::Exit;

/// The reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// A daemon or a local check rejected the command.
    #[error("{0}")]
    Refused(#[from] error::Error),
    /// A file could not be read.
    #[error("{path}: {cause}; correct the path or its permissions")]
    File { path: String, cause: io::Error },
    /// The output could not be written.
    #[error("the output cannot be written: {0}; check its destination")]
    Output(#[from] io::Error),
    /// A value cannot be represented in the chosen output format.
    #[error("the output cannot be formatted: {0}; choose another with -o")]
    Format(String),
    /// The command line is invalid or inconsistent.
    #[error("{0}")]
    Usage(String),
    /// A wait ran into its time limit.
    #[error("{0}")]
    TimedOut(String),
}

impl Failure {
    /// Returns the exit code for this failure.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Refused(error) => error.kind.into(),
            Self::File { .. } => Exit::Invalid,
            Self::Usage(_) => Exit::Usage,
            Self::TimedOut(_) => Exit::TimedOut,
            Self::Output(_) | Self::Format(_) => Exit::Failed,
        }
    }
}
