//! Why a command failed.

use std::io;

use trefoildyke_types::error;

use crate::Exit;

/// Says why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// A daemon or a check refused.
    #[error("{0}")]
    Refused(#[from] error::Error),
    /// A file could not be read.
    #[error("{path}: {cause}; correct the path or its permissions")]
    File { path: String, cause: io::Error },
    /// The output could not be written.
    #[error("the output cannot be written: {0}; check where it goes")]
    Output(#[from] io::Error),
    /// A value has no form in the chosen output.
    #[error("the output cannot be formatted: {0}; choose another with -o")]
    Format(String),
    /// The command line asks for something that does not fit together.
    #[error("{0}")]
    Usage(String),
    /// What was waited for did not come in time.
    #[error("{0}")]
    Late(String),
}

impl Failure {
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Refused(error) => error.kind.into(),
            Self::File { .. } => Exit::Invalid,
            Self::Usage(_) => Exit::Usage,
            Self::Late(_) => Exit::Late,
            Self::Output(_) | Self::Format(_) => Exit::Failed,
        }
    }
}
