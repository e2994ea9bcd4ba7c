//! The kinds of errors.

/// Names a kind of error; the word is stable and meant for programs.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// Input does not have the expected form.
    Invalid,
    /// A reference names something that does not exist.
    NotFound,
    /// Another writer was first.
    Conflict,
    /// The caller may not do this.
    Unauthorized,
    /// The other side cannot be reached or does not answer in time.
    Unavailable,
    /// A write may or may not have taken effect.
    Unsure,
    /// A stated limit was exceeded.
    TooLarge,
    /// The other side broke its protocol.
    Protocol,
}

impl ErrorKind {
    /// Returns what to do when nothing more specific is known.
    pub const fn remedy(self) -> &'static str {
        match self {
            Self::Invalid => "correct the input and send it again",
            Self::NotFound => "create it first or correct the name",
            Self::Conflict => "read the current version, apply the change to it and try again",
            Self::Unauthorized => "send a valid key",
            Self::Unavailable => "check that the other side runs and is reachable, then try again",
            Self::Unsure => "read the record back before writing again",
            Self::TooLarge => "send less at a time",
            Self::Protocol => "check that both sides run compatible versions",
        }
    }
}
