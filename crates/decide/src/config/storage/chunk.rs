//! Chunks: immutable values that each contain some of the resources.

use trefoildyke_types::{error, id, resource};

use crate::config::{Snapshot, storage};

/// One chunk as it is written to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The key; no two compactions share one.
    pub key: String,
    /// The value, a JSON array of resources.
    pub value: String,
}

impl Chunk {
    /// Divides all resources of a snapshot into chunks.
    ///
    /// # Errors
    ///
    /// Fails with `Protocol` if a resource cannot be written as JSON, which is always possible for a valid
    /// resource.
    pub fn divide(snapshot: &Snapshot, nonce: id::Nonce) -> Result<Vec<Self>, error::Error> {
        let mut chunks = Vec::new();
        let mut text = String::new();
        for resource in snapshot.resources().values() {
            let line = serde_json::to_string(&**resource).map_err(|error| {
                error::Error::new(error::ErrorKind::Protocol, error.to_string())
                    .about(&resource.key())
            })?;
            text.push_str(if text.is_empty() { "[" } else { "," });
            text.push_str(&line);
            if text.len() >= storage::CHUNK_BYTES {
                chunks.push(Self::finish(&mut text, snapshot.version(), nonce, chunks.len()));
            }
        }
        if !text.is_empty() {
            chunks.push(Self::finish(&mut text, snapshot.version(), nonce, chunks.len()));
        }
        Ok(chunks)
    }

    /// Ends the chunk in `text` and leaves `text` empty for the next one.
    fn finish(text: &mut String, version: u64, nonce: id::Nonce, index: usize) -> Self {
        let key = format!("{}{version:020}-{:016x}-{index}", storage::CHUNK_PREFIX, nonce.0);
        text.push(']');
        Self { key, value: std::mem::take(text) }
    }

    /// Parses the resources in a chunk's value.
    ///
    /// # Errors
    ///
    /// Fails with `Protocol` if the value is not a chunk.
    pub fn resources(value: &str) -> Result<Vec<resource::Resource>, error::Error> {
        serde_json::from_str(value).map_err(|error| {
            error::Error::new(error::ErrorKind::Protocol, format!("not a chunk: {error}"))
                .remedy("restore the key or write the configuration again")
        })
    }
}

/// Returns whether a chunk's key is from a compaction before version `previous_fold`.
///
/// Chunks of the previous compaction are kept because readers of the previous root may still load them.
/// Chunks of later versions are kept because a writer may be compacting such a version.
pub fn is_obsolete_chunk(key: &str, previous_fold: u64) -> bool {
    key.strip_prefix(storage::CHUNK_PREFIX)
        .and_then(|rest| rest.split('-').next())
        .and_then(|version| version.parse::<u64>().ok())
        .is_some_and(|version| version < previous_fold)
}
