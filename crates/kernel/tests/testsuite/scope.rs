use std::{convert, time};

use trefoildyke_kernel as kernel;

const TIMEOUT: time::Duration = time::Duration::from_secs(20);

#[test]
fn close_joins_all_spawned_tasks() {
    let kernel = kernel::Kernel::builder().start().unwrap();
    let scope = kernel.traffic().child();
    let gate = kernel::Gate::default();
    for _ in 0..10 {
        let (token, pass) = (scope.token().clone(), gate.enter().unwrap());
        scope.spawn("waiter", async move {
            token.cancelled().await;
            drop(pass);
            Ok::<(), convert::Infallible>(())
        });
    }
    assert_eq!(scope.running(), 10);
    assert!(kernel.block_on(scope.close(TIMEOUT)));
    assert_eq!(scope.running(), 0);
    gate.close();
    assert!(gate.is_drained());
    assert_eq!(kernel.close(), []);
}

#[test]
fn close_reports_a_task_that_ignores_cancellation() {
    let kernel = kernel::Kernel::builder().start().unwrap();
    let scope = kernel.traffic().child();
    scope.spawn("stuck", std::future::pending::<Result<(), convert::Infallible>>());
    assert!(!kernel.block_on(scope.close(time::Duration::from_millis(10))));
}

#[test]
fn a_panic_in_an_isolated_task_does_not_stop_the_daemon() {
    let kernel = kernel::Kernel::builder().start().unwrap();
    let gate = kernel::Gate::default();
    let pass = gate.enter();
    kernel.traffic().spawn_isolated("connection", async move {
        let _pass = pass;
        if always_true() {
            panic!("broken");
        }
        Ok::<(), convert::Infallible>(())
    });
    gate.close();
    kernel.block_on(async { tokio::time::timeout(TIMEOUT, gate.drained()).await.unwrap() });
    assert!(!kernel.stopping().is_cancelled());
    assert_eq!(kernel.close(), []);
}

/// Hides the value from the compiler, which would warn of unreachable code after an unconditional panic.
fn always_true() -> bool {
    true
}
