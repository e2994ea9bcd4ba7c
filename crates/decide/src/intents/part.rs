//! Parts: the values of a slot's keys.

use crate::intents;

/// The size of a part without rows, in bytes.
const EMPTY_BYTES: usize = 32;

/// The free space in bytes that a part must have left to stay unsealed. With less space, the next row
/// would often not fit, and a write would be needed just to seal the part.
const SPARE_BYTES: usize = 512;

/// Some of a slot's rows, stored as the value of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Whether the part never changes again, so that further rows go to the next part.
    ///
    /// The next part is created only after this one is sealed. A writer that still assumes that this part
    /// is the last one therefore gets a conflict.
    pub sealed: bool,
    /// The rows, oldest first; no key occurs twice in a slot.
    pub rows: Vec<intents::Row>,
}

impl Part {
    /// Returns the maximum size of the part as JSON, in bytes.
    pub fn size(&self) -> usize {
        EMPTY_BYTES + self.rows.iter().map(|row| row.size() + 1).sum::<usize>()
    }

    /// Returns the part with those of `rows` appended that fit into `limit` bytes, and their number.
    ///
    /// A part without rows takes at least one row whatever its size. The part is sealed if a row did not
    /// fit or little space is left.
    pub fn append(&self, rows: &[&intents::Row], limit: usize) -> (Self, usize) {
        let mut part = self.clone();
        let mut size = part.size();
        for row in rows {
            if size + row.size() >= limit && !part.rows.is_empty() {
                break;
            }
            size += row.size() + 1;
            part.rows.push((*row).clone());
        }
        let added = part.rows.len() - self.rows.len();
        part.sealed = added < rows.len() || size + SPARE_BYTES > limit;
        (part, added)
    }
}
