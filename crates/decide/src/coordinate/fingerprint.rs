//! The fingerprint by which a second body under one identifier is recognised.

use trefoildyke_types::request;
use xxhash_rust::xxh3;

/// Returns the fingerprint of what a request asks for, the same on every host.
///
/// Attempt, offset and deadline may differ between attempts and are left out.
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
