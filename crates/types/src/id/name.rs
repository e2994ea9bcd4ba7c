//! Names of resources, one type for each kind.

use std::{borrow, fmt};

macro_rules! name_type {
    ($(#[$doc:meta] $name:ident),+ $(,)?) => {$(
        #[$doc]
        ///
        /// Names are compared byte by byte; validation happens where resources are accepted.
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Creates the name from its text.
            pub fn new(text: &str) -> Self {
                Self(text.into())
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fmt_display!();
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )+};
}

macro_rules! fmt_display {
    () => {
        fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.pad(&self.0)
        }
    };
}

name_type! {
    /// Names a client account.
    AccountName,
    /// Names an endpoint: one worker of a pool.
    EndpointName,
    /// Names a host, of the system's own or one that carries endpoints.
    HostName,
    /// Names a model.
    ModelName,
    /// Names an endpoint pool.
    PoolName,
    /// Names a tier.
    TierName,
    /// Names a version of an endpoint's software.
    VersionName,
    /// Names an availability zone.
    ZoneName,
}
