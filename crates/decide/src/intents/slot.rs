//! One bucket of one time slice.

use xxhash_rust::xxh3;

/// Names one bucket of one time slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot {
    /// The time slice, counted since the Unix epoch.
    pub slice: u64,
    /// The bucket.
    pub bucket: u32,
}

impl Slot {
    /// What the keys of all slots start with; oldest slices come first in the order of keys.
    pub const PREFIX: &'static str = "intents/slots/";

    /// Returns what the keys of the slot's parts start with.
    pub fn prefix(&self) -> String {
        format!("{}{:012x}/{:04x}/", Self::PREFIX, self.slice, self.bucket)
    }

    /// Returns the key of one of the slot's parts.
    pub fn part_key(&self, index: u32) -> String {
        format!("{}{index:06x}", self.prefix())
    }

    /// Returns the slot and the part that a key names, or `None` if it names none.
    pub fn parse(key: &str) -> Option<(Self, u32)> {
        let mut fields = key.strip_prefix(Self::PREFIX)?.split('/');
        let slice = u64::from_str_radix(fields.next()?, 16).ok()?;
        let bucket = u32::from_str_radix(fields.next()?, 16).ok()?;
        let index = u32::from_str_radix(fields.next()?, 16).ok()?;
        fields.next().is_none().then_some((Self { slice, bucket }, index))
    }

    /// Returns the hash by which the bucket's soft owner is chosen; the same in every slice.
    pub fn owner_key(bucket: u32) -> u64 {
        xxh3::xxh3_64_with_seed(b"intents", u64::from(bucket))
    }
}
