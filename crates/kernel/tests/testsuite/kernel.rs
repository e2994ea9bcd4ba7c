use std::{convert, thread};

use trefoildyke_kernel as kernel;

#[test]
fn control_tasks_run_on_one_thread() {
    let kernel = kernel::Kernel::builder().with_traffic_threads(3).start().unwrap();
    let (sender, receiver) = std::sync::mpsc::channel();
    for _ in 0..8 {
        let sender = sender.clone();
        kernel.control().spawn("probe", async move {
            sender.send(thread::current().name().map(str::to_owned))
        });
    }
    drop(sender);
    let names: Vec<_> = receiver.iter().collect();
    assert_eq!(names, vec![Some("control".to_owned()); 8]);
    assert_eq!(kernel.close(), []);
}

#[test]
fn a_requested_stop_ends_the_wait() {
    let mut kernel = kernel::Kernel::builder().start().unwrap();
    let stopping = kernel.stopping().clone();
    kernel.control().spawn("stopper", async move {
        stopping.cancel();
        Ok::<(), convert::Infallible>(())
    });
    kernel.wait_for_stop().unwrap();
    assert_eq!(kernel.close(), []);
}

#[test]
fn an_error_in_a_task_stops_the_daemon_and_a_panic_is_reported() {
    let mut kernel = kernel::Kernel::builder().start().unwrap();
    kernel.control().spawn("first", async { Err("no disk") });
    kernel.wait_for_stop().unwrap();
    assert!(kernel.stopping().is_cancelled());
    kernel.control().spawn("second", async { panic_with("lost") });
    let faults = kernel.close();
    assert_eq!(faults.len(), 1);
    assert_eq!(
        faults[0].to_string(),
        "task `second` failed: panic: lost; see the log lines before this one"
    );
}

fn panic_with(text: &str) -> Result<(), convert::Infallible> {
    panic!("{text}")
}
