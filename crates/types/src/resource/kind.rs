//! The kinds of resources.

use std::{fmt, str};

/// The kind of a resource.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub enum Kind {
    /// See [`crate::resource::ClientAccountSpec`].
    ClientAccount,
    /// See [`crate::resource::EndpointSpec`].
    Endpoint,
    /// See [`crate::resource::EndpointPoolSpec`].
    EndpointPool,
    /// See [`crate::resource::EngineOrderSpec`].
    EngineOrder,
    /// See [`crate::resource::PlannedStopSpec`].
    PlannedStop,
    /// See [`crate::resource::TierSpec`].
    Tier,
}

impl Kind {
    /// Every kind, in alphabetical order.
    pub const ALL: [Self; 6] = [
        Self::ClientAccount,
        Self::Endpoint,
        Self::EndpointPool,
        Self::EngineOrder,
        Self::PlannedStop,
        Self::Tier,
    ];

    /// Returns the name of the kind as written in resources and paths.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ClientAccount => "ClientAccount",
            Self::Endpoint => "Endpoint",
            Self::EndpointPool => "EndpointPool",
            Self::EngineOrder => "EngineOrder",
            Self::PlannedStop => "PlannedStop",
            Self::Tier => "Tier",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// The error for a text that names no kind.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{0}` is not a kind; use ClientAccount, Endpoint, EndpointPool, EngineOrder, PlannedStop or Tier"
)]
pub struct UnknownKind(pub String);

impl str::FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str().eq_ignore_ascii_case(text))
            .ok_or_else(|| UnknownKind(text.to_owned()))
    }
}
