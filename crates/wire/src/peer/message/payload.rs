//! Bytes whose form only the service at either end knows.

use bytes::Bytes;

use crate::peer;

/// Holds a value encoded with MessagePack.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Payload(pub Bytes);

impl Payload {
    /// Encodes `value`.
    ///
    /// # Errors
    ///
    /// [`peer::Error::Frame`] if the value has no MessagePack form.
    pub fn encode<T: serde::Serialize>(value: &T) -> Result<Self, peer::Error> {
        let bytes = rmp_serde::to_vec(value).map_err(|e| peer::Error::Frame(e.to_string()))?;
        Ok(Self(bytes.into()))
    }

    /// Decodes the value.
    ///
    /// # Errors
    ///
    /// [`peer::Error::Frame`] if the bytes are not a `T`.
    pub fn decode<T: serde::de::DeserializeOwned>(&self) -> Result<T, peer::Error> {
        rmp_serde::from_slice(&self.0).map_err(|e| peer::Error::Frame(e.to_string()))
    }
}
