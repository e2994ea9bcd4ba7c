//! The count of work in progress, over the interleavings of three threads.

use loom::sync::{Arc, atomic};
use loom::thread;
use trefoildyke_kernel as kernel;

/// How often a thread may be interrupted between two of its steps, in each interleaving explored.
const PREEMPTIONS: usize = 3;

struct ModelWord(atomic::AtomicUsize);

impl kernel::Word for ModelWord {
    fn load(&self) -> usize {
        self.0.load(atomic::Ordering::Acquire)
    }

    fn replace(&self, old: usize, new: usize) -> Result<usize, usize> {
        let ordering = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        self.0.compare_exchange(old, new, ordering.0, ordering.1)
    }
}

fn worker(
    count: &Arc<kernel::Count<ModelWord>>,
    running: &Arc<atomic::AtomicUsize>,
) -> thread::JoinHandle<bool> {
    let (count, running) = (Arc::clone(count), Arc::clone(running));
    thread::spawn(move || {
        if !count.enter() {
            return false;
        }
        running.fetch_add(1, atomic::Ordering::AcqRel);
        running.fetch_sub(1, atomic::Ordering::AcqRel);
        count.leave()
    })
}

#[test]
fn exactly_one_thread_sees_the_drain_and_nothing_runs_then() {
    let mut model = loom::model::Builder::new();
    model.preemption_bound = Some(PREEMPTIONS);
    model.check(|| {
        let count = Arc::new(kernel::Count::new(ModelWord(atomic::AtomicUsize::new(0))));
        let running = Arc::new(atomic::AtomicUsize::new(0));
        let workers = [worker(&count, &running), worker(&count, &running)];
        let closed = count.close();
        if closed {
            assert_eq!(running.load(atomic::Ordering::Acquire), 0);
        }
        let drained = workers.into_iter().filter_map(|worker| worker.join().ok());
        let seen = drained.filter(|seen| *seen).count() + usize::from(closed);
        assert_eq!(seen, 1);
        assert!(!count.enter());
        assert_eq!(count.value(), 0);
    });
}
