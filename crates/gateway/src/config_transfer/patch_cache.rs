//! Encoded patches, which many daemons request at the same time.

use std::{collections, sync};

use bytes::Bytes;
use trefoildyke_decide::gateway;

/// The patches to one version, by their base.
#[derive(Debug, Default)]
pub(super) struct PatchCache {
    current: sync::Mutex<Patches>,
}

#[derive(Debug, Default)]
struct Patches {
    /// The version that all of the patches lead to.
    version: u64,
    encoded: collections::HashMap<Option<u64>, Bytes>,
}

impl PatchCache {
    /// Returns the encoded patch from `base` to `config`.
    ///
    /// # Errors
    ///
    /// Fails if the patch cannot be encoded.
    pub(super) fn get(
        &self,
        base: Option<&gateway::Config>,
        config: &gateway::Config,
    ) -> Result<Bytes, rmp_serde::encode::Error> {
        let mut patches = self.current.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if patches.version != config.version {
            *patches = Patches { version: config.version, ..Patches::default() };
        }
        let base_version = base.map(|base| base.version);
        if let Some(encoded) = patches.encoded.get(&base_version) {
            return Ok(encoded.clone());
        }
        let patch = gateway::ConfigPatch::between(base, config);
        let encoded = Bytes::from(rmp_serde::to_vec(&patch)?);
        patches.encoded.insert(base_version, encoded.clone());
        Ok(encoded)
    }
}
