//! How a write of a record ended.

use trefoildyke_types::request;

/// Says which record stands under a key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Settled {
    /// The record was created.
    Created,
    /// Another record stood there and still does.
    Exists(request::Record),
}
