//! The fingerprint that detects a different request body under an identifier that is already in use.

use trefoildyke_types::request;
use xxhash_rust::xxh3;

/// Returns a hash of the request's content, which is the same on every host.
///
/// The attempt number, the offset and the deadline are left out because they may differ between attempts.
pub fn fingerprint(spec: &request::RequestSpec) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    let (kind, target) = match &spec.target {
        request::Target::Model(name) => (0, name.as_str()),
        request::Target::Service(operation) => (1, operation.as_str()),
    };
    for text in [spec.pool.as_str(), target, &spec.class, &spec.input] {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    hasher.update(&[kind, u8::from(spec.idempotent), u8::from(spec.prompt_tokens.is_some())]);
    hasher.update(&spec.prompt_tokens.unwrap_or(0).to_le_bytes());
    hasher.update(&spec.max_tokens.to_le_bytes());
    for block in &spec.prefix {
        hasher.update(&block.to_le_bytes());
    }
    hasher.digest()
}
