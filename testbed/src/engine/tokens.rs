//! The text of generated tokens.

use trefoildyke_types::id;

const MARK_LENGTH: usize = 8;

/// Returns token `number` of the answer to a request.
///
/// The text names the request and the token, so that a test can tell a foreign or broken answer.
pub fn token(id: &id::RequestId, number: u64) -> String {
    let uuid = id.uuid().to_string();
    let group = uuid.rsplit('-').next().unwrap_or_default();
    let mark = group.get(..MARK_LENGTH).unwrap_or(group);
    format!("{mark}:{number} ")
}
