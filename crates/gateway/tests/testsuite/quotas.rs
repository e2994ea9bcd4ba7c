//! Quotas at the door.

use trefoildyke_decide::gateway::AccountUnit;

use crate::harness::{Endpoint, Stack, Step};

#[test]
fn what_is_beyond_the_quota_is_refused_with_a_time_to_come_back_and_runs_nowhere() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let stack = Stack::start(&[&endpoint]);
    stack.reconfigure(2, |config| {
        config.accounts[0].rate = 10.0;
        config.accounts[0].burst = 0.0;
        config.accounts[0].unit = AccountUnit::Tokens { undeclared: 1 };
    });
    std::thread::sleep(std::time::Duration::from_millis(500));
    let tokens = [("trefoildyke-tokens", "2,2")];
    assert_eq!(stack.ask_with("GET /once/", &tokens).unwrap().status, 200);
    let reply = stack.ask_with("GET /once/", &tokens).unwrap();
    assert_eq!(reply.status, 429);
    let after: f64 = reply.header("retry-after").unwrap().parse().unwrap();
    assert!((0.1..2.0).contains(&after), "{after}");
    assert_eq!(endpoint.seen().len(), 1);
}
