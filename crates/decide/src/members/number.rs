//! Serialization of incarnations as numbers, since a digest holds many and their text is twice as
//! long.

use serde::Deserialize as _;
use trefoildyke_types::id;

pub(crate) fn serialize<S: serde::Serializer>(
    incarnation: &id::Incarnation,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(incarnation.as_u64())
}

pub(crate) fn deserialize<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<id::Incarnation, D::Error> {
    u64::deserialize(deserializer).map(id::Incarnation::from_u64)
}
