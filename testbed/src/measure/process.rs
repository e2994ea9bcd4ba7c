//! What processes have used, as the kernel counts it.

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

/// Returns the time that all threads of the process have run; zero if that is not known.
pub fn process_time() -> time::Duration {
    Usage::of(std::process::id()).busy
}

/// The clock ticks of a second in which the kernel counts processor time.
const TICKS: u32 = 100;
/// The place of the first of the two times behind a process's name in its `stat`.
const TIME_FIELD: usize = 11;

/// Holds what a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time, of all threads.
    pub busy: time::Duration,
    /// Bytes of memory that it holds.
    pub resident: u64,
}

impl Usage {
    /// Returns what the process has used since it started; nothing if there is none.
    pub fn of(pid: u32) -> Self {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let times = after_name.split_whitespace().skip(TIME_FIELD).take(2);
        let ticks: u32 = times.filter_map(|word| word.parse::<u32>().ok()).sum();
        let memory = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
        let pages = memory.split_whitespace().nth(1).and_then(|word| word.parse::<u64>().ok());
        Self {
            busy: time::Duration::from_secs(1) * ticks / TICKS,
            resident: pages.unwrap_or_default() * PAGE,
        }
    }
}
