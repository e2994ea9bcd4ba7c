//! Exit codes of the program.

use std::process;

use trefoildyke_types::error;

/// The exit code of a command; the numbers are stable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed for a reason that has no code of its own.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The input was rejected; nothing was changed.
    Invalid = 3,
    /// Another operator changed the configuration first; nothing was changed.
    Conflict = 4,
    /// No daemon answers, or the key-value service does not; nothing was changed.
    Unavailable = 5,
    /// The change may or may not have been made.
    Unsure = 6,
    /// The resource does not exist.
    NotFound = 7,
    /// The operator token is missing or wrong.
    Unauthorized = 8,
    /// The change was accepted, but the wait for its effect timed out.
    TimedOut = 9,
}

/// The exit codes as shown by `--help`.
pub(crate) const HELP: &str = "\
Exit codes:
  0  done
  1  something else failed
  2  the command line is wrong
  3  the input was refused; nothing was changed
  4  another operator was first; nothing was changed
  5  no daemon, or not the key-value service, answers; nothing was changed
  6  the change may or may not have been made: get the resources and compare
  7  the resource does not exist
  8  the operator token is missing or wrong
  9  the change was accepted, but what was waited for did not come in time
";

impl From<Exit> for process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

impl From<error::ErrorKind> for Exit {
    fn from(kind: error::ErrorKind) -> Self {
        match kind {
            error::ErrorKind::Invalid | error::ErrorKind::TooLarge => Self::Invalid,
            error::ErrorKind::Conflict => Self::Conflict,
            error::ErrorKind::Unavailable => Self::Unavailable,
            error::ErrorKind::Unsure => Self::Unsure,
            error::ErrorKind::NotFound => Self::NotFound,
            error::ErrorKind::Unauthorized => Self::Unauthorized,
            _ => Self::Failed,
        }
    }
}
