//! Checks the counter of work in progress over the interleavings of three threads.

use loom::sync::{Arc, atomic};
use loom::thread;
use trefoildyke_kernel as kernel;

/// The maximum number of thread preemptions in each interleaving that loom explores.
const PREEMPTION_BOUND: usize = 3;

struct ModelWord(atomic::AtomicUsize);

impl kernel::SharedWord for ModelWord {
    fn load(&self) -> usize {
        self.0.load(atomic::Ordering::Acquire)
    }

    fn compare_exchange(&self, old: usize, new: usize) -> Result<usize, usize> {
        let ordering = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        self.0.compare_exchange(old, new, ordering.0, ordering.1)
    }
}

fn spawn_worker(
    counter: &Arc<kernel::ClosableCounter<ModelWord>>,
    running: &Arc<atomic::AtomicUsize>,
) -> thread::JoinHandle<bool> {
    let (counter, running) = (Arc::clone(counter), Arc::clone(running));
    thread::spawn(move || {
        if !counter.try_start() {
            return false;
        }
        running.fetch_add(1, atomic::Ordering::AcqRel);
        running.fetch_sub(1, atomic::Ordering::AcqRel);
        counter.finish()
    })
}

#[test]
fn exactly_one_call_reports_the_drain_and_no_work_runs_then() {
    let mut model = loom::model::Builder::new();
    model.preemption_bound = Some(PREEMPTION_BOUND);
    model.check(|| {
        let counter =
            Arc::new(kernel::ClosableCounter::new(ModelWord(atomic::AtomicUsize::new(0))));
        let running = Arc::new(atomic::AtomicUsize::new(0));
        let workers = [spawn_worker(&counter, &running), spawn_worker(&counter, &running)];
        let drained_by_close = counter.close();
        if drained_by_close {
            assert_eq!(running.load(atomic::Ordering::Acquire), 0);
        }
        let finishes = workers.into_iter().filter_map(|worker| worker.join().ok());
        let drain_reports =
            finishes.filter(|drained| *drained).count() + usize::from(drained_by_close);
        assert_eq!(drain_reports, 1);
        assert!(!counter.try_start());
        assert_eq!(counter.in_progress(), 0);
    });
}
