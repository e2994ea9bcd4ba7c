//! Values whose type is known only to the service that sends or receives them.

use bytes::Bytes;

use crate::peer;

/// A value encoded as MessagePack.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Payload(pub Bytes);

impl Payload {
    /// Encodes `value` as MessagePack.
    ///
    /// # Errors
    ///
    /// [`peer::Error::Frame`] if the value cannot be encoded.
    pub fn encode<T: serde::Serialize>(value: &T) -> Result<Self, peer::Error> {
        let bytes = rmp_serde::to_vec(value).map_err(|e| peer::Error::Frame(e.to_string()))?;
        Ok(Self(bytes.into()))
    }

    /// Decodes the value.
    ///
    /// # Errors
    ///
    /// [`peer::Error::Frame`] if the bytes are not a valid `T`.
    pub fn decode<T: serde::de::DeserializeOwned>(&self) -> Result<T, peer::Error> {
        rmp_serde::from_slice(&self.0).map_err(|e| peer::Error::Frame(e.to_string()))
    }
}
