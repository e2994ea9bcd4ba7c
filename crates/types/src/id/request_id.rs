//! Request identifiers, chosen by a caller or issued by a daemon.

use std::{fmt, str};

use crate::id;

/// The identifier of one request of one client account.
///
/// It is a UUIDv7, so it carries its creation time. There are three text forms:
///
/// - `<uuid>`: the caller chose the identifier.
/// - `<uuid>.<incarnation>`: the daemon with this incarnation issued it and coordinates the request. Another
///   host dispatches the request only if no record exists for it.
/// - `<uuid>.<incarnation>u`, `u` for unrecorded: the daemon issued it while no record could be written. No
///   other host ever dispatches the request.
///
/// ```
/// use trefoildyke_types::id::RequestId;
///
/// let id: RequestId = "0192d3a4-0000-7000-8000-000000000001".parse()?;
/// assert_eq!(id.issuer(), None);
/// # Ok::<(), trefoildyke_types::id::IdError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    uuid: uuid::Uuid,
    issuer: Option<id::Incarnation>,
    /// Never true without an issuer.
    unrecorded: bool,
}

const UNRECORDED_SUFFIX: char = 'u';

/// The reason why a text is not a request identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text is not a UUID.
    #[error("the request id is not a UUID; send a UUIDv7, or none to have one issued")]
    NotUuid,
    /// The UUID is not of version 7 and so carries no creation time.
    #[error(
        "the request id is not a UUIDv7; its time decides how long answers are kept, so send version 7"
    )]
    NotVersion7,
    /// The part after the dot is not an incarnation.
    #[error(
        "the request id's part after the dot is not an incarnation; send the issued id unchanged"
    )]
    BadIssuer,
}

impl RequestId {
    /// Creates an identifier chosen by a caller.
    pub const fn chosen(uuid: uuid::Uuid) -> Self {
        Self { uuid, issuer: None, unrecorded: false }
    }

    /// Creates an identifier issued by the daemon with incarnation `issuer`.
    pub const fn issued(uuid: uuid::Uuid, issuer: id::Incarnation) -> Self {
        Self { uuid, issuer: Some(issuer), unrecorded: false }
    }

    /// Creates an identifier of a request that only the daemon with incarnation `issuer` may ever dispatch.
    ///
    /// It is issued while the key-value service is down, so no record of the dispatch is written.
    pub const fn unrecorded(uuid: uuid::Uuid, issuer: id::Incarnation) -> Self {
        Self { uuid, issuer: Some(issuer), unrecorded: true }
    }

    /// Returns the UUID.
    pub const fn uuid(&self) -> uuid::Uuid {
        self.uuid
    }

    /// Returns the incarnation of the daemon that issued the identifier; `None` if a caller chose it.
    pub const fn issuer(&self) -> Option<id::Incarnation> {
        self.issuer
    }

    /// Returns whether the request is dispatched without a record, and only by the issuer.
    pub const fn is_unrecorded(&self) -> bool {
        self.unrecorded
    }

    /// Returns the creation time, in milliseconds since the Unix epoch.
    pub fn created_ms(&self) -> u64 {
        let bytes = self.uuid.as_bytes();
        bytes[..6].iter().fold(0, |ms, byte| (ms << 8) | u64::from(*byte))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.uuid)?;
        match self.issuer {
            Some(issuer) if self.unrecorded => write!(f, ".{issuer}{UNRECORDED_SUFFIX}"),
            Some(issuer) => write!(f, ".{issuer}"),
            None => Ok(()),
        }
    }
}

impl str::FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (uuid, issuer) = match text.split_once('.') {
            Some((uuid, issuer)) => (uuid, Some(issuer)),
            None => (text, None),
        };
        let uuid = uuid::Uuid::try_parse(uuid).map_err(|_| IdError::NotUuid)?;
        if uuid.get_version_num() != 7 {
            return Err(IdError::NotVersion7);
        }
        let Some(issuer) = issuer else {
            return Ok(Self::chosen(uuid));
        };
        let stripped = issuer.strip_suffix(UNRECORDED_SUFFIX);
        let unrecorded = stripped.is_some();
        let issuer = stripped.unwrap_or(issuer).parse().map_err(|_| IdError::BadIssuer)?;
        Ok(Self { uuid, issuer: Some(issuer), unrecorded })
    }
}

impl serde::Serialize for RequestId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for RequestId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
