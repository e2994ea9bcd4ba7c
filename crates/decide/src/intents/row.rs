//! One record as it is stored.

use trefoildyke_types::{id, request};

/// Holds one record with the request that it is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct Row {
    /// The request.
    pub key: id::RequestKey,
    /// The record.
    pub record: request::Record,
}

/// The stored form: arrays without field names, because a slot holds thousands of rows.
#[derive(Clone, serde::Serialize, serde::Deserialize)]
struct Packed(id::AccountName, id::RequestId, id::Nonce, Option<PackedIntent>);

#[derive(Clone, serde::Serialize, serde::Deserialize)]
struct PackedIntent(id::Incarnation, id::EndpointName, u64);

/// The most bytes that a row takes besides its two names: an issued identifier (54), nonce and
/// fingerprint (20 each), incarnation (16), quotes, brackets and commas (22).
const FIXED: usize = 132;

impl Row {
    /// Returns the most bytes that the row takes in JSON.
    pub fn size(&self) -> usize {
        let endpoint = match &self.record {
            request::Record::Intent(intent) => escaped(intent.endpoint.as_str()),
            request::Record::Closed { .. } => 0,
        };
        FIXED + escaped(self.key.account.as_str()) + endpoint
    }
}

fn escaped(text: &str) -> usize {
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
