//! Which members reach one another.

/// Says which messages arrive.
#[derive(Clone, Debug, Default)]
pub struct Link {
    /// One message in so many is lost; 0 for none.
    pub lose_one_in: u64,
    /// Members below the first number and those from it on do not reach each other.
    pub cut_at: Option<usize>,
    /// Pairs `(from, to)` of which the first cannot reach the second.
    pub cut_pairs: Vec<(usize, usize)>,
}

impl Link {
    pub(crate) fn passes(&self, from: usize, to: usize) -> bool {
        let same_side = self.cut_at.is_none_or(|cut| (from < cut) == (to < cut));
        same_side && !self.cut_pairs.contains(&(from, to))
    }
}
