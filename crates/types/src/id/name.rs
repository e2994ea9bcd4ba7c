//! Names of resources, with one type per kind.

use std::{borrow, fmt};

macro_rules! name_type {
    ($(#[$doc:meta] $name:ident),+ $(,)?) => {$(
        #[$doc]
        ///
        /// Names are compared byte by byte. They are validated only when a resource is accepted.
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Creates a name from its text.
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
    /// The name of a client account.
    AccountName,
    /// The name of an endpoint, which is one worker of a pool.
    EndpointName,
    /// The name of a host that runs a daemon or endpoints.
    HostName,
    /// The name of a model.
    ModelName,
    /// The name of an endpoint pool.
    PoolName,
    /// The name of a tier.
    TierName,
    /// The name of a version of an endpoint's software.
    VersionName,
    /// The name of an availability zone.
    ZoneName,
}
