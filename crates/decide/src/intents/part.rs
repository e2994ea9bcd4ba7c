//! The value of one key of a slot.

use crate::intents;

/// The bytes of a part without rows.
const EMPTY: usize = 32;

/// Room that a part must have left to stay open, so that the next row rarely has to seal it first.
const SPARE: usize = 512;

/// Holds some of a slot's rows: the value of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Whether the part never changes again and the next rows go to the following part.
    ///
    /// The following part exists only after this one was sealed. A writer that still takes this
    /// part for the last one therefore finds that it has changed.
    pub sealed: bool,
    /// The rows, oldest first; no key stands twice in a slot.
    pub rows: Vec<intents::Row>,
}

impl Part {
    /// Returns the most bytes that the part takes in JSON.
    pub fn size(&self) -> usize {
        EMPTY + self.rows.iter().map(|row| row.size() + 1).sum::<usize>()
    }

    /// Returns the part with those of `rows` that fit into `limit` bytes, and how many they are.
    ///
    /// At least one fits into a part without rows. The part is sealed if little room is left.
    pub fn with(&self, rows: &[&intents::Row], limit: usize) -> (Self, usize) {
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
        part.sealed = added < rows.len() || size + SPARE > limit;
        (part, added)
    }
}
