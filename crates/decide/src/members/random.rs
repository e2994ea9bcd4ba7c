//! Random choices, seeded by the random numbers of the ticks.

/// A pseudorandom number generator that every tick reseeds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    /// Mixes a random number into the state.
    pub(crate) fn reseed(&mut self, random: u64) {
        self.state ^= random;
    }

    /// Returns a number below `bound`, or 0 if `bound` is 0.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        // SplitMix64; the choices must be evenly distributed, but need not be secret.
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        let bound = u64::try_from(bound).unwrap_or(u64::MAX).max(1);
        usize::try_from(mixed % bound).unwrap_or(0)
    }

    /// Removes and returns a random item, which changes the order of the others.
    pub(crate) fn take<T>(&mut self, items: &mut Vec<T>) -> Option<T> {
        if items.is_empty() {
            return None;
        }
        let index = self.below(items.len());
        Some(items.swap_remove(index))
    }
}
