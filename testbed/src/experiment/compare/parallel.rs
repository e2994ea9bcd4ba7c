//! Independent runs on several threads.

use std::{sync, thread};

/// Applies `work` to every item on `threads` threads and returns the results in order.
pub(crate) fn map<I: Sync, O: Send>(
    items: &[I],
    threads: usize,
    work: impl Fn(&I) -> O + Sync,
) -> Vec<O> {
    let next = sync::atomic::AtomicUsize::new(0);
    let take = || {
        let mut done = Vec::new();
        loop {
            let at = next.fetch_add(1, sync::atomic::Ordering::Relaxed);
            let Some(item) = items.get(at) else { return done };
            done.push((at, work(item)));
        }
    };
    let mut results = thread::scope(|scope| {
        let handles: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(take)).collect();
        let parts = handles.into_iter().map(join);
        parts.flatten().collect::<Vec<_>>()
    });
    results.sort_by_key(|(at, _)| *at);
    results.into_iter().map(|(_, result)| result).collect()
}

fn join<T>(handle: thread::ScopedJoinHandle<'_, T>) -> T {
    handle.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))
}
