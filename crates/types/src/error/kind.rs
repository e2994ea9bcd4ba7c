//! The kinds of errors.

/// The kind of an error; its serialized name is stable and meant for programs.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// The input does not have the expected form.
    Invalid,
    /// A reference names something that does not exist.
    NotFound,
    /// The change of another writer came first.
    Conflict,
    /// The caller is not allowed to do this.
    Unauthorized,
    /// The remote side cannot be reached or does not answer in time.
    Unavailable,
    /// A write may or may not have taken effect.
    Unsure,
    /// A size or count limit was exceeded.
    TooLarge,
    /// The remote side violated the protocol.
    Protocol,
}

impl ErrorKind {
    /// Returns the default remedy, for errors without a more specific one.
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
