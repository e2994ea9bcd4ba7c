//! Rows: records in their stored form.

use trefoildyke_types::{id, request};

/// One record with the key of its request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct Row {
    /// The key of the request.
    pub key: id::RequestKey,
    /// The record.
    pub record: request::Record,
}

/// The stored form of a row, an array without field names, because a slot holds thousands of rows.
#[derive(Clone, serde::Serialize, serde::Deserialize)]
struct Packed(id::AccountName, id::RequestId, id::Nonce, Option<PackedIntent>);

/// The stored form of an intent.
#[derive(Clone, serde::Serialize, serde::Deserialize)]
struct PackedIntent(id::Incarnation, id::EndpointName, u64);

/// The maximum size of a row without its account and endpoint names, in bytes: an issued identifier
/// (54), nonce and fingerprint (20 each), incarnation (16), quotes, brackets and commas (22).
const FIXED_BYTES: usize = 132;

impl Row {
    /// Returns the maximum size of the row as JSON, in bytes.
    pub fn size(&self) -> usize {
        let endpoint = match &self.record {
            request::Record::Intent(intent) => escaped_size(intent.endpoint.as_str()),
            request::Record::Closed { .. } => 0,
        };
        FIXED_BYTES + escaped_size(self.key.account.as_str()) + endpoint
    }
}

/// Returns the maximum size of a text in a JSON string, in bytes without the quotes.
fn escaped_size(text: &str) -> usize {
    let size = |character: char| match character {
        '"' | '\\' => 2,
        _ if character.is_control() => 6,
        _ => character.len_utf8(),
    };
    text.chars().map(size).sum()
}

impl From<Row> for Packed {
    fn from(row: Row) -> Self {
        let nonce = row.record.nonce();
        let intent = match row.record {
            request::Record::Intent(intent) => {
                Some(PackedIntent(intent.coordinator, intent.endpoint, intent.fingerprint))
            }
            request::Record::Closed { .. } => None,
        };
        Self(row.key.account, row.key.id, nonce, intent)
    }
}

impl From<Packed> for Row {
    fn from(Packed(account, id, nonce, intent): Packed) -> Self {
        let record = match intent {
            Some(PackedIntent(coordinator, endpoint, fingerprint)) => {
                request::Record::Intent(request::Intent {
                    coordinator,
                    nonce,
                    endpoint,
                    fingerprint,
                })
            }
            None => request::Record::Closed { nonce },
        };
        Self { key: id::RequestKey { account, id }, record }
    }
}
