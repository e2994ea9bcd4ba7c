//! Slots: one bucket of one time slice each.

use xxhash_rust::xxh3;

/// One bucket of one time slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot {
    /// The number of the time slice since the Unix epoch.
    pub slice: u64,
    /// The number of the bucket within the time slice.
    pub bucket: u32,
}

impl Slot {
    /// The common prefix of the keys of all slots; the keys sort by time slice, oldest first.
    pub const PREFIX: &'static str = "intents/slots/";

    /// Returns the common prefix of the keys of the slot's parts.
    pub fn prefix(&self) -> String {
        format!("{}{:012x}/{:04x}/", Self::PREFIX, self.slice, self.bucket)
    }

    /// Returns the key of the slot's part with the given index.
    pub fn part_key(&self, index: u32) -> String {
        format!("{}{index:06x}", self.prefix())
    }

    /// Returns the slot and the part index encoded in a key, or `None` if it is not the key of a part.
    pub fn parse(key: &str) -> Option<(Self, u32)> {
        let mut fields = key.strip_prefix(Self::PREFIX)?.split('/');
        let slice = u64::from_str_radix(fields.next()?, 16).ok()?;
        let bucket = u32::from_str_radix(fields.next()?, 16).ok()?;
        let index = u32::from_str_radix(fields.next()?, 16).ok()?;
        fields.next().is_none().then_some((Self { slice, bucket }, index))
    }

    /// Returns the hash that selects the bucket's preferred but not exclusive owner, the same in every slice.
    pub fn owner_hash(bucket: u32) -> u64 {
        xxh3::xxh3_64_with_seed(b"intents", u64::from(bucket))
    }
}
