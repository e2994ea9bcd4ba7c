//! What this process has used, as the kernel counts it.

use std::{fs, time};

const PAGE: u64 = 4_096;

/// The unit in which the kernel counts a process's time.
const TICK_MS: u64 = 10;

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

/// Returns the time that all threads of the process have run; zero if that is not known.
pub fn process_time() -> time::Duration {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The fields after the command's name, which may hold spaces, begin with the state.
    let fields = text.rsplit(") ").next().unwrap_or_default();
    let ticks: u64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    time::Duration::from_millis(ticks * TICK_MS)
}
