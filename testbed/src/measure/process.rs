//! What this process has used, as the kernel counts it.

use std::{fs, time};

const PAGE: u64 = 4_096;

/// Returns the time that the calling thread has run on a processor; zero if that is not known.
pub fn busy_time() -> time::Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split_whitespace().next().and_then(|word| word.parse().ok());
    time::Duration::from_nanos(nanos.unwrap_or_default())
}

/// Returns the bytes of memory that the process holds; 0 if that is not known.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|word| word.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE
}
